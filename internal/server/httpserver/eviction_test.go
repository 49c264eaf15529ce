package httpserver

import (
	"syscall"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"github.com/topazfront/topazfront/internal/testsupport"
)

// TestSilentAndSlowClientsAreDisconnected guards against clients that hold connections without using them: one sends
// nothing, one sends half a request, one stays idle after a request, and one sends half a request after a complete one.
func TestSilentAndSlowClientsAreDisconnected(t *testing.T) {
	s, _ := startServer(t, func(c *Config) { c.RequestTimeout, c.IdleTimeout = 50*time.Millisecond, 200*time.Millisecond })
	silent, half, idle, halfAfterPing := dial(t, s), dial(t, s), dial(t, s), dial(t, s)
	half.send(newRequest(servedFunction, "body")[:40])
	idle.send(pingRequest)
	halfAfterPing.send(pingRequest + "POST /call")
	half.expectStatus(408)
	half.waitUntilClosed()
	silent.expectClosed() // no response: the client could take it for the response to a request sent at that moment
	idle.expectStatus(200)
	idle.waitUntilClosed()
	halfAfterPing.expectStatus(200)
	halfAfterPing.waitUntilClosed()
	testsupport.WaitUntil(t, "the end of all connections", func() bool { return s.Stats().Connections == 0 })
}

// TestIdleConnectionsAreEvicted guards against idle connections that lock out other clients. At MaxConnections a new
// connection must be accepted, and one that has never sent a request must be closed for it, but none with a request in
// flight.
func TestIdleConnectionsAreEvicted(t *testing.T) {
	s, _ := startServer(t, func(c *Config) { c.MaxConnections = 4 })
	busy := dial(t, s)
	busy.send(newRequest(pendingFunction, ""))
	waitForOpenRequests(t, s, 1)
	used := dial(t, s)
	used.send(newRequest(servedFunction, ""))
	if r := used.readResponse(); r.status != 200 {
		t.Fatal(r.status)
	}
	var silent []*client
	for range 20 {
		silent = append(silent, dial(t, s))
	}
	waitForAccepted(t, s, 22)
	usual := dial(t, s)
	usual.send(newRequest(servedFunction, "x"))
	usual.expectServed("done x")
	used.send(newRequest(servedFunction, "y"))
	if r := used.readResponse(); r.status != 200 {
		t.Errorf("the used connection was evicted before silent ones: status %d", r.status)
	}
	for _, cl := range silent[:18] {
		cl.waitUntilClosed()
	}
	if stats := s.Stats(); stats.Connections > 4 || stats.OpenRequests != 1 {
		t.Errorf("%+v", stats)
	}
}

// TestRequestOnNewConnectionIsRejectedAtLimit guards against a first request that gets no response because no
// connection can be evicted for the new one. The request must be rejected, both if the reserve for rejections has room
// and if it is full.
func TestRequestOnNewConnectionIsRejectedAtLimit(t *testing.T) {
	const maxConnections = rejectionReserveDivisor
	for name, full := range map[string]bool{"place for one more": false, "no place": true} {
		t.Run(name, func(t *testing.T) {
			s, upstream := startServer(t, func(c *Config) { c.MaxConnections = maxConnections })
			for n := range maxConnections - 1 {
				dial(t, s).send(newRequest(pendingFunction, ""))
				waitForOpenRequests(t, s, n+1)
			}
			if full {
				half := dial(t, s)
				waitForAccepted(t, s, maxConnections)
				half.send("POST")
				c := serverSide(t, s, half)
				waitUntilLocked(t, s, "half a request", func() bool { return c.requestStarted })
			}
			cl := dial(t, s)
			cl.send(newRequest(servedFunction, ""))
			cl.expectStatus(503)
			cl.waitUntilClosed()
			if stats := s.Stats(); stats.Connections > maxConnections || stats.OpenRequests != maxConnections-1 {
				t.Errorf("%+v", stats)
			}
			upstream.expectForwarded(t, 0)
		})
	}
}

// TestConnectionWithUnreadRequestIsNotClosed guards against the loss of a request that has arrived but is not read yet,
// when the server evicts the connection, or closes it after the idle timeout or the request timeout.
func TestConnectionWithUnreadRequestIsNotClosed(t *testing.T) {
	for name, tryToClose := range map[string]func(t *testing.T, s *Server, c *conn){
		"eviction": func(t *testing.T, s *Server, _ *conn) {
			for n := range 6 { // c is the oldest connection and so the first candidate
				dial(t, s)
				waitForAccepted(t, s, uint64(n+2))
			}
		},
		"idle": func(_ *testing.T, _ *Server, c *conn) { c.closeIfIdle() },
		"late": func(_ *testing.T, s *Server, c *conn) {
			s.mu.Lock()
			c.lastActivity = time.Now().Add(-time.Hour)
			s.mu.Unlock()
			s.closeExpired(time.Now())
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s, _ := startServer(t, func(c *Config) { c.MaxConnections = 3 })
			cl := dial(t, s)
			waitForAccepted(t, s, 1)
			c, resume := blockReading(t, s, cl)
			cl.send(newRequest(servedFunction, "x"))
			waitUntilReading(t, c, true)
			tryToClose(t, s, c)
			resume()
			cl.expectServed("done x")
		})
	}
}

// TestReadableSeesBytesInSocketBuffer checks that readable and poll detect input, and the end of the stream after it,
// from the descriptor alone, before the event loop has read anything.
func TestReadableSeesBytesInSocketBuffer(t *testing.T) {
	fds, err := syscall.Socketpair(syscall.AF_UNIX, syscall.SOCK_STREAM, 0)
	if err != nil {
		t.Fatal(err)
	}
	if readable(fds[0]) || poll(fds[0], unix.POLLRDHUP) != 0 || readable(-1) {
		t.Error("input or an end is reported before any was sent")
	}
	if _, err := syscall.Write(fds[1], []byte("P")); err != nil || !readable(fds[0]) {
		t.Error("a byte is not reported", err)
	}
	_ = syscall.Close(fds[1])
	if poll(fds[0], unix.POLLRDHUP)&unix.POLLRDHUP == 0 {
		t.Error("the end of the stream after the byte is not reported")
	}
	_ = syscall.Close(fds[0])
}
