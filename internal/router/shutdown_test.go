package router

import (
	"testing"
	"time"

	"github.com/topazfront/topazfront/dispatch"
	"github.com/topazfront/topazfront/internal/endpoints"
	"github.com/topazfront/topazfront/internal/testsupport"
)

// stopTimeout is far longer than Stop takes if it doesn't time out.
const stopTimeout = 20 * time.Second

// TestWorkPostedInLastTurn posts work, which posts further work, in the turn in which the loop is about to stop. It
// guards against work that is accepted but never run: all work must run, the call must be answered unless it was
// cancelled, and the loop must end.
func TestWorkPostedInLastTurn(t *testing.T) {
	for name, test := range map[string]struct {
		postWork   func(r *Router, call *Call)
		wantAnswer bool
	}{
		"a call": {func(r *Router, call *Call) { r.Submit(call) }, true},
		"a cancellation behind its call": {func(r *Router, call *Call) {
			cancel, _ := r.Submit(call)
			r.post(cancel)
		}, false},
		"an endpoint list behind a call": {func(r *Router, call *Call) {
			r.Submit(call)
			r.post(func() {
				r.SetEndpoints([]endpoints.Worker{{Endpoint: dispatch.Endpoint{ID: testWorkers[0], Kind: "k"}}})
			})
		}, true},
	} {
		t.Run(name, func(t *testing.T) {
			client := make(answerChannel, 1)
			call := &Call{Function: testFunction, Class: testClass, MemoryMB: 1, ConcurrencyPerInstance: 1,
				RemainingDeadline: testDeadline, Client: client}
			r, _, _ := startRouter(t, false)
			refused := false
			r.post(func() {
				r.stopWhenIdle = true
				test.postWork(r, call)
				r.post(func() { refused = !r.post(func() {}) })
			})
			if unanswered := r.Stop(stopTimeout); unanswered != 0 {
				t.Errorf("%d calls without an answer", unanswered)
			}
			if refused {
				t.Error("the running loop refused work")
			}
			if test.wantAnswer {
				testsupport.Await(t, client, "the answer")
			} else if r.stats.Cancelled != 1 {
				t.Errorf("%d calls cancelled, want 1", r.stats.Cancelled)
			}
		})
	}
}

// hungUpstream is an upstream whose workers never answer, not even to a cancellation.
type hungUpstream struct{}

func (hungUpstream) StartAttempt(AttemptToken, *Call, string, int, SendLimits) UpstreamAttempt {
	return endedAttempt{}
}
func (hungUpstream) LoadFunction(string, string, int, SendLimits, func(LoadResult)) {}
func (hungUpstream) KeepConnections(bool)                                           {}
func (hungUpstream) CheckHealth(string, time.Duration, func(HealthResult))          {}
func (hungUpstream) UpdateEndpoints([]endpoints.Worker)                             {}

// silentDispatcher starts an attempt of each call of testFunction, and answers none.
type silentDispatcher struct{}

func (silentDispatcher) Step(_ time.Duration, events []dispatch.Event) (actions []dispatch.Action) {
	for _, event := range events {
		if request, ok := event.(dispatch.Request); ok && request.Function == testFunction {
			actions = append(actions, dispatch.StartAttempt{ID: request.ID, Worker: testWorkers[0]})
		}
	}
	return actions
}

// TestStopAnswersRemainingCalls checks that every accepted call has its final answer after the timeout of Stop,
// although the dispatcher gives none and the workers hang: a call with an attempt fails, any other is rejected.
func TestStopAnswersRemainingCalls(t *testing.T) {
	newDispatcher := func(dispatch.Settings, uint64) (Dispatcher, error) { return silentDispatcher{}, nil }
	r, err := New(Config{NewDispatcher: newDispatcher}, hungUpstream{})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(r.Kill)
	submit := func(function string) answerChannel {
		client := make(answerChannel, 1)
		if _, ok := r.Submit(&Call{Function: function, RemainingDeadline: time.Hour, Client: client}); !ok {
			t.Error("a running router refused a call")
		}
		return client
	}
	want := map[FinalKind]answerChannel{FinalFailed: submit(testFunction), FinalRejected: submit("never tried")}
	var last answerChannel
	r.post(func() { // the call is submitted in the loop's last turn
		r.stopTimedOut = true
		last = submit(testFunction)
	})
	if unanswered := r.Stop(stopTimeout); unanswered != 3 {
		t.Errorf("%d calls not answered by the dispatcher, want 3", unanswered)
	}
	for kind, client := range want {
		if answer := testsupport.Await(t, client, "an answer"); answer.Kind != kind {
			t.Errorf("answer %+v, want kind %v", answer, kind)
		}
	}
	if answer := testsupport.Await(t, last, "the last call's answer"); answer.Kind != FinalRejected {
		t.Errorf("answer %+v to the last call", answer)
	}
	if _, ok := r.Submit(&Call{}); ok {
		t.Error("a stopped router accepted a call")
	}
}

// TestStatsReturnsAfterKill kills a router while Stats waits for the loop. Stats must return nonetheless.
func TestStatsReturnsAfterKill(t *testing.T) {
	r, _, _ := startRouter(t, false)
	stats := make(chan Stats, 1)
	r.post(func() {
		go func() { stats <- r.Stats() }()
		for queued := false; !queued; time.Sleep(time.Millisecond) {
			r.mu.Lock()
			queued = len(r.queue) > 0
			r.mu.Unlock()
		}
		r.killed = true
	})
	testsupport.Await(t, stats, "the statistics of a killed router")
}
