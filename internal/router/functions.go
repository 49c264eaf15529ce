package router

import (
	"maps"
	"slices"
	"time"
)

const (
	// functionTTL is how long a function is kept after its last call. It is longer than the period during which the
	// dispatcher sends load commands for the function.
	functionTTL = 3 * time.Minute

	// minFunctionSweep is the number of functions below which a sweep is not worth its time.
	minFunctionSweep = 1024

	// maxRecentFunctions limits the memory for functions. Clients can invent names faster than functionTTL expires them.
	maxRecentFunctions = 16 << 10
)

// recentFunctions holds the recently called functions. Clients choose the names: each time their number has doubled, a
// sweep removes the functions not called for functionTTL, and those called longest ago if too many are left.
type recentFunctions struct {
	lastCalled map[string]time.Duration
	sweepAbove int // number of functions above which the next sweep is made
}

// recordCall records a call of a function, and makes a sweep if there are too many functions.
func (f *recentFunctions) recordCall(function string, now time.Duration) {
	f.lastCalled[function] = now
	if len(f.lastCalled) > f.sweepAbove {
		maps.DeleteFunc(f.lastCalled, func(_ string, at time.Duration) bool { return now-at > functionTTL })
		if len(f.lastCalled) > maxRecentFunctions {
			f.deleteOldestHalf()
			f.lastCalled[function] = now
		}
		f.sweepAbove = min(max(2*len(f.lastCalled), minFunctionSweep), maxRecentFunctions)
	}
}

// deleteOldestHalf removes the functions called longest ago, half of all.
func (f *recentFunctions) deleteOldestHalf() {
	times := slices.Sorted(maps.Values(f.lastCalled))
	median := times[len(times)/2]
	maps.DeleteFunc(f.lastCalled, func(_ string, at time.Duration) bool { return at <= median })
}

// contains reports whether the function was called recently.
func (f *recentFunctions) contains(function string) bool {
	_, ok := f.lastCalled[function]
	return ok
}
