package httpserver

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/topazfront/topazfront/dispatch"
	"github.com/topazfront/topazfront/internal/endpoints"
	"github.com/topazfront/topazfront/internal/invocation"
	"github.com/topazfront/topazfront/internal/router"
	"github.com/topazfront/topazfront/internal/testsupport"
	"github.com/topazfront/topazfront/internal/transport/http1"
)

// Functions of the tests, by what scriptedDispatcher does with their requests.
const (
	servedFunction   = "aaaaaaaaaaaaaaaa"
	rejectedFunction = "bbbbbbbbbbbbbbbb"
	failedFunction   = "cccccccccccccccc"
	pendingFunction  = "dddddddddddddddd" // is never answered
	parkedFunction   = "eeeeeeeeeeeeeeee" // waits for the next request of servedFunction
)

// testRetryAfter is the retry-after of scriptedDispatcher's rejections.
const testRetryAfter = 70 * time.Millisecond

// scriptedDispatcher decides about each request by its function.
type scriptedDispatcher struct{ parked []dispatch.RequestID }

func (d *scriptedDispatcher) Step(_ time.Duration, events []dispatch.Event) (actions []dispatch.Action) {
	for _, event := range events {
		if request, ok := event.(dispatch.Request); ok {
			switch request.Function {
			case parkedFunction:
				d.parked = append(d.parked, request.ID)
			case servedFunction:
				for _, id := range d.parked {
					actions = append(actions, dispatch.StartAttempt{ID: id, Worker: "w"})
				}
				d.parked = nil
				actions = append(actions, dispatch.StartAttempt{ID: request.ID, Worker: "w"})
			case rejectedFunction:
				actions = append(actions, dispatch.RejectRequest{ID: request.ID, RetryAfter: testRetryAfter})
			case failedFunction:
				actions = append(actions, dispatch.FailRequest{ID: request.ID})
			}
		}
	}
	return actions
}

// echoUpstream answers each attempt with its body.
type echoUpstream struct {
	router       *router.Router
	mu           sync.Mutex
	beforeAnswer func(*router.Call) // nil, or called before each answer
	requests     []*invocation.Request
}

// endedAttempt is an attempt that has ended.
type endedAttempt struct{}

func (endedAttempt) ForwardTo(router.Client) {}
func (endedAttempt) Cancel()                 {}

func (u *echoUpstream) StartAttempt(token router.AttemptToken, call *router.Call, _ string, _ int, _ router.SendLimits) router.UpstreamAttempt {
	request, _ := call.Request.(*invocation.Request)
	u.mu.Lock()
	u.requests = append(u.requests, request)
	beforeAnswer := u.beforeAnswer
	u.mu.Unlock()
	if beforeAnswer != nil {
		beforeAnswer(call)
	}
	u.router.AttemptEnded(token, router.AttemptResult{Result: dispatch.OK, Body: append([]byte("done "), request.Body...),
		Report: router.NoWorkerReport})
	return endedAttempt{}
}
func (u *echoUpstream) LoadFunction(string, string, int, router.SendLimits, func(router.LoadResult)) {
}
func (u *echoUpstream) CheckHealth(string, time.Duration, func(router.HealthResult)) {}
func (u *echoUpstream) UpdateEndpoints([]endpoints.Worker)                           {}

// expectForwarded fails the test unless so many requests were forwarded.
func (u *echoUpstream) expectForwarded(t *testing.T, n int) {
	t.Helper()
	u.mu.Lock()
	defer u.mu.Unlock()
	if len(u.requests) != n {
		t.Errorf("%d requests forwarded, want %d", len(u.requests), n)
	}
}

// startServer starts a server with a router before an echoUpstream. change, if any, alters its settings.
func startServer(t *testing.T, change func(*Config)) (*Server, *echoUpstream) {
	t.Helper()
	upstream := &echoUpstream{}
	newDispatcher := func(dispatch.Settings, uint64) (router.Dispatcher, error) { return &scriptedDispatcher{}, nil }
	r, err := router.New(router.Config{NewDispatcher: newDispatcher}, upstream)
	if err != nil {
		t.Fatal(err)
	}
	upstream.router = r
	cfg := Config{
		Address:            "127.0.0.1:0",
		Classes:            map[string]dispatch.Idempotency{"safe": dispatch.Idempotent, "keyed": dispatch.IdempotentByKey},
		MaxConnections:     64,
		Limits:             http1.Limits{Head: 4 << 10, Fields: 32, Body: 16 << 10, Pending: 4 << 10},
		RequestTimeout:     20 * time.Second,
		IdleTimeout:        20 * time.Second,
		WriteTimeout:       20 * time.Second,
		ReceiveBufferBytes: 32 << 10,
	}
	if change != nil {
		change(&cfg)
	}
	s, err := Listen(cfg, r)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { s.Close(); r.Kill() })
	return s, upstream
}

var (
	lastIDMu sync.Mutex
	lastID   int
)

// newID returns the id of a new request.
func newID() string {
	lastIDMu.Lock()
	defer lastIDMu.Unlock()
	lastID++
	return fmt.Sprintf("%016x", lastID)
}

const pingRequest = "GET /ping HTTP/1.1\r\nHost: a\r\n\r\n"

// newRequest returns a usual request, with fields set, added ("+Name: value") or left out ("-Name").
func newRequest(function, body string, fields ...string) string {
	header := map[string]string{"Host": "a", "X-Class": "safe", "X-Correlation-Id": newID(), "X-Deadline-Ms": "15000",
		"Content-Length": fmt.Sprint(len(body))}
	added := ""
	for _, field := range fields {
		if name, ok := strings.CutPrefix(field, "-"); ok {
			delete(header, name)
			continue
		}
		name, value, _ := strings.Cut(field, ": ")
		if strings.HasPrefix(name, "+") {
			added += name[1:] + ": " + value + "\r\n"
		} else {
			header[name] = value
		}
	}
	var b strings.Builder
	fmt.Fprintf(&b, "POST /call/%s/call HTTP/1.1\r\n", function)
	for name, value := range header {
		fmt.Fprintf(&b, "%s: %s\r\n", name, value)
	}
	return b.String() + added + "\r\n" + body
}

// client is one client connection, read by the standard library.
type client struct {
	t       *testing.T
	netConn net.Conn
	reader  *bufio.Reader
}

func dial(t *testing.T, s *Server) *client {
	t.Helper()
	netConn, err := net.Dial("tcp", s.Addr())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = netConn.Close() })
	_ = netConn.SetDeadline(time.Now().Add(20 * time.Second))
	return &client{t, netConn, bufio.NewReader(netConn)}
}

func (c *client) send(text string) { _, _ = io.WriteString(c.netConn, text) }

// response is what readResponse read.
type response struct {
	status  int // 0: the connection was closed without a response
	body    string
	header  http.Header
	closing bool // the server closes the connection behind it
}

func (c *client) readResponse() response {
	c.t.Helper()
	resp, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		if isTimeout(err) {
			c.t.Fatal("neither a response nor a close")
		}
		return response{closing: true}
	}
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		c.t.Fatal(err)
	}
	return response{resp.StatusCode, string(body), resp.Header, resp.Close}
}

// expectStatus reads a response and fails the test unless it has the status.
func (c *client) expectStatus(status int) {
	c.t.Helper()
	if r := c.readResponse(); r.status != status {
		c.t.Errorf("status %d, want %d", r.status, status)
	}
}

// expectServed reads a response and fails the test unless it is a successful one with the body.
func (c *client) expectServed(body string) {
	c.t.Helper()
	if r := c.readResponse(); r.status != 200 || r.body != body {
		c.t.Errorf("status %d, body %q, want %q", r.status, r.body, body)
	}
}

// waitUntilClosed waits until the server closes the connection.
func (c *client) waitUntilClosed() {
	c.t.Helper()
	if _, err := io.Copy(io.Discard, c.reader); err != nil && isTimeout(err) {
		c.t.Error("the connection stays open")
	}
}

func isTimeout(err error) bool {
	var netErr net.Error
	return errors.As(err, &netErr) && netErr.Timeout()
}

// waitForAccepted waits until n connections have been accepted.
func waitForAccepted(t *testing.T, s *Server, n uint64) {
	t.Helper()
	testsupport.WaitUntil(t, fmt.Sprintf("%d accepted connections", n), func() bool { return s.Stats().Accepted == n })
}

// waitForOpenRequests waits until n requests are open.
func waitForOpenRequests(t *testing.T, s *Server, n int) {
	t.Helper()
	testsupport.WaitUntil(t, fmt.Sprintf("%d open requests", n), func() bool { return s.Stats().OpenRequests == n })
}

// waitUntilReading waits until the server reads what came on a connection, or does so no more.
func waitUntilReading(t *testing.T, c *conn, reading bool) {
	t.Helper()
	testsupport.WaitUntil(t, fmt.Sprintf("reading = %v", reading), func() bool {
		c.server.mu.Lock()
		defer c.server.mu.Unlock()
		return c.reading == reading
	})
}

// serverSide returns the server's connection of a client.
func serverSide(t *testing.T, s *Server, cl *client) *conn {
	t.Helper()
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		if c.netConn.RemoteAddr().String() == cl.netConn.LocalAddr().String() {
			return c
		}
	}
	t.Fatal("the server has no such connection")
	return nil
}

// pauseReading makes the reader of a connection wait: what its client sends is taken by the system and not parsed.
func pauseReading(t *testing.T, s *Server, cl *client) (c *conn, resume func()) {
	t.Helper()
	c = serverSide(t, s, cl)
	c.parseMu.Lock()
	return c, c.parseMu.Unlock
}
