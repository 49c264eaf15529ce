package dispatch

import (
	"math"
	"slices"
	"time"
)

// This file limits concurrency and retries: concurrencyLimit, fleetLimit, retryBudget and run times.

const (
	initialLimit          = 12.0                   // first limit of a worker, over all routers,
	minLimit              = 3.0                    // and the least
	limitIncrease         = 0.1                    // for a response in time while the limit is in use,
	limitDecrease         = 0.2                    // for a late one: in balance when a third are late
	fleetLimitDecrease    = 0.5                    // of the fleet's limit: in balance when a sixth are late
	rejectionFactor       = 0.7                    // what a rejection leaves of the worker's limit
	lateMultiple          = 1.5                    // a response is late at this multiple of its run time,
	lateObjectiveFraction = 0.25                   // but not before this fraction of its latency objective
	lightObjectiveDivisor = 4                      // a light request has less work than this part
	overdueMultiple       = 3                      // an attempt is overdue at this multiple of its time,
	overdueMargin         = 100 * time.Millisecond // and not before this has been added to it
	retryBudgetBurst      = 10.0                   // most retries saved up: each response earns one
	runTimeSmoothing      = 0.1                    // weight of one response in a function's run time
	workerSmoothing       = 0.06                   // weight of one response in a worker's slowness
	maxRunTimeError       = 1.5                    // most that a response may be off, in logs
	minSlowness           = -1.0
	maxSlowness           = 2.5
	minResponseTime       = 1e-4 // seconds
)

// mayAttempt reports whether a request may get a further attempt. It may not if it has had its attempts, if
// it can't be served before its client leaves, if no worker may take it as an earlier attempt may have run,
// or if the retry budget is used up. The budget grows with responses, so what many workers reject at once, in
// an overload, for want of memory or because the store stands still, is not multiplied by retries. It hurts
// where few workers reject much.
func (d *Dispatcher) mayAttempt(r *request) bool {
	n := len(r.attempts)
	exhausted := r.streaming != nil || n >= d.settings.MaxAttempts
	overBudget := n > 0 && r.attempts[n-1].failed && d.retryBudget < 1
	tooLate := r.inFlight == 0 && d.now+r.expectedRunTime()/minRunTimeDivisor >= r.deadline
	if exhausted || overBudget || tooLate {
		return false
	}
	if !r.mayHaveRun() {
		return true
	}
	if r.class.Idempotency == NonIdempotent {
		return false
	}
	allowed := func(w *worker) bool { return d.attemptAllowed(r, w) }
	return r.inFlight > 0 || slices.ContainsFunc(d.activeWorkers, allowed)
}

// atConcurrencyLimit reports whether w, or the fleet, has as many attempts of this router in flight as it
// may.
func (d *Dispatcher) atConcurrencyLimit(w *worker) bool {
	return w.inFlight >= max(w.concurrencyLimit, 1) || d.inFlight >= max(d.fleetLimit*d.fleetShare, 1)
}

// releaseConcurrency takes an attempt out of the limits when it has ended or is overdue by what responses
// take of late; those that are never answered, by unresponsive workers or a store that stands still, would
// use up the limits.
func (d *Dispatcher) releaseConcurrency(a *attempt) {
	if a.ended || (d.now-a.startedAt).Seconds() > overdueMultiple*d.meanResponseTime {
		d.removeWeight(a)
	}
}

// adjustFleetLimit bounds what this router has in flight. Each of many routers has less than one attempt in
// flight at a worker, so one limit holds for all workers. It shrinks when a request, light by its expected
// work, gets no response or one later than a load explains. Attempts at copies not known to be loaded count
// by the chance that they are. It hurts where few workers make many responses late.
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

// recordResponse learns from a response: the retry budget, the chance that a copy is loaded, the function's
// run time, and the worker's limit and slowness. A response that may have waited for a load tells nothing of
// the last three.
func (d *Dispatcher) recordResponse(a *attempt, e AttemptEnded) {
	r, w := a.request, a.worker
	r.function.served = true
	d.retryBudget = min(d.retryBudget+1, retryBudgetBurst)
	took := e.Duration.Seconds()
	d.meanResponseTime += meanSmoothing * (took - d.meanResponseTime)
	d.recordResidency(a, e)
	waited := !a.expectedResident
	if d.settings.CacheStatusReported {
		waited = e.CacheStatus != CacheHit
	}
	if !waited {
		d.adjustLimit(w, r, took)
		d.recordRunTime(a, took)
	}
	d.workServed += r.class.meanWork
	d.servedCount++
}

// recordResidency learns how often a worker holds a copy that this router does not know of.
func (d *Dispatcher) recordResidency(a *attempt, e AttemptEnded) {
	if a.expectedResident {
		return
	}
	quick := e.Duration < d.expectedLoadTime(a.request.function)/2
	if e.CacheStatus == CacheHit || e.CacheStatus == CacheUnknown && quick {
		d.residentChance += meanSmoothing * (1 - d.residentChance)
	} else {
		d.residentChance -= meanSmoothing * d.residentChance
	}
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

// recordRunTime divides what a response took more or less than expected between the function and the worker.
func (d *Dispatcher) recordRunTime(a *attempt, took float64) {
	r, f, w := a.request, a.request.function, a.worker
	deviation := math.Log(max(took, minResponseTime)/r.workUnit) - f.logRunTime - w.slowness
	deviation = min(max(deviation, -maxRunTimeError), maxRunTimeError)
	f.logRunTime += runTimeSmoothing * deviation / float64(1+a.concurrent)
	w.slowness = min(max(w.slowness+workerSmoothing*deviation, minSlowness), maxSlowness)
	if r.ExpectedWork == 0 {
		r.class.meanWork += workerSmoothing * (took - r.class.meanWork)
	}
}
