// Package testsupport has helpers that the tests of several packages share.
package testsupport

import (
	"testing"
	"time"
)

// awaitTimeout is far beyond what a passing test waits for, on a busy machine too.
const awaitTimeout = 20 * time.Second

// Await returns the next value of a channel. It ends the test if none comes within 20 s; what names the value in the
// failure.
func Await[T any](t testing.TB, ch <-chan T, what string) T {
	t.Helper()
	select {
	case v := <-ch:
		return v
	case <-time.After(awaitTimeout):
		t.Fatalf("%s did not come", what)
		panic("unreachable") // Fatalf does not return
	}
}
