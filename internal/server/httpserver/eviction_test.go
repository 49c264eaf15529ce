package httpserver

import (
	"syscall"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"github.com/topazfront/topazfront/internal/testsupport"
)

// TestSilentAndSlowClientsAreDisconnected: a connection that sends nothing, one that sends half a request, one that keeps
// its connection for good, and one that sends half a request behind a complete one.
func TestSilentAndSlowClientsAreDisconnected(t *testing.T) {
	s, _ := startServer(t, func(c *Config) { c.RequestTimeout, c.IdleTimeout = 50*time.Millisecond, 200*time.Millisecond })
	silent, half, idle, halfBehindPing := dial(t, s), dial(t, s), dial(t, s), dial(t, s)
	half.send(newRequest(servedFunction, "body")[:40])
	idle.send(pingRequest)
	halfBehindPing.send(pingRequest + "POST /call")
	half.expectStatus(408)
	half.waitUntilClosed()
	silent.expectClosed() // without a byte, which would answer a request that crosses the close
	idle.expectStatus(200)
	idle.waitUntilClosed()
	halfBehindPing.expectStatus(200)
	halfBehindPing.waitUntilClosed()
	testsupport.WaitUntil(t, "the end of all connections", func() bool { return s.Stats().Connections == 0 })
}

// TestIdleConnectionsAreEvicted: at MaxConnections a usual client is accepted, at the cost of one that never sent
// anything; a request in flight is never cut off for it.
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
		t.Errorf("the used connection was evicted before silent ones: %d", r.status)
	}
	for _, cl := range silent[:18] {
		cl.waitUntilClosed()
	}
	if stats := s.Stats(); stats.Connections > 4 || stats.OpenRequests != 1 {
		t.Errorf("%+v", stats)
	}
}

// TestRequestOnNewConnectionIsRejectedAtLimit: where no connection can be evicted, the first request of a new one is
// rejected, both below MaxConnections and at it, where no place is left for the new one.
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

// TestConnectionWithUnreadRequestIsNotClosed: a request that is not read yet crosses an eviction, the close of an idle
// connection, and that of a late one. In each case the connection was due before the request came.
func TestConnectionWithUnreadRequestIsNotClosed(t *testing.T) {
	for name, tryToClose := range map[string]func(t *testing.T, s *Server, c *conn){
		"eviction": func(t *testing.T, s *Server, _ *conn) {
			for n := range 6 { // by its age it is the first candidate
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
			c, resume := pauseReading(t, s, cl)
			cl.send(newRequest(servedFunction, "x"))
			waitUntilReading(t, c, true)
			tryToClose(t, s, c)
			resume()
			cl.expectServed("done x")
		})
	}
}

// TestReadableSeesBytesInSocketBuffer: before the event loop has read anything, the descriptor alone shows that something
// came.
func TestReadableSeesBytesInSocketBuffer(t *testing.T) {
	fds, err := syscall.Socketpair(syscall.AF_UNIX, syscall.SOCK_STREAM, 0)
	if err != nil {
		t.Fatal(err)
	}
	if readable(fds[0]) || poll(fds[0], unix.POLLRDHUP) != 0 || readable(-1) {
		t.Error("something is seen where nothing came")
	}
	if _, err := syscall.Write(fds[1], []byte("P")); err != nil || !readable(fds[0]) {
		t.Error("a byte is not seen", err)
	}
	_ = syscall.Close(fds[1])
	if poll(fds[0], unix.POLLRDHUP)&unix.POLLRDHUP == 0 {
		t.Error("the end behind it is not seen")
	}
	_ = syscall.Close(fds[0])
}
