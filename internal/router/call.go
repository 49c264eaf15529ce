package router

import (
	"time"

	"github.com/topazfront/topazfront/dispatch"
	"github.com/topazfront/topazfront/internal/timingwheel"
)

// Call is one call as a front took it. The router keeps it until the call has ended; nobody changes it meanwhile.
type Call struct {
	Function               string // the key by which the module knows what is called
	Class                  string
	Tenant                 string
	MemoryMB               float64
	ConcurrencyPerInstance int
	LoadTime               time.Duration // 0: untold
	ExpectedWork           time.Duration // 0: untold
	RemainingDeadline      time.Duration // until the client gives up
	Streamed               bool
	Request                any // what the front took, for the upstream of the same protocol
	Client                 Client
	ClientLeft             func() bool // tells whether the client has left, at any moment and from any goroutine; nil: only drop tells
}

// Wanted tells whether an attempt may still be of use to the client: false once it has left, though the router may
// not have got to hear of it.
func (c *Call) ClientWaiting() bool { return c.ClientLeft == nil || !c.ClientLeft() }

// Client is the front's end of a call. Its methods come from the router's loop, but for Message, which
// comes from the one goroutine that reads the answering attempt; none blocks. Finish comes once, last.
type Client interface {
	// Start begins the response with the worker's head.
	Start(head any)
	// Message passes bytes of the worker's answer on. It returns how many are on their way; drain is told of
	// the rest as they leave. The bytes are the caller's again when it returns.
	Message(p []byte, drain func(n int)) int
	// Finish gives the final answer.
	Finish(f FinalAnswer)
}

// Kind is the kind of a final answer.
type FinalKind int

// The kinds.
const (
	FinalAnswered FinalKind = iota // by the attempt whose response is the client's: Ended tells how that came to its end
	FinalRejected                  // by the module: trying again does no harm
	FinalFailed                    // by the module: the call may have run
)

// Final is a final answer.
type FinalAnswer struct {
	Kind             FinalKind
	RetryAfter       time.Duration  // of a refusal: how long the client should stay away
	DeadlineExceeded bool           // of a failure: the client's time is over
	Attempt          *AttemptResult // Answered: of the answering attempt; Failed: of the last one, or nil
}

// Report is what an answer tells of the worker.
type WorkerReport struct {
	LoadReport       dispatch.LoadReport
	CacheStatus      dispatch.CacheStatus
	FunctionInFlight int // requests of the function that the worker held; -1: untold
}

// NoReport tells nothing.
var NoWorkerReport = WorkerReport{LoadReport: dispatch.NoLoadReport, FunctionInFlight: -1}

// Ended is how an attempt ended, by the evidence on the wire. Head and Tail are of the response, in the words of
// the protocol, for the front that speaks it.
type AttemptResult struct {
	Result         dispatch.Result
	Body           []byte // what no client has been handed yet; the router's to keep
	Head           any
	Trailer        any
	Report         WorkerReport
	WorkerDraining bool // the worker said that it takes nothing new
}

// Attempt is an upstream's handle of one attempt.
type UpstreamAttempt interface {
	// Grant hands the response to a client: what is held first, then all that comes. It follows a Began and
	// comes once.
	ForwardTo(c Client)
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
	id       dispatch.RequestID
	call     *Call
	state    state
	deadline time.Duration
	attempts []*try
	out      int
	answer   *try           // whose response is the client's
	last     *AttemptResult // how the last attempt ended that brought no answer
}

// try is one attempt of a call.
type try struct {
	e      *entry
	n      int
	worker string
	sent   time.Duration
	handle UpstreamAttempt
	timer  timingwheel.Timer // its time-out
	ended  bool
	late   bool // cancelled by its time-out
}

// began takes the start of a streamed response: from now on it is the client's, unless the call has ended or
// another attempt was first.
func (e *entry) began(t *try, head any) bool {
	if e.state != waiting || t.ended {
		return false
	}
	e.state, e.answer = streaming, t
	e.call.Client.Start(head)
	t.handle.ForwardTo(e.call.Client)
	return true
}

// ended takes the end of an attempt and answers the client where that end is an answer: the first OK, or any
// end of the attempt whose response is the client's. It tells whether the call has its final answer.
func (e *entry) ended(t *try, how AttemptResult) (final bool) {
	t.ended = true
	e.out--
	switch {
	case e.state == streaming && e.answer == t:
		if len(how.Body) > 0 { // it had ended before it was granted to the client
			e.call.Client.Message(how.Body, nil)
		}
		e.finish(FinalAnswer{Attempt: &how})
	case e.state == waiting && how.Result == dispatch.OK:
		e.answer = t
		e.call.Client.Start(how.Head)
		if len(how.Body) > 0 {
			e.call.Client.Message(how.Body, nil)
		}
		e.finish(FinalAnswer{Attempt: &how})
	default:
		e.last = &how
	}
	return e.state == done
}

func (e *entry) finish(f FinalAnswer) {
	e.state = done
	e.call.Client.Finish(f)
}

// refuse gives the module's refusal: nothing ran, or a repeat does no harm, so the client may come again,
// not before after.
func (e *entry) refuse(after time.Duration) bool {
	if e.state != waiting {
		return false
	}
	e.finish(FinalAnswer{Kind: FinalRejected, RetryAfter: after})
	return true
}

// fail gives the module's failure: the call may have run.
func (e *entry) fail(now time.Duration) bool {
	if e.state == done {
		return false
	}
	e.finish(FinalAnswer{Kind: FinalFailed, DeadlineExceeded: now >= e.deadline, Attempt: e.last})
	return true
}
