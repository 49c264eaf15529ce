package grpcgateway

import (
	"context"
	"errors"
	"fmt"
	"io"
	"runtime"
	"testing"
	"time"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"github.com/topazfront/topazfront/internal/fake/fakeworker"
	"github.com/topazfront/topazfront/internal/invariants"
	"github.com/topazfront/topazfront/internal/oip/inference"
	"github.com/topazfront/topazfront/internal/testsupport"
)

// TestSlowReaderBlocksOnlyItsOwnStream checks that flow control passes the backpressure of a client that does not
// read on to its worker: the gateway must not buffer the response, and other streams must not be delayed.
func TestSlowReaderBlocksOnlyItsOwnStream(t *testing.T) {
	h := newHarness(t, 1, nil, nil)
	h.loadModel("quote")
	slow, err := h.newStream(timeoutContext(t, 30*time.Second))
	if err != nil {
		t.Fatal(err)
	}
	const messages, size = 400, 50000 // 20 MB
	if err := slow.SendMsg(newRequest("quote", "slow", 200, messages, size)); err != nil {
		t.Fatal(err)
	}
	_ = slow.CloseSend()
	var response inference.ModelStreamInferResponse
	if err := slow.RecvMsg(&response); err != nil {
		t.Fatal(err)
	}
	time.Sleep(600 * time.Millisecond) // the worker has produced all messages by now; the client does not read
	before := heapBytes()
	for i := range 50 {
		h.requireStream(10*time.Second, newRequest("quote", fmt.Sprint("other", i), 2, 10, 2000), 10)
	}
	if growth := heapBytes() - before; growth > 20<<20 {
		t.Errorf("the heap grew by %d bytes", growth)
	}
	received := 1
	for {
		if err := slow.RecvMsg(&response); errors.Is(err, io.EOF) {
			break
		} else if err != nil {
			t.Fatal(err)
		}
		if received++; len(response.InferResponse.RawOutputContents[0]) != size {
			t.Fatalf("message %d has %d bytes", received, len(response.InferResponse.RawOutputContents[0]))
		}
	}
	if received != messages {
		t.Errorf("%d messages", received)
	}
}

// heapBytes returns the size of the live heap, after a garbage collection.
func heapBytes() int64 {
	var stats runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapAlloc)
}

// callStage is a stage of a call at which its client cancels it.
type callStage struct {
	name         string
	prepare      func(*harness)
	changeWorker func(*fakeworker.Config)
	workMS       int64                 // work time of the call in milliseconds
	reached      invariants.RecordKind // the record that shows that the call has reached the stage
	workerHangs  bool                  // the worker never ends the call
}

var callStages = []callStage{
	{name: "load wait", prepare: func(*harness) {}, workMS: 5, reached: invariants.AttemptReceived,
		changeWorker: func(c *fakeworker.Config) {
			c.StopsCancelledWork = true
			slow := c.Models["quote"]
			slow.LoadTime = 2 * time.Second
			c.Models["quote"] = slow
		}},
	{name: "at work", prepare: func(h *harness) { h.loadModel("quote") }, workMS: 600, reached: invariants.RunStarted,
		changeWorker: func(c *fakeworker.Config) { c.StopsCancelledWork = true }},
	{name: "worker hangs", workMS: 5, reached: invariants.AttemptReceived, workerHangs: true,
		prepare:      func(h *harness) { h.setFaults(func(f *fakeworker.Faults) { f.Hang = true }) },
		changeWorker: func(c *fakeworker.Config) { c.StopsCancelledWork = true }},
}

// The ways in which a client cancels a call.
const (
	byCancel     = "cancel"
	byDeadline   = "deadline"
	byDisconnect = "disconnect"
)

// TestClientCancelsCall cancels a call at each stage and in each way. The router and the workers must release it.
func TestClientCancelsCall(t *testing.T) {
	for _, stage := range callStages {
		for _, way := range []string{byCancel, byDeadline, byDisconnect} {
			t.Run(stage.name+", "+way, func(t *testing.T) { stage.cancelCall(t, way) })
		}
	}
}

// cancelCall makes a call, cancels it at the stage, and waits until the router and the workers have released it.
func (s callStage) cancelCall(t *testing.T, way string) {
	h := newHarness(t, 2, nil, s.changeWorker)
	s.prepare(h)
	timeout := 20 * time.Second
	if way == byDeadline {
		timeout = 300 * time.Millisecond
	}
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	ended := make(chan error, 1)
	go func() { // ends when ctx is done
		_, _, err := h.streamInfer(ctx, newRequest("quote", "l1", s.workMS, 3, 10), nil)
		ended <- err
	}()
	if way != byDeadline {
		testsupport.WaitUntil(t, "the call reached its stage", func() bool { return h.records(s.reached, "l1") > 0 })
		if way == byCancel {
			cancel()
		} else {
			_ = h.conn.Close()
		}
	}
	if err := <-ended; err == nil {
		t.Error("the call was served")
	}
	testsupport.WaitUntil(t, "the router forgot the call", func() bool { return h.stats().CallsInFlight == 0 })
	if !s.workerHangs {
		testsupport.WaitUntil(t, "the workers dropped it", func() bool { return h.workers[0].InFlight()+h.workers[1].InFlight() == 0 })
	}
	if h.records(invariants.RunStarted, "l1") > 1 {
		t.Error("the call ran more than once")
	}
}

// TestDeadlineEndsOpenStream checks that the client's deadline ends a stream whose response has started, also at the
// worker.
func TestDeadlineEndsOpenStream(t *testing.T) {
	h := newHarness(t, 1, nil, func(c *fakeworker.Config) { c.StopsCancelledWork = true })
	h.loadModel("quote")
	messages, _, err := h.streamInfer(timeoutContext(t, 500*time.Millisecond), newRequest("quote", "long", 5000, 100, 10), nil)
	if status.Code(err) != codes.DeadlineExceeded || messages == 0 {
		t.Fatalf("%d messages, %v", messages, err)
	}
	testsupport.WaitUntil(t, "the worker's stream ended", func() bool { return h.workers[0].InFlight() == 0 })
	testsupport.WaitUntil(t, "the router forgot the call", func() bool { return h.stats().CallsInFlight == 0 })
}
