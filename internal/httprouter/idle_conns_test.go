package httprouter

import (
	"sync/atomic"
	"testing"
	"time"

	"github.com/topazfront/topazfront/dispatch"
	"github.com/topazfront/topazfront/internal/fake/fakeplatform"
	"github.com/topazfront/topazfront/internal/router"
)

// connFaults are the ways in which workers end idle connections.
var connFaults = map[string]fakeplatform.ConnFault{
	"close":  fakeplatform.CloseConn,
	"reset":  fakeplatform.ResetConn,
	"forget": fakeplatform.ForgetConn,
}

// isAttempt reports whether a message to a worker is an attempt of a call.
func isAttempt(r fakeplatform.Request) bool { return r.Command == "exec" }

// connFaultDeadline is the deadline of calls under a fault: long for those that a router is notified of, short for one that
// only time tells.
func connFaultDeadline(fault fakeplatform.ConnFault) time.Duration {
	if fault == fakeplatform.ForgetConn {
		return 300 * time.Millisecond
	}
	return usualDeadline
}

// TestWorkerConnectionsEndAtSend has workers end connections as requests come over them: before a request is looked at,
// so that it never runs, or just before it is sent.
func TestWorkerConnectionsEndAtSend(t *testing.T) {
	t.Parallel()
	const faultsPerRound = 3
	for name, fault := range connFaults {
		t.Run(name+" as the request comes", func(t *testing.T) {
			t.Parallel()
			var faults atomic.Int32 // still to come
			h := startHarness(t, harnessOptions{handle: func(w *fakeplatform.Worker, r fakeplatform.Request) {
				if isAttempt(r) && faults.Add(-1) >= 0 {
					r.Conn.Fail(fault)
					return
				}
				go w.HandleHealthy(r)
			}})
			h.requireAnswersThroughFaults(fault, func() { faults.Store(faultsPerRound) })
		})
		t.Run(name+" before the send", func(t *testing.T) {
			t.Parallel()
			h := startHarness(t, harnessOptions{})
			h.requireAnswersThroughFaults(fault, func() { h.failWorkerConns(fault) })
		})
	}
}

func (h *harness) failWorkerConns(fault fakeplatform.ConnFault) {
	for _, w := range h.workers {
		w.FailConns(fault)
	}
}

// requireAnswersThroughFaults makes calls after each of several faults. Each gets its answer in time; half of them are
// served where the router is notified of the fault; and all of a round are once the faults are over.
func (h *harness) requireAnswersThroughFaults(fault fakeplatform.ConnFault, causeFault func()) {
	h.t.Helper()
	const (
		rounds         = 3
		callsPerClass  = 6
		callsPerRound  = 3 * callsPerClass
		recoveryRounds = 20
	)
	deadline := connFaultDeadline(fault)
	h.calls(callsPerClass) // functions are loaded and connections open
	served := 0
	for range rounds {
		causeFault()
		served += h.callsWithin(callsPerClass, deadline)
	}
	h.t.Logf("%d of %d served", served, rounds*callsPerRound)
	if fault != fakeplatform.ForgetConn && served < rounds*callsPerRound/2 {
		h.t.Errorf("%d of %d served", served, rounds*callsPerRound)
	}
	h.requireRecovery(recoveryRounds, deadline)
	h.requireInvariants()
}

// laterDispatcher is the real dispatcher on a clock that a test sets forward, as if nothing had come for that long but timers
// and confirmations of the endpoint list.
type laterDispatcher struct {
	router.Dispatcher
	quiet  atomic.Int64  // nanoseconds that the test has set the clock forward by
	passed time.Duration // of that, what the dispatcher has lived through
}

func (d *laterDispatcher) Step(now time.Duration, events []dispatch.Event) (actions []dispatch.Action) {
	const timerInterval = 50 * time.Millisecond
	for ; d.passed < time.Duration(d.quiet.Load()); d.passed += timerInterval {
		at := now + d.passed
		quietEvents := []dispatch.Event{dispatch.EndpointListConfirmed{At: at}, dispatch.TimerFired{}}
		actions = append(actions, d.Dispatcher.Step(at, quietEvents)...)
	}
	for i, event := range events {
		if confirmed, ok := event.(dispatch.EndpointListConfirmed); ok {
			events[i] = dispatch.EndpointListConfirmed{At: confirmed.At + d.passed}
		}
	}
	return append(actions, d.Dispatcher.Step(now+d.passed, events)...)
}

// TestTroubleAfterQuietTime has nothing come for five minutes, by the dispatcher's clock, and then all idle connections
// fail in one of the ways, of which the router was not notified.
func TestTroubleAfterQuietTime(t *testing.T) {
	t.Parallel()
	for name, fault := range connFaults {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			dispatcher := &laterDispatcher{}
			h := startHarness(t, harnessOptions{dispatcher: func(settings dispatch.Settings, seed uint64) (router.Dispatcher, error) {
				var err error
				dispatcher.Dispatcher, err = dispatch.New(settings, seed)
				return dispatcher, err
			}})
			h.requireAnswersThroughFaults(fault, func() {
				dispatcher.quiet.Add(int64(5 * time.Minute))
				h.failWorkerConns(fault)
			})
		})
	}
}
