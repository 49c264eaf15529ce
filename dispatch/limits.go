package dispatch

import "math"

// This file limits concurrency and retries: concurrencyLimit, fleetLimit and retryBudget.

const (
	initialLimit          = 12.0 // first limit of a worker, over all routers,
	minLimit              = 3.0  // and the least
	limitIncrease         = 0.1  // for a response in time while the limit is in use,
	limitDecrease         = 0.2  // for a late one: in balance when a third are late
	fleetLimitDecrease    = 0.5  // of the fleet's limit: in balance when a sixth are late
	rejectionFactor       = 0.7  // what a rejection leaves of the worker's limit
	lateMultiple          = 1.5  // a response is late at this multiple of its run time,
	lateObjectiveFraction = 0.25 // but not before this fraction of its latency objective
	lightObjectiveDivisor = 4    // a light request has less work than this part
	retryBudgetBurst      = 10.0 // most retries saved up: each response earns one
)

// newWorker returns a worker of which nothing is known.
func (d *Dispatcher) newWorker() *worker {
	return &worker{concurrencyLimit: initialLimit / float64(d.settings.Routers)}
}

// atConcurrencyLimit reports whether w, or the fleet, has as many attempts of this router in flight as it
// may have.
func (d *Dispatcher) atConcurrencyLimit(w *worker) bool {
	return w.inFlight >= max(w.concurrencyLimit, 1) || d.inFlight >= max(d.fleetLimit*d.fleetShare, 1)
}

// releaseConcurrency takes an attempt out of the limits when it has ended, or has taken far longer than
// responses took recently. Attempts that are never answered would use up the limits otherwise.
func (d *Dispatcher) releaseConcurrency(a *attempt) {
	if a.ended || (d.now-a.startedAt).Seconds() > overdueMultiple*d.meanResponseTime {
		d.removeWeight(a)
	}
}

// adjustFleetLimit adapts the limit of what this router has in flight. Each of many routers has less than
// one attempt in flight at a worker, so one limit holds for all workers. It shrinks when a request that is
// light by its expected work gets no response, or a later one than a load explains. Attempts at copies not
// known to be loaded count by the chance that they are. False positives: a few workers that make many
// responses late lower the limit of all.
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

// adjustLimit moves a worker's concurrency limit by a response that took so many seconds.
func (d *Dispatcher) adjustLimit(w *worker, r *request, took float64) {
	late := lateMultiple * math.Exp(r.function.logRunTime) * r.workUnit
	if took > max(late, r.class.LatencyObjective.Seconds()*lateObjectiveFraction) {
		w.concurrencyLimit = max(w.concurrencyLimit-limitDecrease, minLimit/float64(d.settings.Routers))
	} else if w.inFlight+1 > w.concurrencyLimit/2 {
		w.concurrencyLimit += limitIncrease
	}
}
