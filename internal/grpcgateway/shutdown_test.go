package grpcgateway

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/topazfront/topazfront/internal/testsupport"
)

// TestStopWithOpenCalls checks that Stop lets open calls complete, and that a stopped gateway serves no call.
func TestStopWithOpenCalls(t *testing.T) {
	h := newHarness(t, 2, nil, nil)
	h.loadModel("quote")
	var wg sync.WaitGroup
	for i := range 40 {
		wg.Go(func() {
			h.requireStream(20*time.Second, newRequest("quote", fmt.Sprint("h", i), 300, 5, 10), 5)
		})
	}
	testsupport.WaitUntil(t, "the calls are open", func() bool { return h.stats().CallsInFlight >= 40 })
	stats := h.gateway.Stop()
	wg.Wait()
	if stats.Served < 41 || stats.CallsInFlight != 0 {
		t.Errorf("%+v", stats)
	}
	if _, err := h.infer(timeoutContext(t, time.Second), newRequest("quote", "late", 1, 1, 1)); err == nil {
		t.Error("a stopped gateway served a call")
	}
}
