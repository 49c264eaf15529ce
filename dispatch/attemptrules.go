package dispatch

import "slices"

// This file contains the rules that every attempt has to satisfy.

// minRunTimeDivisor: no attempt is started if less than the expected run time, divided by this, is left
// until the deadline.
const minRunTimeDivisor = 2

// admitAttempt reports whether the rules allow an attempt of a request at a worker now. It refills the
// token bucket of a worker in slow start.
func (d *Dispatcher) admitAttempt(r *request, w *worker) bool {
	if !d.mayGetAttempt(r) || w.State != EndpointActive {
		return false
	}
	isHedged := r.inFlight > 0
	if isHedged && !d.settings.HedgingAllowed {
		return false
	}
	for _, a := range r.attempts {
		if (!a.ended || a.mayHaveRun) && !d.repeatAllowed(r, a, w) {
			return false
		}
	}
	return d.slowStartAllowsAttempt(w)
}

// mayGetAttempt reports whether a request may get another attempt, at any worker.
func (d *Dispatcher) mayGetAttempt(r *request) bool {
	if r.done || r.streaming != nil {
		return false
	}
	return d.now < r.deadline && len(r.attempts) < d.settings.MaxAttempts
}

// repeatAllowed reports whether a request may run again on w after an attempt that may have run.
func (d *Dispatcher) repeatAllowed(r *request, a *attempt, w *worker) bool {
	switch r.class.Idempotency {
	case Idempotent:
		return true
	case IdempotentByKey:
		scope := r.class.DeduplicationScope
		if scope != ScopeAll && !d.identityProven(a) {
			return false
		}
		sameScope := scope.covers(a.identity.endpoint, w.identity.endpoint) && d.mayReachListedProcess(r, w)
		return sameScope && d.now-a.startedAt < r.class.DeduplicationWindow
	case NonIdempotent:
		return false
	}
	return false
}

// attemptObstacle returns why a request may not get another attempt, or CauseNone if it may. The reasons:
// its attempts are used up, it can't be served before its deadline, the retry budget is used up, or an
// earlier attempt may have run and no worker may repeat it.
func (d *Dispatcher) attemptObstacle(r *request) EndCause {
	switch {
	case r.streaming != nil || len(r.attempts) >= d.settings.MaxAttempts:
		return CauseAttemptsExhausted
	case r.inFlight == 0 && d.now+r.expectedRunTime()/minRunTimeDivisor >= r.deadline:
		return CauseTooLate
	case d.isOverRetryBudget(r):
		return CauseRetryBudget
	case !r.mayHaveRun():
		return CauseNone
	case r.class.Idempotency == NonIdempotent:
		return CauseMayHaveRun
	case r.inFlight > 0 || d.mayRepeatOnAnyWorker(r):
		return CauseNone
	case d.ranInUnprovenProcess(r):
		return CauseIdentityUnproven
	default:
		return CauseMayHaveRun
	}
}

// ranInUnprovenProcess reports whether the deduplication scope of a request is unknown, because an attempt
// may have run in another process than the one that the endpoint list names.
func (d *Dispatcher) ranInUnprovenProcess(r *request) bool {
	if r.class.Idempotency != IdempotentByKey || r.class.DeduplicationScope == ScopeAll {
		return false
	}
	isUnproven := func(a *attempt) bool { return a.mayHaveRun && !d.identityProven(a) }
	return slices.ContainsFunc(r.attempts, isUnproven)
}

// isOverRetryBudget reports whether the next attempt of a request would be a retry that the budget does not
// allow. The budget grows only with responses. So retries do not multiply the load when many workers reject
// requests at the same time because of an overload, a lack of memory or a stalled store. False positives: a
// few workers that reject many requests use up the budget for all.
func (d *Dispatcher) isOverRetryBudget(r *request) bool {
	n := len(r.attempts)
	return n > 0 && r.attempts[n-1].failed && d.retryBudget < 1
}

// mayRepeatOnAnyWorker reports whether at least one worker may repeat a request that may have run.
func (d *Dispatcher) mayRepeatOnAnyWorker(r *request) bool {
	return slices.ContainsFunc(d.activeWorkers, func(w *worker) bool { return d.admitAttempt(r, w) })
}
