package router

import (
	"time"

	"github.com/topazfront/topazfront/dispatch"
)

// StartShutdown makes the router give every call its final answer within the given time, after which the process is
// killed. The router still accepts calls, and the limit applies to them, too.
func (r *Router) StartShutdown(within time.Duration) {
	r.post(func() {
		r.shutdownDeadline = r.turnTime + within
		r.events = append(r.events, dispatch.ShutdownStarted{AnswerWithin: within})
	})
}

// Stop ends the loop once every call has its final answer and no attempt is in flight, and returns when the loop has
// ended. The servers must have stopped submitting calls. After the timeout the loop ends in any case, and
// answerRemaining answers the calls that the dispatcher has not answered. unanswered is their number.
func (r *Router) Stop(timeout time.Duration) (unanswered int) {
	r.post(func() { r.stopWhenIdle = true })
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case <-r.loopEnded:
	case <-timer.C:
		r.post(func() { r.stopTimedOut = true })
		<-r.loopEnded
	}
	return r.unanswered
}

// Kill ends the loop immediately, as a crash of the process would: the calls in flight get no answer. It is meant for a
// process that fails to start, and for tests.
func (r *Router) Kill() {
	r.post(func() { r.killed = true })
	<-r.loopEnded
}

// answerRemaining closes the queue, runs the work still queued, and answers each call that has no final answer. A call
// without an attempt never ran and is rejected. Any other call may have run and fails.
func (r *Router) answerRemaining() {
	for _, f := range r.closeQueue() {
		f()
	}
	for _, call := range r.calls {
		switch {
		case call.state == callDone:
			continue
		case len(call.attempts) == 0:
			call.reject(0)
			r.stats.Rejected++
		default:
			call.fail(r.turnTime)
			r.stats.Failed++
		}
		r.unanswered++
	}
}

// closeQueueIfEmpty closes the queue if it is empty, and returns whether it did. Work is therefore either run by the
// loop or refused by post, never lost.
func (r *Router) closeQueueIfEmpty() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.queue) > 0 {
		return false
	}
	r.stopped = true
	return true
}

// closeQueue makes post refuse further work, and returns the work still queued.
func (r *Router) closeQueue() []func() {
	r.mu.Lock()
	defer r.mu.Unlock()
	rest := r.queue
	r.stopped = true
	r.queue = nil
	return rest
}
