package router

import (
	"testing"
	"time"

	"github.com/topazfront/topazfront/brain"
	"github.com/topazfront/topazfront/internal/oip"
	"github.com/topazfront/topazfront/internal/transport/grpc"
	"github.com/topazfront/topazfront/internal/transport/hpack"
)

// sink is a client that notes what it is handed.
type sink struct {
	started, finished int
	bytes             string
	status            grpc.Status
	trailers          []hpack.Field
}

func (s *sink) Start([]hpack.Field) { s.started++ }
func (s *sink) Message(p []byte, _ func(int)) int {
	s.bytes += string(p)
	return len(p)
}
func (s *sink) Finish(st grpc.Status, trailers []hpack.Field) {
	s.finished++
	s.status, s.trailers = st, trailers
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
	served = Ended{Result: brain.OK, Answer: []byte("answer"), Report: oip.NoReport}
	broken = Ended{Result: brain.Reset, Status: grpc.Status{Code: grpc.Unknown}, Report: oip.NoReport}
	errs   = Ended{Result: brain.Errored, Status: grpc.Status{Code: grpc.Internal, Message: "boom"}, Report: oip.NoReport}
)

// TestOneFinalAnswer runs through orders in which a call's ends may come together: one answer each time.
func TestOneFinalAnswer(t *testing.T) {
	for name, c := range map[string]struct {
		run  func(e *entry, a, b *try)
		code grpc.Code
		text string
	}{
		"served":                     {func(e *entry, a, b *try) { e.ended(a, served) }, grpc.OK, "answer"},
		"served twice":               {func(e *entry, a, b *try) { e.ended(a, served); e.ended(b, served) }, grpc.OK, "answer"},
		"served, then refused":       {func(e *entry, a, b *try) { e.ended(a, served); e.refuse(0) }, grpc.OK, "answer"},
		"refused, then served":       {func(e *entry, a, b *try) { e.refuse(0); e.ended(a, served) }, grpc.Unavailable, ""},
		"failed, then served":        {func(e *entry, a, b *try) { e.fail(0); e.ended(a, served) }, grpc.Unknown, ""},
		"failed at the deadline":     {func(e *entry, a, b *try) { e.fail(time.Second); e.refuse(0) }, grpc.DeadlineExceeded, ""},
		"an error, then failed":      {func(e *entry, a, b *try) { e.ended(a, errs); e.fail(0) }, grpc.Internal, ""},
		"an error, then served":      {func(e *entry, a, b *try) { e.ended(a, errs); e.ended(b, served) }, grpc.OK, "answer"},
		"begun, then ended":          {func(e *entry, a, b *try) { e.began(a, nil); e.ended(a, Ended{}) }, grpc.OK, ""},
		"begun, refused, then ended": {func(e *entry, a, b *try) { e.began(a, nil); e.refuse(0); e.ended(a, Ended{}) }, grpc.OK, ""},
		"begun, the other served":    {func(e *entry, a, b *try) { e.began(a, nil); e.ended(b, served); e.ended(a, Ended{}) }, grpc.OK, ""},
		"begun, then broken":         {func(e *entry, a, b *try) { e.began(a, nil); e.ended(a, broken) }, grpc.Unknown, ""},
		"begun twice":                {func(e *entry, a, b *try) { e.began(a, nil); e.began(b, nil); e.ended(a, Ended{}) }, grpc.OK, ""},
		"begun, past the deadline":   {func(e *entry, a, b *try) { e.began(a, nil); e.fail(time.Second); e.ended(a, Ended{}) }, grpc.DeadlineExceeded, ""},
		// All of a short stream may have come before the loop heard of its beginning: nothing of it is lost.
		"ended before it was granted": {func(e *entry, a, b *try) { e.began(a, nil); e.ended(a, served) }, grpc.OK, "answer"},
	} {
		e, s, a, b := newEntry()
		c.run(e, a, b)
		if s.finished != 1 || s.status.Code != c.code || s.bytes != c.text || s.started > 1 {
			t.Errorf("%s: %d final answers, %v, %q, begun %d times", name, s.finished, s.status, s.bytes, s.started)
		}
	}
}

func TestAdviceToClients(t *testing.T) {
	e, s, _, _ := newEntry()
	e.refuse(250 * time.Millisecond)
	if v, _ := grpc.Get(s.trailers, "grpc-retry-pushback-ms"); v != "250" {
		t.Errorf("refused with pushback %q", v)
	}
	e, s, _, _ = newEntry()
	e.fail(0)
	if v, _ := grpc.Get(s.trailers, "grpc-retry-pushback-ms"); v != "-1" {
		t.Errorf("failed with pushback %q, which invites a retry", v)
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
