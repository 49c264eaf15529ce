package simwire

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"strconv"
	"strings"
	"time"

	"github.com/topazfront/topazfront/dispatch"
)

// ConnectionLimits are the settings that concern a router's connections rather than its decisions.
type ConnectionLimits struct {
	ConnectTimeout    time.Duration
	WorkerIdleTimeout time.Duration // a worker closes a connection that has been idle for this long
	LoadTimeout       time.Duration
	RequestsPerConn   int // open at once on one connection to a worker
}

// maxDepth bounds the nesting of settings.
const maxDepth = 16

// ParseSettings reads the settings of an instance from nested JSON: the object that the line protocol writes as pairs,
// with the same names and units. The error names the setting that can't be used.
func ParseSettings(raw []byte) (dispatch.Settings, ConnectionLimits, error) {
	dec := json.NewDecoder(bytes.NewReader(raw))
	dec.UseNumber()
	var v map[string]any
	if err := dec.Decode(&v); err != nil {
		return dispatch.Settings{}, ConnectionLimits{}, fmt.Errorf("settings: %w", err)
	}
	if _, err := dec.Token(); !errors.Is(err, io.EOF) {
		return dispatch.Settings{}, ConnectionLimits{}, errors.New("settings: more than one value")
	}
	f := &fields{pairs: map[string]string{}}
	f.flatten("", v, 0)
	s := readSettings(f)
	l := ConnectionLimits{
		ConnectTimeout:    f.nonNegative("limits.connect_timeout"),
		WorkerIdleTimeout: f.nonNegative("limits.idle_close"),
		LoadTimeout:       f.nonNegative("family_info.order_timeout"),
		RequestsPerConn:   int(f.integer("limits.streams_per_conn", false)),
	}
	if len(s.Classes) == 0 {
		f.fail(errors.New("classes: none is named"))
	}
	if f.err != nil {
		return s, l, fmt.Errorf("settings: %w", f.err)
	}
	return s, l, nil
}

// flatten adds a value in the form of the line protocol: lists of objects by length and index, lists of plain values
// joined by commas.
func (f *fields) flatten(name string, v any, depth int) {
	if depth > maxDepth {
		f.fail(fmt.Errorf("%s nests too deep", name))
		return
	}
	qualified := func(key string) string {
		if name == "" {
			return key
		}
		return name + "." + key
	}
	switch v := v.(type) {
	case map[string]any:
		for key, element := range v {
			f.flatten(qualified(key), element, depth+1)
		}
	case []any:
		plain := make([]string, 0, len(v))
		for i, element := range v {
			switch element.(type) {
			case map[string]any, []any:
				f.flatten(qualified(strconv.Itoa(i)), element, depth+1)
			default:
				plain = append(plain, formatScalar(element))
			}
		}
		f.pairs[qualified("count")] = strconv.Itoa(len(v))
		f.pairs[name] = strings.Join(plain, ",")
	default:
		f.pairs[name] = formatScalar(v)
	}
}

func formatScalar(v any) string {
	switch v := v.(type) {
	case nil:
		return ""
	case json.Number:
		return v.String()
	case bool:
		return strconv.FormatBool(v)
	case string:
		return v
	}
	return ""
}
