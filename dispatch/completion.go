package dispatch

import "time"

// This file ends requests, each with one final answer.

const (
	graceDivisor = 4 // part of the response grace used after the deadline
)

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
