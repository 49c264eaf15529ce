package respupstream

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/topazfront/topazfront/dispatch"
	"github.com/topazfront/topazfront/internal/endpoints"
	"github.com/topazfront/topazfront/internal/fake/fakeplatform"
	"github.com/topazfront/topazfront/internal/invocation"
	"github.com/topazfront/topazfront/internal/router"
	"github.com/topazfront/topazfront/internal/testsupport"
	"github.com/topazfront/topazfront/internal/testsupport/platformtest"
)

// scriptedDispatcher starts the attempts of each request at the listed workers in order, and sends the events that it
// receives to the channels.
type scriptedDispatcher struct {
	attemptWorkers    []string // for the first attempt, the first retry, and so on
	outcomes          chan dispatch.AttemptEnded
	loadResults       chan dispatch.FunctionLoaded
	healthResults     chan dispatch.HealthChecked
	connectionLost    chan dispatch.ConnectionLost
	connections       chan dispatch.ConnectionsChanged
	loadWorker        string        // receives a load command per request; empty means no load commands
	healthCheckWorker string        // receives a health check per request; empty means no checks
	delay             time.Duration // duration of each Step
	connectedBefore   time.Duration // see dispatch.StartAttempt

	mu            sync.Mutex
	endedAttempts map[dispatch.RequestID]int // number of attempts that have ended
}

func (s *scriptedDispatcher) Step(_ time.Duration, events []dispatch.Event) (out []dispatch.Action) {
	time.Sleep(s.delay)
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, e := range events {
		switch e := e.(type) {
		case dispatch.Request:
			out = append(out, dispatch.StartAttempt{ID: e.ID, Worker: s.attemptWorkers[0], ConnectedBefore: s.connectedBefore})
			if s.loadWorker != "" {
				out = append(out, dispatch.LoadFunction{Worker: s.loadWorker, Function: e.Function, Copies: 2})
			}
			if s.healthCheckWorker != "" {
				out = append(out, dispatch.CheckHealth{Worker: s.healthCheckWorker})
			}
		case dispatch.AttemptEnded:
			s.outcomes <- e
			s.endedAttempts[e.ID]++
			if n := s.endedAttempts[e.ID]; !e.Final && n < len(s.attemptWorkers) {
				out = append(out, dispatch.StartAttempt{ID: e.ID, Worker: s.attemptWorkers[n]})
			} else if !e.Final {
				out = append(out, dispatch.FailRequest{ID: e.ID})
			}
		case dispatch.RequestCancelled:
			out = append(out, dispatch.CancelAttempt{ID: e.ID})
		case dispatch.FunctionLoaded:
			s.loadResults <- e
		case dispatch.HealthChecked:
			s.healthResults <- e
		case dispatch.ConnectionLost:
			s.connectionLost <- e
		case dispatch.ConnectionsChanged:
			s.connections <- e
		}
	}
	return out
}

// testClient receives the final answer to one call.
type testClient chan router.FinalAnswer

func (c testClient) Start(any) {}

func (c testClient) WriteBody(p []byte, _ func(int)) int { return len(p) }

func (c testClient) Finish(f router.FinalAnswer) { c <- f }

const testFunction = "7f3a9c21e0b4d655"

// harness is a router with a scripted dispatcher, the pool under test and fake workers.
type harness struct {
	t          *testing.T
	dispatcher *scriptedDispatcher
	pool       *Pool
	router     *router.Router
	endpoints  []endpoints.Worker
	calls      int // number of submitted calls
}

func newHarness(t *testing.T, configure func(*Config), dispatcher *scriptedDispatcher, workers ...*fakeplatform.Worker) *harness {
	t.Helper()
	dispatcher.outcomes = make(chan dispatch.AttemptEnded, 64)
	dispatcher.loadResults = make(chan dispatch.FunctionLoaded, 64)
	dispatcher.healthResults = make(chan dispatch.HealthChecked, 64)
	dispatcher.connectionLost = make(chan dispatch.ConnectionLost, 64)
	dispatcher.connections = make(chan dispatch.ConnectionsChanged, 64)
	dispatcher.endedAttempts = map[dispatch.RequestID]int{}
	config := Config{ConnectTimeout: 10 * time.Second, WriteTimeout: 10 * time.Second, StallTimeout: 10 * time.Second, MaxConns: 8,
		MaxRequestsPerConn: 32, MaxResponseBytes: 1 << 12, ReceiveBuffer: 32 << 10}
	if configure != nil {
		configure(&config)
	}
	h := &harness{t: t, dispatcher: dispatcher, pool: New(config)}
	var err error
	h.router, err = router.New(router.Config{Name: "r", LoadTimeout: 20 * time.Second, HealthCheckTimeout: 20 * time.Second,
		NewDispatcher: func(dispatch.Settings, uint64) (router.Dispatcher, error) { return dispatcher, nil }}, h.pool)
	if err != nil {
		t.Fatal(err)
	}
	h.pool.Attach(h.router)
	for _, w := range workers {
		platformtest.StartWorker(t, w)
		h.endpoints = append(h.endpoints, endpoints.Worker{Endpoint: dispatch.Endpoint{ID: w.ID}, Address: w.Addr()})
	}
	h.router.SetEndpoints(h.endpoints)
	t.Cleanup(func() { h.router.Kill(); h.pool.Close() })
	return h
}

// waitForEndpoints returns once the router's loop has processed the latest endpoint list: the loop answers the second
// request for its stats in a later iteration than the first.
func (h *harness) waitForEndpoints() {
	h.router.Stats()
	h.router.Stats()
}

// waitForWrites returns once no goroutine is writing to a connection.
func (h *harness) waitForWrites() {
	h.t.Helper()
	testsupport.WaitUntil(h.t, "no connection is written to", func() bool {
		h.pool.mu.Lock()
		defer h.pool.mu.Unlock()
		for c := range h.pool.conns {
			if c.writing {
				return false
			}
		}
		return true
	})
}

// waitForStats waits until ok returns true for the stats of the pool, and fails the test with the message after 20 s.
func (h *harness) waitForStats(failure string, ok func(Stats) bool) {
	h.t.Helper()
	for range 4000 {
		if ok(h.pool.Stats()) {
			return
		}
		time.Sleep(5 * time.Millisecond)
	}
	h.t.Fatalf("%s: %+v", failure, h.pool.Stats())
}

// submit submits a request with the remaining deadline and returns its client.
func (h *harness) submit(remaining time.Duration) testClient {
	client := make(testClient, 2)
	h.calls++
	h.router.Submit(&router.Call{Function: testFunction, Class: "c", RemainingDeadline: remaining, Client: client,
		Request: &invocation.Request{ID: fmt.Sprintf("%016x", h.calls), Class: "c", Function: testFunction, IdempotencyKey: "k1", Body: []byte("body")}})
	return client
}

// reply returns a handler that answers each attempt with its id followed by the items.
func reply(items ...string) func(fakeplatform.Request) {
	return func(r fakeplatform.Request) {
		if r.Command == "exec" {
			r.Conn.WriteMessage(append([]string{r.ID}, items...)...)
		}
	}
}

// replyRaw returns a handler that writes s for each message.
func replyRaw(s string) func(fakeplatform.Request) {
	return func(r fakeplatform.Request) { r.Conn.WriteRaw(s) }
}

// answerAll answers each message on a connection with the body until the connection ends, and passes its id to
// observe.
func answerAll(nc net.Conn, body string, observe func(id string)) {
	for in := bufio.NewReader(nc); ; {
		m, err := fakeplatform.ReadMessage(in)
		if err != nil {
			return
		}
		observe(m[1])
		_, _ = io.WriteString(nc, fakeplatform.EncodeMessage(m[1], "ok", "-", body))
	}
}

// addWaitingExchange adds an exchange that waits for the only connection to its worker, whose connect never ends by
// itself. ended receives its result.
func addWaitingExchange(t *testing.T, h *harness, kind exchangeKind) (x *exchange, ended chan dispatch.Result) {
	t.Helper()
	ended = make(chan dispatch.Result, 1)
	x = &exchange{pool: h.pool, kind: kind, id: "held", writeBefore: time.Now().Add(15 * time.Second),
		encode: func(time.Duration) []byte { return encodeHealthCheck("held") },
		done:   func(r dispatch.Result, _ *response) { ended <- r }}
	h.pool.mu.Lock()
	defer h.pool.mu.Unlock()
	w := h.pool.workers["w"]
	x.worker = w
	w.connecting++ // simulates a connect that hangs
	h.pool.connecting++
	w.waiting = append(w.waiting, x)
	return x, ended
}

// listenWithDelayedReading accepts one connection, but reads from it and answers only once startReading is closed.
// ids receives the id of each request. receiveBuffer is the size of the connection's receive buffer in bytes; 0 means
// the system's default.
func listenWithDelayedReading(t *testing.T, startReading <-chan struct{}, receiveBuffer int) (
	addr string, ids <-chan string,
) {
	t.Helper()
	ln := testsupport.Listen(t)
	if receiveBuffer > 0 {
		rawConn, err := ln.(*net.TCPListener).SyscallConn()
		if err != nil {
			t.Fatal(err)
		}
		_ = rawConn.Control(func(fd uintptr) { // accepted connections inherit it
			_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, receiveBuffer)
		})
	}
	received := make(chan string, 8)
	go func() {
		nc, err := ln.Accept()
		if err != nil {
			return
		}
		defer func() { _ = nc.Close() }()
		<-startReading
		answerAll(nc, "answer", func(id string) { received <- id })
	}()
	return ln.Addr().String(), received
}
