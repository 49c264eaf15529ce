package wallclock

import (
	"math"
	"strings"
	"testing"
	"time"
)

// TestTime checks that a Time follows the wall clock only, and that times which no clock should show can be used.
func TestTime(t *testing.T) {
	moment := FromUnixMilli(1_700_000_000_123)
	inOtherZone := time.Date(2023, 11, 14, 23, 13, 20, 123e6, time.FixedZone("", 3600))
	if FromTime(inOtherZone) != moment || moment.UnixMilli() != 1_700_000_000_123 || moment.UnixNano() != 1_700_000_000_123e6 {
		t.Errorf("%v", moment)
	}
	if got := moment.Add(-time.Hour).Sub(moment); got != -time.Hour {
		t.Errorf("an hour before: %v", got)
	}
	if before := FromUnixMilli(-5); before.UnixMilli() != 0 || before.UnixNano() != 0 {
		t.Errorf("before 1970: %d ms, %d ns", before.UnixMilli(), before.UnixNano())
	}
	if got := FromUnixMilli(math.MaxInt64).Sub(moment); got != math.MaxInt64 {
		t.Errorf("the last millisecond there is comes %v later", got)
	}
	if before, now := FromTime(time.Now()), System.Now(); before == (Time{}) || strings.Contains(now.moment.String(), "m=") {
		t.Errorf("the system's clock shows %v", now)
	}
}
