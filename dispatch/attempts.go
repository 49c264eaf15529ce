package dispatch

import "math"

// This file starts attempts and takes their ends.

// startAttempt forwards a request to a worker. Every attempt passes here.
func (d *Dispatcher) startAttempt(r *request, w *worker) {
	if !d.admitAttempt(r, w) {
		return
	}
	a := &attempt{request: r, worker: w, number: len(r.attempts), startedAt: d.now}
	a.concurrent = len(w.attempts)
	a.expectedResident = d.now < r.function.placementOn(w).residentUntil
	a.expectedSeconds = math.Exp(r.function.logRunTime+w.slowness) * r.workUnit
	if !a.expectedResident && d.settings.WorkersLoadOnMiss {
		a.expectedSeconds += d.expectedLoadTime(r.function).Seconds()
	}
	a.weight = d.residentChance
	if a.expectedResident {
		a.weight = 1
	}
	d.addAttempt(a)
	d.setRequestTimer(r, d.now+seconds(overdueMultiple*d.meanResponseTime)+overdueMargin)
	if a.number > 0 && r.attempts[a.number-1].failed {
		d.retryBudget--
	}
	w.slowStartTokens -= r.class.meanWork
	d.emit(StartAttempt{ID: r.ID, Worker: w.ID})
}

// responseStarted takes the start of a streamed response. From then on the attempt belongs to the client:
// nothing more is started for the request, it is not rejected, and only its deadline ends it, with a
// FailRequest. How long the stream lasts says nothing of the worker's health, as its reader may be slow: the
// worker was heard, and the attempt raises no suspicion. Against the concurrency limits it counts until it
// would be overdue, or slow readers would use them up.
func (d *Dispatcher) responseStarted(e ResponseStarted) {
	a := d.openAttempt(e.ID, e.Attempt)
	if a == nil || a.request.done || a.request.streaming != nil {
		return
	}
	r := a.request
	r.streaming, r.needsAttempt, a.firstMessageAfter = a, false, max(e.Duration, 1)
	d.markResponsive(a.worker)
	a.worker.removeAttempt(a)
}

// attemptEnded takes the end of an attempt: first what it says of the worker, then what it means for the
// request.
func (d *Dispatcher) attemptEnded(e AttemptEnded) {
	a := d.openAttempt(e.ID, e.Attempt)
	if a == nil {
		return
	}
	r := a.request
	a.ended = true
	if a.firstMessageAfter > 0 {
		e.Duration = a.firstMessageAfter // how long the client read the stream is not the worker's time
	}
	a.mayHaveRun = !e.Result.provesNotRun()
	a.failed = e.Result != OK && e.Result != NotResident && e.Result != NotSent
	d.recordAttempt(a, e)
	switch {
	case e.Final || r.done:
		d.closeRequest(r)
	case r.inFlight == 0:
		d.retryRequest(r, a.worker, e.Result)
	}
}

// recordAttempt learns from the end of an attempt.
func (d *Dispatcher) recordAttempt(a *attempt, e AttemptEnded) {
	r, w := a.request, a.worker
	p := r.function.ensurePlacement(w)
	d.removeAttempt(a)
	weight := a.weight
	d.releaseConcurrency(a)
	if e.Result != TimedOut && e.Result != NotSent && e.Result != Cancelled {
		d.markResponsive(w)
	}
	classFault := d.isClassFault(a, e)
	if classFault {
		d.ejectClass(w, r.class)
	} else if e.LoadReport.InFlight >= 0 {
		d.recordLoadReport(w, e.LoadReport.InFlight)
	}
	d.adjustFleetLimit(r, e, weight)
	switch e.Result {
	case OK:
		d.recordResponse(a, e)
		d.recordClassServed(w, r.class)
		p.residentUntil, p.loadFailures = max(p.residentUntil, d.now+d.settings.IdleResidency), 0
	case NotResident:
		p.residentUntil = 0
	case Rejected:
		if classFault || a.expectedResident {
			w.concurrencyLimit = max(w.concurrencyLimit*rejectionFactor, minLimit/float64(d.settings.Routers))
		} else {
			d.backOffLoads(p) // no memory for a load, more likely than a full queue
		}
	case ConnectFailed, ConnectionReset:
		d.suspect(w)
	}
	if e.CacheStatus == CacheLoadFailed {
		d.backOffLoads(p)
	}
}
