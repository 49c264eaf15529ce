package dispatch

import "math"

// This file starts attempts and handles their results.

// startAttempt starts an attempt of a request at a worker, if the rules allow it. All attempts are started
// here.
func (d *Dispatcher) startAttempt(r *request, w *worker) {
	if !d.admitAttempt(r, w) || !d.holdsLease(w) {
		return
	}
	a := d.newAttempt(r, w)
	d.addAttempt(a)
	d.setRequestTimer(r, d.now+seconds(overdueMultiple*d.meanResponseTime)+overdueMargin)
	isRetry := a.number > 0 && r.attempts[a.number-1].failed
	if isRetry {
		d.retryBudget--
	}
	w.slowStartTokens -= r.class.meanWork
	if w.proof.unproven {
		w.proof.trialTokens--
	}
	d.emit(StartAttempt{
		ID:              r.ID,
		Worker:          w.ID,
		SendBefore:      d.sendBefore(w),
		ConnectedBefore: a.connectedBefore,
		Unproven:        w.proof.unproven,
	})
}

// newAttempt returns an attempt with its expected duration and its weight.
func (d *Dispatcher) newAttempt(r *request, w *worker) *attempt {
	a := &attempt{
		request:          r,
		worker:           w,
		identity:         w.identity,
		connectedBefore:  d.connectedBefore(r),
		number:           len(r.attempts),
		concurrent:       len(w.attempts),
		startedAt:        d.now,
		expectedResident: d.now < r.function.placementOn(w).residentUntil,
		weight:           d.residentChance,
	}
	a.expectedSeconds = math.Exp(r.function.logRunTime+w.slowness) * r.workUnit
	if !a.expectedResident && d.settings.WorkersLoadOnMiss {
		a.expectedSeconds += d.expectedLoadTime(r.function).Seconds()
	}
	if a.expectedResident {
		a.weight = 1
	}
	return a
}

// handleResponseStarted handles the start of a streamed response. As the client already has a part of it, the
// request gets no further attempt and is not rejected; at its deadline it ends with a FailRequest. The length
// of the stream says nothing about the worker's health, because the client may read slowly: the attempt
// causes no suspicion. It counts against the concurrency limits only until it would be overdue, because slow
// readers would use them up otherwise.
func (d *Dispatcher) handleResponseStarted(e ResponseStarted) {
	a := d.attemptInFlight(e.ID, e.Attempt)
	if a == nil || a.request.done || a.request.streaming != nil {
		return
	}
	r := a.request
	r.streaming = a
	r.needsAttempt = false
	a.firstMessageAfter = max(e.Duration, 1)
	d.markResponsive(a.worker)
	d.renewLease(a.worker, a.startedAt)
	d.recordTimeRatio(a, a.firstMessageAfter)
	a.worker.removeAttempt(a)
}

// handleAttemptEnded handles the end of an attempt: it first updates the state of the worker, then retries or
// closes the request.
func (d *Dispatcher) handleAttemptEnded(e AttemptEnded) {
	a := d.attemptInFlight(e.ID, e.Attempt)
	if a == nil {
		return
	}
	r := a.request
	a.ended = true
	if a.firstMessageAfter > 0 {
		e.Duration = a.firstMessageAfter // without the time in which the client read the stream
	}
	a.mayHaveRun = !e.Result.provesNotRun()
	a.connectedAt = e.ConnectedAt
	if e.Result == NotSent && a.connectedBefore > 0 {
		a.worker.notConnectedBefore = a.connectedBefore
	}
	a.rejected = e.Result == Rejected
	a.failed = e.Result != OK && e.Result != NotResident && e.Result != NotSent
	d.recordAttemptEnd(a, e)
	switch {
	case e.Final || r.done:
		d.closeRequest(r)
	case r.inFlight == 0:
		d.retryRequest(r, a.worker, e.Result)
	}
}

// recordAttemptEnd updates the state of the worker and the concurrency limits after the end of an attempt.
func (d *Dispatcher) recordAttemptEnd(a *attempt, e AttemptEnded) {
	r := a.request
	w := a.worker
	d.removeAttempt(a)
	weight := a.weight
	d.releaseConcurrency(a)
	if e.Result.provesResponsive() {
		d.markResponsive(w)
	}
	classFault := d.isClassFault(a, e)
	if classFault {
		d.ejectClass(w, r.class)
	} else if e.LoadReport.InFlight >= 0 {
		d.recordLoadReport(w, e.LoadReport.InFlight)
	}
	d.adjustFleetLimit(r, e, weight)
	d.recordResult(a, e, classFault)
}

// recordResult updates the state of the worker, the function and its placement after the end of an attempt,
// by the result and the cache status.
func (d *Dispatcher) recordResult(a *attempt, e AttemptEnded, classFault bool) {
	w := a.worker
	p := a.request.function.ensurePlacement(w)
	switch e.Result {
	case OK:
		d.renewLease(w, a.startedAt)
		if a.firstMessageAfter == 0 { // that of a stream was recorded when it started
			d.recordTimeRatio(a, e.Duration)
		}
		d.recordResponse(a, e)
		d.recordClassServed(w, a.request.class)
		p.residentUntil = max(p.residentUntil, d.now+d.settings.IdleResidency)
		p.loadFailures = 0
	case NotResident:
		p.residentUntil = 0
	case Rejected:
		d.endLease(w)
		if classFault || a.expectedResident {
			d.lowerLimit(w)
		} else {
			d.backOffLoads(p) // more likely a lack of memory for a load than a full queue
		}
	case ConnectFailed, ConnectionReset:
		d.recordContactLoss(w)
		d.suspect(w)
	case Errored, TimedOut, Cancelled, NotSent:
		// isClassFault handles errors, countTimeout timeouts. The others say nothing about the worker.
	}
	if e.CacheStatus == CacheLoadFailed {
		d.backOffLoads(p)
	}
}
