package golden

import (
	"regexp"
	"strconv"
	"strings"
	"testing"
	"time"
)

// timeLeftTolerance is how much of the time left a test may have used up before it sent it, on a busy machine too.
const timeLeftTolerance = 30 * time.Second

// MaskTimeLeft replaces each number of milliseconds that follows prefix by as many "#", as the time that is left differs
// from run to run. It fails the test if the number is above left, or below it by more than 30 s.
func MaskTimeLeft(t testing.TB, got, prefix string, left time.Duration) string {
	t.Helper()
	number := regexp.MustCompile(regexp.QuoteMeta(prefix) + `[0-9]+`)
	return number.ReplaceAllStringFunc(got, func(match string) string {
		digits := strings.TrimPrefix(match, prefix)
		ms, err := strconv.ParseInt(digits, 10, 64)
		if err != nil || ms > left.Milliseconds() || ms < (left-timeLeftTolerance).Milliseconds() {
			t.Errorf("%s ms left, want up to %v less than %v", digits, timeLeftTolerance, left)
		}
		return prefix + strings.Repeat("#", len(digits))
	})
}
