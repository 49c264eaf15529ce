package invariants

// checkSideEffects checks rule 2: a request that is not idempotent, or idempotent only by its key, runs at most once
// over all its calls, and none of its calls is rejected after it ran.
func (c *checker) checkSideEffects() {
	workersByRequest := map[string][]string{} // by request: the workers that ran it
	runsByCall := map[string]int{}            // by call
	for _, r := range c.records {
		if r.Kind != RunStarted || c.settings.Classes[r.Class].Idempotency == Idempotent {
			continue
		}
		runsByCall[r.Call]++
		for _, worker := range workersByRequest[r.Request] {
			c.report(RuleSideEffect, r, r.At, "%s request %s ran at %s and again at %s", r.Class, r.Request, worker, r.Worker)
		}
		workersByRequest[r.Request] = append(workersByRequest[r.Request], r.Worker)
	}
	for _, r := range c.records {
		rejected := r.Kind == FinalAnswer && r.Answer == Rejected
		if rejected && runsByCall[r.Call] > 0 && !c.settings.Classes[r.Class].RetryHarmless {
			c.report(RuleSideEffect, r, r.At, "%s call %s ran and was rejected", r.Class, r.Call)
		}
	}
}
