package grpcupstream

import (
	"bytes"
	"io"
	"net"
	"sync"
	"testing"
	"time"

	xhttp2 "golang.org/x/net/http2"
	xhpack "golang.org/x/net/http2/hpack"
	grpcgo "google.golang.org/grpc"

	"github.com/topazfront/topazfront/dispatch"
	"github.com/topazfront/topazfront/internal/endpoints"
	"github.com/topazfront/topazfront/internal/oip"
	"github.com/topazfront/topazfront/internal/router"
	"github.com/topazfront/topazfront/internal/server/grpcserver"
	"github.com/topazfront/topazfront/internal/testsupport"
	"github.com/topazfront/topazfront/internal/transport/grpc"
	"github.com/topazfront/topazfront/internal/transport/http2"
)

// testDispatcher starts an attempt of each request at worker "w" and records the events that follow.
type testDispatcher struct {
	mu       sync.Mutex
	ended    chan dispatch.AttemptEnded
	started  int         // number of responses that started; guarded by mu
	draining chan string // IDs of workers that began to drain
	lost     chan string // IDs of workers that a connection was lost to; others are dropped if it is full
	changed  chan dispatch.ConnectionsChanged
	cancel   bool // cancel each attempt at once
	retries  int  // number of rejected attempts that may still be retried
}

func (d *testDispatcher) Step(_ time.Duration, events []dispatch.Event) (out []dispatch.Action) {
	for _, e := range events {
		switch e := e.(type) {
		case dispatch.Request:
			out = append(out, dispatch.StartAttempt{ID: e.ID, Worker: "w"})
			if d.cancel {
				out = append(out, dispatch.CancelAttempt{ID: e.ID})
			}
		case dispatch.ResponseStarted:
			d.mu.Lock()
			d.started++
			d.mu.Unlock()
		case dispatch.AttemptEnded:
			d.ended <- e
			if e.Result == dispatch.Rejected && d.retries > 0 {
				d.retries--
				out = append(out, dispatch.StartAttempt{ID: e.ID, Worker: "w"})
			} else if !e.Final {
				out = append(out, dispatch.FailRequest{ID: e.ID})
			}
		case dispatch.ConnectionLost:
			select {
			case d.lost <- e.Worker:
			default:
			}
		case dispatch.ConnectionsChanged:
			select {
			case d.changed <- e:
			default:
			}
		case dispatch.EndpointUpdate:
			for _, endpoint := range e.Endpoints {
				if endpoint.State == dispatch.EndpointDraining {
					d.draining <- endpoint.ID
				}
			}
		}
	}
	return out
}

// testClient is the router.Client of one call and records what it receives.
type testClient struct {
	mu     sync.Mutex
	starts int
	bytes  bytes.Buffer
	status chan grpc.Status
}

func newTestClient() *testClient { return &testClient{status: make(chan grpc.Status, 4)} }

func (c *testClient) Start(any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.starts++
}

func (c *testClient) WriteBody(p []byte, _ func(int)) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.bytes.Write(p)
	return len(p)
}

func (c *testClient) Finish(f router.FinalAnswer) {
	status, _ := grpcserver.FinalStatus(f)
	c.status <- status
}

// newTestRouter returns a router with one worker, "w", at the address.
func newTestRouter(t *testing.T, addr string) (*router.Router, *testDispatcher) {
	t.Helper()
	r, dispatcher, _ := newTestRouterAndPool(t, addr, http2.Dial)
	return r, dispatcher
}

// newTestRouterAndPool is like newTestRouter, but connections are opened by dialer.
func newTestRouterAndPool(t *testing.T, addr string, dialer dialFunc) (*router.Router, *testDispatcher, *Pool) {
	t.Helper()
	dispatcher := &testDispatcher{ended: make(chan dispatch.AttemptEnded, 16), draining: make(chan string, 16),
		lost: make(chan string, 16), changed: make(chan dispatch.ConnectionsChanged, 16)}
	pool := New(Config{RouterName: "r", ConnectTimeout: 300 * time.Millisecond, MaxConnsPerWorker: 1, MaxMessageBytes: 1 << 20})
	pool.dialer = dialer
	r := attachTestRouter(t, pool, dispatcher)
	r.SetEndpoints([]endpoints.Worker{{Endpoint: dispatch.Endpoint{ID: "w"}, Address: addr}})
	t.Cleanup(func() { r.Kill(); pool.Close() })
	return r, dispatcher, pool
}

// attachTestRouter starts a router with the dispatcher and attaches it to the pool. The caller ends it.
func attachTestRouter(t *testing.T, pool *Pool, dispatcher *testDispatcher) *router.Router {
	t.Helper()
	r, err := router.New(router.Config{Name: "r", LoadTimeout: time.Second, HealthCheckTimeout: time.Second,
		Endpoints:     endpoints.Settings{CheckInterval: time.Hour},
		NewDispatcher: func(dispatch.Settings, uint64) (router.Dispatcher, error) { return dispatcher, nil }}, pool)
	if err != nil {
		t.Fatal(err)
	}
	pool.Attach(r)
	return r
}

// testMessage returns a message with its gRPC prefix.
func testMessage() []byte {
	return append(grpc.AppendPrefix(nil, 3, false), 0x0a, 1, 'm')
}

func submit(t *testing.T, r *router.Router, streamed bool, remaining time.Duration) *testClient {
	t.Helper()
	client := newTestClient()
	if _, ok := r.Submit(&router.Call{Function: "m", Class: "c", RemainingDeadline: remaining, Streamed: streamed,
		Request: &oip.Request{Message: testMessage()}, Client: client}); !ok {
		t.Fatal("the router did not accept the call")
	}
	return client
}

// startGRPCGoWorker starts a worker implemented with grpc-go and returns its address.
func startGRPCGoWorker(t *testing.T) string {
	t.Helper()
	srv := grpcgo.NewServer(grpcgo.UnknownServiceHandler(serveWithGRPCGo))
	ln := testsupport.Listen(t)
	go func() { _ = srv.Serve(ln) }()
	t.Cleanup(srv.Stop)
	return ln.Addr().String()
}

// newTestPool returns a pool with one worker, "w", at the address, and without a router.
func newTestPool(t *testing.T, addr string, cfg Config) *Pool {
	t.Helper()
	cfg.RouterName, cfg.MaxConnsPerWorker, cfg.MaxMessageBytes = "r", 1, 1<<20
	pool := New(cfg)
	r := attachTestRouter(t, pool, &testDispatcher{})
	t.Cleanup(func() { pool.Close(); r.Kill() })
	pool.UpdateEndpoints([]endpoints.Worker{{Endpoint: dispatch.Endpoint{ID: "w"}, Address: addr}})
	return pool
}

// scriptedStream is the stream of a request that a scripted worker has completely received.
type scriptedStream struct {
	conn    net.Conn
	framer  *xhttp2.Framer
	encoder *xhpack.Encoder
	block   *bytes.Buffer // the header block that the encoder writes
	id      uint32
}

// headers writes the names and values as response headers or, with end, as trailers.
func (s *scriptedStream) headers(end bool, kv ...string) {
	s.block.Reset()
	for i := 0; i < len(kv); i += 2 {
		_ = s.encoder.WriteField(xhpack.HeaderField{Name: kv[i], Value: kv[i+1]})
	}
	_ = s.framer.WriteHeaders(xhttp2.HeadersFrameParam{StreamID: s.id, BlockFragment: s.block.Bytes(),
		EndHeaders: true, EndStream: end})
}

// startScriptedWorker starts a worker that calls act when a request is complete, and does nothing else.
func startScriptedWorker(t *testing.T, act func(*scriptedStream)) (addr string) {
	t.Helper()
	return testsupport.ServeConns(t, func(nc net.Conn) { serveScripted(nc, act) })
}

func serveScripted(nc net.Conn, act func(*scriptedStream)) {
	framer := xhttp2.NewFramer(nc, nc)
	framer.AllowIllegalWrites = true
	_, _ = io.ReadFull(nc, make([]byte, len(xhttp2.ClientPreface)))
	_ = framer.WriteSettings()
	var block bytes.Buffer
	encoder := xhpack.NewEncoder(&block)
	for {
		f, err := framer.ReadFrame()
		if err != nil {
			return
		}
		if data, ok := f.(*xhttp2.DataFrame); ok && data.StreamEnded() {
			act(&scriptedStream{conn: nc, framer: framer, encoder: encoder, block: &block, id: data.StreamID})
		}
	}
}
