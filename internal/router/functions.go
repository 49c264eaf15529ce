package router

import (
	"maps"
	"time"
)

const (
	// functionTTL is how long a function is remembered after its last call. It is longer than the dispatcher goes on to
	// command loads of the function.
	functionTTL = 3 * time.Minute

	// minFunctionSweep is the number of functions below which a sweep isn't worth its time.
	minFunctionSweep = 1024
)

// calledFunctions are the functions that were called lately. Clients choose the names, so their number has no bound: each
// time that it has doubled, those not called for functionTTL are removed.
type calledFunctions struct {
	lastCalled map[string]time.Duration
	sweepAbove int // the number of functions above which they are swept
}

// recordCall records a call of a function, and sweeps the functions if there are too many.
func (f *calledFunctions) recordCall(function string, now time.Duration) {
	f.lastCalled[function] = now
	if len(f.lastCalled) > f.sweepAbove {
		maps.DeleteFunc(f.lastCalled, func(_ string, at time.Duration) bool { return now-at > functionTTL })
		f.sweepAbove = max(2*len(f.lastCalled), minFunctionSweep)
	}
}

// contains reports whether the function was called lately.
func (f *calledFunctions) contains(function string) bool {
	_, ok := f.lastCalled[function]
	return ok
}
