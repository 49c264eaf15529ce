package scenario

import (
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	"github.com/topazfront/topazfront/internal/fake/fakeworker"
)

// TestOverlappingFaults overlaps two faults that end in either order. Each takes effect until its own end, and when
// both have ended, the initial state is restored. States are compared by their formatted values.
func TestOverlappingFaults(t *testing.T) {
	workerFaults := func(h *Harness) (faults string) {
		h.workers[0].worker.ChangeFaults(func(f *fakeworker.Faults) { faults = fmt.Sprintf("%+v", *f) })
		return faults
	}
	classes := func(h *Harness) [2]string { return [2]string{h.scenario.Classes[0].Name, h.scenario.Classes[1].Name} }
	for _, test := range []struct {
		first, second Fault
		value         func(h *Harness) string
	}{
		{Fault{Kind: "burst", Magnitude: 2}, Fault{Kind: "burst", Magnitude: 3},
			func(h *Harness) string { return fmt.Sprint(h.trafficMultiple.value()) }},
		{Fault{Kind: "discovery_stale", Magnitude: 2}, Fault{Kind: "discovery_stale", Magnitude: 3},
			func(h *Harness) string { return fmt.Sprint(h.extraListDelay.value()) }},
		{Fault{Kind: "hot_key", Share: 0.2}, Fault{Kind: "hot_key", Share: 0.3},
			func(h *Harness) string { return fmt.Sprint(h.newModelShare.value()) }},
		{Fault{Kind: "heavy_tail", Share: 1, Magnitude: 2}, Fault{Kind: "heavy_tail", Share: 1, Magnitude: 3},
			func(h *Harness) string { return fmt.Sprint(h.drawWorkMultiple(classes(h)[0], h.rng)) }},
		{Fault{Kind: "slow", Magnitude: 2}, Fault{Kind: "neighbour", Magnitude: 3}, workerFaults},
		{Fault{Kind: "hang"}, Fault{Kind: "slow", Magnitude: 3}, workerFaults},
		{Fault{Kind: "handshake_slow", Magnitude: 2}, Fault{Kind: "handshake_slow", Magnitude: 3}, workerFaults},
		{Fault{Kind: "class_fail"}, Fault{Kind: "class_fail", Class: "second"}, workerFaults},
		{Fault{Kind: "throttle", Magnitude: 2}, Fault{Kind: "throttle", Magnitude: 3, Class: "second"}, workerFaults},
		{Fault{Kind: "goaway"}, Fault{Kind: "goaway"},
			func(h *Harness) string { return fmt.Sprint(h.workers[0].drainCount > 0) }},
	} {
		t.Run(test.first.Kind+" and "+test.second.Kind, func(t *testing.T) {
			h := newHarness(shortScenario(t, 1), Options{})
			t.Cleanup(h.close)
			if err := h.startWorker(0, false); err != nil {
				t.Fatal(err)
			}
			if test.second.Class != "" {
				test.second.Class = classes(h)[1]
			}
			checkOverlappingFaults(t, h, test.first, test.second, test.value)
		})
	}
}

// checkOverlappingFaults determines the effect of each fault alone, and checks that the remaining fault has this effect
// after the other has ended.
func checkOverlappingFaults(t *testing.T, h *Harness, first, second Fault, value func(*Harness) string) {
	t.Helper()
	alone := func(f Fault) string {
		end := h.injectFault(f)
		defer end()
		return value(h)
	}
	usual, firstAlone, secondAlone := value(h), alone(first), alone(second)
	endFirst, endSecond := h.injectFault(first), h.injectFault(second)
	endFirst()
	if got := value(h); got != secondAlone {
		t.Errorf("the second fault is left: %s, want %s", got, secondAlone)
	}
	endSecond()
	endFirst, endSecond = h.injectFault(first), h.injectFault(second)
	endSecond()
	if got := value(h); got != firstAlone {
		t.Errorf("the first fault is left: %s, want %s", got, firstAlone)
	}
	endFirst()
	if got := alone(first); got != firstAlone || value(h) == firstAlone {
		t.Errorf("%s once both have ended; alone %s, usually %s", got, firstAlone, usual)
	}
}

// TestEndWaitsForTimers checks that functions of timers are complete when the scenario ends, and that none starts
// afterwards.
func TestEndWaitsForTimers(t *testing.T) {
	h := newHarness(shortScenario(t, 1), Options{})
	begun := make(chan struct{})
	var complete, late atomic.Bool
	h.afterFunc(0, func() {
		close(begun)
		time.Sleep(50 * time.Millisecond)
		complete.Store(true)
	})
	<-begun
	h.stopTimers()
	if !complete.Load() {
		t.Error("stopTimers returned while a timer function was running")
	}
	h.afterFunc(0, func() { late.Store(true) })
	time.Sleep(10 * time.Millisecond) // there is no event to wait for if the function does not start
	if late.Load() {
		t.Error("a timer function started after the end")
	}
}
