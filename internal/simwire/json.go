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

// ConnectionLimits holds the settings for a router's exchanges with workers. The dispatcher doesn't use them.
type ConnectionLimits struct {
	ConnectTimeout    time.Duration
	WorkerIdleTimeout time.Duration // a worker closes a connection that has been idle for this long
	LoadTimeout       time.Duration
	RequestsPerConn   int // limit of concurrent requests on a connection to a worker
}

// maxDepth is the maximum nesting depth of settings.
const maxDepth = 16

// ParseSettings parses the settings of an instance from nested JSON. Names and units are those of the line protocol,
// which has the same object in the form of name=value pairs. The error names the invalid setting.
func ParseSettings(raw []byte) (dispatch.Settings, ConnectionLimits, error) {
	dec := json.NewDecoder(bytes.NewReader(raw))
	dec.UseNumber()
	var v map[string]any
	if err := dec.Decode(&v); err != nil {
		return dispatch.Settings{}, ConnectionLimits{}, fmt.Errorf("settings: %w", err)
	}
	if _, err := dec.Token(); !errors.Is(err, io.EOF) {
		return dispatch.Settings{}, ConnectionLimits{}, errors.New("settings: more than one JSON value")
	}
	f := &fields{pairs: map[string]string{}}
	f.flatten("", v, 0)
	s := readSettings(f)
	l := ConnectionLimits{
		ConnectTimeout:    f.nonNegativeDuration("limits.connect_timeout"),
		WorkerIdleTimeout: f.nonNegativeDuration("limits.idle_close"),
		LoadTimeout:       f.nonNegativeDuration("family_info.order_timeout"),
		RequestsPerConn:   int(f.integer("limits.streams_per_conn", false)),
	}
	if len(s.Classes) == 0 {
		f.fail(errors.New("classes: needs at least one class"))
	}
	if f.err != nil {
		return s, l, fmt.Errorf("settings: %w", f.err)
	}
	return s, l, nil
}

// flatten adds a value as pairs of the line protocol. A list of objects becomes its length and the pairs of each object
// with its index in their names. Scalar values in a list are joined by commas.
func (f *fields) flatten(name string, v any, depth int) {
	if depth > maxDepth {
		f.fail(fmt.Errorf("%s is nested too deeply", name))
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
