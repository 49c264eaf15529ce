package dispatch

import (
	"math"
)

// This file holds the rules that every attempt passes, and slow start: warmingUp, slowStartTokens.

const minSlowStartFraction = 0.01

// attemptAllowed reports whether the rules let a request go to a worker now.
func (d *Dispatcher) attemptAllowed(r *request, w *worker) bool {
	if r.done || r.streaming != nil || d.now >= r.deadline || len(r.attempts) >= d.settings.MaxAttempts {
		return false
	}
	if w.State != EndpointActive || r.inFlight > 0 && !d.settings.HedgingAllowed {
		return false
	}
	for _, a := range r.attempts {
		if (!a.ended || a.mayHaveRun) && !d.repeatAllowed(r, a, w) {
			return false
		}
	}
	return d.slowStartAllows(w)
}

// repeatAllowed reports whether a request whose attempt a may have run may run again on w.
func (d *Dispatcher) repeatAllowed(r *request, a *attempt, w *worker) bool {
	switch r.class.Idempotency {
	case Idempotent:
		return true
	case IdempotentByKey:
		sameScope := r.class.DeduplicationScope.covers(a.worker.Endpoint, w.Endpoint)
		return sameScope && d.now-a.startedAt < r.class.DeduplicationWindow
	}
	return false
}

// startAttempt forwards a request to a worker. Every attempt passes here.
func (d *Dispatcher) startAttempt(r *request, w *worker) {
	if !d.attemptAllowed(r, w) {
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

// slowStartFraction is the fraction of its capacity that a worker surely has.
func (d *Dispatcher) slowStartFraction(w *worker) float64 {
	if !w.warmingUp || d.settings.SlowStartDuration == 0 {
		return 1
	}
	progress := max(0, float64(d.now-w.StartedAt)/float64(d.settings.SlowStartDuration))
	fraction := d.settings.SlowStartShare + (1-d.settings.SlowStartShare)*progress
	return min(max(fraction, minSlowStartFraction), 1)
}

// slowStartAllows reports whether a worker may be sent an attempt. If it is warming up, this refills its token bucket first. The
// bucket keeps this router's part of what such a worker can take: the fair share of the work that this router
// has served, which no overload raises, times the fraction of its capacity that the worker surely has.
func (d *Dispatcher) slowStartAllows(w *worker) bool {
	if !w.warmingUp {
		return true
	}
	rate := d.slowStartFraction(w) * d.workRate / float64(max(len(d.activeWorkers), 1))
	refilled := w.slowStartTokens + rate*(d.now-w.tokensUpdatedAt).Seconds()
	w.slowStartTokens = min(refilled, rate*d.settings.OverloadWindow.Seconds())
	w.tokensUpdatedAt = d.now
	return w.slowStartTokens > 0
}

// resetSlowStartTokens empties the bucket of a worker that begins or ends its slow start. One of many routers
// may start far less than one request at once, so each saves up tokens from a random phase.
func (d *Dispatcher) resetSlowStartTokens(w *worker) {
	meanWork := max(d.workRate/max(d.requestRate, negligible), defaultRunTime.Seconds())
	w.slowStartTokens = -d.random.Float64() * meanWork
	w.tokensUpdatedAt = d.now
}
