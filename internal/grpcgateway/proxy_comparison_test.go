//go:build compare

// The comparison with a plain transparent proxy on grpc-go: same workers, same load, same run, each proxy in a
// process of its own so that its CPU time and memory can be read from outside.
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

// comparedServer is a server that is loaded in the comparison.
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
	compareLoad(t, servers, load{"unary, 100 bytes", oip.Infer, "1", rate})
	compareLoad(t, servers, load{"streamed, 20 messages of 100 bytes", oip.StreamInfer, "20", rate / 3})
	for _, server := range servers[:2] {
		printOpenStreamMemory(t, server)
	}
}

// load is a load in calls a second; the request's id tells the workers how to answer.
type load struct {
	name, path, requestID string
	rate                  float64
}

// compareLoad loads the servers in turn, so that what the machine does besides hits all, and prints medians.
func compareLoad(t *testing.T, servers []comparedServer, l load) {
	t.Helper()
	perCPUSecond, p50, p99 := make([][]float64, len(servers)), make([][]float64, len(servers)), make([][]float64, len(servers))
	failed := make([]int, len(servers))
	for range comparisonRuns {
		for i, server := range servers {
			result := runLoad(t, server.process, l)
			perCPUSecond[i] = append(perCPUSecond[i], result.callsPerCPUSecond)
			p50[i], p99[i] = append(p50[i], result.p50), append(p99[i], result.p99)
			failed[i] += result.failed
		}
	}
	for i, server := range servers {
		fmt.Printf("%-36s %6.0f calls/s  %-14s %8.0f calls a CPU second  p50 %6.0f us  p99 %6.0f us  failed %d\n", l.name, l.rate,
			server.name, median(perCPUSecond[i]), median(p50[i]), median(p99[i]), failed[i])
	}
}

func median(values []float64) float64 {
	slices.Sort(values)
	return values[len(values)/2]
}

// printOpenStreamMemory prints what a server's resident memory is with open streams.
func printOpenStreamMemory(t *testing.T, server comparedServer) {
	t.Helper()
	before := server.process.residentMB()
	conn := dialChild(t, server.process)
	request := prefixedMessage(t, &inference.ModelInferRequest{ModelName: "m", Id: holdRequestID})
	for range openStreamCount {
		call := &loadCall{done: func(time.Time, bool) {}}
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

// loadResult is what one run of a load came to.
type loadResult struct {
	callsPerCPUSecond float64
	p50, p99          float64 // microseconds
	failed            int
}

// runLoad loads a server in an open loop: calls are due at a rate, whatever it answers; latency counts from when a call
// was due.
func runLoad(t *testing.T, server *childProcess, l load) loadResult {
	t.Helper()
	request := prefixedMessage(t, &inference.ModelInferRequest{ModelName: "m", Id: l.requestID,
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
	failed, calls := 0, int(l.rate*comparisonDuration.Seconds())
	var wg sync.WaitGroup
	fields := timedRequestFields(l.path)
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
		due := begin.Add(time.Duration(float64(i) / l.rate * float64(time.Second)))
		if wait := time.Until(due); wait > 0 {
			time.Sleep(wait)
		}
		wg.Add(1)
		call := &loadCall{due: due, done: done}
		if _, err := conns[i%len(conns)].OpenStream(call, fields, request, true); err != nil {
			call.end(false)
		}
	}
	wg.Wait()
	cpuUsed := server.cpuSeconds() - cpuBefore
	return loadResult{float64(calls-failed) / max(cpuUsed, 1e-3), float64(latencies.ValueAtQuantile(50)),
		float64(latencies.ValueAtQuantile(99)), failed}
}

// dialChild connects to a child's first address.
func dialChild(t *testing.T, child *childProcess) *http2.Conn {
	t.Helper()
	conn, err := http2.Dial("tcp", child.addresses[0], time.Second, http2.Config{}, connEvents{})
	if err != nil {
		t.Fatal(err)
	}
	return conn
}

// timedRequestFields is the header of a request with a timeout.
func timedRequestFields(path string) []hpack.Field {
	return append(requestFields(path), hpack.Field{Name: "grpc-timeout", Value: "20S"})
}

// loadCall is one call of a load. It calls done once, and allocates next to nothing, so that the client costs little.
type loadCall struct {
	due  time.Time
	done func(due time.Time, ok bool)
	once sync.Once
}

func (c *loadCall) end(ok bool)                                    { c.once.Do(func() { c.done(c.due, ok) }) }
func (c *loadCall) Data(stream *http2.Stream, data []byte, _ bool) { stream.Consume(len(data)) }
func (c *loadCall) Sent(*http2.Stream, int)                        {}
func (c *loadCall) Closed(_ *http2.Stream, err error)              { c.end(err == nil) }
func (c *loadCall) Headers(_ *http2.Stream, f []hpack.Field, end bool) {
	if end {
		status, _ := grpc.FieldValue(f, "grpc-status")
		c.end(status == "0")
	}
}
