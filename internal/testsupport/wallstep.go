package testsupport

import (
	"testing"
	"time"
	"unsafe"

	"github.com/topazfront/topazfront/internal/wallclock"
)

// wallSecondShift is the position of the lowest bit of the wall time's seconds in the first word of a time.Time that
// has a monotonic reading (see the comment on time.Time in the standard library).
const wallSecondShift = 30

// StepWallClock returns the time that time.Now would have returned at moment if the wall clock had been stepped before
// by step, in whole seconds. The monotonic reading is the same. It fails the test if the standard library uses another
// layout of time.Time.
func StepWallClock(t *testing.T, moment time.Time, step time.Duration) time.Time {
	t.Helper()
	stepped := moment
	*(*uint64)(unsafe.Pointer(&stepped)) += uint64(int64(step/time.Second)) << wallSecondShift
	if stepped.Sub(moment) != 0 || wallclock.FromTime(stepped) != wallclock.FromTime(moment).Add(step) {
		t.Fatalf("can't step the wall clock of %v by %v: got %v", moment, step, stepped)
	}
	return stepped
}
