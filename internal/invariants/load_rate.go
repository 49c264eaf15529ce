package invariants

import (
	"sort"
	"time"
)

// checkLoadRate checks rule 5: at each load command, the commands of this router within the window number at most the
// burst and the ratio of the calls that it received in that time.
func (c *checker) checkLoadRate() {
	window := c.settings.LoadRateWindow
	if window == 0 {
		return
	}
	calls, commands := map[string][]time.Duration{}, map[string][]time.Duration{} // by router
	for _, r := range c.records {
		switch {
		case r.Kind == CallSent:
			calls[r.Router] = append(calls[r.Router], r.At)
		case r.Kind == LoadCommandReceived && r.Copies > 0:
			commands[r.Router] = append(commands[r.Router], r.At)
		}
	}
	for router, times := range commands {
		for _, at := range times {
			// A call reaches its router before the load command reaches a worker: both ends of the window may be off.
			loads := countWithin(times, at-window+c.settings.RecordingDelay, at)
			received := countWithin(calls[router], at-window-c.settings.RecordingDelay, at)
			limit := c.settings.LoadRateBurst + c.settings.LoadRateRatio*float64(received)
			if float64(loads) > limit {
				c.report(RuleLoadRate, Record{At: at, Kind: LoadCommandReceived, Router: router}, at, "%s sent %d load commands within %v, at most %.1f", router, loads, window, limit)
			}
		}
	}
}

// countWithin counts the times after from and not after to; times are ordered.
func countWithin(times []time.Duration, from, to time.Duration) int {
	i := sort.Search(len(times), func(i int) bool { return times[i] > from })
	j := sort.Search(len(times), func(i int) bool { return times[i] > to })
	return max(j-i, 0)
}
