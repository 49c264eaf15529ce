package wallclock

import (
	"math"
	"strings"
	"testing"
	"time"
)

// TestTime checks that a Time has no monotonic reading, and that extreme times can be used.
func TestTime(t *testing.T) {
	moment := FromUnixMilli(1_700_000_000_123)
	inOtherZone := time.Date(2023, 11, 14, 23, 13, 20, 123e6, time.FixedZone("", 3600))
	if FromTime(inOtherZone) != moment || moment.UnixMilli() != 1_700_000_000_123 || moment.UnixNano() != 1_700_000_000_123e6 {
		t.Errorf("%v", moment)
	}
	if got := moment.Add(-time.Hour).Sub(moment); got != -time.Hour {
		t.Errorf("an hour earlier: difference %v", got)
	}
	if before := FromUnixMilli(-5); before.UnixMilli() != 0 || before.UnixNano() != 0 {
		t.Errorf("before 1970: %d ms, %d ns", before.UnixMilli(), before.UnixNano())
	}
	if got := FromUnixMilli(math.MaxInt64).Sub(moment); got != math.MaxInt64 {
		t.Errorf("difference to the latest time: %v, want the maximum", got)
	}
	if before, now := FromTime(time.Now()), System.Now(); before == (Time{}) || strings.Contains(now.moment.String(), "m=") {
		t.Errorf("System.Now() = %v", now)
	}
}
