package invariants

import (
	"math"
	"sort"
	"time"
)

// checkLoadRate checks rule 5: at each load command, the number of load commands that its router sent within the window
// is at most the burst plus the ratio times the calls that the router received within the window.
func (c *checker) checkLoadRate() {
	window := c.settings.LoadRateWindow
	if window == 0 {
		return
	}
	calls, commands, starts := map[string][]time.Duration{}, map[string][]time.Duration{}, map[string][]time.Duration{} // by router
	for _, r := range c.records {
		switch {
		case r.Kind == CallSent:
			calls[r.Router] = append(calls[r.Router], r.At)
		case r.Kind == RouterStarted:
			starts[r.Router] = append(starts[r.Router], r.At)
		case r.Kind == LoadCommandReceived && r.Copies > 0:
			commands[r.Router] = append(commands[r.Router], r.At)
		}
	}
	for router, times := range commands {
		for _, at := range times {
			// A call is recorded before its router receives it, and a load command after its router has sent it. Both
			// windows therefore allow for the recording delay: that of commands is shorter, that of calls longer.
			from := max(at-window+c.settings.RecordingDelay, latestBefore(starts[router], at))
			commandCount := countWithin(times, from, at)
			callCount := countWithin(calls[router], at-window-c.settings.RecordingDelay, at)
			limit := c.settings.LoadRateBurst + c.settings.LoadRateRatio*float64(callCount)
			if float64(commandCount) > limit {
				c.report(RuleLoadRate, Record{At: at, Kind: LoadCommandReceived, Router: router}, at, "%s sent %d load commands within %v, at most %.1f", router, commandCount, window, limit)
			}
		}
	}
}

// countWithin counts the times in (from, to]. The times must be sorted.
func countWithin(times []time.Duration, from, to time.Duration) int {
	i := sort.Search(len(times), func(i int) bool { return times[i] > from })
	j := sort.Search(len(times), func(i int) bool { return times[i] > to })
	return max(j-i, 0)
}

// latestBefore returns the latest time that is not after at, or math.MinInt64 if there is none. The times must be
// sorted.
func latestBefore(times []time.Duration, at time.Duration) time.Duration {
	i := sort.Search(len(times), func(i int) bool { return times[i] > at })
	if i == 0 {
		return math.MinInt64
	}
	return times[i-1]
}
