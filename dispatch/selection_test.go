package dispatch

import (
	"fmt"
	"testing"
	"time"
)

// Overloaded workers must be passed over even if there are many routers. In large deployments, a router got a response
// from a given worker only every ten seconds and started attempts at workers with forty requests while others had
// three.
func TestOverloadedWorkerIsPassedOverByManyRouters(t *testing.T) {
	for name, c := range map[string]struct {
		checked    HealthChecked
		passedOver bool
	}{
		"holds far more than others": {HealthChecked{LoadReport: inFlightReport(30)}, true},
		"holds little":               {HealthChecked{LoadReport: inFlightReport(1)}, false},
		"does not answer":            {HealthChecked{Result: TimedOut, LoadReport: NoLoadReport}, false},
	} {
		t.Run(name, func(t *testing.T) {
			s := testSettings()
			s.WorkersLoadOnMiss, s.LoadReports, s.Routers = true, ReportsWithResponses, 100
			h := newHarness(t, s, "w1", "w2", "w3", "w4")
			_, actions := h.request("f", classIdempotent)
			checks := actionsOf[CheckHealth](actions)
			if len(checks) != 1 || len(actionsOf[StartAttempt](actions)) > 0 {
				t.Fatalf("%v, want one health check first", actions)
			}
			c.checked.Worker = checks[0].Worker
			started := h.onlyAttempt(h.step(c.checked))
			if (started.Worker != c.checked.Worker) != c.passedOver {
				t.Errorf("health check of %s, attempt at %s", c.checked.Worker, started.Worker)
			}
			h.now += time.Millisecond
			h.request("f", classIdempotent)
			actions = h.advance(30 * time.Millisecond)
			if c.checked.Result == TimedOut && len(actionsOf[StartAttempt](actions)) != 1 {
				t.Errorf("%v, want an attempt without a load report", actions)
			}
		})
	}
}

// inFlightReport returns the load report of a worker that holds n requests.
func inFlightReport(n float64) LoadReport { return LoadReport{InFlight: n, Queued: -1, Loading: -1} }

// The only router of a fleet gets responses from its workers often, so it needs few health checks for load reports.
func TestSingleRouterSeldomChecksBeforeAttempts(t *testing.T) {
	h := newHarness(t, testSettings(), "w1", "w2", "w3", "w4")
	h.dispatcher.settings.LoadReports = ReportsWithResponses
	if n := h.healthChecksBeforeAttempts(40); n > 20 {
		t.Errorf("%d health checks for 40 requests, at most 20 wanted", n)
	}
}

// Health checks are sent before attempts if they are cheap, as in most deployments, but not if they are expensive.
func TestHealthChecksBeforeAttemptsDependOnTheirCost(t *testing.T) {
	for cost, wanted := range map[float64]bool{0: true, 0.01: true, 0.08: false} {
		t.Run(fmt.Sprint("cost ", cost), func(t *testing.T) {
			s := testSettings()
			s.WorkersLoadOnMiss, s.LoadReports, s.HealthCheckCost = true, ReportsWithResponses, cost
			h := newHarness(t, s, "a", "b", "c", "d")
			if n := h.healthChecksBeforeAttempts(20); (n > 0) != wanted {
				t.Errorf("%d health checks, want some: %v", n, wanted)
			}
		})
	}
}

// healthChecksBeforeAttempts sends requests for different functions and counts the health checks sent at once.
func (h *harness) healthChecksBeforeAttempts(requests int) (n int) {
	h.t.Helper()
	for i := range requests {
		_, actions := h.request(fmt.Sprint("f", i), classIdempotent)
		n += len(actionsOf[CheckHealth](actions))
	}
	return n
}

// In a large fleet, a selection considers only the first maxRankedCandidates workers of the ranking, but still finds a
// worker after them that holds the function.
func TestSelectionInLargeFleet(t *testing.T) {
	const workers = 4 * maxRankedCandidates
	r := newBenchmarkRouter(t, workers)
	d := r.dispatcher
	r.request()
	f := d.functionsInOrder[0]
	if n := len(f.ranking.entries); n >= workers/2 {
		t.Errorf("%d of %d workers ranked for one request", n, workers)
	}
	for w := range f.placements {
		delete(f.placements, w)
	}
	lastRanked := d.rankedWorker(f, workers-1)
	f.ensurePlacement(lastRanked).residentUntil = r.now + time.Minute
	request := Request{ID: 1000, Function: f.key, Class: classIdempotent, MemoryMB: 300, RemainingDeadline: time.Second}
	started := actionsOf[StartAttempt](d.Step(r.now, []Event{request}))
	if len(started) != 1 || started[0].Worker != lastRanked.ID {
		t.Errorf("started %v, want an attempt at %s, which holds the function", started, lastRanked.ID)
	}
}

// While a class is ejected from all workers of a large fleet, the assignment of its functions ranks only a part of the
// fleet. When the ejections have ended, workers are assigned again.
func TestAssignmentStopsWithoutWorkerCapacity(t *testing.T) {
	const workers = 8 * maxPassedOver
	r := newBenchmarkRouter(t, workers)
	d := r.dispatcher
	for range 10 {
		r.request()
	}
	for _, w := range d.activeWorkers {
		d.ejectClass(w, d.classes[classIdempotent])
	}
	d.assignCapacity()
	for _, f := range d.functionsInOrder {
		if len(f.assignment) > 0 || len(f.ranking.entries) > workers/2 {
			t.Errorf("%s: %d workers assigned, %d ranked", f.key, len(f.assignment), len(f.ranking.entries))
		}
	}
	r.now += time.Minute
	d.Step(r.now, []Event{TimerFired{}})
	for _, f := range d.functionsInOrder {
		if len(f.assignment) == 0 {
			t.Errorf("%s: no worker is assigned after the ejections", f.key)
		}
	}
}
