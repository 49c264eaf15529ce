package router

import (
	"time"

	"github.com/topazfront/topazfront/dispatch"
)

// startAttempt starts an attempt. It ends the attempt as NotSent at once if its result would be of no use.
func (r *Router) startAttempt(action dispatch.StartAttempt) {
	call := r.calls[action.ID]
	if call == nil {
		r.reportUnknownCall(action)
		return
	}
	a := &attempt{call: call, number: len(call.attempts), worker: action.Worker, startedAt: r.now}
	call.attempts = append(call.attempts, a)
	call.attemptsInFlight++
	endsAt := call.deadline
	if action.Timeout > 0 {
		endsAt = min(endsAt, r.now+action.Timeout)
	}
	remaining := endsAt - r.Now() // r.now is from the start of this turn, which may have taken long
	if remaining <= 0 || !call.awaitsResponse() {
		r.endAttempt(a, AttemptResult{Result: dispatch.NotSent, Report: NoWorkerReport})
		return
	}
	r.sendAttempt(a, endsAt, SendLimits{Remaining: remaining, SendBefore: r.timeAt(action.SendBefore)})
}

// reportUnknownCall reports to the dispatcher that an attempt was not sent, because its call has ended.
func (r *Router) reportUnknownCall(action dispatch.StartAttempt) {
	r.events = append(r.events, dispatch.AttemptEnded{
		ID:               action.ID,
		Worker:           action.Worker,
		Result:           dispatch.NotSent,
		Final:            true,
		FunctionInFlight: -1,
		LoadReport:       dispatch.NoLoadReport,
	})
}

// sendAttempt passes an attempt to the upstream.
func (r *Router) sendAttempt(a *attempt, endsAt time.Duration, limits SendLimits) {
	call := a.call
	r.stats.Attempts++
	r.stats.AttemptsInFlight++
	if r.debug {
		r.cfg.Logger.Debug("attempt started", "call", call.id, "client_id", call.submitted.ClientID, "attempt", a.number,
			"endpoint", a.worker, "class", call.submitted.Class)
	}
	if a.number > 0 {
		r.stats.Causes.Retries[call.attempts[a.number-1].result]++
	}
	a.timeout.Value = func() { r.attemptTimedOut(a) }
	r.timers.Add(&a.timeout, endsAt)
	a.handle = r.upstream.StartAttempt(AttemptToken{a}, call.submitted, a.worker, a.number, limits)
}

// attemptTimedOut cancels an attempt whose time is over. An attempt whose response is being forwarded goes on: only the
// dispatcher ends it.
func (r *Router) attemptTimedOut(a *attempt) {
	if !a.ended && a.call.answering != a {
		a.timedOut = true
		a.handle.Cancel()
	}
}

// cancelAttempt carries out the dispatcher's cancellation of an attempt, unless its response is being forwarded.
func (r *Router) cancelAttempt(action dispatch.CancelAttempt) {
	call := r.calls[action.ID]
	if call == nil || action.Attempt < 0 || action.Attempt >= len(call.attempts) {
		return
	}
	if a := call.attempts[action.Attempt]; !a.ended && call.answering != a {
		a.handle.Cancel()
	}
}

// ResponseStarted reports that the first message of a streamed response has arrived.
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

// endAttempt records the end of an attempt, which may answer the client, and reports it to the dispatcher.
func (r *Router) endAttempt(a *attempt, result AttemptResult) {
	if a.ended {
		return
	}
	r.timers.Remove(&a.timeout)
	if a.timedOut && result.Result == dispatch.Cancelled {
		result.Result = dispatch.TimedOut
	}
	a.result = result.Result
	call := a.call
	wasDone := call.state == callDone
	done := call.attemptEnded(a, result)
	answered := done && !wasDone
	r.countEndedAttempt(a, result.Result, answered)
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

// countEndedAttempt counts the end of an attempt in the statistics. answered is true if it answered the client.
func (r *Router) countEndedAttempt(a *attempt, result dispatch.Result, answered bool) {
	if a.handle != nil {
		r.stats.AttemptsInFlight--
	}
	if result == dispatch.OK {
		r.stats.ServedDuration += r.now - a.startedAt
	}
	switch {
	case !answered:
	case result == dispatch.OK:
		r.stats.Served++
	default:
		r.stats.Failed++
	}
}
