package dispatch

import (
	"fmt"
	"runtime"
	"testing"
	"time"
)

// benchmarkFunctions is the number of functions that the router of a benchmark knows.
const benchmarkFunctions = 300

// benchmarkSizes are the fleet sizes of the benchmarks, in workers.
var benchmarkSizes = []int{16, 80, 120, 320, 1920, 3200}

// benchmarkRouter is one of many routers of a fleet, and gets its requests from one client.
type benchmarkRouter struct {
	dispatcher *Dispatcher
	now        time.Duration
	requests   int
}

func newBenchmarkRouter(tb testing.TB, workers int) *benchmarkRouter {
	tb.Helper()
	s := testSettings()
	s.Routers, s.WorkersLoadOnMiss = 100, true
	d, err := New(s, 1)
	if err != nil {
		tb.Fatal(err)
	}
	r := &benchmarkRouter{dispatcher: d, now: time.Second}
	update := EndpointUpdate{Snapshot: true}
	for i := range workers {
		update.Endpoints = append(update.Endpoints, r.endpoint(i))
	}
	d.Step(r.now, []Event{update})
	return r
}

func (r *benchmarkRouter) endpoint(i int) Endpoint {
	return Endpoint{ID: fmt.Sprintf("w%02d", i), Kind: "big"}
}

// request sends a request for the next function and its response.
func (r *benchmarkRouter) request() {
	r.now += 50 * time.Millisecond
	r.requests++
	request := Request{ID: RequestID(r.requests), Function: fmt.Sprintf("f%d", r.requests%benchmarkFunctions),
		Class: classIdempotent, MemoryMB: 300, ConcurrencyPerInstance: 1, RemainingDeadline: 3 * time.Second}
	actions := r.dispatcher.Step(r.now, []Event{request})
	for _, a := range actionsOf[StartAttempt](actions) {
		response := outcomeOf(OK, 40*time.Millisecond)
		response.ID, response.Worker, response.Final = request.ID, a.Worker, true
		r.dispatcher.Step(r.now+40*time.Millisecond, []Event{response})
	}
}

// forEachSize runs a benchmark for every fleet size.
func forEachSize(b *testing.B, run func(b *testing.B, workers int)) {
	b.Helper()
	for _, workers := range benchmarkSizes {
		b.Run(fmt.Sprintf("%d workers", workers), func(b *testing.B) { run(b, workers) })
	}
}

// BenchmarkStep measures a request and its response at a router that knows 300 functions.
func BenchmarkStep(b *testing.B) {
	forEachSize(b, func(b *testing.B, workers int) {
		r := newBenchmarkRouter(b, workers)
		for b.Loop() {
			r.request()
		}
	})
}

// BenchmarkEndpointUpdate measures an update that replaces one worker, at a router that knows 300 functions.
func BenchmarkEndpointUpdate(b *testing.B) {
	forEachSize(b, func(b *testing.B, workers int) {
		r := newBenchmarkRouter(b, workers)
		for range 2 * benchmarkFunctions {
			r.request()
		}
		for n := 0; b.Loop(); n++ {
			r.now += time.Millisecond
			removed := r.endpoint(n)
			removed.State = EndpointRemoved
			r.dispatcher.Step(r.now, []Event{EndpointUpdate{Endpoints: []Endpoint{removed, r.endpoint(workers + n)}}})
		}
	})
}

// BenchmarkHeap measures the heap in use of a router after 4,000 requests, in MB.
func BenchmarkHeap(b *testing.B) {
	const requests = 4000
	forEachSize(b, func(b *testing.B, workers int) {
		for b.Loop() {
			before := heapInUse()
			r := newBenchmarkRouter(b, workers)
			for range requests {
				r.request()
			}
			b.ReportMetric(float64(heapInUse()-before)/1e6, "MB")
			runtime.KeepAlive(r)
		}
	})
}

// heapInUse returns the size of all reachable objects in bytes.
func heapInUse() uint64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}
