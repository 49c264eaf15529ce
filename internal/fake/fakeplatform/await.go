package fakeplatform

import (
	"testing"
	"time"
)

// Await returns the next value of a channel, and ends the test where none comes.
func Await[T any](t testing.TB, ch <-chan T, what string) T {
	t.Helper()
	select {
	case v := <-ch:
		return v
	case <-time.After(20 * time.Second):
		t.Fatalf("%s did not come", what)
		panic("unreached")
	}
}
