package dispatch

import (
	"testing"
	"time"
)

// A worker that other routers report as unresponsive is passed over. Only a response of the worker ends the suspicion,
// and a later report about an earlier silence does not renew it.
func TestGossipSuspicionMovesRequestsUntilWorkerResponds(t *testing.T) {
	s := testSettings()
	s.SuspicionsReported = true
	h := newHarness(t, s, "a", "b", "c")
	worker := h.serveOnce("f", classIdempotent)
	h.advance(time.Second)
	actions := h.step(GossipUpdate{SuspectedWorkers: []string{worker, "unknown"}})
	reports := actionsOf[ReportSuspicion](actions)
	if len(reports) != 1 || reports[0] != (ReportSuspicion{Worker: worker}) {
		t.Fatalf("reported %v, want a suspicion of %s", reports, worker)
	}
	_, actions = h.request("f", classIdempotent)
	if len(actionsOf[StartAttempt](actions)) == 1 && h.onlyAttempt(actions).Worker == worker {
		t.Error("attempt started at a suspected worker")
	}
	actions = h.step(GossipUpdate{SuspectedWorkers: []string{worker}})
	if reports := actionsOf[ReportSuspicion](actions); len(reports) > 0 {
		t.Errorf("suspicion of a suspected worker was reported again: %v", reports)
	}
	h.step(HealthChecked{Worker: worker, Result: OK, LoadReport: NoLoadReport})
	h.step(GossipUpdate{SuspectedWorkers: []string{worker}}) // it has just responded
	if h.dispatcher.workers[worker].suspected {
		t.Error("gossip renewed the suspicion of a worker that has just responded")
	}
}

// A higher number of routers than configured lowers this router's concurrency limits. When the other routers vanish,
// the limits stay, because the routers may only be partitioned.
func TestGossipNeverRaisesConcurrencyLimits(t *testing.T) {
	s := testSettings()
	s.Routers = 4
	h := newHarness(t, s, "a", "b")
	limits := func() [2]float64 {
		return [2]float64{h.dispatcher.fleetShare, h.dispatcher.workers["a"].concurrencyLimit}
	}
	before := limits()
	for _, n := range []int{0, 1, 3, 4} {
		if h.step(GossipUpdate{Routers: n}); limits() != before {
			t.Errorf("%d routers seen, 4 configured: limits %v became %v", n, before, limits())
		}
	}
	h.step(GossipUpdate{Routers: 8})
	halved := limits()
	if halved[0] != before[0]/2 || halved[1] != before[1]/2 {
		t.Errorf("8 routers seen, 4 configured: limits %v became %v, want half", before, halved)
	}
	for _, n := range []int{4, 1, 0} {
		if h.step(GossipUpdate{Routers: n}); limits() != halved {
			t.Errorf("routers vanished, %d are left: limits %v became %v", n, halved, limits())
		}
	}
}

func TestSuspicionsAreReportedOnlyWhenConfigured(t *testing.T) {
	for name, reported := range map[string]bool{"not configured": false, "configured": true} {
		t.Run(name, func(t *testing.T) {
			s := testSettings()
			s.SuspicionsReported = reported
			h := newHarness(t, s, "a")
			actions := h.endAttempt(h.startAttempt("f", classIdempotent), 0, outcomeOf(Errored, 0))
			_, more := h.request("f", classNonIdempotent)
			actions = append(actions, more...)
			for _, a := range actionsOf[StartAttempt](more) {
				actions = append(actions, h.endAttempt(a, 0, outcomeOf(ConnectFailed, 0))...)
			}
			if reports := actionsOf[ReportSuspicion](actions); (len(reports) > 0) != reported {
				t.Errorf("reported %v, want a report: %v", reports, reported)
			}
		})
	}
}
