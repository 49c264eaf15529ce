package invariants

import (
	"slices"
	"time"
)

// callState is the state of one call, built from its records.
type callState struct {
	sent, firstAnswer Record
	answers           int // number of final answers
	abandoned         bool
	abandonedAt       time.Duration
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
			// handled below, once all calls are known
		case RunStarted, LoadCommandReceived, EndpointNotified, WorkerDraining, WorkerReady, WorkerStarted, WorkerOverloaded, RouterStarted:
			// rule 1 does not depend on these
		}
	}
	for _, r := range c.records {
		if call := calls[r.Call]; call != nil {
			c.checkCallRecord(call, r)
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

// checkCallRecord updates the state of a call by its next record and reports violations that the record shows.
func (c *checker) checkCallRecord(call *callState, r Record) {
	switch r.Kind {
	case FinalAnswer:
		if call.answers++; call.answers > 1 {
			c.report(RuleFinalAnswer, r, r.At, "call %s got another final answer", r.Call)
			return
		}
		call.firstAnswer = r
		if r.At > call.sent.Deadline+c.settings.ResponseGrace {
			c.report(RuleFinalAnswer, r, r.At, "call %s answered %v after its deadline", r.Call, r.At-call.sent.Deadline)
		}
	case CallAbandoned:
		call.abandoned = true
		call.abandonedAt = r.At
	case AttemptReceived:
		if call.answers > 0 && r.At > call.firstAnswer.At+c.settings.RecordingDelay {
			c.report(RuleFinalAnswer, r, r.At, "call %s forwarded to %s after its final answer", r.Call, r.Worker)
		}
		c.checkClientWaits(call, r)
		c.checkRemaining(call, r)
	case CallSent, RouterKilled:
		// handled in checkFinalAnswers
	case RunStarted, LoadCommandReceived, EndpointNotified, WorkerDraining, WorkerReady, WorkerStarted, WorkerOverloaded, RouterStarted:
		// rule 1 does not depend on these
	}
}

// checkClientWaits checks that no attempt starts after its client has left.
func (c *checker) checkClientWaits(call *callState, r Record) {
	limit := c.settings.LeaveGrace
	if limit > 0 && call.abandoned && r.At > call.abandonedAt+limit+c.settings.RecordingDelay {
		c.report(RuleFinalAnswer, r, r.At, "call %s forwarded to %s %v after its client left", r.Call, r.Worker, r.At-call.abandonedAt)
	}
}

// checkRemaining checks that the remaining deadline sent to a worker does not exceed the client's.
func (c *checker) checkRemaining(call *callState, r Record) {
	slack := c.settings.DeadlineSlack
	if slack > 0 && r.At+r.Remaining > call.sent.Deadline+slack+c.settings.RecordingDelay {
		c.report(RuleFinalAnswer, r, r.At, "call %s forwarded to %s with %v left, %v after its deadline", r.Call, r.Worker,
			r.Remaining, r.At+r.Remaining-call.sent.Deadline)
	}
}
