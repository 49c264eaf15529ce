//go:build compare

// The comparison with a plain transparent proxy on grpc-go: same workers, same load, same run, each proxy in a
// process of its own so that its CPU time and memory can be read from outside.
//
//	go test -tags compare -run Compare -v -timeout 20m ./internal/gateway

package grpcgateway

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"os"
	"os/exec"
	"runtime"
	"runtime/pprof"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/encoding"
	"google.golang.org/grpc/metadata"
	"google.golang.org/protobuf/proto"

	"github.com/topazfront/topazfront/internal/config"
	"github.com/topazfront/topazfront/internal/oip"
	"github.com/topazfront/topazfront/internal/oip/inference"
	own "github.com/topazfront/topazfront/internal/transport/grpc"
	"github.com/topazfront/topazfront/internal/transport/hpack"
	"github.com/topazfront/topazfront/internal/transport/http2"
)

const compareWorkers = 4

func TestMain(m *testing.M) {
	role := os.Getenv("COMPARE_ROLE")
	if role == "" {
		os.Exit(m.Run())
	}
	if f := os.Getenv("COMPARE_PROFILE"); f != "" {
		out, err := os.Create(f + "." + role)
		if err == nil {
			_ = pprof.StartCPUProfile(out)
			defer pprof.StopCPUProfile()
		}
	}
	workers := strings.Fields(os.Getenv("COMPARE_WORKERS"))
	switch role {
	case "workers":
		for range compareWorkers {
			s, err := http2.Listen("tcp", "127.0.0.1:0", http2.Config{MaxConcurrentStreams: 100000}, func(*http2.Conn) http2.Handler { return quick{} })
			if err != nil {
				panic(err)
			}
			fmt.Println(s.Addr())
		}
	case "gateway":
		dir, err := os.MkdirTemp("", "compare")
		if err != nil {
			panic(err)
		}
		defer func() { _ = os.RemoveAll(dir) }()
		var l config.WorkerList
		for i, a := range workers {
			l.Workers = append(l.Workers, config.Worker{ID: fmt.Sprint("w", i), Address: a, Kind: "box"})
		}
		if err := config.WriteWorkers(dir+"/w.json", l); err != nil {
			panic(err)
		}
		cfg := config.Defaults()
		cfg.Listen, cfg.Workers.File, cfg.Limits.Streams = "127.0.0.1:0", dir+"/w.json", 100000
		cfg.Reports = "none" // these workers tell nothing of their load
		cfg.Kinds = append(cfg.Kinds, struct {
			Name     string  `json:"name"`
			MemoryMB float64 `json:"memory_mb"`
		}{"box", 100000})
		cfg.Classes = []config.Class{{Name: "quote", Aim: 20000, Deadline: 30000, Worth: 1, Effect: "safe"}}
		cfg.DefaultModel = &config.Model{Class: "quote", MemoryMB: 100, Lanes: 1000, Load: 10, Work: 1}
		g, err := Start(&cfg, Options{})
		if err != nil {
			panic(err)
		}
		fmt.Println(g.Addr())
	case "proxy":
		fmt.Println(plainProxy(workers))
	}
	_, _ = io.ReadAll(os.Stdin) // until the parent closes it
}

// quick is a worker that answers at once: a unary call by one small message, a stream by as many messages as
// the request's id says, then the end. An id of "hold" leaves the stream open after its first message.
type quick struct{}

func (quick) Open(s *http2.Stream) http2.Receiver {
	return &quickCall{reader: own.MessageReader{MaxSize: 1 << 24}}
}
func (quick) GoAway(*http2.Conn, http2.ErrCode)  {}
func (quick) ConnClosed(*http2.Conn, error)      {}
func (q *quickCall) Sent(*http2.Stream, int)     {}
func (q *quickCall) Closed(*http2.Stream, error) {}
func (q *quickCall) Headers(_ *http2.Stream, f []hpack.Field, _ bool) {
	q.path, _ = own.FieldValue(f, ":path")
}

type quickCall struct {
	path   string
	reader own.MessageReader
}

func (q *quickCall) Data(s *http2.Stream, p []byte, end bool) {
	s.Consume(len(p))
	m, _, err := q.reader.Next(p)
	if err != nil || m == nil {
		return
	}
	r, _ := oip.Scan(m[own.PrefixLen:])
	_ = s.WriteHeaders([]hpack.Field{{Name: ":status", Value: "200"}, {Name: "content-type", Value: "application/grpc"}}, false)
	if q.path != oip.StreamInfer {
		_, _ = s.Write(quickUnary, false)
		_ = s.WriteTrailers([]hpack.Field{{Name: "grpc-status", Value: "0"}})
		return
	}
	n, err := strconv.Atoi(r.ID)
	for range max(n, 1) {
		_, _ = s.Write(quickStream, false)
	}
	if err == nil {
		_ = s.WriteTrailers([]hpack.Field{{Name: "grpc-status", Value: "0"}})
	}
}

var quickUnary, quickStream = func() (u, s []byte) {
	in := &inference.ModelInferResponse{ModelName: "m", RawOutputContents: [][]byte{make([]byte, 100)}}
	a, _ := proto.Marshal(in)
	b, _ := proto.Marshal(&inference.ModelStreamInferResponse{InferResponse: in})
	return append(own.AppendPrefix(nil, len(a), false), a...), append(own.AppendPrefix(nil, len(b), false), b...)
}()

// rawCodec passes messages through untouched.
type rawCodec struct{}

func (rawCodec) Marshal(v any) ([]byte, error)   { return *v.(*[]byte), nil }
func (rawCodec) Unmarshal(b []byte, v any) error { *v.(*[]byte) = b; return nil }
func (rawCodec) Name() string                    { return "proto" }

var _ encoding.Codec = rawCodec{}

// plainProxy is a transparent proxy as grpc-go's users write it: unknown-service handler, raw bytes, round robin.
func plainProxy(workers []string) string {
	var conns []*grpc.ClientConn
	for _, w := range workers {
		c, err := grpc.NewClient(w, grpc.WithTransportCredentials(insecure.NewCredentials()), grpc.WithDefaultCallOptions(grpc.ForceCodec(rawCodec{})))
		if err != nil {
			panic(err)
		}
		conns = append(conns, c)
	}
	var next atomic.Uint64
	handler := func(_ any, in grpc.ServerStream) error {
		method, _ := grpc.MethodFromServerStream(in)
		md, _ := metadata.FromIncomingContext(in.Context())
		ctx, cancel := context.WithCancel(metadata.NewOutgoingContext(in.Context(), md))
		defer cancel()
		out, err := conns[next.Add(1)%uint64(len(conns))].NewStream(ctx, &grpc.StreamDesc{ServerStreams: true, ClientStreams: true}, method)
		if err != nil {
			return err
		}
		var m []byte
		if err := in.RecvMsg(&m); err != nil {
			return err
		}
		if err := out.SendMsg(&m); err != nil {
			return err
		}
		_ = out.CloseSend()
		for {
			var m []byte
			if err := out.RecvMsg(&m); err == io.EOF {
				in.SetTrailer(out.Trailer())
				return nil
			} else if err != nil {
				return err
			}
			if err := in.SendMsg(&m); err != nil {
				return err
			}
		}
	}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	s := grpc.NewServer(grpc.UnknownServiceHandler(handler), grpc.ForceServerCodec(rawCodec{}), grpc.MaxConcurrentStreams(100000))
	go func() { _ = s.Serve(ln) }()
	return ln.Addr().String()
}

// process is a child in one role.
type process struct {
	cmd   *exec.Cmd
	stdin io.WriteCloser
	addrs []string
}

func launch(t *testing.T, role string, lines int, workers []string) *process {
	t.Helper()
	cmd := exec.Command(os.Args[0])
	cmd.Env = append(os.Environ(), "COMPARE_ROLE="+role, "COMPARE_WORKERS="+strings.Join(workers, " "))
	cmd.Stderr = io.Discard
	in, err := cmd.StdinPipe()
	if err != nil {
		t.Fatal(err)
	}
	out, err := cmd.StdoutPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	p := &process{cmd: cmd, stdin: in}
	t.Cleanup(func() { _ = in.Close(); _ = cmd.Wait() })
	sc := bufio.NewScanner(out)
	for len(p.addrs) < lines && sc.Scan() {
		if s := sc.Text(); strings.HasPrefix(s, "127.") {
			p.addrs = append(p.addrs, s)
		}
	}
	return p
}

// cpu is the process's CPU time so far, in seconds.
func (p *process) cpu() float64 {
	raw, _ := os.ReadFile(fmt.Sprintf("/proc/%d/stat", p.cmd.Process.Pid))
	f := strings.Fields(string(raw[strings.LastIndexByte(string(raw), ')')+2:]))
	u, _ := strconv.ParseFloat(f[11], 64)
	s, _ := strconv.ParseFloat(f[12], 64)
	return (u + s) / 100
}

// rss is its resident memory in MB.
func (p *process) rss() float64 {
	raw, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.cmd.Process.Pid))
	for _, l := range strings.Split(string(raw), "\n") {
		if strings.HasPrefix(l, "VmRSS:") {
			kb, _ := strconv.ParseFloat(strings.Fields(l)[1], 64)
			return kb / 1024
		}
	}
	return 0
}

// caller is the load's client: its own bytes, no allocation to speak of.
type caller struct {
	due  time.Time
	done func(due time.Time, ok bool)
	once sync.Once
}

func (c *caller) end(ok bool)                            { c.once.Do(func() { c.done(c.due, ok) }) }
func (c *caller) Data(s *http2.Stream, p []byte, _ bool) { s.Consume(len(p)) }
func (c *caller) Sent(*http2.Stream, int)                {}
func (c *caller) Closed(_ *http2.Stream, err error)      { c.end(err == nil) }
func (c *caller) Headers(_ *http2.Stream, f []hpack.Field, end bool) {
	if end {
		st, _ := own.FieldValue(f, "grpc-status")
		c.end(st == "0")
	}
}
func (quickConns) Open(*http2.Stream) http2.Receiver { return nil }
func (quickConns) GoAway(*http2.Conn, http2.ErrCode) {}
func (quickConns) ConnClosed(*http2.Conn, error)     {}

type quickConns struct{}

func loadFields(path string) []hpack.Field {
	return []hpack.Field{{Name: ":method", Value: "POST"}, {Name: ":scheme", Value: "http"}, {Name: ":path", Value: path},
		{Name: ":authority", Value: "a"}, {Name: "te", Value: "trailers"}, {Name: "content-type", Value: "application/grpc"},
		{Name: "grpc-timeout", Value: "20S"}}
}

type figures struct {
	perCPU, p50, p99 float64 // calls a CPU second; microseconds
	failed           int
}

// open loads a server at a rate, whatever it answers; latency counts from when a call was due.
func open(t *testing.T, p *process, path, id string, rate float64, span time.Duration) figures {
	t.Helper()
	raw, _ := proto.Marshal(&inference.ModelInferRequest{ModelName: "m", Id: id, RawInputContents: [][]byte{make([]byte, 100)}})
	body := append(own.AppendPrefix(nil, len(raw), false), raw...)
	var conns []*http2.Conn
	for range 8 {
		c, err := http2.Dial("tcp", p.addrs[0], time.Second, http2.Config{}, quickConns{})
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		conns = append(conns, c)
	}
	time.Sleep(50 * time.Millisecond)
	hist := hdrhistogram.New(1, 30_000_000, 3)
	var mu sync.Mutex
	failed, n := 0, int(rate*span.Seconds())
	var wg sync.WaitGroup
	fields := loadFields(path)
	done := func(due time.Time, ok bool) {
		mu.Lock()
		if ok {
			_ = hist.RecordValue(time.Since(due).Microseconds())
		} else {
			failed++
		}
		mu.Unlock()
		wg.Done()
	}
	before, begin := p.cpu(), time.Now()
	for i := range n {
		due := begin.Add(time.Duration(float64(i) / rate * float64(time.Second)))
		if d := time.Until(due); d > 0 {
			time.Sleep(d)
		}
		wg.Add(1)
		c := &caller{due: due, done: done}
		if _, err := conns[i%len(conns)].Open(c, fields, body, true); err != nil {
			c.end(false)
		}
	}
	wg.Wait()
	used := p.cpu() - before
	return figures{float64(n-failed) / max(used, 1e-3), float64(hist.ValueAtQuantile(50)), float64(hist.ValueAtQuantile(99)), failed}
}

func median(f []float64) float64 {
	slices.Sort(f)
	return f[len(f)/2]
}

func TestCompare(t *testing.T) {
	workers := launch(t, "workers", compareWorkers, nil)
	ours, plain := launch(t, "gateway", 1, workers.addrs), launch(t, "proxy", 1, workers.addrs)
	rate, runs, span := 3000.0, 5, 4*time.Second
	if v, err := strconv.ParseFloat(os.Getenv("COMPARE_RATE"), 64); err == nil {
		rate = v
	}
	fmt.Printf("%d CPUs, %d workers, medians of %d runs of %v, 8 client connections\n", runtime.NumCPU(), compareWorkers, runs, span)
	for _, k := range []struct {
		name, path, id string
		rate           float64
	}{{"unary, 100 bytes", oip.Infer, "1", rate}, {"streamed, 20 messages of 100 bytes", oip.StreamInfer, "20", rate / 3}} {
		var got [3][3][]float64
		failed := [3]int{}
		for range runs {
			for i, p := range []*process{ours, plain, workers} { // in turn, so that what the machine does hits both
				f := open(t, p, k.path, k.id, k.rate, span)
				got[i][0], got[i][1], got[i][2] = append(got[i][0], f.perCPU), append(got[i][1], f.p50), append(got[i][2], f.p99)
				failed[i] += f.failed
			}
		}
		for i, name := range []string{"topazfront", "grpc-go proxy", "none: a worker"} {
			fmt.Printf("%-36s %6.0f calls/s  %-14s %8.0f calls a CPU second  p50 %6.0f us  p99 %6.0f us  failed %d\n", k.name, k.rate,
				name, median(got[i][0]), median(got[i][1]), median(got[i][2]), failed[i])
		}
	}
	for i, p := range []*process{ours, plain} {
		before := p.rss()
		c, err := http2.Dial("tcp", p.addrs[0], time.Second, http2.Config{}, quickConns{})
		if err != nil {
			t.Fatal(err)
		}
		raw, _ := proto.Marshal(&inference.ModelInferRequest{ModelName: "m", Id: "hold"})
		for range 500 {
			if _, err := c.Open(&caller{done: func(time.Time, bool) {}}, loadFields(oip.StreamInfer), append(own.AppendPrefix(nil, len(raw), false), raw...), true); err != nil {
				t.Fatal(err)
			}
			time.Sleep(time.Millisecond)
		}
		time.Sleep(500 * time.Millisecond)
		fmt.Printf("500 open streams: %-14s %5.1f MB resident, %.1f MB before\n", []string{"topazfront", "grpc-go proxy"}[i], p.rss(), before)
		c.Close()
	}
}
