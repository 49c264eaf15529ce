package dispatch

import (
	"math"
	"slices"
	"testing"
	"time"
)

// TestProofOfProcess checks which connections prove that a worker was not restarted, for the list and the connection as
// they are when a request arrives.
func TestProofOfProcess(t *testing.T) {
	for name, test := range map[string]struct {
		change   func(h *leaseHarness)
		unproven bool
	}{
		"connection older than the list": {func(*leaseHarness) {}, false},
		"closed by this router":          {func(h *leaseHarness) { h.reportConnections(0) }, true},
		"opened later":                   {func(h *leaseHarness) { h.reportConnections(h.confirmedAt + 1) }, true},
		"opened a whole slow start ago": {func(h *leaseHarness) {
			h.reportConnections(h.now)
			h.advance(h.dispatcher.settings.SlowStartDuration)
		}, true},
		"list confirmed since": {func(h *leaseHarness) {
			h.reportConnections(h.now)
			h.advance(time.Second)
			h.confirm()
		}, false},
		"list confirmed late, for a time before": {func(h *leaseHarness) {
			h.reportConnections(h.now)
			h.step(EndpointListConfirmed{At: h.confirmedAt + harnessTick})
		}, true},
		"list asked for again, without an answer": {func(h *leaseHarness) {
			h.confirm()
			h.advance(harnessTick)
			h.reportConnections(0)
			h.step(EndpointListRequested{At: h.now})
			h.advance(harnessTick)
		}, true},
		"paused while the list was current": {func(h *leaseHarness) {
			h.confirm()
			h.reportConnections(0)
			h.now += time.Second
			h.step()
		}, true},
		"caller does not report connections": {func(h *leaseHarness) { h.dispatcher.connectionsReported = false }, false},
	} {
		t.Run(name, func(t *testing.T) {
			h := newLeaseHarness(t, nil)
			h.reportConnections(h.confirmedAt)
			h.expireListLease()
			test.change(h)
			_, actions := h.request("f", classIdempotent)
			if attempt := h.onlyAttempt(h.answerLeaseChecks(actions)); attempt.Unproven != test.unproven {
				t.Errorf("unproven: %v, want %v", attempt.Unproven, test.unproven)
			}
		})
	}
}

// reportConnections reports the same connections to all workers.
func (h *leaseHarness) reportConnections(openedAt time.Duration) {
	h.t.Helper()
	for _, id := range []string{"w1", "w2", "w3"} {
		h.step(ConnectionsChanged{Worker: id, OldestOpenedAt: openedAt})
	}
}

// TestPassedTrialEndsWithConnection guards against a whole share for a worker that passed a trial and was restarted later in
// the same outage, after this router had closed the connection: the verdict was kept, as the worker was unproven all along.
func TestPassedTrialEndsWithConnection(t *testing.T) {
	h := newLeaseHarness(t, nil)
	h.reportConnections(0)
	h.expireListLease()
	h.reportConnections(h.now)
	_, actions := h.request("f", classIdempotent)
	attempt := h.onlyAttempt(h.answerLeaseChecks(actions))
	h.endAttempt(attempt, 0, outcomeOf(OK, harnessTick))
	w := h.dispatcher.workers[attempt.Worker]
	if !w.proof.trialPassed {
		t.Fatal("a quick response passes no trial")
	}
	h.step(ConnectionsChanged{Worker: w.ID, OldestOpenedAt: w.proof.connectedSince})
	if !w.proof.trialPassed {
		t.Error("the trial no longer counts although the connection is open")
	}
	h.step(ConnectionsChanged{Worker: w.ID})
	if w.proof.trialPassed {
		t.Error("the trial still counts after the connection was closed")
	}
}

// TestConnectionsAreKeptWhileNeeded guards against the loss of all evidence in an outage of discovery: a router closed its
// idle connections, so that a restart went unseen.
func TestConnectionsAreKeptWhileNeeded(t *testing.T) {
	h := newLeaseHarness(t, nil)
	h.reportConnections(h.confirmedAt)
	if kept := actionsOf[KeepConnections](h.advance(lossNotificationDelay)); !slices.Equal(kept, []KeepConnections{{Keep: true}}) {
		t.Errorf("%v, want connections to be kept once", kept)
	}
	if kept := actionsOf[KeepConnections](h.confirm()); !slices.Equal(kept, []KeepConnections{{Keep: false}}) {
		t.Errorf("%v, want connections no longer to be kept", kept)
	}
}

// TestFirstTrialIsComparedWithEarlierResponses guards against a worker that was restarted unseen and passes the first trial of
// a router, however long it takes: the trial was compared with itself.
func TestFirstTrialIsComparedWithEarlierResponses(t *testing.T) {
	const usual = 100 * time.Millisecond
	for name, test := range map[string]struct {
		took   time.Duration
		passed bool
	}{
		"as quick as before": {usual, true},
		"cold":               {5 * usual, false},
	} {
		t.Run(name, func(t *testing.T) {
			h := newLeaseHarness(t, nil)
			h.reportConnections(0)
			for range 20 {
				started := h.startAttempt("f", classIdempotent)
				h.advance(usual)
				h.endAttempt(started, 0, outcomeOf(OK, usual))
				h.confirm()
			}
			h.expireListLease()
			_, actions := h.request("f", classIdempotent)
			trial := h.onlyAttempt(h.answerLeaseChecks(actions))
			h.advance(test.took)
			h.endAttempt(trial, 0, outcomeOf(OK, test.took))
			if passed := h.dispatcher.workers[trial.Worker].proof.trialPassed; !trial.Unproven || passed != test.passed {
				t.Errorf("unproven: %v, trial passed: %v, want %v", trial.Unproven, passed, test.passed)
			}
		})
	}
}

// TestRejectedRequestsWaitForAttemptsInFlight guards against an overload of a worker that was restarted unseen by the requests
// which full workers have rejected: it is the only one that is not full. A router without other attempts tries it at once.
func TestRejectedRequestsWaitForAttemptsInFlight(t *testing.T) {
	for name, test := range map[string]struct {
		result  Result
		others  int // attempts of other requests in flight
		retried bool
	}{
		"rejected, another attempt in flight":    {Rejected, 1, false},
		"rejected, nothing in flight":            {Rejected, 0, true},
		"not reached, another attempt in flight": {ConnectFailed, 1, true},
	} {
		t.Run(name, func(t *testing.T) {
			s := testSettings()
			s.Routers, s.WorkersLoadOnMiss, s.DrainGrace, s.HedgingAllowed = 300, true, testDrainGrace, false
			h := newUnprovenHarness(t, s, 1)
			var others []StartAttempt
			for range test.others {
				_, actions := h.request("other", classIdempotent)
				others = append(others, h.onlyAttempt(h.answerLeaseChecks(actions)))
			}
			_, actions := h.request("f", classIdempotent)
			first := h.onlyAttempt(h.answerLeaseChecks(actions))
			actions = h.answerLeaseChecks(h.endAttempt(first, 0, outcomeOf(test.result, harnessTick)))
			if retried := len(actionsOf[StartAttempt](actions)) > 0; retried != test.retried {
				t.Fatalf("retried at once: %v, want %v", retried, test.retried)
			}
			if test.retried {
				return
			}
			retry := h.onlyAttempt(h.answerLeaseChecks(h.endAttempt(others[0], 0, outcomeOf(OK, harnessTick))))
			if retry.ID != first.ID || retry.Worker != others[0].Worker {
				t.Errorf("%+v, want the rejected request at %s, which has passed its trial", retry, others[0].Worker)
			}
		})
	}
}

// newUnprovenHarness starts a router whose list is out of date and that has no connection to any of three workers.
func newUnprovenHarness(t *testing.T, s Settings, seed uint64) *leaseHarness {
	t.Helper()
	h := &leaseHarness{harness: newHarnessWithoutEndpoints(t, s, seed)}
	list := EndpointUpdate{Snapshot: true}
	for _, id := range []string{"w1", "w2", "w3"} {
		list.Endpoints = append(list.Endpoints, Endpoint{ID: id, Kind: "big"})
	}
	h.step(list)
	h.confirm()
	h.reportConnections(0)
	h.expireListLease()
	return h
}

// TestStartedStreamPassesTrial guards against sound workers that get few requests for as long as a stream lasts: a stream
// that had started quickly was a trial until its end.
func TestStartedStreamPassesTrial(t *testing.T) {
	h := newLeaseHarness(t, nil)
	h.reportConnections(0)
	h.expireListLease()
	_, actions := h.request("f", classIdempotent)
	started := h.onlyAttempt(h.answerLeaseChecks(actions))
	w := h.dispatcher.workers[started.Worker]
	h.advance(harnessTick)
	h.step(ResponseStarted{ID: started.ID, Worker: started.Worker, Duration: harnessTick})
	if !w.proof.trialPassed {
		t.Error("the first message of a stream passes no trial")
	}
	mean := h.dispatcher.meanTimeRatio
	h.advance(time.Second)
	h.endAttempt(started, 0, outcomeOf(OK, time.Second))
	if !w.proof.trialPassed || h.dispatcher.meanTimeRatio != mean {
		t.Errorf("trial passed: %v, mean ratio %v, want %v: the end of the stream counted", w.proof.trialPassed, h.dispatcher.meanTimeRatio, mean)
	}
}

// TestRoutersTryDifferentUnprovenWorkers guards against many routers that all send their first request to the same unproven
// worker, the first of a ranking that they share.
func TestRoutersTryDifferentUnprovenWorkers(t *testing.T) {
	const routers = 60
	chosen := map[string]int{}
	for seed := range uint64(routers) {
		s := testSettings()
		s.Routers, s.WorkersLoadOnMiss, s.DrainGrace, s.HedgingAllowed = routers, true, testDrainGrace, false
		h := newUnprovenHarness(t, s, seed)
		_, actions := h.request("f", classIdempotent)
		chosen[h.onlyAttempt(h.answerLeaseChecks(actions)).Worker]++
	}
	for _, id := range []string{"w1", "w2", "w3"} {
		if chosen[id] < routers/6 {
			t.Errorf("attempts by worker: %v, want a sixth of %d at each", chosen, routers)
			break
		}
	}
}

// TestSomeRoutersTryAtOnce guards against calls that wait for loads in a sound fleet after a quiet time, because each router
// tried one worker after the other, whichever holds the function. So few routers may that a restarted worker takes it.
func TestSomeRoutersTryAtOnce(t *testing.T) {
	const seeds = 400 // each with three workers
	s := testSettings()
	for routers, want := range map[int]float64{
		1:   s.OverloadMultiple * s.SlowStartShare,
		100: initialLimit / 100,
		300: initialLimit / 300,
	} {
		s.Routers, s.DrainGrace = routers, testDrainGrace
		allowed := 0
		for seed := range uint64(seeds) {
			h := newUnprovenHarness(t, s, seed)
			for _, w := range h.dispatcher.activeWorkers {
				if h.dispatcher.admitTrial(w) {
					allowed++
				}
			}
		}
		if got := float64(allowed) / (3 * seeds); math.Abs(got-want) > want/3 {
			t.Errorf("%d routers: a trial was allowed at once with a probability of %.3f, want %.3f", routers, got, want)
		}
	}
}

// assumeRestart lets the router lose and regain contact with w2 while the list is out of date, and returns the worker.
func (h *leaseHarness) assumeRestart() *worker {
	h.t.Helper()
	h.expireListLease()
	h.step(ConnectionLost{Worker: "w2"})
	h.advance(harnessTick)
	h.step(HealthChecked{Worker: "w2", LoadReport: NoLoadReport})
	w := h.dispatcher.workers["w2"]
	if !w.warmingUp {
		h.t.Fatal("not in slow start after a loss of contact")
	}
	h.advance(harnessTick)
	return w
}

// TestConfirmedListEndsAssumedRestart guards against a slow start that goes on after an outage, although the list shows
// no restart: discovery sends no update of a worker that has not changed.
func TestConfirmedListEndsAssumedRestart(t *testing.T) {
	h := newLeaseHarness(t, nil)
	w := h.assumeRestart()
	h.confirm()
	if w.warmingUp {
		t.Error("still in slow start after the list was confirmed")
	}
}

// TestOlderListKeepsAssumedRestart guards against a whole share for a restarted worker because of a late list: it names the
// worker as it was before contact was lost, and ended the slow start.
func TestOlderListKeepsAssumedRestart(t *testing.T) {
	h := newLeaseHarness(t, nil)
	w := h.assumeRestart()
	list := EndpointUpdate{Snapshot: true}
	for _, id := range []string{"w1", "w2", "w3"} {
		list.Endpoints = append(list.Endpoints, h.dispatcher.workers[id].identity.endpoint)
	}
	h.step(list, EndpointListConfirmed{At: h.confirmedAt + harnessTick})
	if !w.warmingUp {
		t.Error("a list from before the loss of contact ended the slow start")
	}
	h.advance(harnessTick)
	h.step(list, EndpointListConfirmed{At: h.now})
	if w.warmingUp {
		t.Error("still in slow start after a list from after the loss of contact")
	}
}

// TestListedStartReplacesAssumedStart checks that the list's word on a restart counts, although the start that was assumed
// is later.
func TestListedStartReplacesAssumedStart(t *testing.T) {
	h := newLeaseHarness(t, nil)
	w := h.assumeRestart()
	restarted := w.identity.endpoint
	restarted.StartedAt = w.StartedAt - harnessTick
	h.step(EndpointUpdate{Endpoints: []Endpoint{restarted}}, EndpointListConfirmed{At: h.now})
	if w.StartedAt != restarted.StartedAt || !w.warmingUp {
		t.Errorf("started at %v, in slow start: %v; want the listed start %v, in slow start", w.StartedAt, w.warmingUp, restarted.StartedAt)
	}
}
