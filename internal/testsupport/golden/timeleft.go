package golden

import (
	"regexp"
	"strconv"
	"strings"
	"testing"
	"time"
)

// timeLeftTolerance is how much lower the sent number may be because of the time that a test takes to send it, even on
// a busy machine.
const timeLeftTolerance = 30 * time.Second

// MaskTimeLeft replaces the digits of each number that follows prefix by "#". The numbers are remaining times in
// milliseconds, which differ from run to run. It fails the test if a number is above left, or below it by more than 30
// s.
func MaskTimeLeft(t testing.TB, got, prefix string, left time.Duration) string {
	t.Helper()
	number := regexp.MustCompile(regexp.QuoteMeta(prefix) + `[0-9]+`)
	return number.ReplaceAllStringFunc(got, func(match string) string {
		digits := strings.TrimPrefix(match, prefix)
		ms, err := strconv.ParseInt(digits, 10, 64)
		if err != nil || ms > left.Milliseconds() || ms < (left-timeLeftTolerance).Milliseconds() {
			t.Errorf("remaining time is %s ms, want at most %v below %v", digits, timeLeftTolerance, left)
		}
		return prefix + strings.Repeat("#", len(digits))
	})
}
