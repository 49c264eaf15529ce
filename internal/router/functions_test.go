package router

import (
	"fmt"
	"testing"
	"time"
)

// TestInventedFunctionsAreLimited guards against clients that fill the memory because each of their calls names another
// function. The functions called last must be kept, as load commands are sent only for called functions.
func TestInventedFunctionsAreLimited(t *testing.T) {
	for name, step := range map[string]time.Duration{"one after the other": time.Millisecond, "at the same time": 0} {
		t.Run(name, func(t *testing.T) {
			functions := recentFunctions{lastCalled: map[string]time.Duration{}}
			now := time.Hour
			for i := range 4 * maxRecentFunctions {
				now += step
				function := fmt.Sprint(i)
				functions.recordCall(function, now)
				if !functions.contains(function) {
					t.Fatalf("function %d is unknown right after its call", i)
				}
			}
			if got := len(functions.lastCalled); got > maxRecentFunctions+1 {
				t.Errorf("%d functions are kept, want at most %d", got, maxRecentFunctions+1)
			}
		})
	}
}
