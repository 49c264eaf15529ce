package dispatch

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// This file retries requests: after a failed attempt, after a delay, and when a worker may be available
// again.

const (
	pendingBackoff      = 30 * time.Millisecond // first delay of a retry, doubled each time
	maxBackoffDoublings = 5                     // limit of the doublings of pendingBackoff
	maxBackoffExponent  = 4                     // limit of the doublings in backoffWithJitter
	latePenalty         = idleFunctionTTL       // moves requests that miss their objective to the end
)

// requestTimerFired handles a timer of a request: its deadline, an attempt that may be overdue, or the end of
// a delay.
func (d *Dispatcher) requestTimerFired(r *request) {
	switch {
	case d.now >= r.deadline:
		d.finishUnserved(r, CauseDeadline)
	case r.inFlight > 0:
		last := r.attempts[len(r.attempts)-1]
		d.releaseConcurrency(last)
		d.countTimeout(last)
	case r.needsAttempt:
		d.routeRequest(r)
	}
}

// retryRequest continues a request after an attempt at w ended without a final answer.
func (d *Dispatcher) retryRequest(r *request, w *worker, result Result) {
	obstacle := d.attemptObstacle(r)
	switch {
	case obstacle != CauseNone:
		d.finishUnserved(r, obstacle)
	case result == NotResident && d.commandLoad(r.function, w, 1, LoadForRequest):
		d.routeRequest(r)
	case result == NotResident && w.loadsInFlight < maxLoadsInFlight,
		result == Rejected && len(r.attempts) >= 2:
		r.needsAttempt = true
		d.setRequestTimer(r, d.now+pendingBackoff<<min(r.backoffCount, maxBackoffDoublings))
		r.backoffCount++
	default:
		d.routeRequest(r)
	}
}

// retryPending routes the pending requests again. Requests that can still meet their latency objective go
// first, the newest of them before the others: in an overload the older ones would be late anyway and would
// make the newer ones late, too. Once a request finds no worker, the other requests of its function stay
// pending without a search. A request that finds no worker and misses its objective is rejected at once
// instead of at its deadline. Cost: a late response would still have had a part of its value.
func (d *Dispatcher) retryPending() {
	waiting := withoutCopies(d.pending)
	d.pending = nil
	for _, r := range waiting {
		r.retryOrder = r.acceptedAt
		if d.missesObjective(r) {
			r.retryOrder -= latePenalty
		}
	}
	slices.SortStableFunc(waiting, func(a, b *request) int { return cmp.Compare(b.retryOrder, a.retryOrder) })
	blocked := map[*function]bool{}
	for _, r := range waiting {
		if !r.done && r.needsAttempt && r.inFlight == 0 {
			d.retryOnePending(r, blocked)
		}
	}
}

// retryOnePending routes a pending request, unless another request of its function has just found no worker.
func (d *Dispatcher) retryOnePending(r *request, blocked map[*function]bool) {
	late := r.retryOrder < r.acceptedAt
	before := len(d.pending)
	if blocked[r.function] && len(r.attempts) == 0 {
		d.pending = append(d.pending, r)
	} else {
		d.routeRequest(r)
		blocked[r.function] = len(d.pending) > before
	}
	if blocked[r.function] && late {
		d.finishUnserved(r, CauseOverload)
		d.pending = d.pending[:before]
	}
}

// missesObjective reports whether a request can no longer be served within its latency objective.
func (d *Dispatcher) missesObjective(r *request) bool {
	return d.now-r.acceptedAt+r.expectedRunTime() > r.class.LatencyObjective
}

// backoffWithJitter returns a random backoff that doubles with each failure. The jitter keeps routers from
// retrying at the same time.
func (d *Dispatcher) backoffWithJitter(base time.Duration, failures int) time.Duration {
	factor := math.Exp2(float64(min(failures, maxBackoffExponent)))
	return time.Duration(float64(base) * factor * (0.75 + float64(d.random.Float64()/2)))
}
