package discovery

import (
	"testing"
	"time"

	"github.com/topazfront/topazfront/internal/testsupport"
)

// TestServerWaitsWhileItsResponsesAreHandled guards against a discovery server that fills the memory because it sends
// responses without end, faster than they are handled.
func TestServerWaitsWhileItsResponsesAreHandled(t *testing.T) {
	const mostAccepted = 16 << 20 // the largest buffers of both sockets
	listener := testsupport.Listen(t)
	c, err := dial(listener.Addr().String(), Config{ConnectTimeout: 5 * time.Second, MaxResponseBytes: 1 << 20})
	if err != nil {
		t.Fatal(err)
	}
	conn, err := listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	c.mu.Lock() // blocks the delivery of the first response
	accepted := testsupport.Flood(t, conn, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}")
	c.mu.Unlock()
	if accepted > mostAccepted {
		t.Errorf("%d bytes were accepted while none were handled, want at most %d", accepted, mostAccepted)
	}
	c.close(errConnectionClosed)
}
