package router

import (
	"time"

	"github.com/topazfront/topazfront/dispatch"
	"github.com/topazfront/topazfront/internal/timingwheel"
)

// Call is one call as a server received it. It must not be changed until the call and all its attempts have ended.
type Call struct {
	ClientID               string // the client's ID of the call, for log lines
	Function               string // the dispatcher's key of the function
	Class                  string
	Tenant                 string
	MemoryMB               float64
	ConcurrencyPerInstance int
	LoadTime               time.Duration // 0 means unknown
	ExpectedWork           time.Duration // 0 means unknown
	RemainingDeadline      time.Duration // time until the client's deadline, as of MeasuredAt
	MeasuredAt             time.Time     // zero means the time of Submit
	Streamed               bool
	Request                any // the request as the server received it, for the upstream of the same protocol
	Client                 Client
	// ClientCancelled reports whether the client has cancelled the call, for example by disconnecting. It must be safe
	// to call at any time from any goroutine. If it is nil, the cancel function that Submit returns is the only
	// notification.
	ClientCancelled func() bool
}

// ClientWaiting reports whether the client still waits for a response. With ClientCancelled set, it becomes false as
// soon as the client has cancelled, even before the router's loop has processed the cancellation.
func (c *Call) ClientWaiting() bool { return c.ClientCancelled == nil || !c.ClientCancelled() }

// Client passes the response of a call to its client; the servers implement it. The router's loop calls its methods,
// except that the goroutine that reads the forwarded response may call WriteBody. No method may block. Finish is called
// exactly once, as the last method, unless the client has cancelled the call.
type Client interface {
	// Start begins the response with the head of the worker's response.
	Start(head any)
	// WriteBody writes bytes of the worker's response. It returns the number of bytes written; the others are queued,
	// and onWritten is called with the number of queued bytes as they are written. The caller may reuse p after the
	// return.
	WriteBody(p []byte, onWritten func(n int)) int
	// Finish completes the response with the final answer.
	Finish(answer FinalAnswer)
}

// FinalKind is the kind of a final answer.
type FinalKind int

// The kinds of final answers.
const (
	FinalAnswered FinalKind = iota // by the response of an attempt; FinalAnswer.Attempt has its result
	FinalRejected                  // by the dispatcher; the client may safely retry
	FinalFailed                    // by the dispatcher; the call may have run
)

// FinalAnswer is the final answer to a call.
type FinalAnswer struct {
	Kind             FinalKind
	RetryAfter       time.Duration  // for FinalRejected: how long the client should wait before it retries
	DeadlineExceeded bool           // for FinalFailed: the client's deadline has passed
	Attempt          *AttemptResult // for FinalAnswered: the answering attempt; for FinalFailed: the last one, or nil
}

// callState is the state of a call.
type callState int

const (
	callWaiting   callState = iota // no response has started
	callStreaming                  // an attempt's response is being forwarded to the client
	callDone                       // the final answer was given, or the client has cancelled
)

// activeCall is a call and its state machine.
//
// callWaiting changes to callDone when an attempt ends with OK (a unary call, or a stream without messages), the
// dispatcher rejects or fails the call, or the client cancels it. The first ResponseStarted of a streamed call changes
// callWaiting to callStreaming. callStreaming changes to callDone when that attempt ends, the dispatcher fails the
// call, or the client cancels it. After callDone only the attempts are tracked.
type activeCall struct {
	id               dispatch.RequestID
	submitted        *Call
	state            callState
	deadline         time.Duration // on the router's clock
	attempts         []*attempt    // indexed by attempt number
	attemptsInFlight int
	answering        *attempt       // the attempt whose response the client gets
	lastUnusedResult *AttemptResult // result of the last attempt that ended without answering the client
}

// attempt is one attempt of a call.
type attempt struct {
	call      *activeCall
	number    int
	worker    string
	startedAt time.Duration
	handle    UpstreamAttempt // nil if the attempt was never passed to the upstream
	timeout   timingwheel.Timer
	ended     bool
	result    dispatch.Result // valid once ended
	timedOut  bool            // the attempt was cancelled by its timeout
}

// awaitsResponse reports whether another attempt is useful: no response has started and the client still waits.
func (c *activeCall) awaitsResponse() bool {
	return c.state == callWaiting && c.submitted.ClientWaiting()
}

// responseStarted starts forwarding the streamed response of an attempt to the client. It returns false and does
// nothing if the attempt has ended, the call is done or another attempt's response is being forwarded.
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

// attemptEnded records the end of an attempt. The client is answered by the first attempt that ends with OK, or by any
// end of the attempt whose response is being forwarded. attemptEnded reports whether the call is done.
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
		c.lastUnusedResult = &result
	}
	return c.state == callDone
}

// reject answers the call with a rejection: no attempt ran, or running the call again is harmless, so the client may
// retry after retryAfter. It returns false if a response has started or the call is done.
func (c *activeCall) reject(retryAfter time.Duration) bool {
	if c.state != callWaiting {
		return false
	}
	c.finish(FinalAnswer{Kind: FinalRejected, RetryAfter: retryAfter})
	return true
}

// fail answers the call with a failure: the call may have run. It returns false if the call is done.
func (c *activeCall) fail(now time.Duration) bool {
	if c.state == callDone {
		return false
	}
	c.finish(FinalAnswer{Kind: FinalFailed, DeadlineExceeded: now >= c.deadline, Attempt: c.lastUnusedResult})
	return true
}

func (c *activeCall) finish(answer FinalAnswer) {
	c.state = callDone
	c.submitted.Client.Finish(answer)
}

// cancelAnswering cancels the attempt whose response is being forwarded, if it is in flight: the client no longer needs
// the rest of the response.
func (c *activeCall) cancelAnswering() {
	if c.answering != nil && !c.answering.ended {
		c.answering.handle.Cancel()
	}
}
