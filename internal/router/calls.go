package router

import (
	"maps"
	"time"

	"github.com/topazfront/topazfront/dispatch"
)

// Submit accepts a call. cancel reports to the router that the client has left. If ok is false the router has
// stopped, and nothing was accepted.
func (r *Router) Submit(submitted *Call) (cancel func(), ok bool) {
	measuredAt := submitted.MeasuredAt
	if measuredAt.IsZero() {
		measuredAt = time.Now()
	}
	call := &activeCall{submitted: submitted, deadline: epoch + measuredAt.Sub(r.startedAt) + submitted.RemainingDeadline}
	ok = r.post(func() { r.acceptCall(call) })
	return func() { r.post(func() { r.cancelCall(call) }) }, ok
}

func (r *Router) acceptCall(call *activeCall) {
	r.lastCallID++
	call.id = r.lastCallID
	r.calls[call.id] = call
	if r.shutdownDeadline > 0 {
		call.deadline = min(call.deadline, r.shutdownDeadline)
	}
	r.stats.Calls++
	submitted := call.submitted
	r.functions.called(submitted.Function, r.now)
	r.events = append(r.events, dispatch.Request{
		ID:                     call.id,
		Function:               submitted.Function,
		Class:                  submitted.Class,
		Tenant:                 submitted.Tenant,
		MemoryMB:               submitted.MemoryMB,
		ConcurrencyPerInstance: submitted.ConcurrencyPerInstance,
		LoadTime:               submitted.LoadTime,
		ExpectedWork:           submitted.ExpectedWork,
		RemainingDeadline:      call.deadline - r.now,
	})
}

// cancelCall ends a call whose client has left: it needs no answer any more.
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

func (r *Router) rejectCall(action dispatch.RejectRequest) {
	call := r.calls[action.ID]
	if call == nil || !call.reject(action.RetryAfter) {
		return
	}
	r.stats.Rejected++
	r.removeIfEnded(call)
}

func (r *Router) failCall(action dispatch.FailRequest) {
	call := r.calls[action.ID]
	if call == nil || !call.fail(r.now) {
		return
	}
	r.stats.Failed++
	call.cancelAnswering()
	r.removeIfEnded(call)
}

// removeIfEnded removes a call that is done and has no attempt in flight.
func (r *Router) removeIfEnded(call *activeCall) {
	if call.state == callDone && call.attemptsInFlight == 0 {
		delete(r.calls, call.id)
	}
}

const (
	// functionTTL is how long a function is known after its last call: longer than the dispatcher commands loads
	// of it.
	functionTTL = 3 * time.Minute

	minFunctionSweep = 1024 // functions; a sweep of fewer isn't worth its time
)

// calledFunctions are the functions that were called lately. Clients choose the names, so their number has no
// bound: each time that it has doubled, those not called for functionTTL are removed.
type calledFunctions struct {
	lastCalled map[string]time.Duration
	sweepAbove int // the number of functions above which they are swept
}

// called records a call of a function.
func (f *calledFunctions) called(function string, now time.Duration) {
	f.lastCalled[function] = now
	if len(f.lastCalled) > f.sweepAbove {
		maps.DeleteFunc(f.lastCalled, func(_ string, at time.Duration) bool { return now-at > functionTTL })
		f.sweepAbove = max(2*len(f.lastCalled), minFunctionSweep)
	}
}

// known reports whether the function was called lately.
func (f *calledFunctions) known(function string) bool {
	_, ok := f.lastCalled[function]
	return ok
}
