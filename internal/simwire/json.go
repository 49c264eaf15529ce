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

// Limits are what the settings say to adapters rather than to the module.
type Limits struct {
	ConnectTimeout time.Duration
	IdleClose      time.Duration // workers close connections idle for so long
	OrderTimeout   time.Duration
	StreamsPerConn int // requests open on one connection to a worker
}

// maxDepth bounds how deep settings may nest.
const maxDepth = 16

// SettingsOf reads the settings of an instance from nested JSON: the object that the line protocol spells as
// pairs, with the same names and units.
func SettingsOf(raw []byte) (dispatch.Settings, Limits, error) {
	dec := json.NewDecoder(bytes.NewReader(raw))
	dec.UseNumber()
	var v map[string]any
	if err := dec.Decode(&v); err != nil {
		return dispatch.Settings{}, Limits{}, fmt.Errorf("settings: %w", err)
	}
	if _, err := dec.Token(); !errors.Is(err, io.EOF) {
		return dispatch.Settings{}, Limits{}, errors.New("settings: more than one value")
	}
	f := &fields{pairs: map[string]string{}}
	f.flatten("", v, 0)
	s := settings(f)
	l := Limits{ConnectTimeout: f.span("limits.connect_timeout"),
		IdleClose:      f.span("limits.idle_close"),
		OrderTimeout:   f.span("family_info.order_timeout"),
		StreamsPerConn: int(f.integer("limits.streams_per_conn", false))}
	if len(s.Classes) == 0 {
		f.set(errors.New("classes: none is named"))
	}
	if f.err != nil {
		return s, l, fmt.Errorf("settings: %w", f.err)
	}
	return s, l, nil
}

// flatten puts a value into the form of the line protocol: lists of objects by count and place, lists of plain
// values joined by commas.
func (f *fields) flatten(name string, v any, depth int) {
	if depth > maxDepth {
		f.set(fmt.Errorf("%s nests too deep", name))
		return
	}
	under := func(key string) string {
		if name == "" {
			return key
		}
		return name + "." + key
	}
	switch v := v.(type) {
	case map[string]any:
		for k, e := range v {
			f.flatten(under(k), e, depth+1)
		}
	case []any:
		plain := make([]string, 0, len(v))
		for i, e := range v {
			switch e.(type) {
			case map[string]any, []any:
				f.flatten(under(strconv.Itoa(i)), e, depth+1)
			default:
				plain = append(plain, scalar(e))
			}
		}
		f.pairs[under("count")] = strconv.Itoa(len(v))
		f.pairs[name] = strings.Join(plain, ",")
	default:
		f.pairs[name] = scalar(v)
	}
}

func scalar(v any) string {
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
