package dispatch

import (
	"fmt"
	"testing"
	"time"
)

// Routers that prefer different workers for a function would load it on more workers than needed. They have to agree
// even before the first rebalance.
func TestRoutersAgreeOnFirstRankedWorkerBeforeFirstRebalance(t *testing.T) {
	a := newHarness(t, testSettings(), "w1", "w2", "w3", "w4")
	b := newHarness(t, testSettings(), "w4", "w3", "w2", "w1")
	used := map[string]bool{}
	for _, function := range []string{"f1", "f2", "f3", "f4", "f5", "f6", "f7", "f8"} {
		workerOfA := a.startAttempt(function, classIdempotent).Worker
		workerOfB := b.startAttempt(function, classIdempotent).Worker
		if workerOfA != workerOfB {
			t.Errorf("%s: one router chooses %s, the other %s", function, workerOfA, workerOfB)
		}
		used[workerOfA] = true
	}
	if len(used) < 2 {
		t.Error("all functions have the same first-ranked worker")
	}
}

func TestAssignCapacityServesLightestFirstAndSpillsOver(t *testing.T) {
	h := newHarness(t, testSettings(), "w1", "w2", "w3")
	functionOf := func(key string, memoryMB float64) *function {
		return &function{key: key, memoryMB: memoryMB, concurrency: 1, meanWorkUnit: 1, requestRate: 1, served: true,
			placements: map[*worker]*placement{}}
	}
	light, heavy := functionOf("light", 1), functionOf("heavy", 9)
	h.dispatcher.functionsInOrder = []*function{heavy, light}
	h.dispatcher.assignCapacity()
	if len(light.assignment) != 1 || light.assignment[0].worker != h.dispatcher.rankedWorker(light, 0) {
		t.Errorf("light function assigned to %v, want its first-ranked worker alone", light.assignment)
	}
	if len(heavy.assignment) != 3 {
		t.Errorf("heavy function assigned to %d workers, want all 3", len(heavy.assignment))
	}
	sum := 0.0
	for _, s := range heavy.assignment {
		sum += s.share
	}
	if sum < 0.999 || sum > 1.001 {
		t.Errorf("shares of the heavy function add up to %v, want 1", sum)
	}
}

func TestDemandDecaysWithoutRequests(t *testing.T) {
	h := newHarness(t, testSettings(), "w1")
	started := h.startAttempt("f", classIdempotent)
	h.step(AttemptEnded{ID: started.ID, Worker: started.Worker, Duration: 50 * time.Millisecond, Final: true})
	h.advance(3 * time.Second)
	before := h.dispatcher.functions["f"].demand
	h.advance(8 * time.Second)
	if after := h.dispatcher.functions["f"].demand; before <= 0 || after > before/2 {
		t.Errorf("demand %v, 8 s later %v, want less than half", before, after)
	}
}

// Many routers must compute the same ranking, and a function with half of all requests must be spread over many
// workers.
func TestManyRoutersAgreeOnRankingAndSpreadLoad(t *testing.T) {
	s := testSettings()
	s.WorkersLoadOnMiss = true
	const routers, workers = 120, 30
	g := newRouterGroup(t, routers, s, workers)
	functionOf := func(router, request int) string { // half of the requests are for one function, the others for 100
		if (router+request)%2 == 0 {
			return "hot"
		}
		return fmt.Sprintf("f%d", (router*7+request*13)%100)
	}
	g.run(30*time.Second, 200*time.Millisecond, 50*time.Millisecond, functionOf)
	first := g.routers[0].dispatcher
	for _, h := range g.routers[1:] {
		for key, f := range h.dispatcher.functions {
			other := first.functions[key]
			if other != nil && h.dispatcher.rankedWorker(f, 0).ID != first.rankedWorker(other, 0).ID {
				t.Fatalf("%s: first-ranked worker differs between routers", key)
			}
		}
	}
	started := actionsOf[StartAttempt](g.run(5*time.Second, 200*time.Millisecond, 50*time.Millisecond,
		func(int, int) string { return "hot" }))
	attempts, most := map[string]int{}, 0 // attempts by worker
	for _, a := range started {
		attempts[a.Worker]++
		most = max(most, attempts[a.Worker])
	}
	if len(attempts) < workers/3 || most > len(started)/5 {
		t.Errorf("a function with half of all requests goes to %d workers, %d of its %d attempts to one of them",
			len(attempts), most, len(started))
	}
}

func TestLoadReportsReduceCapacityOfOverloadedWorker(t *testing.T) {
	h := newHarness(t, testSettings(), "w1", "w2", "w3")
	for range 40 {
		h.now += 5 * time.Second
		for _, w := range h.dispatcher.activeWorkers {
			inFlight := 3.0
			if w.ID == "w2" {
				inFlight = 30
			}
			h.dispatcher.now = h.now
			h.dispatcher.recordLoadReport(w, inFlight)
		}
	}
	overloaded := h.dispatcher.capacityFactor(h.dispatcher.workers["w2"])
	normal := h.dispatcher.capacityFactor(h.dispatcher.workers["w1"])
	if 2*overloaded > normal {
		t.Errorf("capacity factor %.2f of a worker that holds ten times as many requests, %.2f of the others",
			overloaded, normal)
	}
}

// Clients can invent function names. Functions that no worker ever serves must be deleted soon.
func TestUnservedFunctionsAreDeleted(t *testing.T) {
	h := newHarness(t, testSettings(), "a", "b")
	for i := range 3000 {
		_, actions := h.request(fmt.Sprint("made up ", i), classIdempotent)
		for _, a := range actionsOf[StartAttempt](actions) {
			h.endAttempt(a, 0, outcomeOf(Errored, time.Millisecond))
		}
		h.now += 10 * time.Millisecond
	}
	h.advance(unservedFunctionTTL + 2*rebalanceInterval + 4*time.Second)
	if n := len(h.dispatcher.functions); n > 0 {
		t.Errorf("%d functions are kept, want none", n)
	}
}

// In a large fleet, several updates within a short time cause one deferred assignment. In a small fleet, each update
// causes an assignment at once.
func TestReassignmentAfterUpdates(t *testing.T) {
	for workers, immediate := range map[int]bool{immediateReassignWorkers / 2: true, 3 * immediateReassignWorkers: false} {
		t.Run(fmt.Sprint(workers, " workers"), func(t *testing.T) {
			r := newBenchmarkRouter(t, workers)
			for range 2 * benchmarkFunctions {
				r.request()
			}
			d := r.dispatcher
			r.now += time.Second // after the last response
			assignments := 0
			var last time.Duration
			for i := range 10 {
				r.now += reassignInterval / 20
				d.Step(r.now, []Event{EndpointUpdate{Endpoints: []Endpoint{r.endpoint(workers + i)}}})
				if d.assignedAt != last {
					last = d.assignedAt
					assignments++
				}
			}
			if immediate && assignments != 10 || !immediate && assignments > 2 {
				t.Errorf("%d assignments after 10 updates", assignments)
			}
			r.now += reassignInterval
			d.Step(r.now, []Event{TimerFired{}})
			if d.assignmentStale {
				t.Error("the assignment does not include the last updates")
			}
		})
	}
}
