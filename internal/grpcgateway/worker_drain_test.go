package grpcgateway

import (
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/topazfront/topazfront/internal/config"
	"github.com/topazfront/topazfront/internal/fake/fakeworker"
	"github.com/topazfront/topazfront/internal/invariants"
	"github.com/topazfront/topazfront/internal/testsupport"
)

func TestWorkerDrainsWithOpenStreams(t *testing.T) {
	goAway := func(_ *harness, w *fakeworker.Worker) { w.Drain(true) }
	listed := func(h *harness, w *fakeworker.Worker) { h.listAsDraining(w) }
	for name, announcements := range map[string][]func(*harness, *fakeworker.Worker){
		"goaway":            {goAway},
		"list":              {listed},
		"goaway, then list": {goAway, listed},
		"list, then goaway": {listed, goAway},
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t, 3, func(c *config.Gateway) {
				c.Safety.DrainGrace = 100
				c.Workers.CheckInterval = 100 // frequent health checks, which report that the worker is draining
			}, nil)
			h.loadModel("quote")
			streams := h.openStreams(12)
			draining := h.busiestWorker()
			for _, announce := range announcements {
				announce(h, draining)
			}
			announcedAt := h.log.Now()
			time.Sleep(400 * time.Millisecond) // the drain grace and the delay of a file event
			for i := range 30 {
				if _, err := h.infer(timeoutContext(t, 5*time.Second), newRequest("quote", fmt.Sprint("n", i), 1, 1, 1)); err != nil {
					t.Errorf("new call failed: %v", err)
				}
			}
			h.expectNothingSent(draining, announcedAt, 390*time.Millisecond)
			streams.Wait()
		})
	}
}

// openStreams opens the given number of streams, each with 30 messages, and waits until each has received one. The
// returned group is done when all streams have ended; a stream that does not deliver all messages fails the test.
func (h *harness) openStreams(count int32) *sync.WaitGroup {
	h.t.Helper()
	const messagesPerStream = 30
	allOpen, open := make(chan struct{}), atomic.Int32{}
	var wg sync.WaitGroup
	for i := range count {
		wg.Go(func() {
			request := newRequest("quote", fmt.Sprint("s", i), 1500, messagesPerStream, 100)
			messages, _, err := h.streamInfer(timeoutContext(h.t, 20*time.Second), request, func(received int) {
				if received == 1 && open.Add(1) == count {
					close(allOpen)
				}
			})
			if err != nil || messages != messagesPerStream {
				h.t.Errorf("stream %d: %d messages, %v", i, messages, err)
			}
		})
	}
	testsupport.Await(h.t, allOpen, "the first message of every stream")
	return &wg
}

// busiestWorker returns the worker with the most calls.
func (h *harness) busiestWorker() *fakeworker.Worker {
	h.t.Helper()
	var busiest *fakeworker.Worker
	for _, w := range h.workers {
		if busiest == nil || w.InFlight() > busiest.InFlight() {
			busiest = w
		}
	}
	if busiest.InFlight() == 0 {
		h.t.Fatal("no worker has a stream")
	}
	return busiest
}

// listAsDraining marks a worker as draining in the worker list.
func (h *harness) listAsDraining(worker *fakeworker.Worker) {
	h.t.Helper()
	for i := range h.list.Workers {
		if h.list.Workers[i].ID == worker.ID() {
			h.list.Workers[i].State = "draining"
		}
	}
	h.writeWorkerList()
}

// expectNothingSent fails the test for each call or load command that a worker received later than since + grace.
func (h *harness) expectNothingSent(worker *fakeworker.Worker, since, grace time.Duration) {
	h.t.Helper()
	for _, r := range h.log.Records() {
		if (r.Kind == invariants.AttemptReceived || r.Kind == invariants.LoadCommandReceived) && r.Worker == worker.ID() && r.At > since+grace {
			h.t.Errorf("%s was sent to the draining worker %v after the announcement", r.Call, r.At-since)
		}
	}
}

// TestWorkerReturnsAfterGoAway checks that a worker is used again after GOAWAY, which a worker may also send only
// because a connection has reached its maximum age.
func TestWorkerReturnsAfterGoAway(t *testing.T) {
	h := newHarness(t, 1, func(c *config.Gateway) { c.Workers.CheckInterval = 100 }, nil)
	h.loadModel("quote")
	h.workers[0].Drain(true)
	h.workers[0].Resume()
	testsupport.WaitUntil(t, "calls are sent to the worker again", func() bool {
		_, err := h.infer(timeoutContext(t, 5*time.Second), newRequest("quote", "again", 1, 1, 1))
		return err == nil
	})
}
