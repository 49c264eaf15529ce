package simwire

import (
	"fmt"
	"math"
	"strconv"
	"strings"
	"time"

	"github.com/topazfront/topazfront/dispatch"
)

// settingsPrefix is the prefix of the name of each setting in the line protocol.
const settingsPrefix = "profile_data."

// fields holds the name=value pairs of a line. err is the first error of parsing or of a read method. If it is set, the
// values that the methods returned must not be used.
type fields struct {
	pairs map[string]string
	err   error
}

func parseFields(words []string) *fields {
	f := &fields{pairs: make(map[string]string, len(words))}
	for _, w := range words {
		name, value, ok := strings.Cut(w, "=")
		if !ok {
			if w != "" {
				f.fail(fmt.Errorf("%q is not a name=value pair", w))
			}
			continue
		}
		f.pairs[strings.TrimPrefix(name, settingsPrefix)] = value
	}
	return f
}

// fail records an error unless there is one already.
func (f *fields) fail(err error) {
	if f.err == nil {
		f.err = err
	}
}

func (f *fields) text(name string, required bool) string {
	v, ok := f.pairs[name]
	if required && (!ok || v == "") {
		f.fail(fmt.Errorf("%s is missing", name))
	}
	return v
}

// integer reads an integer. It accepts true and false as 1 and 0.
func (f *fields) integer(name string, required bool) int64 {
	s := f.text(name, required)
	switch s {
	case "", "false":
		return 0
	case "true":
		return 1
	}
	v, err := strconv.ParseInt(s, 10, 64)
	if err != nil {
		f.fail(fmt.Errorf("%s=%q is not an integer", name, s))
	}
	return v
}

func (f *fields) number(name string) float64 {
	s := f.text(name, false)
	if s == "" {
		return 0
	}
	v, err := strconv.ParseFloat(s, 64)
	if err != nil || math.IsNaN(v) || math.IsInf(v, 0) {
		f.fail(fmt.Errorf("%s=%q is not a number", name, s))
		return 0
	}
	return v
}

// duration reads a duration in microseconds.
func (f *fields) duration(name string, required bool) time.Duration {
	us := f.integer(name, required)
	if us > math.MaxInt64/1000 || us < math.MinInt64/1000 {
		f.fail(fmt.Errorf("%s=%d is out of range", name, us))
		return 0
	}
	return time.Duration(us) * time.Microsecond
}

// nonNegativeDuration reads an optional duration in microseconds, which must not be negative.
func (f *fields) nonNegativeDuration(name string) time.Duration {
	d := f.duration(name, false)
	if d < 0 {
		f.fail(fmt.Errorf("%s=%d is negative", name, d.Microseconds()))
	}
	return d
}

func (f *fields) bool(name string) bool { return f.integer(name, false) != 0 }

func (f *fields) requestID() dispatch.RequestID { return dispatch.RequestID(f.integer("rid", true)) }

// list reads scalar values separated by commas.
func (f *fields) list(name string) []string {
	s := f.text(name, false)
	if s == "" {
		return nil
	}
	return strings.Split(s, ",")
}

// length reads the number of objects in a list. It rejects a number above that of the pairs, which no valid list has.
func (f *fields) length(name string) int {
	n := f.integer(name, false)
	if n < 0 || n > int64(len(f.pairs)) {
		f.fail(fmt.Errorf("%s=%d is negative or exceeds the number of pairs", name, n))
		return 0
	}
	return int(n)
}

// enum reads a required value, which must be a key of values.
func enum[T any](f *fields, name string, values map[string]T) T {
	s := f.text(name, true)
	v, ok := values[s]
	if !ok && s != "" {
		f.fail(fmt.Errorf("%s=%q is not a known value", name, s))
	}
	return v
}
