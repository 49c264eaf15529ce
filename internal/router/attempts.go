package router

import (
	"time"

	"github.com/topazfront/topazfront/dispatch"
)

// startAttempt starts an attempt. If its time is already over or the call needs no further response, the attempt ends
// immediately as NotSent.
func (r *Router) startAttempt(action dispatch.StartAttempt) {
	call := r.calls[action.ID]
	if call == nil {
		r.reportUnknownCall(action)
		return
	}
	a := &attempt{call: call, number: len(call.attempts), worker: action.Worker, startedAt: r.turnTime}
	call.attempts = append(call.attempts, a)
	call.attemptsInFlight++
	endsAt := call.deadline
	if action.Timeout > 0 {
		endsAt = min(endsAt, r.turnTime+action.Timeout)
	}
	remaining := endsAt - r.Now() // r.turnTime is outdated if this turn has taken long
	if remaining <= 0 || !call.awaitsResponse() {
		r.endAttempt(a, AttemptResult{Result: dispatch.NotSent, Report: NoWorkerReport})
		return
	}
	r.sendAttempt(a, endsAt, SendLimits{
		Remaining:       remaining,
		SendBefore:      r.timeAt(action.SendBefore),
		ConnectedBefore: r.timeAt(action.ConnectedBefore),
		Unproven:        action.Unproven,
	})
}

// reportUnknownCall reports to the dispatcher that an attempt was not sent because its call has ended.
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
	if limits.Unproven {
		r.stats.UnprovenAttempts++
	}
	if r.debug {
		r.cfg.Logger.Debug("attempt started", "call", call.id, "client_id", call.submitted.ClientID, "attempt", a.number,
			"endpoint", a.worker, "class", call.submitted.Class, "unproven", limits.Unproven)
	}
	if a.number > 0 {
		r.stats.Causes.Retries[call.attempts[a.number-1].result]++
	}
	a.timeout.Value = func() { r.attemptTimedOut(a) }
	r.timers.Add(&a.timeout, endsAt)
	a.handle = r.upstream.StartAttempt(AttemptToken{a}, call.submitted, a.worker, a.number, limits)
}

// attemptTimedOut cancels an attempt that has timed out. An attempt whose response is being forwarded continues until
// it ends, the dispatcher fails the call or the client cancels it.
func (r *Router) attemptTimedOut(a *attempt) {
	if !a.ended && a.call.answering != a {
		a.timedOut = true
		a.handle.Cancel()
	}
}

// cancelAttempt cancels an attempt for the dispatcher, unless its response is being forwarded.
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
				Duration: r.turnTime - a.startedAt,
			})
		}
	})
}

// AttemptEnded reports how an attempt ended. Further reports of the same attempt are ignored.
func (r *Router) AttemptEnded(token AttemptToken, result AttemptResult) {
	r.post(func() { r.endAttempt(token.attempt, result) })
}

// endAttempt records the end of an attempt, which may answer the client, and reports the end to the dispatcher.
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
	if r.debug {
		r.cfg.Logger.Debug("attempt ended", "call", call.id, "client_id", call.submitted.ClientID, "attempt", a.number,
			"endpoint", a.worker, "result", result.Result.String(), "connected_at", result.ConnectedAt,
			"list_age_ms", (r.turnTime - r.listConfirmedAt).Milliseconds())
	}
	r.events = append(r.events, dispatch.AttemptEnded{
		ID:               call.id,
		Attempt:          a.number,
		Worker:           a.worker,
		Result:           result.Result,
		Duration:         r.turnTime - a.startedAt,
		Final:            done,
		ConnectedAt:      r.timeOf(result.ConnectedAt),
		CacheStatus:      result.Report.CacheStatus,
		FunctionInFlight: result.Report.FunctionInFlight,
		LoadReport:       result.Report.LoadReport,
	})
	if result.WorkerDraining {
		r.endpoints.WorkerDraining(r.turnTime, a.worker)
	}
	r.removeIfEnded(call)
}

// countEndedAttempt updates the statistics for an ended attempt. answered is true if the attempt answered the client.
func (r *Router) countEndedAttempt(a *attempt, result dispatch.Result, answered bool) {
	if a.handle != nil {
		r.stats.AttemptsInFlight--
	}
	if result == dispatch.OK {
		r.stats.ServedDuration += r.turnTime - a.startedAt
	}
	switch {
	case !answered:
	case result == dispatch.OK:
		r.stats.Served++
	default:
		r.stats.Failed++
	}
}
