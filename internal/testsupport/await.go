// Package testsupport has helpers for the tests of several packages.
package testsupport

import (
	"testing"
	"time"
)

// awaitTimeout far exceeds the waits of a passing test, even on a busy machine.
const awaitTimeout = 20 * time.Second

// Await returns the next value of a channel. It fails the test if none is received within 20 s. what describes the
// value in the failure message.
func Await[T any](t testing.TB, ch <-chan T, what string) T {
	t.Helper()
	select {
	case v := <-ch:
		return v
	case <-time.After(awaitTimeout):
		t.Fatalf("timed out waiting for %s", what)
		panic("unreachable") // Fatalf does not return
	}
}
