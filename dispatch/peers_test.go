package dispatch

import (
	"testing"
	"time"
)

// TestPeersWordOfSilenceMovesCallsAndNothingElse: the silent worker is passed over, peers' word lifts nothing,
// and an answer of the worker's own does.
func TestPeersWordOfSilenceMovesCallsAndNothingElse(t *testing.T) {
	s := settings()
	s.SuspicionsReported = true
	r := newHarness(t, s, "a", "b", "c")
	home := r.serveOnce("f", "safe")
	r.advance(time.Second)
	out := r.step(GossipUpdate{SuspectedWorkers: []string{home, "unknown"}})
	if d := actionsOf[ReportSuspicion](out); len(d) != 1 || d[0] != (ReportSuspicion{Worker: home}) {
		t.Fatalf("told %v", d)
	}
	if _, out := r.call("f", "safe"); len(actionsOf[StartAttempt](out)) == 1 && r.onlyAttempt(out).Worker == home {
		t.Error("sent to a worker that is held to be silent")
	}
	if d := actionsOf[ReportSuspicion](r.step(GossipUpdate{SuspectedWorkers: []string{home}})); len(d) > 0 {
		t.Errorf("a doubt that stands was raised again: %v", d)
	}
	r.step(HealthChecked{Worker: home, Result: OK, LoadReport: NoLoadReport})
	r.step(GossipUpdate{SuspectedWorkers: []string{home}}) // it was heard a moment ago
	if r.dispatcher.workers[home].suspected {
		t.Error("word of peers went over the worker's own")
	}
}

// TestPeersNeverRaiseAShare: more routers than configured lower the windows, and their vanishing gives nothing
// back.
func TestPeersNeverRaiseAShare(t *testing.T) {
	s := settings()
	s.Routers = 4
	r := newHarness(t, s, "a", "b")
	share := func() [2]float64 {
		return [2]float64{r.dispatcher.fleetShare, r.dispatcher.workers["a"].concurrencyLimit}
	}
	before := share()
	for _, n := range []int{0, 1, 3, 4} {
		if r.step(GossipUpdate{Routers: n}); share() != before {
			t.Errorf("%d routers seen where 4 are configured: shares %v became %v", n, before, share())
		}
	}
	r.step(GossipUpdate{Routers: 8})
	half := share()
	if half[0] != before[0]/2 || half[1] != before[1]/2 {
		t.Errorf("8 routers where 4 are configured: shares %v became %v", before, half)
	}
	for _, n := range []int{4, 1, 0} {
		if r.step(GossipUpdate{Routers: n}); share() != half {
			t.Errorf("peers vanished, %d are left: shares %v became %v", n, half, share())
		}
	}
}

// TestDoubtsAreToldOnlyWhereAsked.
func TestDoubtsAreToldOnlyWhereAsked(t *testing.T) {
	for _, told := range []bool{false, true} {
		s := settings()
		s.SuspicionsReported = told
		r := newHarness(t, s, "a")
		id, out := r.call("f", "safe")
		out = r.step(AttemptEnded{ID: id, Worker: r.onlyAttempt(out).Worker, Result: Errored, FunctionInFlight: -1, LoadReport: NoLoadReport})
		id, more := r.call("f", "once")
		out = append(out, more...)
		for _, m := range actionsOf[StartAttempt](more) {
			out = append(out, r.step(AttemptEnded{ID: id, Attempt: 0, Worker: m.Worker, Result: ConnectFailed, FunctionInFlight: -1, LoadReport: NoLoadReport})...)
		}
		if got := len(actionsOf[ReportSuspicion](out)) > 0; got != told {
			t.Errorf("asked for doubts: %v; told %v", told, actionsOf[ReportSuspicion](out))
		}
	}
}
