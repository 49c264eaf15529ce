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

// Function IDs of the tests. scriptedDispatcher treats the requests of each function differently.
const (
	servedFunction   = "aaaaaaaaaaaaaaaa"
	rejectedFunction = "bbbbbbbbbbbbbbbb"
	failedFunction   = "cccccccccccccccc"
	pendingFunction  = "dddddddddddddddd" // never answered
	deferredFunction = "eeeeeeeeeeeeeeee" // served after the next request of servedFunction arrives
)

// testRetryAfter is the retry-after of scriptedDispatcher's rejections.
const testRetryAfter = 70 * time.Millisecond

// scriptedDispatcher handles each request as its function ID says.
type scriptedDispatcher struct{ deferred []dispatch.RequestID }

func (d *scriptedDispatcher) Step(_ time.Duration, events []dispatch.Event) (actions []dispatch.Action) {
	for _, event := range events {
		if request, ok := event.(dispatch.Request); ok {
			switch request.Function {
			case deferredFunction:
				d.deferred = append(d.deferred, request.ID)
			case servedFunction:
				for _, id := range d.deferred {
					actions = append(actions, dispatch.StartAttempt{ID: id, Worker: "w"})
				}
				d.deferred = nil
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

// echoUpstream answers each attempt with "done " and the body of the request.
type echoUpstream struct {
	router       *router.Router
	mu           sync.Mutex
	beforeAnswer func(*router.Call) // called before each answer; nil: nothing is called
	requests     []*invocation.Request
}

// endedAttempt is a router.UpstreamAttempt that has ended.
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
func (u *echoUpstream) KeepConnections(bool)                                         {}
func (u *echoUpstream) CheckHealth(string, time.Duration, func(router.HealthResult)) {}
func (u *echoUpstream) UpdateEndpoints([]endpoints.Worker)                           {}

// expectForwarded fails the test unless exactly n requests were forwarded.
func (u *echoUpstream) expectForwarded(t *testing.T, n int) {
	t.Helper()
	u.mu.Lock()
	defer u.mu.Unlock()
	if len(u.requests) != n {
		t.Errorf("%d requests forwarded, want %d", len(u.requests), n)
	}
}

// startServer starts a server and a router with an echoUpstream. change, if not nil, alters the server's settings.
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

// newID returns an unused request ID.
func newID() string {
	lastIDMu.Lock()
	defer lastIDMu.Unlock()
	lastID++
	return fmt.Sprintf("%016x", lastID)
}

const pingRequest = "GET /ping HTTP/1.1\r\nHost: a\r\n\r\n"

// newRequest returns a valid request of a call. fields changes its header: "Name: value" sets a field, "+Name: value"
// adds one even if it exists, and "-Name" removes one.
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

// client is a client's connection. Its responses are parsed by net/http.
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

// response is the result of readResponse.
type response struct {
	status  int // 0: the connection was closed without a response
	body    string
	header  http.Header
	closing bool // the server closes the connection after the response
}

func (c *client) readResponse() response {
	c.t.Helper()
	resp, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		if isTimeout(err) {
			c.t.Fatal("timeout: neither a response nor a close")
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

// expectServed reads a response and fails the test unless it has status 200 and the body.
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
		c.t.Error("the server did not close the connection")
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

// waitUntilReading waits until the server is reading input of a connection, or has stopped reading it.
func waitUntilReading(t *testing.T, c *conn, reading bool) {
	t.Helper()
	testsupport.WaitUntil(t, fmt.Sprintf("reading = %v", reading), func() bool { return c.netConn.IsBusy() == reading })
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
	t.Fatal("the server has no connection of this client")
	return nil
}

// blockReading blocks the request reader of a client's connection until resume is called. Input stays unparsed until
// then.
func blockReading(t *testing.T, s *Server, cl *client) (c *conn, resume func()) {
	t.Helper()
	c = serverSide(t, s, cl)
	c.parseMu.Lock()
	return c, c.parseMu.Unlock
}
