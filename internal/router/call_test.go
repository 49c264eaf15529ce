package router

import (
	"reflect"
	"testing"
	"time"

	"github.com/topazfront/topazfront/dispatch"
)

// sink is a client that notes what it is handed.
type sink struct {
	started, finished int
	bytes             string
	final             Final
}

func (s *sink) Start(any) { s.started++ }
func (s *sink) Message(p []byte, _ func(int)) int {
	s.bytes += string(p)
	return len(p)
}
func (s *sink) Finish(f Final) {
	s.finished++
	s.final = f
}

// handle is an attempt that notes what it is told.
type handle struct{ granted, cancelled int }

func (h *handle) Grant(Client) { h.granted++ }
func (h *handle) Cancel()      { h.cancelled++ }

func newEntry() (*entry, *sink, *try, *try) {
	s := &sink{}
	e := &entry{id: 1, call: &Call{Client: s}, deadline: time.Second}
	a, b := &try{e: e, handle: &handle{}}, &try{e: e, n: 1, handle: &handle{}}
	e.attempts, e.out = []*try{a, b}, 2
	return e, s, a, b
}

var (
	served = Ended{Result: dispatch.OK, Answer: []byte("answer"), Report: NoReport}
	broken = Ended{Result: dispatch.Reset, Report: NoReport}
	errs   = Ended{Result: dispatch.Errored, Tail: "boom", Report: NoReport}
)

// TestOneFinalAnswer runs through orders in which a call's ends may come together: one answer each time.
func TestOneFinalAnswer(t *testing.T) {
	for name, c := range map[string]struct {
		run  func(e *entry, a, b *try)
		want Final
		text string
	}{
		"served":                     {func(e *entry, a, b *try) { e.ended(a, served) }, Final{Ended: &served}, "answer"},
		"served twice":               {func(e *entry, a, b *try) { e.ended(a, served); e.ended(b, served) }, Final{Ended: &served}, "answer"},
		"served, then refused":       {func(e *entry, a, b *try) { e.ended(a, served); e.refuse(0) }, Final{Ended: &served}, "answer"},
		"refused, then served":       {func(e *entry, a, b *try) { e.refuse(0); e.ended(a, served) }, Final{Kind: Refused}, ""},
		"failed, then served":        {func(e *entry, a, b *try) { e.fail(0); e.ended(a, served) }, Final{Kind: Failed}, ""},
		"failed at the deadline":     {func(e *entry, a, b *try) { e.fail(time.Second); e.refuse(0) }, Final{Kind: Failed, Late: true}, ""},
		"an error, then failed":      {func(e *entry, a, b *try) { e.ended(a, errs); e.fail(0) }, Final{Kind: Failed, Ended: &errs}, ""},
		"an error, then served":      {func(e *entry, a, b *try) { e.ended(a, errs); e.ended(b, served) }, Final{Ended: &served}, "answer"},
		"begun, then ended":          {func(e *entry, a, b *try) { e.began(a, nil); e.ended(a, Ended{}) }, Final{Ended: &Ended{}}, ""},
		"begun, refused, then ended": {func(e *entry, a, b *try) { e.began(a, nil); e.refuse(0); e.ended(a, Ended{}) }, Final{Ended: &Ended{}}, ""},
		"begun, the other served":    {func(e *entry, a, b *try) { e.began(a, nil); e.ended(b, served); e.ended(a, Ended{}) }, Final{Ended: &Ended{}}, ""},
		"begun, then broken":         {func(e *entry, a, b *try) { e.began(a, nil); e.ended(a, broken) }, Final{Ended: &broken}, ""},
		"begun twice":                {func(e *entry, a, b *try) { e.began(a, nil); e.began(b, nil); e.ended(a, Ended{}) }, Final{Ended: &Ended{}}, ""},
		"begun, past the deadline":   {func(e *entry, a, b *try) { e.began(a, nil); e.fail(time.Second); e.ended(a, Ended{}) }, Final{Kind: Failed, Late: true}, ""},
		// All of a short stream may have come before the loop heard of its beginning: nothing of it is lost.
		"ended before it was granted": {func(e *entry, a, b *try) { e.began(a, nil); e.ended(a, served) }, Final{Ended: &served}, "answer"},
	} {
		e, s, a, b := newEntry()
		c.run(e, a, b)
		if s.finished != 1 || !reflect.DeepEqual(s.final, c.want) || s.bytes != c.text || s.started > 1 {
			t.Errorf("%s: %d final answers, %+v, %q, begun %d times", name, s.finished, s.final, s.bytes, s.started)
		}
	}
}

func TestAdviceToClients(t *testing.T) {
	e, s, _, _ := newEntry()
	e.refuse(250 * time.Millisecond)
	if s.final.After != 250*time.Millisecond {
		t.Errorf("refused with pushback %v", s.final.After)
	}
}

// TestASecondBeginningIsNotGranted: a client never gets two responses mixed.
func TestASecondBeginningIsNotGranted(t *testing.T) {
	e, _, a, b := newEntry()
	e.began(a, nil)
	if e.began(b, nil) {
		t.Error("granted")
	}
	if h, ok := b.handle.(*handle); !ok || h.granted > 0 {
		t.Error("the second attempt got the client")
	}
}
