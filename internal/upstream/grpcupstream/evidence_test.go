package grpcupstream

import (
	"bytes"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	peergrpc "google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/metadata"
	"google.golang.org/grpc/status"

	peer "golang.org/x/net/http2"
	peerhpack "golang.org/x/net/http2/hpack"

	"github.com/topazfront/topazfront/dispatch"
	"github.com/topazfront/topazfront/internal/endpoints"
	"github.com/topazfront/topazfront/internal/oip"
	"github.com/topazfront/topazfront/internal/oip/inference"
	"github.com/topazfront/topazfront/internal/router"
	"github.com/topazfront/topazfront/internal/server/grpcserver"
	"github.com/topazfront/topazfront/internal/transport/grpc"
)

// probe is a policy that sends each request once, to worker w, and notes what it is told.
type probe struct {
	mu       sync.Mutex
	outcomes chan dispatch.AttemptEnded
	started  int
	drained  chan string
	cancel   bool // cancels the attempt at once
}

func (p *probe) Step(now time.Duration, events []dispatch.Event) (out []dispatch.Action) {
	for _, e := range events {
		switch e := e.(type) {
		case dispatch.Request:
			out = append(out, dispatch.StartAttempt{ID: e.ID, Worker: "w"})
			if p.cancel {
				out = append(out, dispatch.CancelAttempt{ID: e.ID})
			}
		case dispatch.ResponseStarted:
			p.mu.Lock()
			p.started++
			p.mu.Unlock()
		case dispatch.AttemptEnded:
			p.outcomes <- e
			if !e.Final {
				out = append(out, dispatch.FailRequest{ID: e.ID})
			}
		case dispatch.EndpointUpdate:
			for _, m := range e.Endpoints {
				if m.State == dispatch.EndpointDraining {
					p.drained <- m.ID
				}
			}
		}
	}
	return out
}

// answer is a client of one call.
type answer struct {
	mu     sync.Mutex
	began  int
	bytes  bytes.Buffer
	status chan grpc.Status
}

func newAnswer() *answer { return &answer{status: make(chan grpc.Status, 4)} }

func (a *answer) Start(any) { a.mu.Lock(); a.began++; a.mu.Unlock() }
func (a *answer) Message(p []byte, _ func(int)) int {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.bytes.Write(p)
	return len(p)
}
func (a *answer) Finish(f router.FinalAnswer) {
	st, _ := grpcserver.Told(f)
	a.status <- st
}

// stage is a router with one worker at an address.
func stage(t *testing.T, addr string) (*router.Router, *probe) {
	t.Helper()
	p := &probe{outcomes: make(chan dispatch.AttemptEnded, 16), drained: make(chan string, 16)}
	pool := New(Config{Router: "r", ConnectTimeout: 300 * time.Millisecond, MaxConns: 1, MaxMessage: 1 << 20})
	r, err := router.New(router.Config{Name: "r", LoadTimeout: time.Second, HealthCheckTimeout: time.Second,
		Endpoints:     endpoints.Settings{CheckInterval: time.Hour},
		NewDispatcher: func(dispatch.Settings, uint64) (router.Dispatcher, error) { return p, nil }}, pool)
	if err != nil {
		t.Fatal(err)
	}
	pool.Attach(r)
	r.SetEndpoints([]endpoints.Worker{{Endpoint: dispatch.Endpoint{ID: "w"}, Address: addr}})
	t.Cleanup(func() { r.Kill(); pool.Close() })
	return r, p
}

func body() []byte {
	return append(grpc.AppendPrefix(nil, 3, false), 0x0a, 1, 'm')
}

func submit(t *testing.T, r *router.Router, streamed bool, left time.Duration) *answer {
	t.Helper()
	a := newAnswer()
	if _, ok := r.Submit(&router.Call{Function: "m", Class: "c", RemainingDeadline: left, Streamed: streamed,
		Request: &oip.Request{Message: body()}, Client: a}); !ok {
		t.Fatal("not taken")
	}
	return a
}

func get[T any](t *testing.T, ch <-chan T, what string) T {
	t.Helper()
	select {
	case v := <-ch:
		return v
	case <-time.After(20 * time.Second):
		t.Fatalf("%s did not come", what)
		panic("unreached")
	}
}

// scripted is a worker that does what a test says once a request has come whole on stream id.
func scripted(t *testing.T, act func(nc net.Conn, fr *peer.Framer, headers func(id uint32, end bool, kv ...string), id uint32)) string {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = ln.Close() })
	go func() {
		for {
			nc, err := ln.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = nc.Close() }()
				fr := peer.NewFramer(nc, nc)
				fr.AllowIllegalWrites = true
				_, _ = io.ReadFull(nc, make([]byte, 24))
				_ = fr.WriteSettings()
				var buf bytes.Buffer
				enc := peerhpack.NewEncoder(&buf)
				headers := func(id uint32, end bool, kv ...string) {
					buf.Reset()
					for i := 0; i < len(kv); i += 2 {
						_ = enc.WriteField(peerhpack.HeaderField{Name: kv[i], Value: kv[i+1]})
					}
					_ = fr.WriteHeaders(peer.HeadersFrameParam{StreamID: id, BlockFragment: buf.Bytes(), EndHeaders: true, EndStream: end})
				}
				for {
					f, err := fr.ReadFrame()
					if err != nil {
						return
					}
					if d, ok := f.(*peer.DataFrame); ok && d.StreamEnded() {
						act(nc, fr, headers, d.StreamID)
					}
				}
			}()
		}
	}()
	return ln.Addr().String()
}

// TestEvidence has a scripted worker end an attempt in each way of the table in evidence.go.
func TestEvidence(t *testing.T) {
	type hf = func(id uint32, end bool, kv ...string)
	ok := []string{":status", "200", "content-type", "application/grpc"}
	with := func(kv ...string) []string { return append(append([]string(nil), ok...), kv...) }
	message := body()
	cases := []struct {
		name     string
		streamed bool
		act      func(net.Conn, *peer.Framer, hf, uint32)
		result   dispatch.Result
		status   grpc.Code // what the client is told
		final    bool
		drains   bool
	}{
		{"answer", false, func(_ net.Conn, fr *peer.Framer, h hf, id uint32) {
			h(id, false, ok...)
			_ = fr.WriteData(id, false, message)
			h(id, true, "grpc-status", "0")
		}, dispatch.OK, grpc.OK, true, false},
		{"stream", true, func(_ net.Conn, fr *peer.Framer, h hf, id uint32) {
			h(id, false, ok...)
			_ = fr.WriteData(id, false, append(message, message...))
			h(id, true, "grpc-status", "0")
		}, dispatch.OK, grpc.OK, true, false},
		{"stream without messages", true, func(_ net.Conn, _ *peer.Framer, h hf, id uint32) {
			h(id, true, with("grpc-status", "0")...)
		}, dispatch.OK, grpc.OK, true, false},
		{"REFUSED_STREAM", false, func(_ net.Conn, fr *peer.Framer, _ hf, id uint32) {
			_ = fr.WriteRSTStream(id, peer.ErrCodeRefusedStream)
		}, dispatch.Rejected, grpc.Unknown, false, false},
		{"above GOAWAY's last stream", false, func(_ net.Conn, fr *peer.Framer, _ hf, id uint32) {
			_ = fr.WriteGoAway(0, peer.ErrCodeNo, nil)
		}, dispatch.Rejected, grpc.Unknown, false, true},
		{"below GOAWAY's last stream, then lost", false, func(nc net.Conn, fr *peer.Framer, _ hf, id uint32) {
			_ = fr.WriteGoAway(id, peer.ErrCodeNo, nil)
			_ = nc.Close()
		}, dispatch.ConnectionReset, grpc.Unknown, false, true},
		{"RST_STREAM with another code", false, func(_ net.Conn, fr *peer.Framer, _ hf, id uint32) {
			_ = fr.WriteRSTStream(id, peer.ErrCodeInternal)
		}, dispatch.ConnectionReset, grpc.Unknown, false, false},
		{"connection lost", false, func(nc net.Conn, _ *peer.Framer, _ hf, _ uint32) { _ = nc.Close() },
			dispatch.ConnectionReset, grpc.Unknown, false, false},
		{"connection error", false, func(_ net.Conn, fr *peer.Framer, _ hf, _ uint32) {
			_ = fr.WriteData(0, false, []byte{1})
		}, dispatch.ConnectionReset, grpc.Unknown, false, false},
		{"full", false, func(_ net.Conn, _ *peer.Framer, h hf, id uint32) {
			h(id, true, with("grpc-status", "8", oip.AdmissionField, oip.AdmissionFull)...)
		}, dispatch.Rejected, grpc.Unknown, false, false},
		{"draining", false, func(_ net.Conn, _ *peer.Framer, h hf, id uint32) {
			h(id, true, with("grpc-status", "14", oip.AdmissionField, oip.AdmissionDraining)...)
		}, dispatch.Rejected, grpc.Unknown, false, true},
		{"missing", false, func(_ net.Conn, _ *peer.Framer, h hf, id uint32) {
			h(id, true, with("grpc-status", "5", oip.AdmissionField, oip.AdmissionMissing)...)
		}, dispatch.NotResident, grpc.Unknown, false, false},
		{"full, but behind a message", true, func(_ net.Conn, fr *peer.Framer, h hf, id uint32) {
			h(id, false, ok...)
			_ = fr.WriteData(id, false, message)
			h(id, true, "grpc-status", "8", oip.AdmissionField, oip.AdmissionFull)
		}, dispatch.Errored, grpc.ResourceExhausted, true, false},
		{"unavailable without a promise", false, func(_ net.Conn, _ *peer.Framer, h hf, id uint32) {
			h(id, true, with("grpc-status", "14")...)
		}, dispatch.Errored, grpc.Unknown, false, false},
		{"an error of the worker's", false, func(_ net.Conn, _ *peer.Framer, h hf, id uint32) {
			h(id, true, with("grpc-status", "13", "grpc-message", "boom")...)
		}, dispatch.Errored, grpc.Internal, false, false},
		{"an error of the request's", false, func(_ net.Conn, _ *peer.Framer, h hf, id uint32) {
			h(id, true, with("grpc-status", "3")...)
		}, dispatch.OK, grpc.InvalidArgument, true, false},
		{"OK without an answer", false, func(_ net.Conn, _ *peer.Framer, h hf, id uint32) {
			h(id, true, with("grpc-status", "0")...)
		}, dispatch.Errored, grpc.Internal, false, false},
		{"OK with two answers", false, func(_ net.Conn, fr *peer.Framer, h hf, id uint32) {
			h(id, false, ok...)
			_ = fr.WriteData(id, false, append(message, message...))
			h(id, true, "grpc-status", "0")
		}, dispatch.Errored, grpc.Internal, false, false},
		{"OK with a cut answer", false, func(_ net.Conn, fr *peer.Framer, h hf, id uint32) {
			h(id, false, ok...)
			_ = fr.WriteData(id, false, message[:6])
			h(id, true, "grpc-status", "0")
		}, dispatch.Errored, grpc.Internal, false, false},
		{"stream cut within its second message", true, func(_ net.Conn, fr *peer.Framer, h hf, id uint32) {
			h(id, false, ok...)
			_ = fr.WriteData(id, false, append(message, message[:6]...))
			h(id, true, "grpc-status", "0")
		}, dispatch.Errored, grpc.Internal, true, false},
		{"stream broken after its first message", true, func(_ net.Conn, fr *peer.Framer, h hf, id uint32) {
			h(id, false, ok...)
			_ = fr.WriteData(id, false, message)
			_ = fr.WriteRSTStream(id, peer.ErrCodeInternal)
		}, dispatch.ConnectionReset, grpc.Unknown, true, false},
		{"no trailers", false, func(_ net.Conn, fr *peer.Framer, h hf, id uint32) {
			h(id, false, ok...)
			_ = fr.WriteData(id, true, message)
		}, dispatch.Errored, grpc.Unknown, false, false},
		{"no status", false, func(_ net.Conn, fr *peer.Framer, h hf, id uint32) {
			h(id, false, ok...)
			_ = fr.WriteData(id, false, message)
			h(id, true, "other", "x")
		}, dispatch.Errored, grpc.Unknown, false, false},
		{"HTTP 503", false, func(_ net.Conn, fr *peer.Framer, h hf, id uint32) {
			h(id, false, ":status", "503", "content-type", "text/html")
			_ = fr.WriteData(id, true, []byte("<html>"))
		}, dispatch.Errored, grpc.Unknown, false, false},
		{"not gRPC", false, func(_ net.Conn, fr *peer.Framer, h hf, id uint32) {
			h(id, false, ":status", "200", "content-type", "text/plain")
			_ = fr.WriteData(id, true, []byte("hello there"))
		}, dispatch.Errored, grpc.Unknown, false, false},
		{"bad message flag", false, func(_ net.Conn, fr *peer.Framer, h hf, id uint32) {
			h(id, false, ok...)
			_ = fr.WriteData(id, false, []byte{9, 0, 0, 0, 0})
		}, dispatch.Errored, grpc.Internal, false, false},
		{"answer beyond the bound", false, func(_ net.Conn, fr *peer.Framer, h hf, id uint32) {
			h(id, false, ok...)
			_ = fr.WriteData(id, false, []byte{0, 0x7f, 0, 0, 0})
			for range 80 {
				_ = fr.WriteData(id, false, make([]byte, 16000))
			}
		}, dispatch.Errored, grpc.Internal, false, false},
		{"malformed response", false, func(_ net.Conn, _ *peer.Framer, h hf, id uint32) {
			h(id, true, ":status", "200", "Upper", "x")
		}, dispatch.ConnectionReset, grpc.Unknown, false, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			r, p := stage(t, scripted(t, c.act))
			a := submit(t, r, c.streamed, 10*time.Second)
			o := get(t, p.outcomes, "the outcome")
			if o.Result != c.result || o.Final != c.final {
				t.Errorf("result %v, final %v, want %v, %v", o.Result, o.Final, c.result, c.final)
			}
			if st := get(t, a.status, "the final answer"); st.Code != c.status {
				t.Errorf("the client was told %v, want %v", st, c.status)
			}
			if c.drains {
				if w := get(t, p.drained, "the drain"); w != "w" {
					t.Errorf("%s drains", w)
				}
			}
			if n := len(p.drained); n > 0 {
				t.Errorf("%d drains told", n)
			}
			select {
			case st := <-a.status:
				t.Errorf("a second final answer: %v", st)
			case o := <-p.outcomes:
				t.Errorf("a second outcome: %v", o)
			case <-time.After(50 * time.Millisecond):
			}
		})
	}
}

func TestNoConnection(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	addr := ln.Addr().String()
	_ = ln.Close()
	r, p := stage(t, addr)
	submit(t, r, false, 5*time.Second)
	if o := get(t, p.outcomes, "the outcome"); o.Result != dispatch.ConnectFailed {
		t.Errorf("%v", o.Result)
	}
}

func TestTimeOutAndCancel(t *testing.T) {
	silent := scripted(t, func(net.Conn, *peer.Framer, func(uint32, bool, ...string), uint32) {})
	r, p := stage(t, silent)
	submit(t, r, false, 100*time.Millisecond)
	if o := get(t, p.outcomes, "the outcome"); o.Result != dispatch.TimedOut {
		t.Errorf("%v, want TimedOut", o.Result)
	}
	r, p = stage(t, silent)
	p.cancel = true
	submit(t, r, false, 10*time.Second)
	if o := get(t, p.outcomes, "the outcome"); o.Result != dispatch.Cancelled {
		t.Errorf("%v, want Cancelled", o.Result)
	}
}

// TestGRPCGoAsTheWorker has an independent server answer every kind of call that goes to workers.
func TestGRPCGoAsTheWorker(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	handler := func(_ any, s peergrpc.ServerStream) error {
		method, _ := peergrpc.MethodFromServerStream(s)
		report := oip.NoReport
		report.InFlight, report.Copies = 4, 2
		s.SetTrailer(metadata.Pairs(oip.ReportField, string(mustBin(report))))
		switch method {
		case oip.Infer, oip.StreamInfer:
			var m inference.ModelInferRequest
			if err := s.RecvMsg(&m); err != nil {
				return err
			}
			if method == oip.Infer {
				return s.SendMsg(&inference.ModelInferResponse{ModelName: m.ModelName})
			}
			for range 3 {
				if err := s.SendMsg(&inference.ModelStreamInferResponse{InferResponse: &inference.ModelInferResponse{ModelName: m.ModelName}}); err != nil {
					return err
				}
			}
			return nil
		case oip.Load:
			var m inference.RepositoryModelLoadRequest
			if err := s.RecvMsg(&m); err != nil {
				return err
			}
			if m.Parameters[oip.ParamCopies].GetInt64Param() != 1 || m.ModelName != "m" {
				return status.Error(codes.InvalidArgument, "odd order")
			}
			return s.SendMsg(&inference.RepositoryModelLoadResponse{})
		case oip.ServerReady:
			var m inference.ServerReadyRequest
			if err := s.RecvMsg(&m); err != nil {
				return err
			}
			return s.SendMsg(&inference.ServerReadyResponse{Ready: true})
		}
		return status.Error(codes.Unimplemented, method)
	}
	srv := peergrpc.NewServer(peergrpc.UnknownServiceHandler(handler))
	go func() { _ = srv.Serve(ln) }()
	defer srv.Stop()
	r, p := stage(t, ln.Addr().String())
	a := submit(t, r, false, 10*time.Second)
	if o := get(t, p.outcomes, "the outcome"); o.Result != dispatch.OK || o.LoadReport.InFlight != 4 {
		t.Errorf("unary: %+v", o)
	}
	if st := get(t, a.status, "the answer"); st.Code != grpc.OK {
		t.Errorf("unary: %v", st)
	}
	a = submit(t, r, true, 10*time.Second)
	if o := get(t, p.outcomes, "the outcome"); o.Result != dispatch.OK || p.started != 1 {
		t.Errorf("streamed: %+v, started %d", o, p.started)
	}
	var c grpc.MessageCounter
	if err := c.Add(a.bytes.Bytes()); err != nil || c.Messages != 3 || a.began != 1 {
		t.Errorf("streamed: %d messages, %v, begun %d times", c.Messages, err, a.began)
	}
	pool := New(Config{Router: "r", ConnectTimeout: time.Second, MaxConns: 1, MaxMessage: 1 << 20})
	defer pool.Close()
	pool.Attach(r)
	pool.SetEndpoints([]endpoints.Worker{{Endpoint: dispatch.Endpoint{ID: "w"}, Address: ln.Addr().String()}})
	orders, probes := make(chan router.LoadResult, 1), make(chan router.HealthResult, 1)
	pool.LoadFunction("w", "m", 1, 10*time.Second, func(o router.LoadResult) { orders <- o })
	if o := get(t, orders, "the order's end"); o.Result != dispatch.OK || o.Copies != 2 {
		t.Errorf("order: %+v", o)
	}
	pool.CheckHealth("w", 10*time.Second, func(a router.HealthResult) { probes <- a })
	if a := get(t, probes, "the probe's end"); a.Result != dispatch.OK || !a.Ready || a.Report.LoadReport.InFlight != 4 {
		t.Errorf("probe: %+v", a)
	}
}

// mustBin is the report's bytes; grpc-go codes -bin fields itself.
func mustBin(r oip.Report) []byte {
	b, err := grpc.DecodeBinaryHeader(r.Field().Value)
	if err != nil {
		panic(err)
	}
	return b
}

// TestAWorkerThatAcceptsAndClosesIsNotDialledOverAndOver: the attempt ends, whatever the deadline.
func TestAWorkerThatAcceptsAndClosesIsNotDialledOverAndOver(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = ln.Close() }()
	var accepted atomic.Int32
	go func() {
		for {
			nc, err := ln.Accept()
			if err != nil {
				return
			}
			accepted.Add(1)
			_ = nc.Close()
		}
	}()
	r, p := stage(t, ln.Addr().String())
	for range 10 {
		submit(t, r, false, time.Hour)
		if o := get(t, p.outcomes, "the outcome"); o.Result != dispatch.ConnectFailed && o.Result != dispatch.ConnectionReset {
			t.Errorf("%v", o.Result)
		}
	}
	if n := accepted.Load(); n > 20 {
		t.Errorf("%d connections for 10 attempts", n)
	}
}
