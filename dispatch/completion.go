package dispatch

import "time"

// This file ends requests, each with one final answer.

// graceDivisor: this part of the response grace is used after a deadline, to wait for a response that is on
// its way.
const graceDivisor = 4

// minServedRate bounds the advised wait where nothing was served, in requests a second.
const minServedRate = 1e-3

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

// finishUnserved gives a final answer that is not a response. It is a rejection where a retry by the client
// is harmless, and a failure elsewhere. There is no other way to end a request without a response.
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

// retryAfter advises a client when to retry: when this router's requests should be served at its present
// rate, with jitter, as those rejected together must not return together.
func (d *Dispatcher) retryAfter() time.Duration {
	queue := float64(len(d.requests))
	wait := min(queue/max(d.servedRate, minServedRate), d.settings.MaxRetryAfter.Seconds())
	return seconds(wait * (0.5 + d.random.Float64()/2))
}
