package dispatch

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// This file retries requests: after an attempt that failed, after a wait, and while no worker was
// available.

const (
	pendingBackoff      = 30 * time.Millisecond // first wait of a request between attempts, doubled each time
	maxBackoffDoublings = 5                     // so many times at the most
	maxBackoffExponent  = 4                     // of backoffWithJitter
	latePenalty         = idleFunctionTTL       // puts requests that miss their objective last
)

// requestTimerFired looks at a request again: at its deadline, while its attempt is in flight, or after a
// wait.
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

// retryPending routes the pending requests again. Those that can still meet their objective go first, the
// newest before the others: in an overload the older ones are late anyway and would make these late, too.
// Once a request finds no worker, the others of its function wait without a search. One that finds none and
// misses its objective is rejected at once, not at its deadline. Cost: a late response that would still
// have earned a part of its value is lost.
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

// backoffWithJitter draws a backoff that doubles with each time. The jitter keeps routers from acting at
// one moment.
func (d *Dispatcher) backoffWithJitter(base time.Duration, failures int) time.Duration {
	factor := math.Exp2(float64(min(failures, maxBackoffExponent)))
	return time.Duration(float64(base) * factor * (0.75 + d.random.Float64()/2))
}
