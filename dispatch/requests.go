package dispatch

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// This file follows a request from acceptance to its final answer: Dispatcher.requests and pending.

const (
	pendingBackoff    = 30 * time.Millisecond // first wait of a request between attempts, doubled each time
	maxBackoffDouble  = 5                     // so many times at the most
	latePenalty       = idleFunctionTTL       // puts requests that miss their objective last
	graceDivisor      = 4                     // part of the response grace used after the deadline
	minRunTimeDivisor = 2                     // no attempt starts with less of its run time left
)

// acceptRequest takes a new request.
func (d *Dispatcher) acceptRequest(e Request) {
	c := d.classNamed(e.Class)
	r := &request{Request: e, class: c, acceptedAt: d.now, workUnit: 1}
	r.deadline = d.now + max(e.RemainingDeadline, 0)
	logRunTime := math.Log(defaultRunTime.Seconds())
	if e.ExpectedWork > 0 {
		r.workUnit, logRunTime = e.ExpectedWork.Seconds(), 0
		c.meanWork += workerSmoothing * (r.workUnit - c.meanWork)
	}
	f := d.functionNamed(e.Function, logRunTime, r.workUnit)
	r.function, f.lastClass, f.lastRequestAt = f, c, d.now
	f.recordRequest(e)
	f.meanWorkUnit += runTimeSmoothing * (r.workUnit - f.meanWorkUnit)
	if d.settings.LoadRateWindow > 0 {
		d.requestTimes = append(d.requestTimes, d.now)
	}
	d.requests[e.ID] = r
	d.setRequestTimer(r, r.deadline+d.settings.ResponseGrace/graceDivisor)
	d.routeRequest(r)
}

// routeRequest starts an attempt, has the request wait for a load, a load report or a worker, or ends it.
func (d *Dispatcher) routeRequest(r *request) {
	r.needsAttempt = true
	if !d.mayAttempt(r) {
		if r.inFlight == 0 {
			d.finishUnserved(r)
		}
		return
	}
	w := d.selectWorker(r)
	switch {
	case w == nil:
		if r.inFlight == 0 {
			d.pending = append(d.pending, r)
		}
	case d.loadInProgress(r.function, w):
		d.awaitLoad(r, r.function.ensurePlacement(w))
	case d.wantsLoadReport(r, w):
		d.awaitLoadReport(r, w)
	default:
		d.startAttempt(r, w)
	}
}

// loadInProgress reports whether w will hold f when its load command in flight has its result.
func (d *Dispatcher) loadInProgress(f *function, w *worker) bool {
	p := f.placementOn(w)
	return p.loadCommandedAt > 0 && d.now >= p.residentUntil && !d.loadOverdue(f, p)
}

// awaitLoad has a request wait for a load, or ends it if the load is too late for it.
func (d *Dispatcher) awaitLoad(r *request, p *placement) {
	loadedAt := p.loadCommandedAt + d.expectedLoadTime(r.function)
	if loadedAt+r.expectedRunTime()/minRunTimeDivisor >= r.deadline {
		d.finishUnserved(r)
		return
	}
	p.awaitingLoad = append(p.awaitingLoad, r)
	d.setRequestTimer(r, p.loadCommandedAt+d.loadOverdueAfter(r.function)+timerSlack)
}

// requestTimerFired looks at a request again: at its deadline, while its attempt is in flight, or after a
// wait.
func (d *Dispatcher) requestTimerFired(r *request) {
	switch {
	case d.now >= r.deadline:
		d.finishUnserved(r)
	case r.inFlight > 0:
		last := r.attempts[len(r.attempts)-1]
		d.releaseConcurrency(last)
		d.detectTimeout(last)
	case r.needsAttempt:
		d.routeRequest(r)
	}
}

// retryPending routes the pending requests again: first those that can meet their objective, newest first, as
// in an overload the others are lost already and would take more with them. One that finds no worker stands
// for the others of its function. One that finds none and misses its objective is rejected at once and not
// when its client has left. That hurts where a late response is worth much and a worker becomes available
// soon.
func (d *Dispatcher) retryPending() {
	waiting := d.pending
	d.pending = nil
	for _, r := range waiting {
		r.retryOrder = r.acceptedAt
		if d.missesObjective(r) {
			r.retryOrder -= latePenalty
		}
	}
	slices.SortStableFunc(waiting, func(a, b *request) int { return cmp.Compare(b.retryOrder, a.retryOrder) })
	blocked := map[*function]bool{}
	for _, r := range slices.Compact(waiting) {
		if !r.done && r.needsAttempt && r.inFlight == 0 {
			d.retryOnePending(r, blocked)
		}
	}
}

// retryOnePending routes a pending request, unless one of its function just found no worker.
func (d *Dispatcher) retryOnePending(r *request, blocked map[*function]bool) {
	late, before := r.retryOrder < r.acceptedAt, len(d.pending)
	if blocked[r.function] && len(r.attempts) == 0 {
		d.pending = append(d.pending, r)
	} else {
		d.routeRequest(r)
		blocked[r.function] = len(d.pending) > before
	}
	if blocked[r.function] && late {
		d.finishUnserved(r)
		d.pending = d.pending[:before]
	}
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
	d.heard(a.worker)
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
		d.heard(w)
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
		d.forgiveClass(w, r.class)
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

// retryRequest continues a request after an attempt at w ended without a final answer.
func (d *Dispatcher) retryRequest(r *request, w *worker, result Result) {
	switch {
	case !d.mayAttempt(r):
		d.finishUnserved(r)
	case result == NotResident && d.commandLoad(r.function, w, 1):
		d.routeRequest(r)
	case result == NotResident && w.pendingLoads < maxPendingLoads,
		result == Rejected && len(r.attempts) >= 2:
		r.needsAttempt = true
		d.setRequestTimer(r, d.now+pendingBackoff<<min(r.backoffs, maxBackoffDouble))
		r.backoffs++
	default:
		d.routeRequest(r)
	}
}

// closeRequest ends a request: its attempts still in flight are cancelled.
func (d *Dispatcher) closeRequest(r *request) {
	if r.inFlight == 0 {
		delete(d.requests, r.ID)
	}
	for _, a := range r.attempts {
		if !r.done && d.settings.CancelAllowed && !a.ended {
			d.emit(CancelAttempt{ID: r.ID, Attempt: a.number})
		}
	}
	r.done = true
}

// finishUnserved gives a final answer that is not a response; all of these pass here. It is a rejection where
// a retry by the client is harmless, and a failure elsewhere.
func (d *Dispatcher) finishUnserved(r *request) {
	if r.done {
		return
	}
	harmless := r.class.Idempotency == Idempotent || !r.mayHaveRun() ||
		r.class.Idempotency == IdempotentByKey && r.class.DeduplicationScope == ScopeAll
	if r.streaming == nil && harmless {
		d.emit(RejectRequest{ID: r.ID, RetryAfter: d.retryAfter()})
	} else {
		d.emit(FailRequest{ID: r.ID})
	}
	d.closeRequest(r)
}

// retryAfter advises a client when to retry: when this router's requests should be served at its present
// rate, with jitter, as those rejected together must not return together.
func (d *Dispatcher) retryAfter() time.Duration {
	wait := min(float64(len(d.requests))/max(d.servedRate, 1e-3), d.settings.MaxRetryAfter.Seconds())
	return seconds(wait * (0.5 + d.random.Float64()/2))
}
