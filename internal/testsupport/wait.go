package testsupport

import (
	"testing"
	"time"
)

// pollInterval is the time between two evaluations of a condition that a test waits for.
const pollInterval = 2 * time.Millisecond

// WaitUntil polls a condition until it holds. It fails the test if it does not hold within 20 s. what describes the
// condition in the failure message.
func WaitUntil(t testing.TB, what string, condition func() bool) {
	t.Helper()
	for end := time.Now().Add(awaitTimeout); !condition(); time.Sleep(pollInterval) {
		if time.Now().After(end) {
			t.Fatalf("timed out waiting for a condition: %s", what)
		}
	}
}
