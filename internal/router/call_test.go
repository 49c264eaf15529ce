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
	final             FinalAnswer
}

func (s *sink) Start(any) { s.started++ }
func (s *sink) Message(p []byte, _ func(int)) int {
	s.bytes += string(p)
	return len(p)
}
func (s *sink) Finish(f FinalAnswer) {
	s.finished++
	s.final = f
}

// handle is an attempt that notes what it is told.
type handle struct{ granted, cancelled int }

func (h *handle) ForwardTo(Client) { h.granted++ }
func (h *handle) Cancel()          { h.cancelled++ }

func newEntry() (*entry, *sink, *try, *try) {
	s := &sink{}
	e := &entry{id: 1, call: &Call{Client: s}, deadline: time.Second}
	a, b := &try{e: e, handle: &handle{}}, &try{e: e, n: 1, handle: &handle{}}
	e.attempts, e.out = []*try{a, b}, 2
	return e, s, a, b
}

var (
	served = AttemptResult{Result: dispatch.OK, Body: []byte("answer"), Report: NoWorkerReport}
	broken = AttemptResult{Result: dispatch.ConnectionReset, Report: NoWorkerReport}
	errs   = AttemptResult{Result: dispatch.Errored, Trailer: "boom", Report: NoWorkerReport}
)

// TestOneFinalAnswer runs through orders in which a call's ends may come together: one answer each time.
func TestOneFinalAnswer(t *testing.T) {
	for name, c := range map[string]struct {
		run  func(e *entry, a, b *try)
		want FinalAnswer
		text string
	}{
		"served":                     {func(e *entry, a, b *try) { e.ended(a, served) }, FinalAnswer{Attempt: &served}, "answer"},
		"served twice":               {func(e *entry, a, b *try) { e.ended(a, served); e.ended(b, served) }, FinalAnswer{Attempt: &served}, "answer"},
		"served, then refused":       {func(e *entry, a, b *try) { e.ended(a, served); e.refuse(0) }, FinalAnswer{Attempt: &served}, "answer"},
		"refused, then served":       {func(e *entry, a, b *try) { e.refuse(0); e.ended(a, served) }, FinalAnswer{Kind: FinalRejected}, ""},
		"failed, then served":        {func(e *entry, a, b *try) { e.fail(0); e.ended(a, served) }, FinalAnswer{Kind: FinalFailed}, ""},
		"failed at the deadline":     {func(e *entry, a, b *try) { e.fail(time.Second); e.refuse(0) }, FinalAnswer{Kind: FinalFailed, DeadlineExceeded: true}, ""},
		"an error, then failed":      {func(e *entry, a, b *try) { e.ended(a, errs); e.fail(0) }, FinalAnswer{Kind: FinalFailed, Attempt: &errs}, ""},
		"an error, then served":      {func(e *entry, a, b *try) { e.ended(a, errs); e.ended(b, served) }, FinalAnswer{Attempt: &served}, "answer"},
		"begun, then ended":          {func(e *entry, a, b *try) { e.began(a, nil); e.ended(a, AttemptResult{}) }, FinalAnswer{Attempt: &AttemptResult{}}, ""},
		"begun, refused, then ended": {func(e *entry, a, b *try) { e.began(a, nil); e.refuse(0); e.ended(a, AttemptResult{}) }, FinalAnswer{Attempt: &AttemptResult{}}, ""},
		"begun, the other served":    {func(e *entry, a, b *try) { e.began(a, nil); e.ended(b, served); e.ended(a, AttemptResult{}) }, FinalAnswer{Attempt: &AttemptResult{}}, ""},
		"begun, then broken":         {func(e *entry, a, b *try) { e.began(a, nil); e.ended(a, broken) }, FinalAnswer{Attempt: &broken}, ""},
		"begun twice":                {func(e *entry, a, b *try) { e.began(a, nil); e.began(b, nil); e.ended(a, AttemptResult{}) }, FinalAnswer{Attempt: &AttemptResult{}}, ""},
		"begun, past the deadline":   {func(e *entry, a, b *try) { e.began(a, nil); e.fail(time.Second); e.ended(a, AttemptResult{}) }, FinalAnswer{Kind: FinalFailed, DeadlineExceeded: true}, ""},
		// All of a short stream may have come before the loop heard of its beginning: nothing of it is lost.
		"ended before it was granted": {func(e *entry, a, b *try) { e.began(a, nil); e.ended(a, served) }, FinalAnswer{Attempt: &served}, "answer"},
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
	if s.final.RetryAfter != 250*time.Millisecond {
		t.Errorf("refused with pushback %v", s.final.RetryAfter)
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
