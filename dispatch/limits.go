package dispatch

import "math"

// This file limits concurrency and retries: worker.concurrencyLimit, fleetLimit and retryBudget.

const (
	initialLimit          = 12.0 // initial concurrency limit of a worker, summed over all routers
	minLimit              = 3.0  // minimum concurrency limit of a worker, summed over all routers
	limitIncrease         = 0.1  // increase for a response in time, if the limit is in use
	limitDecrease         = 0.2  // decrease for a late response: stable when a third are late
	fleetLimitDecrease    = 0.5  // decrease of the fleet limit: stable when a sixth are late
	rejectionFactor       = 0.7  // a rejection multiplies the worker's limit by this
	lateMultiple          = 1.5  // a response is late after this multiple of its run time
	lateObjectiveFraction = 0.25 // minimum time of a late response, as a fraction of its latency objective
	lightObjectiveDivisor = 4    // light: expected work below the latency objective divided by this
	retryBudgetBurst      = 10.0 // maximum of the retry budget; each response adds one retry
)

// newWorker returns a worker with the initial concurrency limit.
func (d *Dispatcher) newWorker() *worker {
	return &worker{concurrencyLimit: initialLimit / float64(d.settings.Routers)}
}

// atConcurrencyLimit reports whether this router has reached its concurrency limit for w or for the fleet.
func (d *Dispatcher) atConcurrencyLimit(w *worker) bool {
	return w.inFlight >= max(w.concurrencyLimit, 1) || d.inFlight >= max(d.fleetLimit*d.fleetShare, 1)
}

// releaseConcurrency stops counting an attempt against the concurrency limits if it has ended, or if it has
// taken far longer than recent responses. Otherwise attempts that never get a response would use up the
// limits.
func (d *Dispatcher) releaseConcurrency(a *attempt) {
	if a.ended || (d.now-a.startedAt).Seconds() > overdueMultiple*d.meanResponseTime {
		d.removeWeight(a)
	}
}

// adjustFleetLimit adjusts the limit of this router's attempts in flight at all workers. If there are many
// routers, each has less than one attempt in flight at a worker, so a limit for each worker would be too
// coarse. The limit decreases when a request with little expected work gets no response, or gets it later
// than a load explains. An attempt at a worker that may not hold the function counts by the chance that it
// does. False positives: a few workers that cause many late responses lower the limit for all.
func (d *Dispatcher) adjustFleetLimit(r *request, e AttemptEnded, weight float64) {
	late := e.Duration > r.class.LatencyObjective
	if late && d.settings.WorkersLoadOnMiss {
		late = e.Duration > d.expectedLoadTime(r.function)+r.expectedRunTime()
	}
	light := r.ExpectedWork < r.class.LatencyObjective/lightObjectiveDivisor
	inUse := d.inFlight+1 > d.fleetLimit*d.fleetShare/2
	if late && light {
		d.fleetLimit = max(d.fleetLimit-fleetLimitDecrease*weight/d.fleetShare, 2*minLimit)
	} else if e.Result == OK && !late && inUse {
		d.fleetLimit += limitIncrease * weight / d.fleetShare
	}
}

// lowerLimit lowers a worker's concurrency limit after a rejection.
func (d *Dispatcher) lowerLimit(w *worker) {
	w.concurrencyLimit = max(w.concurrencyLimit*rejectionFactor, minLimit/float64(d.settings.Routers))
}

// adjustLimit adjusts a worker's concurrency limit after a response that took the given seconds.
func (d *Dispatcher) adjustLimit(w *worker, r *request, took float64) {
	late := lateMultiple * math.Exp(r.function.logRunTime) * r.workUnit
	if took > max(late, r.class.LatencyObjective.Seconds()*lateObjectiveFraction) {
		w.concurrencyLimit = max(w.concurrencyLimit-limitDecrease, minLimit/float64(d.settings.Routers))
	} else if w.inFlight+1 > w.concurrencyLimit/2 {
		w.concurrencyLimit += limitIncrease
	}
}
