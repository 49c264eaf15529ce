package invariants

import (
	"slices"
	"time"
)

// callState is what the records say of one call.
type callState struct {
	sent, answered Record // answered: the first final answer
	answers        int
	abandoned      bool
	abandonedAt    time.Duration
}

// checkFinalAnswers checks rule 1: a call that a running router accepted gets exactly one final answer before the
// client's deadline, and no attempt starts after it. No answer is due for a call whose client abandoned it or whose
// router was killed.
func (c *checker) checkFinalAnswers() {
	calls := map[string]*callState{}
	killedAt := map[string][]time.Duration{} // by router
	var order []string
	for _, r := range c.records {
		switch r.Kind {
		case CallSent:
			calls[r.Call] = &callState{sent: r}
			order = append(order, r.Call)
		case RouterKilled:
			killedAt[r.Router] = append(killedAt[r.Router], r.At)
		case FinalAnswer, CallAbandoned, AttemptReceived:
			// followed below, when all calls are known
		case RunStarted, LoadCommandReceived, EndpointNotified, WorkerDraining, WorkerReady, WorkerStarted, WorkerOverloaded, RouterStarted:
			// not part of a call's answer
		}
	}
	for _, r := range c.records {
		if call := calls[r.Call]; call != nil {
			c.followCall(call, r)
		}
	}
	for _, id := range order {
		call := calls[id]
		killed := slices.ContainsFunc(killedAt[call.sent.Router], func(at time.Duration) bool { return at >= call.sent.At })
		if call.answers == 0 && !call.abandoned && !killed {
			c.report(RuleFinalAnswer, call.sent, call.sent.Deadline, "call %s of class %s got no final answer", id, call.sent.Class)
		}
	}
}

// followCall takes the next record of a call.
func (c *checker) followCall(call *callState, r Record) {
	switch r.Kind {
	case FinalAnswer:
		if call.answers++; call.answers > 1 {
			c.report(RuleFinalAnswer, r, r.At, "call %s got another final answer", r.Call)
			return
		}
		call.answered = r
		if r.At > call.sent.Deadline+c.settings.ResponseGrace {
			c.report(RuleFinalAnswer, r, r.At, "call %s answered %v after its deadline", r.Call, r.At-call.sent.Deadline)
		}
	case CallAbandoned:
		call.abandoned = true
		call.abandonedAt = r.At
	case AttemptReceived:
		if call.answers > 0 && r.At > call.answered.At+c.settings.RecordingDelay {
			c.report(RuleFinalAnswer, r, r.At, "call %s forwarded to %s after its final answer", r.Call, r.Worker)
		}
		c.checkClientWaits(call, r)
		c.checkRemaining(call, r)
	case CallSent, RouterKilled:
		// taken up before, by checkFinalAnswers
	case RunStarted, LoadCommandReceived, EndpointNotified, WorkerDraining, WorkerReady, WorkerStarted, WorkerOverloaded, RouterStarted:
		// not part of a call's answer
	}
}

// checkClientWaits checks that an attempt does not begin after its client has left.
func (c *checker) checkClientWaits(call *callState, r Record) {
	limit := c.settings.LeaveGrace
	if limit > 0 && call.abandoned && r.At > call.abandonedAt+limit+c.settings.RecordingDelay {
		c.report(RuleFinalAnswer, r, r.At, "call %s forwarded to %s %v after its client left", r.Call, r.Worker, r.At-call.abandonedAt)
	}
}

// checkRemaining checks that a worker is told no more time than the client has left.
func (c *checker) checkRemaining(call *callState, r Record) {
	slack := c.settings.DeadlineSlack
	if slack > 0 && r.At+r.Remaining > call.sent.Deadline+slack+c.settings.RecordingDelay {
		c.report(RuleFinalAnswer, r, r.At, "call %s forwarded to %s with %v left, %v after its deadline", r.Call, r.Worker,
			r.Remaining, r.At+r.Remaining-call.sent.Deadline)
	}
}
