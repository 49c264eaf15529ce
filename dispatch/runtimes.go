package dispatch

import (
	"math"
	"time"
)

// This file estimates run times from responses, by function and by worker.

const (
	defaultRunTime   = 100 * time.Millisecond // before any run time is known
	overdueMultiple  = 3                      // overdue after this multiple of the usual time
	overdueMargin    = 100 * time.Millisecond // added to that multiple
	runTimeSmoothing = 0.1                    // weight of one response in a function's run time
	workerSmoothing  = 0.06                   // weight of one response in a worker's slowness
	meanSmoothing    = 0.05                   // weight of one report or response in the mean of all
	maxRunTimeError  = 1.5                    // limit of the deviation of one response, as a logarithm
	minSlowness      = -1.0
	maxSlowness      = 2.5
	minResponseTime  = 1e-4 // seconds
)

// recordResponse updates the retry budget, the chance that a copy is loaded, the function's run time, and the
// worker's concurrency limit and slowness. A response that may have waited for a load does not change the
// last three.
func (d *Dispatcher) recordResponse(a *attempt, e AttemptEnded) {
	r := a.request
	d.markServed(r.function)
	d.retryBudget = min(d.retryBudget+1, retryBudgetBurst)
	took := e.Duration.Seconds()
	d.meanResponseTime = smooth(d.meanResponseTime, took, meanSmoothing)
	d.recordResidency(a, e)
	waited := !a.expectedResident
	if d.settings.CacheStatusReported {
		waited = e.CacheStatus != CacheHit
	}
	if !waited {
		d.adjustLimit(a.worker, r, took)
		d.recordRunTime(a, took)
	}
	d.workServed += r.class.meanWork
	d.servedCount++
}

// recordResidency updates the chance that a worker holds a copy that this router does not know of.
func (d *Dispatcher) recordResidency(a *attempt, e AttemptEnded) {
	if a.expectedResident {
		return
	}
	quick := e.Duration < d.expectedLoadTime(a.request.function)/2
	if e.CacheStatus == CacheHit || e.CacheStatus == CacheUnknown && quick {
		d.residentChance = smooth(d.residentChance, 1, meanSmoothing)
	} else {
		d.residentChance = smooth(d.residentChance, 0, meanSmoothing)
	}
}

// recordRunTime updates the run time of the function and the slowness of the worker with the deviation of a
// response from the expected time.
func (d *Dispatcher) recordRunTime(a *attempt, took float64) {
	r := a.request
	f := r.function
	w := a.worker
	deviation := math.Log(max(took, minResponseTime)/r.workUnit) - f.logRunTime - w.slowness
	deviation = min(max(deviation, -maxRunTimeError), maxRunTimeError)
	f.logRunTime += runTimeSmoothing * deviation / float64(1+a.concurrent)
	w.slowness = min(max(w.slowness+float64(workerSmoothing*deviation), minSlowness), maxSlowness)
	if r.ExpectedWork == 0 {
		r.class.meanWork = smooth(r.class.meanWork, took, workerSmoothing)
	}
}

// expectedRunTime returns the expected run time of a request, without a load.
func (r *request) expectedRunTime() time.Duration {
	return seconds(math.Exp(r.function.logRunTime) * r.workUnit)
}

// overdueAt returns the time at which an attempt becomes overdue.
func (d *Dispatcher) overdueAt(a *attempt) time.Duration {
	return a.startedAt + seconds(a.expectedSeconds+float64(overdueMultiple*d.meanResponseTime))
}
