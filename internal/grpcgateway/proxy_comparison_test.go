//go:build compare

// This file compares the gateway with a plain transparent proxy on grpc-go, with the same workers and workloads in
// the same run. Each of the two runs in its own process, so that its CPU time and memory can be measured separately.
//
//	go test -tags compare -run Compare -v -timeout 20m ./internal/grpcgateway

package grpcgateway

import (
	"fmt"
	"os"
	"runtime"
	"slices"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/topazfront/topazfront/internal/oip"
	"github.com/topazfront/topazfront/internal/oip/inference"
	"github.com/topazfront/topazfront/internal/transport/grpc"
	"github.com/topazfront/topazfront/internal/transport/hpack"
	"github.com/topazfront/topazfront/internal/transport/http2"
)

const (
	comparisonRuns     = 5
	comparisonDuration = 4 * time.Second
	clientConnections  = 8
	openStreamCount    = 500
)

// comparedServer is a server under load in the comparison.
type comparedServer struct {
	name    string
	process *childProcess
}

func TestCompareWithPlainProxy(t *testing.T) {
	workers := startChild(t, roleWorkers, comparisonWorkers, nil)
	gateway := comparedServer{"topazfront", startChild(t, roleGateway, 1, workers.addresses)}
	proxy := comparedServer{"grpc-go proxy", startChild(t, roleProxy, 1, workers.addresses)}
	rate := 3000.0
	if v, err := strconv.ParseFloat(os.Getenv("COMPARE_RATE"), 64); err == nil {
		rate = v
	}
	fmt.Printf("%d CPUs, %d workers, medians of %d runs of %v, %d client connections\n", runtime.NumCPU(), comparisonWorkers,
		comparisonRuns, comparisonDuration, clientConnections)
	servers := []comparedServer{gateway, proxy, {"none: a worker", workers}}
	compareWorkload(t, servers, workload{"unary, 100 bytes", oip.Infer, "1", rate})
	compareWorkload(t, servers, workload{"streamed, 20 messages of 100 bytes", oip.StreamInfer, "20", rate / 3})
	for _, server := range servers[:2] {
		printOpenStreamMemory(t, server)
	}
}

// workload is a sequence of equal calls. The request ID tells the workers how to answer.
type workload struct {
	name, path, requestID string
	rate                  float64 // calls per second
}

// compareWorkload runs the workload on each server in turn, several times, so that other activity of the machine
// affects all of them, and prints the medians.
func compareWorkload(t *testing.T, servers []comparedServer, w workload) {
	t.Helper()
	perCPUSecond, p50, p99 := make([][]float64, len(servers)), make([][]float64, len(servers)), make([][]float64, len(servers))
	failed := make([]int, len(servers))
	for range comparisonRuns {
		for i, server := range servers {
			result := runWorkload(t, server.process, w)
			perCPUSecond[i] = append(perCPUSecond[i], result.callsPerCPUSecond)
			p50[i], p99[i] = append(p50[i], result.p50), append(p99[i], result.p99)
			failed[i] += result.failed
		}
	}
	for i, server := range servers {
		fmt.Printf("%-36s %6.0f calls/s  %-14s %8.0f calls a CPU second  p50 %6.0f us  p99 %6.0f us  failed %d\n",
			w.name, w.rate, server.name, median(perCPUSecond[i]), median(p50[i]), median(p99[i]), failed[i])
	}
}

func median(values []float64) float64 {
	slices.Sort(values)
	return values[len(values)/2]
}

// printOpenStreamMemory prints a server's resident memory before and while it has many open streams.
func printOpenStreamMemory(t *testing.T, server comparedServer) {
	t.Helper()
	before := server.process.residentMB()
	conn := dialChild(t, server.process)
	request := prefixedMessage(t, &inference.ModelInferRequest{ModelName: "m", Id: holdRequestID})
	for range openStreamCount {
		call := &workloadCall{done: func(time.Time, bool) {}}
		if _, err := conn.OpenStream(call, timedRequestFields(oip.StreamInfer), request, true); err != nil {
			t.Fatal(err)
		}
		time.Sleep(time.Millisecond)
	}
	time.Sleep(500 * time.Millisecond)
	fmt.Printf("%d open streams: %-14s %5.1f MB resident, %.1f MB before\n", openStreamCount, server.name,
		server.process.residentMB(), before)
	conn.Close()
}

// workloadResult is the result of one run of a workload.
type workloadResult struct {
	callsPerCPUSecond float64
	p50, p99          float64 // microseconds
	failed            int
}

// runWorkload runs a workload on a server in an open loop: calls start at a fixed rate, independently of the
// responses, and latency is measured from the time at which a call was due.
func runWorkload(t *testing.T, server *childProcess, w workload) workloadResult {
	t.Helper()
	request := prefixedMessage(t, &inference.ModelInferRequest{ModelName: "m", Id: w.requestID,
		RawInputContents: [][]byte{make([]byte, 100)}})
	var conns []*http2.Conn
	for range clientConnections {
		conn := dialChild(t, server)
		defer conn.Close()
		conns = append(conns, conn)
	}
	time.Sleep(50 * time.Millisecond)
	latencies := hdrhistogram.New(1, 30_000_000, 3)
	var mu sync.Mutex
	failed, calls := 0, int(w.rate*comparisonDuration.Seconds())
	var wg sync.WaitGroup
	fields := timedRequestFields(w.path)
	done := func(due time.Time, ok bool) {
		mu.Lock()
		if ok {
			_ = latencies.RecordValue(time.Since(due).Microseconds())
		} else {
			failed++
		}
		mu.Unlock()
		wg.Done()
	}
	cpuBefore, begin := server.cpuSeconds(), time.Now()
	for i := range calls {
		due := begin.Add(time.Duration(float64(i) / w.rate * float64(time.Second)))
		if wait := time.Until(due); wait > 0 {
			time.Sleep(wait)
		}
		wg.Add(1)
		call := &workloadCall{due: due, done: done}
		if _, err := conns[i%len(conns)].OpenStream(call, fields, request, true); err != nil {
			call.end(false)
		}
	}
	wg.Wait()
	cpuUsed := server.cpuSeconds() - cpuBefore
	return workloadResult{float64(calls-failed) / max(cpuUsed, 1e-3), float64(latencies.ValueAtQuantile(50)),
		float64(latencies.ValueAtQuantile(99)), failed}
}

// dialChild opens a connection to a child's first address.
func dialChild(t *testing.T, child *childProcess) *http2.Conn {
	t.Helper()
	conn, err := http2.Dial("tcp", child.addresses[0], time.Second, http2.Config{}, noopConnHandler{})
	if err != nil {
		t.Fatal(err)
	}
	return conn
}

// timedRequestFields returns the header of a request with a grpc-timeout.
func timedRequestFields(path string) []hpack.Field {
	return append(requestFields(path), hpack.Field{Name: "grpc-timeout", Value: "20S"})
}

// workloadCall is one call of a workload. It calls done once. It allocates little, to keep the cost of the client low.
type workloadCall struct {
	due  time.Time
	done func(due time.Time, ok bool)
	once sync.Once
}

func (c *workloadCall) end(ok bool)                                    { c.once.Do(func() { c.done(c.due, ok) }) }
func (c *workloadCall) Data(stream *http2.Stream, data []byte, _ bool) { stream.Consume(len(data)) }
func (c *workloadCall) Sent(*http2.Stream, int)                        {}
func (c *workloadCall) Closed(_ *http2.Stream, err error)              { c.end(err == nil) }
func (c *workloadCall) Headers(_ *http2.Stream, f []hpack.Field, end bool) {
	if end {
		status, _ := grpc.FieldValue(f, "grpc-status")
		c.end(status == "0")
	}
}
