package httprouter

import (
	"sync/atomic"
	"testing"
	"time"

	"github.com/topazfront/topazfront/dispatch"
	"github.com/topazfront/topazfront/internal/fake/fakeplatform"
	"github.com/topazfront/topazfront/internal/router"
)

// connFaults are the ways in which workers end connections.
var connFaults = map[string]fakeplatform.ConnFault{
	"close":  fakeplatform.CloseConn,
	"reset":  fakeplatform.ResetConn,
	"forget": fakeplatform.HangConn,
}

// isAttempt reports whether a message to a worker is an attempt of a call.
func isAttempt(r fakeplatform.Request) bool { return r.Command == "exec" }

// connFaultDeadline returns the deadline of calls during a fault. It is short for HangConn, which the router detects
// only by a timeout.
func connFaultDeadline(fault fakeplatform.ConnFault) time.Duration {
	if fault == fakeplatform.HangConn {
		return 300 * time.Millisecond
	}
	return generousDeadline
}

// TestWorkerConnectionsFailDuringSend guards against calls that are lost because a worker ends an idle connection at
// the moment when the router sends a request on it. The worker ends it when the request arrives, which it then doesn't
// run, or just before the request is sent.
func TestWorkerConnectionsFailDuringSend(t *testing.T) {
	t.Parallel()
	const faultsPerRound = 3
	for name, fault := range connFaults {
		t.Run(name+" as the request comes", func(t *testing.T) {
			t.Parallel()
			var faults atomic.Int32 // remaining
			h := startHarness(t, harnessOptions{handle: func(w *fakeplatform.Worker, r fakeplatform.Request) {
				if isAttempt(r) && faults.Add(-1) >= 0 {
					r.Conn.Fail(fault)
					return
				}
				go w.HandleHealthy(r)
			}})
			h.requireAnswersDespiteFaults(fault, func() { faults.Store(faultsPerRound) })
		})
		t.Run(name+" before the send", func(t *testing.T) {
			t.Parallel()
			h := startHarness(t, harnessOptions{})
			h.requireAnswersDespiteFaults(fault, func() { h.failWorkerConns(fault) })
		})
	}
}

func (h *harness) failWorkerConns(fault fakeplatform.ConnFault) {
	for _, w := range h.workers {
		w.FailConns(fault)
	}
}

// requireAnswersDespiteFaults makes calls after each of several faults. Each call must get its answer in time. If the
// fault closes the connections, at least half of the calls must be served. After the faults, all calls of one round
// must be served.
func (h *harness) requireAnswersDespiteFaults(fault fakeplatform.ConnFault, causeFault func()) {
	h.t.Helper()
	const (
		rounds         = 3
		callsPerClass  = 6
		callsPerRound  = 3 * callsPerClass
		recoveryRounds = 20
	)
	deadline := connFaultDeadline(fault)
	h.makeCalls(callsPerClass) // loads the functions and opens connections
	served := 0
	for range rounds {
		causeFault()
		served += h.makeCallsWithin(callsPerClass, deadline)
	}
	h.t.Logf("%d of %d served", served, rounds*callsPerRound)
	if fault != fakeplatform.HangConn && served < rounds*callsPerRound/2 {
		h.t.Errorf("%d of %d served", served, rounds*callsPerRound)
	}
	h.requireRecovery(recoveryRounds, deadline)
	h.requireInvariants()
}

// clockAdvancingDispatcher is the real dispatcher on a clock that a test sets forward. For the skipped time the
// dispatcher gets only timers and confirmations of the endpoint list, as in a period without traffic.
type clockAdvancingDispatcher struct {
	router.Dispatcher
	totalAdvance   atomic.Int64  // nanoseconds by which the test has set the clock forward
	appliedAdvance time.Duration // part of totalAdvance that Step has applied
}

func (d *clockAdvancingDispatcher) Step(now time.Duration, events []dispatch.Event) (actions []dispatch.Action) {
	const timerInterval = 50 * time.Millisecond
	for ; d.appliedAdvance < time.Duration(d.totalAdvance.Load()); d.appliedAdvance += timerInterval {
		at := now + d.appliedAdvance
		quietEvents := []dispatch.Event{dispatch.EndpointListConfirmed{At: at}, dispatch.TimerFired{}}
		actions = append(actions, d.Dispatcher.Step(at, quietEvents)...)
	}
	for i, event := range events {
		if confirmed, ok := event.(dispatch.EndpointListConfirmed); ok {
			events[i] = dispatch.EndpointListConfirmed{At: confirmed.At + d.appliedAdvance}
		}
	}
	return append(actions, d.Dispatcher.Step(now+d.appliedAdvance, events)...)
}

// TestConnFailuresAfterIdlePeriod guards against calls that are lost because all idle connections fail after a period
// without traffic, of five minutes on the dispatcher's clock, and the router has not been notified.
func TestConnFailuresAfterIdlePeriod(t *testing.T) {
	t.Parallel()
	for name, fault := range connFaults {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			dispatcher := &clockAdvancingDispatcher{}
			h := startHarness(t, harnessOptions{dispatcher: func(settings dispatch.Settings, seed uint64) (router.Dispatcher, error) {
				var err error
				dispatcher.Dispatcher, err = dispatch.New(settings, seed)
				return dispatcher, err
			}})
			h.requireAnswersDespiteFaults(fault, func() {
				dispatcher.totalAdvance.Add(int64(5 * time.Minute))
				h.failWorkerConns(fault)
			})
		})
	}
}
