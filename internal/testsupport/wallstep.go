package testsupport

import (
	"testing"
	"time"
	"unsafe"

	"github.com/topazfront/topazfront/internal/wallclock"
)

// wallSecondShift is where the seconds of the wall time begin in the first word of a time.Time that has a monotonic
// reading (see the comment on time.Time in the standard library).
const wallSecondShift = 30

// StepWallClock returns moment as time.Now would have given it had the wall clock been set by whole seconds before: its
// monotonic reading is the same. It fails the test should the standard library lay out time.Time in another way.
func StepWallClock(t *testing.T, moment time.Time, step time.Duration) time.Time {
	t.Helper()
	stepped := moment
	*(*uint64)(unsafe.Pointer(&stepped)) += uint64(int64(step/time.Second)) << wallSecondShift
	if stepped.Sub(moment) != 0 || wallclock.FromTime(stepped) != wallclock.FromTime(moment).Add(step) {
		t.Fatalf("can't step the wall clock of %v by %v: got %v", moment, step, stepped)
	}
	return stepped
}
