package invariants

// checkSideEffects checks rule 2: a request that is not idempotent, or idempotent only by its key, runs at most once
// over all its calls, and is never rejected after it ran.
func (c *checker) checkSideEffects() {
	ranAt := map[string][]string{} // workers by request
	runs := map[string]int{}       // by call
	for _, r := range c.records {
		if r.Kind != RunStarted || c.settings.Classes[r.Class].Idempotency == Idempotent {
			continue
		}
		runs[r.Call]++
		for _, worker := range ranAt[r.Request] {
			c.report(RuleSideEffect, r, r.At, "%s request %s ran at %s and again at %s", r.Class, r.Request, worker, r.Worker)
		}
		ranAt[r.Request] = append(ranAt[r.Request], r.Worker)
	}
	for _, r := range c.records {
		rejected := r.Kind == FinalAnswer && r.Answer == Rejected
		if rejected && runs[r.Call] > 0 && !c.settings.Classes[r.Class].RetryHarmless {
			c.report(RuleSideEffect, r, r.At, "%s call %s ran and was rejected", r.Class, r.Call)
		}
	}
}
