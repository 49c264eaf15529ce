package router

import (
	"time"

	"github.com/topazfront/topazfront/dispatch"
	"github.com/topazfront/topazfront/internal/timingwheel"
)

// Call is one call as a server accepted it. The router keeps it until the call and its attempts have ended; nobody
// changes it meanwhile.
type Call struct {
	ClientID               string // the client's own id of the call, for the log
	Function               string // the key by which the dispatcher knows the function
	Class                  string
	Tenant                 string
	MemoryMB               float64
	ConcurrencyPerInstance int
	LoadTime               time.Duration // 0: unknown
	ExpectedWork           time.Duration // 0: unknown
	RemainingDeadline      time.Duration // until the client gives up
	MeasuredAt             time.Time     // when RemainingDeadline was; zero: when the call is submitted
	Streamed               bool
	Request                any // the request as the server received it, for the upstream of the same protocol
	Client                 Client
	// ClientCancelled reports whether the client has left. It may be called at any time from any goroutine. nil: only
	// the cancel function that Submit returned reports it.
	ClientCancelled func() bool
}

// ClientWaiting reports whether the client still waits for a response. It is false once the client has left, also while the
// cancellation is still on its way to the router's loop.
func (c *Call) ClientWaiting() bool { return c.ClientCancelled == nil || !c.ClientCancelled() }

// Client is the server's side of a call. The router's loop calls its methods, except that the goroutine which reads
// the answering attempt's response calls WriteBody. None of them blocks. Finish is called exactly once, last, unless
// the client has left.
type Client interface {
	// Start begins the response with the worker's head.
	Start(head any)
	// WriteBody forwards bytes of the worker's response. It returns how many of them were written. The others are queued,
	// and drain is called with the number of bytes as they are written. The caller may reuse p when WriteBody returns.
	WriteBody(p []byte, drain func(n int)) int
	// Finish gives the final answer.
	Finish(answer FinalAnswer)
}

// FinalKind is the kind of a final answer.
type FinalKind int

// The kinds of final answers.
const (
	FinalAnswered FinalKind = iota // by the attempt whose response is the client's: see Attempt for how it ended
	FinalRejected                  // by the dispatcher: a retry does no harm
	FinalFailed                    // by the dispatcher: the call may have run
)

// FinalAnswer is the final answer to a call.
type FinalAnswer struct {
	Kind             FinalKind
	RetryAfter       time.Duration  // of a rejection: how long the client should wait before it retries
	DeadlineExceeded bool           // of a failure: the client's deadline has passed
	Attempt          *AttemptResult // FinalAnswered: of the answering attempt; FinalFailed: of the last one, or nil
}

// callState is the state of a call.
type callState int

const (
	callWaiting   callState = iota // no response has started
	callStreaming                  // an attempt's response is being forwarded to the client
	callDone                       // the final answer was given, or the client has left
)

// activeCall is the state machine of a call that the router keeps.
//
// callWaiting ends by a response that ended with OK (of a unary call, or of a stream without messages), by the
// dispatcher's rejection or failure, or by the client's cancellation. The first ResponseStarted of a streamed call
// makes it callStreaming, which ends with that attempt, by the dispatcher's failure, or by the client's
// cancellation. Events of a call that is done only change the accounting of its attempts.
type activeCall struct {
	id               dispatch.RequestID
	submitted        *Call
	state            callState
	deadline         time.Duration // on the router's clock
	attempts         []*attempt    // by number
	attemptsInFlight int
	answering        *attempt       // the one whose response is the client's
	lastUnanswered   *AttemptResult // how the last attempt ended that did not answer the client
}

// attempt is one attempt of a call.
type attempt struct {
	call      *activeCall
	number    int
	worker    string
	startedAt time.Duration
	handle    UpstreamAttempt // nil: the attempt was never passed to the upstream
	timeout   timingwheel.Timer
	ended     bool
	result    dispatch.Result // of an ended one
	timedOut  bool            // it was cancelled by its time-out
}

// awaitsResponse reports whether a further attempt may be of use: no response has started, and the client still waits.
func (c *activeCall) awaitsResponse() bool {
	return c.state == callWaiting && c.submitted.ClientWaiting()
}

// responseStarted records that the streamed response of an attempt has started, and forwards it to the client. It does
// nothing if the call is done or another attempt's response is being forwarded. It reports whether it forwards.
func (c *activeCall) responseStarted(a *attempt, head any) bool {
	if c.state != callWaiting || a.ended {
		return false
	}
	c.state = callStreaming
	c.answering = a
	c.submitted.Client.Start(head)
	a.handle.ForwardTo(c.submitted.Client)
	return true
}

// attemptEnded records the end of an attempt. It answers the client with the first OK, and with any end of the attempt whose
// response is being forwarded. It reports whether the call is done.
func (c *activeCall) attemptEnded(a *attempt, result AttemptResult) (done bool) {
	a.ended = true
	c.attemptsInFlight--
	client := c.submitted.Client
	switch {
	case c.state == callStreaming && c.answering == a:
		if len(result.Body) > 0 { // the response had ended before ForwardTo was called
			client.WriteBody(result.Body, nil)
		}
		c.finish(FinalAnswer{Attempt: &result})
	case c.state == callWaiting && result.Result == dispatch.OK:
		c.answering = a
		client.Start(result.Head)
		if len(result.Body) > 0 {
			client.WriteBody(result.Body, nil)
		}
		c.finish(FinalAnswer{Attempt: &result})
	default:
		c.lastUnanswered = &result
	}
	return c.state == callDone
}

// reject answers with the dispatcher's rejection: nothing ran, or a repeat does no harm, so the client may retry, but
// not before retryAfter has passed. It reports whether this is the final answer.
func (c *activeCall) reject(retryAfter time.Duration) bool {
	if c.state != callWaiting {
		return false
	}
	c.finish(FinalAnswer{Kind: FinalRejected, RetryAfter: retryAfter})
	return true
}

// fail answers with the dispatcher's failure: the call may have run. It reports whether this is the final answer.
func (c *activeCall) fail(now time.Duration) bool {
	if c.state == callDone {
		return false
	}
	c.finish(FinalAnswer{Kind: FinalFailed, DeadlineExceeded: now >= c.deadline, Attempt: c.lastUnanswered})
	return true
}

func (c *activeCall) finish(answer FinalAnswer) {
	c.state = callDone
	c.submitted.Client.Finish(answer)
}

// cancelAnswering stops the attempt whose response is the client's, if it is still in flight: nobody is left to take
// the rest of the response.
func (c *activeCall) cancelAnswering() {
	if c.answering != nil && !c.answering.ended {
		c.answering.handle.Cancel()
	}
}
