package router

import (
	"time"

	"github.com/topazfront/topazfront/brain"
	"github.com/topazfront/topazfront/internal/oip"
	"github.com/topazfront/topazfront/internal/transport/grpc"
	"github.com/topazfront/topazfront/internal/transport/hpack"
	"github.com/topazfront/topazfront/internal/wheel"
)

// Call is one inference call as a front took it. The router keeps it until the call has ended; nobody
// changes it meanwhile.
type Call struct {
	Routed   oip.Routed
	Class    string // of the settings, or what the request says
	Tenant   string
	MemoryMB float64
	Lanes    int
	LoadTime time.Duration // 0: untold
	Work     time.Duration // 0: untold
	Left     time.Duration // until the client gives up
	Streamed bool
	Message  []byte        // the request message with its gRPC prefix, as it came
	Encoding string        // its grpc-encoding
	Accept   string        // encodings that the client takes
	Metadata []hpack.Field // the client's own, passed along
	Client   Client
}

// Client is the front's end of a call. Its methods come from the router's loop, but for Message, which
// comes from the one goroutine that reads the answering attempt; none blocks. Finish comes once, last.
type Client interface {
	// Start begins the response with the worker's metadata.
	Start(metadata []hpack.Field)
	// Message passes bytes of the worker's framed messages on. It returns how many are on their way; drain
	// is told of the rest as they leave. The bytes are the caller's again when it returns.
	Message(p []byte, drain func(n int)) int
	// Finish gives the final answer.
	Finish(st grpc.Status, trailers []hpack.Field)
}

// Ended is how an attempt ended, by the evidence on the wire.
type Ended struct {
	Result   brain.Result
	Status   grpc.Status   // what a client is told if this is its answer
	Answer   []byte        // the framed messages that no client has been handed yet; the router's to keep
	Metadata []hpack.Field // of the response
	Trailers []hpack.Field // the worker's own
	Report   oip.Report
	Drains   bool // the worker said that it takes nothing new
}

// Attempt is an upstream's handle of one attempt.
type Attempt interface {
	// Grant hands the response to a client: what is held first, then all that comes. It follows a Began and
	// comes once.
	Grant(c Client)
	// Cancel stops waiting. Ended still comes, once, as for any attempt.
	Cancel()
}

// state is where a call stands.
type state int

const (
	waiting   state = iota // no answer has begun
	streaming              // an attempt's response is the client's
	done                   // the final answer was given
)

// entry is a call in the book: a small state machine. waiting ends by an OK (unary, or a stream without
// messages), by a Refuse or a Fail of the module, or by Dropped; the first Began of a streamed call makes it
// streaming, which ends by that attempt's end, the module's Fail, or Dropped. What comes for a call that is
// done changes nothing but the book of its attempts.
type entry struct {
	id       brain.RequestID
	call     *Call
	state    state
	deadline time.Duration
	attempts []*try
	out      int
	answer   *try // whose response is the client's
	last     Ended
	failed   bool // last holds how an attempt ended
}

// try is one attempt of a call.
type try struct {
	e      *entry
	n      int
	worker string
	sent   time.Duration
	handle Attempt
	timer  wheel.Timer // its time-out
	ended  bool
	late   bool // cancelled by its time-out
}

// began takes the start of a streamed response: from now on it is the client's, unless the call has ended or
// another attempt was first.
func (e *entry) began(t *try, metadata []hpack.Field) bool {
	if e.state != waiting || t.ended {
		return false
	}
	e.state, e.answer = streaming, t
	e.call.Client.Start(metadata)
	t.handle.Grant(e.call.Client)
	return true
}

// ended takes the end of an attempt and answers the client where that end is an answer: the first OK, or any
// end of the attempt whose response is the client's. It tells whether the call has its final answer.
func (e *entry) ended(t *try, how Ended) (final bool) {
	t.ended = true
	e.out--
	switch {
	case e.state == streaming && e.answer == t:
		if len(how.Answer) > 0 { // it had ended before it was granted to the client
			e.call.Client.Message(how.Answer, nil)
		}
		e.finish(how.Status, how.Trailers)
	case e.state == waiting && how.Result == brain.OK:
		e.answer = t
		e.call.Client.Start(how.Metadata)
		if len(how.Answer) > 0 {
			e.call.Client.Message(how.Answer, nil)
		}
		e.finish(how.Status, how.Trailers)
	case how.Status.Code != grpc.OK:
		e.last, e.failed = how, true
	}
	return e.state == done
}

func (e *entry) finish(st grpc.Status, trailers []hpack.Field) {
	e.state = done
	e.call.Client.Finish(st, trailers)
}

// refuse gives the module's refusal: nothing ran, or a repeat does no harm, so the client may come again,
// not before after (gRFC A6, server pushback).
func (e *entry) refuse(after time.Duration) bool {
	if e.state != waiting {
		return false
	}
	e.finish(grpc.Status{Code: grpc.Unavailable, Message: "refused; trying again does no harm"},
		[]hpack.Field{{Name: "grpc-retry-pushback-ms", Value: millis(after)}})
	return true
}

// fail gives the module's failure: the call may have run, so the client is told not to repeat it by itself.
// What a worker last said of the call is passed on where it says more.
func (e *entry) fail(now time.Duration) bool {
	if e.state == done {
		return false
	}
	st := grpc.Status{Code: grpc.Unknown, Message: "no answer; the call may have run"}
	switch {
	case now >= e.deadline:
		st = grpc.Status{Code: grpc.DeadlineExceeded, Message: "deadline exceeded; the call may have run"}
	case e.failed && e.last.Result == brain.Errored && e.last.Status.Code != grpc.Unavailable:
		st = e.last.Status
	}
	e.finish(st, []hpack.Field{{Name: "grpc-retry-pushback-ms", Value: "-1"}})
	return true
}
