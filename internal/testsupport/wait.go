package testsupport

import (
	"testing"
	"time"
)

// pollInterval is the time between two looks at a condition that a test waits for.
const pollInterval = 2 * time.Millisecond

// WaitUntil polls until a condition holds. It ends the test if it does not hold within 20 s; what names the condition in
// the failure.
func WaitUntil(t testing.TB, what string, condition func() bool) {
	t.Helper()
	for end := time.Now().Add(awaitTimeout); !condition(); time.Sleep(pollInterval) {
		if time.Now().After(end) {
			t.Fatalf("waited in vain: %s", what)
		}
	}
}
