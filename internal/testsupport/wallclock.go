package testsupport

import (
	"sync/atomic"
	"time"

	"github.com/topazfront/topazfront/internal/wallclock"
)

// WallClock is a wall clock with an offset from the system's, which Step changes. It does not affect monotonic time.
type WallClock struct {
	offset atomic.Int64 // nanoseconds
}

// Step moves the clock forward by a duration, or back if it is negative.
func (c *WallClock) Step(by time.Duration) { c.offset.Add(int64(by)) }

// Now implements wallclock.Clock.
func (c *WallClock) Now() wallclock.Time {
	return wallclock.System.Now().Add(time.Duration(c.offset.Load()))
}

// WallClockSteps are clock steps to run a test with: none, by seconds and by an hour, forward and back.
var WallClockSteps = []time.Duration{0, 5 * time.Second, -5 * time.Second, time.Hour, -time.Hour}
