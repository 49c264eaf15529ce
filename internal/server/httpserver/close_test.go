package httpserver

import (
	"context"
	"io"
	"log/slog"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/topazfront/topazfront/dispatch"
	"github.com/topazfront/topazfront/internal/router"
	"github.com/topazfront/topazfront/internal/testsupport"
)

// panickingHandler is a log handler that panics when the server logs a rejected request.
type panickingHandler struct{ slog.Handler }

func (panickingHandler) Enabled(context.Context, slog.Level) bool { return true }

func (panickingHandler) Handle(_ context.Context, record slog.Record) error {
	if record.Message == "request rejected" {
		panic("forced by the test")
	}
	return nil
}

// closeCase is a way in which the server ends a client's connection.
type closeCase struct {
	provoke func(t *testing.T, s *Server, cl *client)
	want    []int // statuses of the responses before the end
}

func closeCases() map[string]closeCase {
	invalid := newRequest("abc", "")
	return map[string]closeCase{
		"panic": {func(_ *testing.T, _ *Server, cl *client) { cl.send(invalid) }, []int{503}},
		"panic behind a request": {
			func(_ *testing.T, _ *Server, cl *client) { cl.send(pingRequest + invalid) }, []int{200, 503}},
		"abort during a call": {func(t *testing.T, s *Server, cl *client) {
			sendPending(t, s, cl)
			serverSide(t, s, cl).abort()
		}, []int{502}},
		"abort during a response": {func(t *testing.T, s *Server, cl *client) {
			waitForAccepted(t, s, 1)
			c := serverSide(t, s, cl)
			s.mu.Lock()
			c.responding = true
			s.mu.Unlock()
			c.abort()
			c.responseWritten(nil, false)
		}, []int{503}},
		"flood behind a call": {func(t *testing.T, s *Server, cl *client) {
			sendPending(t, s, cl)
			cl.send(strings.Repeat("x", 1<<20))
		}, []int{502}},
		"request crosses an idle close": {func(t *testing.T, s *Server, cl *client) {
			waitForAccepted(t, s, 1)
			c := serverSide(t, s, cl)
			s.mu.Lock()
			c.closed = true
			s.mu.Unlock()
			cl.send(newRequest(servedFunction, ""))
		}, []int{503}},
		"server closed": {func(t *testing.T, s *Server, cl *client) { sendPending(t, s, cl); s.Close() }, []int{502}},
		"body beyond its limit": {func(_ *testing.T, _ *Server, cl *client) {
			cl.send(newRequest(servedFunction, strings.Repeat("x", 8<<20)))
		}, []int{413}},
		"rest of a request behind its time-out": {func(t *testing.T, s *Server, cl *client) {
			request := newRequest(servedFunction, "x")
			cl.send(request[:40])
			waitForAccepted(t, s, 1)
			c := serverSide(t, s, cl)
			waitUntilLocked(t, s, "half a request", func() bool { return c.requestStarted && !c.netConn.IsBusy() })
			testsupport.WaitUntil(t, "the rejection", func() bool { // like the sweep: not while a read is under way
				s.closeExpired(time.Now().Add(time.Hour))
				s.mu.Lock()
				defer s.mu.Unlock()
				return c.closeAfterResponse
			})
			waitUntilLocked(t, s, "the response", func() bool { return !c.lingerUntil.IsZero() })
			cl.send(request[40:])
		}, []int{408}},
	}
}

// TestCloseAnswersRequest guards against requests that get no response because the server ends the connection. A
// request that was read, or waits to be read, must be answered before the close, and the response must reach a client
// that still sends.
func TestCloseAnswersRequest(t *testing.T) {
	for name, c := range closeCases() {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s, upstream := startServer(t, func(c *Config) { c.Logger = slog.New(panickingHandler{}) })
			cl := dial(t, s)
			c.provoke(t, s, cl)
			for _, status := range c.want {
				cl.expectStatus(status)
			}
			cl.expectClosed()
			upstream.expectForwarded(t, 0)
			waitForOpenRequests(t, s, 0)
			testsupport.WaitUntil(t, "the end of the connection", func() bool { return s.Stats().Connections == 0 })
		})
	}
}

// TestCloseAnswersInputInSocket guards against a close with unread input in the socket, which would reset the
// connection and could lose the response. The server must answer and read such input. A client that has sent nothing,
// or has disconnected, must get no response.
func TestCloseAnswersInputInSocket(t *testing.T) {
	s, _ := startServer(t, nil)
	const answer = "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"
	for name, c := range map[string]struct {
		input      string
		closeWrite bool
		want       string
	}{
		"nothing":                       {"", false, ""},
		"request":                       {newRequest(servedFunction, ""), false, answer},
		"part of a request":             {"POST /", false, answer},
		"request of a client that left": {newRequest(servedFunction, ""), true, ""},
	} {
		t.Run(name, func(t *testing.T) {
			conn, client := newUnnotifiedConn(t, s)
			_, _ = io.WriteString(client, c.input)
			if c.closeWrite {
				_ = client.CloseWrite()
				testsupport.WaitUntil(t, "the end of the connection", conn.disconnected)
			} else if c.input != "" {
				testsupport.WaitUntil(t, "the request", func() bool { return readable(descriptor(conn.netConn)) })
			}
			conn.onClosed()
			if unread := readable(descriptor(conn.netConn)); unread && !c.closeWrite {
				t.Error("input was left unread")
			}
			_ = syscall.Shutdown(descriptor(conn.netConn), syscall.SHUT_WR)
			if got, err := io.ReadAll(client); string(got) != c.want || err != nil {
				t.Errorf("got %q, %v, want %q", got, err, c.want)
			}
		})
	}
}

// sendPending sends a request that is never answered, and waits until it is open.
func sendPending(t *testing.T, s *Server, cl *client) {
	t.Helper()
	cl.send(newRequest(pendingFunction, ""))
	waitForOpenRequests(t, s, 1)
}

// waitUntilLocked waits until a condition holds, which it checks with the server's mutex locked.
func waitUntilLocked(t *testing.T, s *Server, what string, condition func() bool) {
	t.Helper()
	testsupport.WaitUntil(t, what, func() bool {
		s.mu.Lock()
		defer s.mu.Unlock()
		return condition()
	})
}

// TestClientThatDoesNotRead guards against a client that doesn't read its response and blocks others. The write must
// end with the write timeout, no part of another response may follow the partial one, and other clients must be served
// meanwhile.
func TestClientThatDoesNotRead(t *testing.T) {
	s, _ := startServer(t, func(c *Config) { c.WriteTimeout = 300 * time.Millisecond })
	body := strings.Repeat("x", 32<<20) // more than the socket buffers hold
	cl := dial(t, s)
	sendPending(t, s, cl)
	c := serverSide(t, s, cl)
	c.Finish(router.FinalAnswer{Kind: router.FinalAnswered, Attempt: &router.AttemptResult{Result: dispatch.OK, Body: []byte(body)}})
	cl.send(newRequest(servedFunction, "behind"))
	other := dial(t, s)
	other.send(newRequest(servedFunction, "x"))
	other.expectServed("done x")
	testsupport.WaitUntil(t, "the end of its connection", func() bool { return s.Stats().Connections == 1 })
	received, _ := io.ReadAll(cl.reader)
	if len(received) >= len(body) || strings.Contains(string(received[1:]), "HTTP/1.1") {
		t.Errorf("%d bytes, the last of them %q", len(received), received[max(len(received)-100, 0):])
	}
}
