package httprouter

import "testing"

// TestBudgetWithinLimits checks that the parts together stay within the limits, for the smallest and the largest
// machine of the platform.
func TestBudgetWithinLimits(t *testing.T) {
	for name, cfg := range map[string]Config{
		"least": {Cores: 1, MemoryMB: 32, MaxDescriptors: 256},
		"most":  {Cores: 0.5, MemoryMB: 192, MaxDescriptors: 1024},
	} {
		t.Run(name, func(t *testing.T) {
			budget := cfg.Budget()
			if budget.ClientConns < cfg.MaxDescriptors/3 || budget.ClientConns+budget.WorkerConns+24 > cfg.MaxDescriptors ||
				budget.HeapLimit >= int64(cfg.MemoryMB)<<20 || budget.MaxProcs < 1 {
				t.Errorf("%+v of %+v", budget, cfg)
			}
		})
	}
}
