package router

import (
	"testing"
	"time"

	"github.com/topazfront/topazfront/dispatch"
	"github.com/topazfront/topazfront/internal/endpoints"
	"github.com/topazfront/topazfront/internal/testsupport"
)

// TestCallEndsAtItsDeadline checks that a call gets its final answer at its deadline although no worker is known, or
// the workers hang and attempts can't be cancelled.
func TestCallEndsAtItsDeadline(t *testing.T) {
	const deadline = 100 * time.Millisecond
	settings := dispatch.Settings{Routers: 1, MaxAttempts: 2, WorkersLoadOnMiss: true, Classes: []dispatch.Class{
		{Name: testClass, LatencyObjective: deadline, Deadline: deadline, PriorityWeight: 1, Idempotency: dispatch.NonIdempotent}}}
	for name, workers := range map[string][]endpoints.Worker{
		"no worker":           nil,
		"a worker that hangs": {{Endpoint: dispatch.Endpoint{ID: testWorkers[0], Kind: "k"}, Address: testWorkers[0]}},
	} {
		t.Run(name, func(t *testing.T) {
			r, err := New(Config{Name: "r", Seed: 1, Settings: settings}, hungUpstream{})
			if err != nil {
				t.Fatal(err)
			}
			t.Cleanup(r.Kill)
			r.SetEndpoints(workers)
			client := make(answerChannel, 1)
			r.Submit(&Call{Function: testFunction, Class: testClass, MemoryMB: 1, ConcurrencyPerInstance: 1,
				RemainingDeadline: deadline, Client: client})
			answer := testsupport.Await(t, client, "the final answer")
			if answer.Kind == FinalAnswered {
				t.Errorf("answer %+v, but no worker gave one", answer)
			}
		})
	}
}

// cancellableUpstream is an upstream whose workers hang, and whose attempts end when they are cancelled.
type cancellableUpstream struct {
	hungUpstream
	router *Router
}

func (u *cancellableUpstream) StartAttempt(token AttemptToken, _ *Call, _ string, _ int, _ SendLimits) UpstreamAttempt {
	return cancellableAttempt{u.router, token}
}

type cancellableAttempt struct {
	router *Router
	token  AttemptToken
}

func (cancellableAttempt) ForwardTo(Client) {}
func (a cancellableAttempt) Cancel() {
	a.router.AttemptEnded(a.token, AttemptResult{Result: dispatch.Cancelled, Report: NoWorkerReport})
}

// timeoutDispatcher starts an attempt with a timeout for each call, and sends the end of each attempt to a channel.
type timeoutDispatcher struct {
	timeout time.Duration
	ended   chan dispatch.AttemptEnded
}

func (d timeoutDispatcher) Step(_ time.Duration, events []dispatch.Event) (actions []dispatch.Action) {
	for _, event := range events {
		switch event := event.(type) {
		case dispatch.Request:
			actions = append(actions, dispatch.StartAttempt{ID: event.ID, Worker: testWorkers[0], Timeout: d.timeout})
		case dispatch.AttemptEnded:
			d.ended <- event
			actions = append(actions, dispatch.FailRequest{ID: event.ID})
		}
	}
	return actions
}

// TestAttemptEndsAtItsTimeout checks that the loop's timer cancels an attempt at a hung worker, at the timeout set by
// the dispatcher or at the call's deadline, and that the attempt ends once, as TimedOut.
func TestAttemptEndsAtItsTimeout(t *testing.T) {
	for name, test := range map[string]struct{ timeout, deadline time.Duration }{
		"time-out of the attempt": {20 * time.Millisecond, time.Hour},
		"deadline of the call":    {0, 20 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			dispatcher := timeoutDispatcher{test.timeout, make(chan dispatch.AttemptEnded, 2)}
			upstream := &cancellableUpstream{}
			r, err := New(Config{NewDispatcher: func(dispatch.Settings, uint64) (Dispatcher, error) { return dispatcher, nil }}, upstream)
			if err != nil {
				t.Fatal(err)
			}
			t.Cleanup(r.Kill)
			upstream.router = r
			client := make(answerChannel, 1)
			r.Submit(&Call{Function: testFunction, RemainingDeadline: test.deadline, Client: client})
			if ended := testsupport.Await(t, dispatcher.ended, "the attempt's end"); ended.Result != dispatch.TimedOut {
				t.Errorf("the attempt ended as %v, want %v", ended.Result, dispatch.TimedOut)
			}
			testsupport.Await(t, client, "the final answer")
			if unanswered := r.Stop(stopTimeout); unanswered != 0 || len(dispatcher.ended) != 0 {
				t.Errorf("%d calls unanswered, %d further ends of the attempt", unanswered, len(dispatcher.ended))
			}
		})
	}
}
