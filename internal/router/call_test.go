package router

import (
	"reflect"
	"testing"
	"time"

	"github.com/topazfront/topazfront/dispatch"
)

// recordingClient is a Client that records the response.
type recordingClient struct {
	starts, finishes int
	body             string
	final            FinalAnswer
}

func (c *recordingClient) Start(any) { c.starts++ }
func (c *recordingClient) WriteBody(p []byte, _ func(int)) int {
	c.body += string(p)
	return len(p)
}
func (c *recordingClient) Finish(answer FinalAnswer) {
	c.finishes++
	c.final = answer
}

// recordingAttempt is an UpstreamAttempt that counts the calls of its methods.
type recordingAttempt struct{ forwards, cancels int }

func (a *recordingAttempt) ForwardTo(Client) { a.forwards++ }
func (a *recordingAttempt) Cancel()          { a.cancels++ }

// newTestCall returns a call with two attempts in flight and a deadline of one second.
func newTestCall() (call *activeCall, client *recordingClient, first, second *attempt) {
	client = &recordingClient{}
	call = &activeCall{id: 1, submitted: &Call{Client: client}, deadline: time.Second}
	first = &attempt{call: call, handle: &recordingAttempt{}}
	second = &attempt{call: call, number: 1, handle: &recordingAttempt{}}
	call.attempts, call.attemptsInFlight = []*attempt{first, second}, 2
	return call, client, first, second
}

const testBody = "answer"

var (
	endedResult   AttemptResult
	servedResult  = AttemptResult{Result: dispatch.OK, Body: []byte(testBody), Report: NoWorkerReport}
	resetResult   = AttemptResult{Result: dispatch.ConnectionReset, Report: NoWorkerReport}
	erroredResult = AttemptResult{Result: dispatch.Errored, Trailer: "boom", Report: NoWorkerReport}
)

// finalAnswerTests holds the orders in which events that end a call may occur.
var finalAnswerTests = map[string]struct {
	run       func(c *activeCall, first, second *attempt)
	wantFinal FinalAnswer
	wantBody  string
}{
	"served": {
		func(c *activeCall, first, _ *attempt) { c.attemptEnded(first, servedResult) },
		FinalAnswer{Attempt: &servedResult}, testBody,
	},
	"served twice": {
		func(c *activeCall, first, second *attempt) {
			c.attemptEnded(first, servedResult)
			c.attemptEnded(second, servedResult)
		},
		FinalAnswer{Attempt: &servedResult}, testBody,
	},
	"served, then rejected": {
		func(c *activeCall, first, _ *attempt) {
			c.attemptEnded(first, servedResult)
			c.reject(0)
		},
		FinalAnswer{Attempt: &servedResult}, testBody,
	},
	"rejected, then served": {
		func(c *activeCall, first, _ *attempt) {
			c.reject(0)
			c.attemptEnded(first, servedResult)
		},
		FinalAnswer{Kind: FinalRejected}, "",
	},
	"failed, then served": {
		func(c *activeCall, first, _ *attempt) {
			c.fail(0)
			c.attemptEnded(first, servedResult)
		},
		FinalAnswer{Kind: FinalFailed}, "",
	},
	"failed at the deadline, then rejected": {
		func(c *activeCall, _, _ *attempt) {
			c.fail(time.Second)
			c.reject(0)
		},
		FinalAnswer{Kind: FinalFailed, DeadlineExceeded: true}, "",
	},
	"errored, then failed": {
		func(c *activeCall, first, _ *attempt) {
			c.attemptEnded(first, erroredResult)
			c.fail(0)
		},
		FinalAnswer{Kind: FinalFailed, Attempt: &erroredResult}, "",
	},
	"errored, then served": {
		func(c *activeCall, first, second *attempt) {
			c.attemptEnded(first, erroredResult)
			c.attemptEnded(second, servedResult)
		},
		FinalAnswer{Attempt: &servedResult}, testBody,
	},
	"response started, then ended": {
		func(c *activeCall, first, _ *attempt) {
			c.responseStarted(first, nil)
			c.attemptEnded(first, endedResult)
		},
		FinalAnswer{Attempt: &endedResult}, "",
	},
	"response started, rejected, then ended": {
		func(c *activeCall, first, _ *attempt) {
			c.responseStarted(first, nil)
			c.reject(0)
			c.attemptEnded(first, endedResult)
		},
		FinalAnswer{Attempt: &endedResult}, "",
	},
	"response started, the other attempt served": {
		func(c *activeCall, first, second *attempt) {
			c.responseStarted(first, nil)
			c.attemptEnded(second, servedResult)
			c.attemptEnded(first, endedResult)
		},
		FinalAnswer{Attempt: &endedResult}, "",
	},
	"response started, then connection reset": {
		func(c *activeCall, first, _ *attempt) {
			c.responseStarted(first, nil)
			c.attemptEnded(first, resetResult)
		},
		FinalAnswer{Attempt: &resetResult}, "",
	},
	"both responses started": {
		func(c *activeCall, first, second *attempt) {
			c.responseStarted(first, nil)
			c.responseStarted(second, nil)
			c.attemptEnded(first, endedResult)
		},
		FinalAnswer{Attempt: &endedResult}, "",
	},
	"response started, failed at the deadline": {
		func(c *activeCall, first, _ *attempt) {
			c.responseStarted(first, nil)
			c.fail(time.Second)
			c.attemptEnded(first, endedResult)
		},
		FinalAnswer{Kind: FinalFailed, DeadlineExceeded: true}, "",
	},
	// A short stream may have ended before the loop processes its start. No part of it may be lost.
	"response ended before it was forwarded": {
		func(c *activeCall, first, _ *attempt) {
			c.responseStarted(first, nil)
			c.attemptEnded(first, servedResult)
		},
		FinalAnswer{Attempt: &servedResult}, testBody,
	},
}

// TestExactlyOneFinalAnswer checks that the client gets one final answer in each order of finalAnswerTests.
func TestExactlyOneFinalAnswer(t *testing.T) {
	for name, test := range finalAnswerTests {
		t.Run(name, func(t *testing.T) {
			call, client, first, second := newTestCall()
			test.run(call, first, second)
			if client.finishes != 1 || !reflect.DeepEqual(client.final, test.wantFinal) {
				t.Errorf("%d final answers, the last %+v; want one, %+v", client.finishes, client.final, test.wantFinal)
			}
			if client.body != test.wantBody || client.starts > 1 {
				t.Errorf("%d responses started, body %q; want at most one, %q", client.starts, client.body, test.wantBody)
			}
		})
	}
}

func TestRejectionCarriesRetryAfter(t *testing.T) {
	call, client, _, _ := newTestCall()
	call.reject(250 * time.Millisecond)
	if client.final.RetryAfter != 250*time.Millisecond {
		t.Errorf("rejected with retry-after %v, want 250ms", client.final.RetryAfter)
	}
}

// TestSecondResponseIsNotForwarded guards against mixing the responses of two attempts at the client.
func TestSecondResponseIsNotForwarded(t *testing.T) {
	call, _, first, second := newTestCall()
	call.responseStarted(first, nil)
	if call.responseStarted(second, nil) {
		t.Error("responseStarted accepted a second response")
	}
	if handle, ok := second.handle.(*recordingAttempt); !ok || handle.forwards > 0 {
		t.Error("the second response was forwarded to the client")
	}
}
