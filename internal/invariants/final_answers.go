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
		case RunStarted, LoadCommandReceived, EndpointNotified, WorkerDraining, WorkerReady, WorkerStarted, WorkerOverloaded:
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
			c.report(RuleFinalAnswer, call.sent.Deadline, "call %s of class %s got no final answer", id, call.sent.Class)
		}
	}
}

// followCall takes the next record of a call.
func (c *checker) followCall(call *callState, r Record) {
	switch r.Kind {
	case FinalAnswer:
		if call.answers++; call.answers > 1 {
			c.report(RuleFinalAnswer, r.At, "call %s got another final answer", r.Call)
			return
		}
		call.answered = r
		if r.At > call.sent.Deadline+c.settings.ResponseGrace {
			c.report(RuleFinalAnswer, r.At, "call %s answered %v after its deadline", r.Call, r.At-call.sent.Deadline)
		}
	case CallAbandoned:
		call.abandoned = true
	case AttemptReceived:
		if call.answers > 0 && r.At > call.answered.At+c.settings.RecordingDelay {
			c.report(RuleFinalAnswer, r.At, "call %s forwarded to %s after its final answer", r.Call, r.Worker)
		}
	case CallSent, RouterKilled:
		// taken up before, by checkFinalAnswers
	case RunStarted, LoadCommandReceived, EndpointNotified, WorkerDraining, WorkerReady, WorkerStarted, WorkerOverloaded:
		// not part of a call's answer
	}
}
