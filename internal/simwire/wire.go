// Package simwire reads and writes the line protocol between a simulator or router shell and the
// dispatcher. It translates words and units and decides nothing.
package simwire

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"math"
	"strconv"
	"strings"
	"time"

	"github.com/topazfront/topazfront/dispatch"
)

// Part is a run of one instance's events within a batch. A part with Start set begins a new life, one
// with Stop set ends the instance.
type Part struct {
	Router int64
	Start  *Start
	Stop   bool
	Events []dispatch.Event
}

// Start is what an instance is told when it begins.
type Start struct {
	Seed     uint64
	Settings dispatch.Settings
}

// Batch is one batch of events, all of one moment.
type Batch struct {
	Clock  time.Duration
	Serial string
	Parts  []Part
}

// Reader reads batches.
type Reader struct {
	in    *bufio.Reader
	line  int
	lists map[int64][]dispatch.Endpoint
}

// NewReader returns a Reader of the events in r.
func NewReader(r io.Reader) *Reader {
	return &Reader{in: bufio.NewReaderSize(r, 1<<20), lists: map[int64][]dispatch.Endpoint{}}
}

// next returns the words of the next line that is not empty.
func (r *Reader) next() ([]string, error) {
	for {
		s, err := r.in.ReadString('\n')
		if s == "" && err != nil {
			return nil, err
		}
		if err != nil && !errors.Is(err, io.EOF) {
			return nil, err
		}
		r.line++
		if s = strings.TrimRight(s, "\r\n"); s != "" {
			return strings.Split(s, " "), nil
		}
	}
}

func (r *Reader) fail(format string, args ...any) error {
	return fmt.Errorf("line %d: %w", r.line, fmt.Errorf(format, args...))
}

// Next reads one batch. It returns io.EOF at the end of the input, and an error that names the line
// where the input makes no sense.
func (r *Reader) Next() (Batch, error) {
	words, err := r.next()
	if errors.Is(err, io.EOF) {
		return Batch{}, io.EOF
	}
	if err != nil {
		return Batch{}, r.fail("read: %w", err)
	}
	if words[0] != "MARK" {
		return Batch{}, r.fail("expected MARK, found %q", words[0])
	}
	f := fieldsOf(words[1:])
	b := Batch{Clock: f.duration("clock", true), Serial: f.text("serial", true)}
	if b.Serial != "" {
		f.integer("serial", true)
	}
	if f.err != nil {
		return Batch{}, r.fail("MARK: %w", f.err)
	}
	at := map[int64]int{} // the part that an instance's next event joins
	for {
		words, err := r.next()
		if errors.Is(err, io.EOF) {
			return Batch{}, r.fail("input ends inside a batch")
		}
		if err != nil {
			return Batch{}, r.fail("read: %w", err)
		}
		switch words[0] {
		case "FLUSH":
			return b, nil
		case "MARK":
			return Batch{}, r.fail("MARK inside a batch")
		case "CENSUS":
			if err := r.census(words[1:]); err != nil {
				return Batch{}, err
			}
			continue
		}
		p := Part{}
		f := fieldsOf(words[1:])
		var ev dispatch.Event
		switch words[0] {
		case "NEW_INSTANCE":
			p.Router = f.integer("router", true)
			p.Start = &Start{Seed: uint64(f.integer("init_seed", true)), Settings: settings(f)}
		case "EXIT":
			p.Router, p.Stop = f.integer("router", true), true
		case "PEER_DATA":
			continue
		default:
			known := false
			if ev, known = event(words[0], f); !known {
				continue
			}
			p.Router = f.integer("router", true)
			if ro, ok := ev.(dispatch.EndpointUpdate); ok && !ro.SubscriptionLost && f.err == nil {
				list, known := r.lists[f.integer("set_id", true)]
				if !known && f.err == nil {
					return Batch{}, r.fail("ROSTER_CHANGE: no list of that set_id")
				}
				ro.Endpoints = list
				ev = ro
			}
		}
		if f.err != nil {
			return Batch{}, r.fail("%s: %w", words[0], f.err)
		}
		if p.Start != nil || p.Stop {
			at[p.Router] = len(b.Parts)
			b.Parts = append(b.Parts, p)
			continue
		}
		i, ok := at[p.Router]
		if !ok {
			i = len(b.Parts)
			at[p.Router] = i
			b.Parts = append(b.Parts, p)
		}
		b.Parts[i].Events = append(b.Parts[i].Events, ev)
	}
}

// census reads a numbered list of workers.
func (r *Reader) census(words []string) error {
	f := fieldsOf(words)
	id, n := f.integer("set_id", true), f.integer("elements", true)
	if f.err == nil && n < 0 {
		f.err = fmt.Errorf("elements=%d is negative", n)
	}
	if f.err != nil {
		return r.fail("CENSUS: %w", f.err)
	}
	list := []dispatch.Endpoint{}
	for ; n > 0; n-- {
		words, err := r.next()
		if err != nil {
			return r.fail("input ends inside a CENSUS")
		}
		if words[0] != "M" {
			return r.fail("expected M, found %q", words[0])
		}
		f := fieldsOf(words[1:])
		m := dispatch.Endpoint{
			ID: f.text("server", true), Zone: f.text("az", false), Kind: f.text("family_type", false),
			Cell: int(f.integer("bay", false)), Weight: f.number("share", false),
			StartedAt: f.duration("born", false),
		}
		m.State = word(f, "health", map[string]dispatch.EndpointState{
			"on": dispatch.EndpointActive, "fading": dispatch.EndpointDraining, "off": dispatch.EndpointRemoved})
		if f.err != nil {
			return r.fail("M: %w", f.err)
		}
		list = append(list, m)
	}
	r.lists[id] = list
	return nil
}

var results = map[string]dispatch.Result{
	"Ok": dispatch.OK, "Failed": dispatch.Errored, "QueueFull": dispatch.Rejected, "TimedOut": dispatch.TimedOut,
	"ConnectError": dispatch.ConnectFailed, "ResetByPeer": dispatch.ConnectionReset, "Canceled": dispatch.Cancelled,
	"Ignored": dispatch.NotSent, "Miss": dispatch.NotResident,
}

// event reads one event line; known is false for one that this package has no word for.
func event(name string, f *fields) (ev dispatch.Event, known bool) {
	id := func() dispatch.RequestID { return dispatch.RequestID(f.integer("rid", true)) }
	switch name {
	case "ACCEPT":
		q := dispatch.Request{
			ID: id(), Function: f.text("callee", true), Class: f.text("category", true),
			Tenant: f.text("account", false), MemoryMB: f.number("size_mb", false),
			ConcurrencyPerInstance: int(f.number("at_once", false)),
			LoadTime:               time.Duration(f.number("bringup_ms", false) * float64(time.Millisecond)),
			RemainingDeadline:      f.duration("time_left", true),
		}
		if work := f.duration("expected", false); f.integer("attrs", false)&1 != 0 {
			q.ExpectedWork = work
		}
		return q, true
	case "CLOSED_ATTEMPT":
		o := dispatch.AttemptEnded{
			ID: id(), Attempt: int(f.integer("shot", false)), Worker: f.text("server", true),
			Result: word(f, "ending", results), Duration: f.duration("time_taken", false),
			Final: f.integer("terminal", false) != 0, LoadReport: load(f.text("usage", false)),
		}
		note := f.integer("note", false)
		o.CacheStatus, o.FunctionInFlight = dispatch.CacheStatus(note&7), int(note>>3)
		return o, true
	case "DROPPED":
		return dispatch.RequestCancelled{ID: id()}, true
	case "OPENED":
		return dispatch.ResponseStarted{ID: id(), Attempt: int(f.integer("shot", false)),
			Worker: f.text("server", false), Duration: f.duration("time_taken", false)}, true
	case "LOAD_RESULT":
		return dispatch.FunctionLoaded{Worker: f.text("server", true), Function: f.text("callee", true),
			Result: word(f, "ending", results), Duration: f.duration("time_taken", false),
			Copies: int(f.integer("count", false))}, true
	case "SAMPLED":
		return dispatch.HealthChecked{Worker: f.text("server", true), Result: word(f, "ending", results),
			Duration: f.duration("time_taken", false), LoadReport: load(f.text("usage", false))}, true
	case "ROSTER_CHANGE":
		scope := f.text("scope", true)
		return dispatch.EndpointUpdate{Snapshot: scope == "whole" || scope == "stale_copy", SubscriptionLost: scope == "broken"}, true
	case "DUE":
		return dispatch.TimerFired{}, true
	}
	return nil, false
}

// load reads a load report, name:value pairs set apart by commas.
func load(s string) dispatch.LoadReport {
	l := dispatch.NoLoadReport
	for s != "" {
		var pair string
		pair, s, _ = strings.Cut(s, ",")
		name, value, _ := strings.Cut(pair, ":")
		v, err := strconv.ParseFloat(value, 64)
		if err != nil {
			continue
		}
		switch name {
		case "active":
			l.InFlight = v
		case "waiting":
			l.Queued = v
		case "x1":
			l.Loading = v
		}
	}
	return l
}

// fields are the name=value pairs of a line. The first one that can't be read stays in err.
type fields struct {
	pairs map[string]string
	err   error
}

func fieldsOf(words []string) *fields {
	f := &fields{pairs: make(map[string]string, len(words))}
	for _, w := range words {
		name, value, ok := strings.Cut(w, "=")
		if !ok {
			if w != "" && f.err == nil {
				f.err = fmt.Errorf("%q is not name=value", w)
			}
			continue
		}
		f.pairs[strings.TrimPrefix(name, "profile_data.")] = value
	}
	return f
}

func (f *fields) set(err error) {
	if f.err == nil {
		f.err = err
	}
}

func (f *fields) text(name string, need bool) string {
	v, ok := f.pairs[name]
	if need && (!ok || v == "") {
		f.set(fmt.Errorf("%s is missing", name))
	}
	return v
}

func (f *fields) integer(name string, need bool) int64 {
	s := f.text(name, need)
	if s == "" {
		return 0
	}
	if s == "true" || s == "false" {
		s = map[string]string{"true": "1", "false": "0"}[s]
	}
	v, err := strconv.ParseInt(s, 10, 64)
	if err != nil {
		f.set(fmt.Errorf("%s=%q is not an integer", name, s))
	}
	return v
}

func (f *fields) number(name string, need bool) float64 {
	s := f.text(name, need)
	if s == "" {
		return 0
	}
	v, err := strconv.ParseFloat(s, 64)
	if err != nil || math.IsNaN(v) || math.IsInf(v, 0) {
		f.set(fmt.Errorf("%s=%q is not a number", name, s))
		return 0
	}
	return v
}

func (f *fields) duration(name string, need bool) time.Duration {
	us := f.integer(name, need)
	if us > math.MaxInt64/1000 || us < math.MinInt64/1000 {
		f.set(fmt.Errorf("%s=%d is out of range", name, us))
		return 0
	}
	return time.Duration(us) * time.Microsecond
}

func (f *fields) bool(name string) bool { return f.integer(name, false) != 0 }

// word looks up a value that must be one of the words.
func word[T any](f *fields, name string, words map[string]T) T {
	s := f.text(name, true)
	v, ok := words[s]
	if !ok && s != "" {
		f.set(fmt.Errorf("%s=%q is not a known word", name, s))
	}
	return v
}

// list splits a list of plain values.
func list(s string) []string {
	if s == "" {
		return nil
	}
	return strings.Split(s, ",")
}
