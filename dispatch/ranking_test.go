package dispatch

import (
	"cmp"
	"fmt"
	"runtime"
	"slices"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	"pgregory.net/rapid"
)

// referenceRanking computes the rendezvous ranking of a function by its definition: all active workers, sorted by
// score.
func referenceRanking(d *Dispatcher, key string) (ids []string) {
	for _, w := range d.workers {
		if w.State == EndpointActive {
			ids = append(ids, w.ID)
		}
	}
	score := func(id string) uint64 { return xxhash.Sum64String(key + "\x00" + id) }
	slices.SortFunc(ids, func(a, b string) int { return cmp.Or(cmp.Compare(score(b), score(a)), cmp.Compare(a, b)) })
	return ids
}

// TestRankingFollowsAnyUpdates compares rankings, of which prefixes of random lengths were used, with newly computed
// ones after random updates: snapshots and changes, in which workers join, drain, leave, restart and return, also
// within one update.
func TestRankingFollowsAnyUpdates(t *testing.T) {
	functions := []string{"a", "b", "c"}
	rapid.Check(t, func(t *rapid.T) {
		d, err := New(testSettings(), 1)
		if err != nil {
			t.Fatal(err)
		}
		fleet := rapid.SampledFrom([]int{1, 10, 60, 400}).Draw(t, "fleet")
		var update EndpointUpdate
		for i := range fleet {
			update.Endpoints = append(update.Endpoints, Endpoint{ID: fmt.Sprint("w", i)})
		}
		update.Snapshot = true
		for now := time.Second; ; now += time.Second {
			events := []Event{update}
			for i, key := range functions { // their first requests come at different times
				if now > time.Duration(2*i)*time.Second {
					events = append(events, Request{ID: RequestID(int(now/time.Second)*10 + i), Function: key,
						Class: classIdempotent, MemoryMB: 1, RemainingDeadline: time.Second})
				}
			}
			d.Step(now, events)
			requireRankings(t, d)
			if now == 8*time.Second {
				return
			}
			update = drawUpdate(t, fleet, now)
		}
	})
}

// requireRankings compares prefixes of random lengths with newly computed rankings.
func requireRankings(t *rapid.T, d *Dispatcher) {
	for key, f := range d.functions {
		want := referenceRanking(d, key)
		for i := range rapid.IntRange(0, len(want)).Draw(t, "used") {
			if got := d.rankedWorker(f, i); got == nil || got.ID != want[i] {
				t.Fatalf("function %s: worker %d of %d is not %s", key, i, len(want), want[i])
			}
		}
		if len(want) == len(f.ranking.entries) && d.rankedWorker(f, len(want)) != nil {
			t.Fatalf("function %s: ranking has a worker after the last one", key)
		}
	}
}

// drawUpdate draws an update in which up to half of the fleet has changed. It may list a worker twice.
func drawUpdate(t *rapid.T, fleet int, now time.Duration) EndpointUpdate {
	update := EndpointUpdate{Snapshot: rapid.IntRange(0, 9).Draw(t, "snapshot") == 0}
	for range rapid.IntRange(0, fleet/2+1).Draw(t, "changes") {
		e := Endpoint{ID: fmt.Sprint("w", rapid.IntRange(0, 2*fleet).Draw(t, "worker"))}
		e.State = EndpointState(rapid.IntRange(0, 2).Draw(t, "state"))
		if rapid.Bool().Draw(t, "restarted") {
			e.StartedAt = now
		}
		update.Endpoints = append(update.Endpoints, e)
	}
	return update
}

// TestChurnOfLargeFleet replaces 600 of 1,000 workers within 7 s, in updates of 10 workers each, while requests arrive.
// The workers and the rankings must match the fleet, and the state must not grow.
func TestChurnOfLargeFleet(t *testing.T) {
	const workers, replaced, perUpdate = 1000, 600, 10
	r := newBenchmarkRouter(t, workers)
	for i := 0; i < replaced; i += perUpdate {
		var update EndpointUpdate
		for k := i; k < i+perUpdate; k++ {
			removed := r.endpoint(k)
			removed.State = EndpointRemoved
			update.Endpoints = append(update.Endpoints, removed, r.endpoint(workers+k))
		}
		r.dispatcher.Step(r.now, []Event{update})
		for range 5 {
			r.request()
		}
	}
	d := r.dispatcher
	if len(d.workers) != workers || len(d.activeWorkers) != workers || len(d.removedWorkers) != 0 {
		t.Errorf("%d workers known, %d active, %d removed", len(d.workers), len(d.activeWorkers), len(d.removedWorkers))
	}
	for key, f := range d.functions {
		want := referenceRanking(d, key)
		for i := range 50 {
			if got := d.rankedWorker(f, i); got.ID != want[i] {
				t.Fatalf("function %s: worker %d is %s, want %s", key, i, got.ID, want[i])
			}
		}
		for w := range f.placements {
			if w.State != EndpointActive {
				t.Errorf("function %s has a placement on the removed %s", key, w.ID)
			}
		}
	}
}

// TestSuspectedWorkersAreCounted compares suspectedCount with the workers.
func TestSuspectedWorkersAreCounted(t *testing.T) {
	h := newHarness(t, testSettings(), "w1", "w2", "w3", "w4")
	d := h.dispatcher
	requireCount := func(after string, want int) {
		t.Helper()
		counted := 0
		for _, w := range d.activeWorkers {
			if w.suspected {
				counted++
			}
		}
		if d.suspectedCount != want || counted != want {
			t.Errorf("after %s: count %d, workers %d, want %d", after, d.suspectedCount, counted, want)
		}
	}
	for _, id := range []string{"w1", "w2", "w3"} {
		d.suspect(d.workers[id])
		d.suspect(d.workers[id])
	}
	requireCount("three suspicions", 3)
	if !d.majoritySuspected() {
		t.Error("three suspected workers of four are not counted as a majority")
	}
	h.step(HealthChecked{Worker: "w1", Result: OK, LoadReport: NoLoadReport})
	requireCount("a response", 2)
	h.step(EndpointUpdate{Endpoints: []Endpoint{{ID: "w2", Kind: "big", State: EndpointDraining}}})
	requireCount("a drain", 1)
	h.step(HealthChecked{Worker: "w2", Result: OK, LoadReport: NoLoadReport})
	requireCount("a response of the draining worker", 1)
	h.step(EndpointUpdate{Endpoints: []Endpoint{{ID: "w3", Kind: "big", StartedAt: h.now}}})
	requireCount("a restart", 0)
}

// TestManyFunctionNamesAreDeleted sends requests for 20,000 unknown functions within ten seconds in a fleet of 1,920
// workers. Memory must stay bounded, and functions that were never served must be deleted.
func TestManyFunctionNamesAreDeleted(t *testing.T) {
	const names, workers, maxMB = 20_000, 1920, 80
	before := heapInUse()
	r := newBenchmarkRouter(t, workers)
	for n := range names {
		r.now += 10 * time.Second / names
		id := RequestID(n + 1)
		request := Request{ID: id, Function: fmt.Sprint("name", n), Class: classIdempotent, MemoryMB: 300,
			RemainingDeadline: 100 * time.Millisecond}
		for _, a := range actionsOf[StartAttempt](r.dispatcher.Step(r.now, []Event{request})) {
			failed := outcomeOf(Errored, time.Millisecond)
			failed.ID, failed.Worker, failed.Final = a.ID, a.Worker, true
			r.dispatcher.Step(r.now, []Event{failed})
		}
	}
	if grown := float64(heapInUse()-before) / 1e6; grown > maxMB {
		t.Errorf("heap grew by %.0f MB for %d names", grown, names)
	}
	r.now += time.Minute
	r.dispatcher.Step(r.now, []Event{TimerFired{}})
	if n := len(r.dispatcher.functions); n != 0 {
		t.Errorf("%d names are still known", n)
	}
	runtime.KeepAlive(r)
}

// A large fleet in which all workers are suspected still serves requests. One without active workers rejects them.
func TestFleetWithoutAnyUsableWorker(t *testing.T) {
	for name, usable := range map[string]bool{"all suspected": true, "none active": false} {
		t.Run(name, func(t *testing.T) {
			r := newBenchmarkRouter(t, 1920)
			update := EndpointUpdate{}
			for i, w := range slices.Clone(r.dispatcher.activeWorkers) {
				if usable {
					r.dispatcher.suspect(w)
					continue
				}
				e := r.endpoint(i)
				e.State = EndpointDraining
				update.Endpoints = append(update.Endpoints, e)
			}
			actions := r.dispatcher.Step(r.now, []Event{update, Request{ID: 1, Function: "f", Class: classIdempotent,
				MemoryMB: 300, RemainingDeadline: time.Second}})
			if started := len(actionsOf[StartAttempt](actions)) == 1; started != usable {
				t.Errorf("attempt started: %v", started)
			}
			actions = r.dispatcher.Step(r.now+2*time.Second, []Event{TimerFired{}})
			if rejected := len(actionsOf[RejectRequest](actions)) == 1; !usable && !rejected {
				t.Error("no rejection although no worker is active")
			}
		})
	}
}
