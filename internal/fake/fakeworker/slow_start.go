package fakeworker

import (
	"time"

	"github.com/topazfront/topazfront/internal/invariants"
)

const (
	// A worker that is warming up fails only when the received work exceeds its limit by this factor and by this many
	// seconds, so that random variation does not make it fail under a router that keeps to the limit on average.
	overloadTolerance        = 1.3
	overloadAllowanceSeconds = 0.5
)

// arrival is a call that a worker received while it was warming up.
type arrival struct {
	at   time.Time
	work float64 // mean work of the call's class, in seconds on a core of speed 1
}

// capacityShare returns the fraction of its full capacity that the worker has now. w.mu is held.
func (w *Worker) capacityShare() float64 {
	if w.config.SlowStartDuration == 0 {
		return 1
	}
	age := float64(time.Since(w.startedAt)) / float64(w.config.SlowStartDuration)
	return min(w.config.SlowStartShare+(1-w.config.SlowStartShare)*age, 1)
}

// checkOverload records a call that the worker receives while it is warming up, and makes the worker fail if the work
// received within the overload window exceeds its limit. w.mu is held.
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
	if now.Sub(w.startedAt) > window && sum > overloadTolerance*limit+overloadAllowanceSeconds {
		w.overloaded = true
		w.record(invariants.Record{Kind: invariants.WorkerOverloaded, Worker: w.config.ID})
	}
}
