package router

import (
	"time"

	"github.com/topazfront/topazfront/dispatch"
)

// StartShutdown makes sure that every call has its final answer within the given time, after which the process is killed.
// The router goes on to accept calls, and the limit holds for them, too.
func (r *Router) StartShutdown(within time.Duration) {
	r.post(func() {
		r.shutdownDeadline = r.now + within
		r.events = append(r.events, dispatch.ShutdownStarted{AnswerWithin: within})
	})
}

// Stop ends the loop once every call has its final answer and no attempt is in flight, and returns when the loop has
// ended. The servers must have stopped submitting calls. After limit the loop ends in any case, and answerRemaining answers
// the calls that the dispatcher has not answered. unanswered is their number.
func (r *Router) Stop(limit time.Duration) (unanswered int) {
	r.post(func() { r.stopWhenIdle = true })
	timer := time.NewTimer(limit)
	defer timer.Stop()
	select {
	case <-r.loopEnded:
	case <-timer.C:
		r.post(func() { r.stopLimitReached = true })
		<-r.loopEnded
	}
	return r.unanswered
}

// Kill ends the loop at once, as a crash of the process would: the calls under way get no answer. It is for a process that
// fails to start, and for tests.
func (r *Router) Kill() {
	r.post(func() { r.killed = true })
	<-r.loopEnded
}

// answerRemaining closes the queue, runs the work that was queued until then, and answers each call that has no final
// answer. A call without an attempt never ran and is rejected. Any other may have run and fails.
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
			call.fail(r.now)
			r.stats.Failed++
		}
		r.unanswered++
	}
}

// closeQueueIfEmpty makes post refuse further work, unless some is queued that the loop has yet to run. It reports
// whether the loop is to end. Work that was posted before is then run, and later work is refused.
func (r *Router) closeQueueIfEmpty() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.queue) > 0 {
		return false
	}
	r.stopped = true
	return true
}

// closeQueue makes post refuse further work, and returns the work that was queued until then.
func (r *Router) closeQueue() []func() {
	r.mu.Lock()
	defer r.mu.Unlock()
	rest := r.queue
	r.stopped = true
	r.queue = nil
	return rest
}
