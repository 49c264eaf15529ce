package grpcgateway

import (
	"fmt"
	"os"
	"runtime"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"github.com/topazfront/topazfront/internal/config"
	"github.com/topazfront/topazfront/internal/fake/fakeworker"
	"github.com/topazfront/topazfront/internal/invariants"
	"github.com/topazfront/topazfront/internal/testsupport"
)

// TestFiveHundredStreamsWithFaults checks that, when workers fail, each call has exactly one final response, only
// idempotent calls run more than once, and no goroutine or file descriptor is leaked.
func TestFiveHundredStreamsWithFaults(t *testing.T) {
	goroutines, descriptors := runtime.NumGoroutine(), openDescriptors()
	t.Run("streams", func(t *testing.T) {
		h := newHarness(t, 6, func(c *config.Gateway) { // times long enough that few calls are shed
			for i := range c.Classes {
				class := &c.Classes[i]
				class.LatencyObjective, class.Deadline, class.DeduplicationWindow = 15000, 20000, 20000
			}
		}, func(c *fakeworker.Config) { c.Cores = 32; c.DeduplicationWindow = 20 * time.Second })
		models := []string{"quote", "renew", "award"}
		for _, model := range models {
			h.loadModel(model)
		}
		var outcomes streamOutcomes
		var wg sync.WaitGroup
		for i := range 500 {
			model := models[i%len(models)]
			wg.Go(func() {
				messages, _, err := h.streamInfer(timeoutContext(t, 20*time.Second), newRequest(model, fmt.Sprint("f", i), 300, 6, 200), nil)
				if err == nil && messages != 6 {
					t.Errorf("call %d was served with %d messages", i, messages)
					return
				}
				outcomes.count(err)
			})
		}
		testsupport.WaitUntil(t, "all calls were accepted", func() bool { return h.stats().Calls >= 500 })
		h.workers[0].Kill()
		h.workers[1].Drain(true)
		h.workers[2].ChangeFaults(func(f *fakeworker.Faults) { f.DieAfterMessages = map[string]int{"points": 3} })
		h.workers[3].ChangeFaults(func(f *fakeworker.Faults) { f.FailingClasses = map[string]bool{"renew": true} })
		wg.Wait()
		served, rejected, failed := outcomes.served.Load(), outcomes.rejected.Load(), outcomes.failed.Load()
		if total := served + rejected + failed; total != 500 {
			t.Errorf("%d final responses", total)
		}
		t.Logf("served %d, rejected %d, failed %d", served, rejected, failed)
		h.expectAtMostOneRun("quote")
	})
	testsupport.WaitUntil(t, "goroutines and descriptors are back", func() bool {
		return runtime.NumGoroutine() <= goroutines+8 && openDescriptors() <= descriptors+4
	})
}

// streamOutcomes counts calls by how they ended.
type streamOutcomes struct {
	served, rejected, failed atomic.Int32
}

func (o *streamOutcomes) count(err error) {
	switch {
	case err == nil:
		o.served.Add(1)
	case status.Code(err) == codes.Unavailable:
		o.rejected.Add(1)
	default:
		o.failed.Add(1)
	}
}

// expectAtMostOneRun fails the test for each request that ran more than once, except those of the idempotent class.
func (h *harness) expectAtMostOneRun(idempotentClass string) {
	h.t.Helper()
	runs := map[string]int{}
	for _, r := range h.log.Records() {
		if r.Kind == invariants.RunStarted && r.Class != idempotentClass {
			if runs[r.Request]++; runs[r.Request] > 1 {
				h.t.Errorf("%s %s ran more than once", r.Class, r.Request)
			}
		}
	}
}

// openDescriptors returns the number of open file descriptors of the process, or 0 on a system without /proc.
func openDescriptors() int {
	entries, err := os.ReadDir("/proc/self/fd")
	if err != nil {
		return 0
	}
	return len(entries)
}
