package dispatch

import "time"

// This file ends requests. Each request gets one final answer.

// graceDivisor: after the deadline of a request, the router waits for a late response for the response grace
// divided by this.
const graceDivisor = 4

// minServedRate, in requests per second, replaces a lower rate in the calculation of Retry-After.
const minServedRate = 1e-3

// closeRequest ends a request and cancels its attempts in flight.
func (d *Dispatcher) closeRequest(r *request) {
	r.stopAwaitingLease()
	if r.inFlight == 0 && d.requests[r.ID] == r {
		delete(d.requests, r.ID)
		r.function.openRequests--
	}
	for _, a := range r.attempts {
		if !r.done && d.settings.CancelAllowed && !a.ended {
			d.emit(CancelAttempt{ID: r.ID, Attempt: a.number})
		}
	}
	r.done = true
}

// finishUnserved gives a request a final answer without a response: a rejection if a retry by the client is
// harmless, otherwise a failure. All requests that end without a response end here.
func (d *Dispatcher) finishUnserved(r *request, cause EndCause) {
	if r.done {
		return
	}
	if r.streaming == nil && r.isRepeatHarmless() {
		d.emit(RejectRequest{ID: r.ID, RetryAfter: d.retryAfter(), Cause: cause})
	} else {
		d.emit(FailRequest{ID: r.ID, Cause: cause})
	}
	d.closeRequest(r)
}

// isRepeatHarmless reports whether a retry by the client, at any router and worker, has no second effect.
func (r *request) isRepeatHarmless() bool {
	switch r.class.Idempotency {
	case Idempotent:
		return true
	case IdempotentByKey:
		return r.class.DeduplicationScope == ScopeAll || !r.mayHaveRun()
	case NonIdempotent:
		return !r.mayHaveRun()
	}
	return !r.mayHaveRun()
}

// retryAfter returns the Retry-After of a rejection: the time in which this router would serve all of its
// requests at the present rate. The jitter keeps clients that are rejected together from returning together.
func (d *Dispatcher) retryAfter() time.Duration {
	queue := float64(len(d.requests))
	wait := min(queue/max(d.servedRate, minServedRate), d.settings.MaxRetryAfter.Seconds())
	return seconds(wait * (0.5 + float64(d.random.Float64()/2)))
}
