package router

import (
	"time"

	"github.com/topazfront/topazfront/dispatch"
)

// startAttempt starts an attempt. Where it can be of no use, because the call has been answered or its time is over,
// nothing is sent and the attempt ends as NotSent.
func (r *Router) startAttempt(action dispatch.StartAttempt) {
	call := r.calls[action.ID]
	if call == nil {
		r.events = append(r.events, dispatch.AttemptEnded{
			ID:               action.ID,
			Worker:           action.Worker,
			Result:           dispatch.NotSent,
			Final:            true,
			FunctionInFlight: -1,
			LoadReport:       dispatch.NoLoadReport,
		})
		return
	}
	a := &attempt{call: call, number: len(call.attempts), worker: action.Worker, startedAt: r.now}
	call.attempts = append(call.attempts, a)
	call.attemptsInFlight++
	endsAt := call.deadline
	if action.Timeout > 0 {
		endsAt = min(endsAt, r.now+action.Timeout)
	}
	remaining := endsAt - r.Clock() // r.now is from before the work of this turn, which may have taken long
	if call.state != callWaiting || remaining <= 0 || !call.submitted.ClientWaiting() {
		r.endAttempt(a, AttemptResult{Result: dispatch.NotSent, Report: NoWorkerReport})
		return
	}
	r.sendAttempt(a, endsAt, remaining)
}

// sendAttempt passes an attempt to the upstream.
func (r *Router) sendAttempt(a *attempt, endsAt, remaining time.Duration) {
	call := a.call
	r.stats.Attempts++
	r.stats.AttemptsInFlight++
	if r.debug {
		r.cfg.Logger.Debug("attempt started", "call", call.id, "attempt", a.number, "endpoint", a.worker,
			"class", call.submitted.Class)
	}
	a.timeout.Value = func() { r.attemptTimedOut(a) }
	r.timers.Add(&a.timeout, endsAt)
	a.handle = r.upstream.StartAttempt(AttemptToken{a}, call.submitted, a.worker, a.number, remaining)
}

// attemptTimedOut cancels an attempt whose time is over. Once its response is the client's, only the dispatcher ends
// it.
func (r *Router) attemptTimedOut(a *attempt) {
	if !a.ended && a.call.answering != a {
		a.timedOut = true
		a.handle.Cancel()
	}
}

func (r *Router) cancelAttempt(action dispatch.CancelAttempt) {
	call := r.calls[action.ID]
	if call == nil || action.Attempt < 0 || action.Attempt >= len(call.attempts) {
		return
	}
	if a := call.attempts[action.Attempt]; !a.ended && call.answering != a {
		a.handle.Cancel()
	}
}

// ResponseStarted reports that the first message of a streamed response has come.
func (r *Router) ResponseStarted(token AttemptToken, head any) {
	a := token.attempt
	r.post(func() {
		r.recordAlive(a.worker, dispatch.OK)
		if a.call.responseStarted(a, head) {
			r.events = append(r.events, dispatch.ResponseStarted{
				ID:       a.call.id,
				Attempt:  a.number,
				Worker:   a.worker,
				Duration: r.now - a.startedAt,
			})
		}
	})
}

// AttemptEnded reports how an attempt ended. Any further report of the same attempt is ignored.
func (r *Router) AttemptEnded(token AttemptToken, result AttemptResult) {
	r.post(func() { r.endAttempt(token.attempt, result) })
}

func (r *Router) endAttempt(a *attempt, result AttemptResult) {
	if a.ended {
		return
	}
	r.timers.Remove(&a.timeout)
	if a.handle != nil {
		r.stats.AttemptsInFlight--
	}
	if result.Result == dispatch.OK {
		r.stats.ServedDuration += r.now - a.startedAt
	}
	if a.timedOut && result.Result == dispatch.Cancelled {
		result.Result = dispatch.TimedOut
	}
	call := a.call
	wasDone := call.state == callDone
	done := call.attemptEnded(a, result)
	if done && !wasDone {
		if result.Result == dispatch.OK {
			r.stats.Served++
		} else {
			r.stats.Failed++
		}
	}
	r.recordAlive(a.worker, result.Result)
	r.events = append(r.events, dispatch.AttemptEnded{
		ID:               call.id,
		Attempt:          a.number,
		Worker:           a.worker,
		Result:           result.Result,
		Duration:         r.now - a.startedAt,
		Final:            done,
		CacheStatus:      result.Report.CacheStatus,
		FunctionInFlight: result.Report.FunctionInFlight,
		LoadReport:       result.Report.LoadReport,
	})
	if result.WorkerDraining {
		r.endpoints.WorkerDraining(r.now, a.worker)
	}
	r.removeIfEnded(call)
}
