package testsupport

import (
	"sync/atomic"
	"time"

	"github.com/topazfront/topazfront/internal/wallclock"
)

// WallClock is a wall clock that is off from the system's by what Step has set. Monotonic time runs on beside it.
type WallClock struct {
	offset atomic.Int64 // nanoseconds
}

// Step sets the clock forward, or back if by is negative.
func (c *WallClock) Step(by time.Duration) { c.offset.Add(int64(by)) }

// Now is wallclock.Clock's.
func (c *WallClock) Now() wallclock.Time {
	return wallclock.System.Now().Add(time.Duration(c.offset.Load()))
}

// WallClockSteps are the steps that tests play: none, by seconds and by an hour, both ways.
var WallClockSteps = []time.Duration{0, 5 * time.Second, -5 * time.Second, time.Hour, -time.Hour}
