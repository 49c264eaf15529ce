package router

import (
	"time"

	"github.com/topazfront/topazfront/dispatch"
)

// Submit accepts a call. The caller calls cancel when the client cancels the call. ok is false if the router has
// stopped; the call was then not accepted.
func (r *Router) Submit(submitted *Call) (cancel func(), ok bool) {
	measuredAt := submitted.MeasuredAt
	if measuredAt.IsZero() {
		measuredAt = time.Now()
	}
	submittedAt := epoch + measuredAt.Sub(r.startedAt) // on the router's clock
	call := &activeCall{submitted: submitted, deadline: submittedAt + submitted.RemainingDeadline}
	ok = r.post(func() { r.acceptCall(call) })
	return func() { r.post(func() { r.cancelCall(call) }) }, ok
}

// acceptCall passes a new call to the dispatcher.
func (r *Router) acceptCall(call *activeCall) {
	r.lastCallID++
	call.id = r.lastCallID
	r.calls[call.id] = call
	if r.shutdownDeadline > 0 {
		call.deadline = min(call.deadline, r.shutdownDeadline)
	}
	r.stats.Calls++
	submitted := call.submitted
	r.functions.recordCall(submitted.Function, r.turnTime)
	r.events = append(r.events, dispatch.Request{
		ID:                     call.id,
		Function:               submitted.Function,
		Class:                  submitted.Class,
		Tenant:                 submitted.Tenant,
		MemoryMB:               submitted.MemoryMB,
		ConcurrencyPerInstance: submitted.ConcurrencyPerInstance,
		LoadTime:               submitted.LoadTime,
		ExpectedWork:           submitted.ExpectedWork,
		RemainingDeadline:      call.deadline - r.turnTime,
	})
}

// cancelCall ends a call that its client has cancelled. The client gets no answer.
func (r *Router) cancelCall(call *activeCall) {
	if call.state == callDone {
		return
	}
	call.state = callDone
	r.stats.Cancelled++
	r.events = append(r.events, dispatch.RequestCancelled{ID: call.id})
	call.cancelAnswering()
	r.removeIfEnded(call)
}

// rejectCall rejects a call for the dispatcher.
func (r *Router) rejectCall(action dispatch.RejectRequest) {
	call := r.calls[action.ID]
	if call == nil || !call.reject(action.RetryAfter) {
		return
	}
	r.stats.Rejected++
	r.recordCause(call, action.Cause, "call rejected")
	r.removeIfEnded(call)
}

// failCall fails a call for the dispatcher.
func (r *Router) failCall(action dispatch.FailRequest) {
	call := r.calls[action.ID]
	if call == nil || !call.fail(r.turnTime) {
		return
	}
	r.stats.Failed++
	r.recordCause(call, action.Cause, "call failed")
	call.cancelAnswering()
	r.removeIfEnded(call)
}

// removeIfEnded removes a call that is done and has no attempt in flight.
func (r *Router) removeIfEnded(call *activeCall) {
	if call.state == callDone && call.attemptsInFlight == 0 {
		delete(r.calls, call.id)
	}
}

// recordCause counts why the dispatcher ended a call, and logs it at debug level.
func (r *Router) recordCause(call *activeCall, cause dispatch.EndCause, message string) {
	r.stats.Causes.Ends[cause]++
	if r.debug {
		r.cfg.Logger.Debug(message, "call", call.id, "client_id", call.submitted.ClientID, "class", call.submitted.Class,
			"cause", cause, "attempts", len(call.attempts))
	}
}
