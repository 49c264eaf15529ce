package fakeworker

import (
	"time"

	"github.com/topazfront/topazfront/internal/invariants"
)

const (
	// A worker that warms up fails only above its limit by this factor and this many seconds of work, so that a router
	// which keeps to the limit on the average does not fail it by chance.
	overloadTolerance = 1.3
	overloadAllowance = 0.5
)

// arrival is a call that reached a worker while it warmed up.
type arrival struct {
	at   time.Time
	work float64 // seconds on a core of speed 1
}

// capacityShare is the fraction of its capacity that the worker has now. w.mu is held.
func (w *Worker) capacityShare() float64 {
	if w.config.SlowStartDuration == 0 {
		return 1
	}
	age := float64(time.Since(w.startedAt)) / float64(w.config.SlowStartDuration)
	return min(w.config.SlowStartShare+(1-w.config.SlowStartShare)*age, 1)
}

// checkOverload counts a call that reaches a worker while it warms up, and makes the worker fail when the work within
// the overload window is too much. w.mu is held.
func (w *Worker) checkOverload(class string) {
	window := w.config.OverloadWindow
	if window == 0 || w.capacityShare() >= 1 || w.overloaded {
		return
	}
	now := time.Now()
	w.arrivals = append(w.arrivals, arrival{now, w.config.MeanWorkByClass[class].Seconds()})
	sum := 0.0
	for i := len(w.arrivals) - 1; i >= 0 && now.Sub(w.arrivals[i].at) < window; i-- {
		sum += w.arrivals[i].work
	}
	limit := w.config.OverloadMultiple * w.capacityShare() * float64(w.config.Cores) * w.config.Speed * window.Seconds()
	if now.Sub(w.startedAt) > window && sum > overloadTolerance*limit+overloadAllowance {
		w.overloaded = true
		w.record(invariants.Record{Kind: invariants.WorkerOverloaded, Worker: w.config.ID})
	}
}
