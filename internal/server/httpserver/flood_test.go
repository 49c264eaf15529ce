package httpserver

import (
	"testing"

	"github.com/topazfront/topazfront/internal/testsupport"
)

// TestClientWaitsWhileItsInputIsHandled guards against a client that fills the memory because it sends faster than its
// input is handled: while the request reader is blocked, no more may be read than the sockets' buffers hold.
func TestClientWaitsWhileItsInputIsHandled(t *testing.T) {
	const mostAccepted = 1 << 20 // the buffers of both sockets, one read and the request reader
	for name, message := range map[string]string{
		"empty lines": "\r\n",
		"pings":       pingRequest,
		"requests":    newRequest(servedFunction, "body"),
	} {
		t.Run(name, func(t *testing.T) {
			s, _ := startServer(t, func(c *Config) { c.ReceiveBufferBytes = 32 << 10 })
			cl := dial(t, s)
			waitForAccepted(t, s, 1)
			c, resume := blockReading(t, s, cl)
			cl.send("\r\n")
			waitUntilReading(t, c, true)
			accepted := testsupport.Flood(t, cl.netConn, message)
			resume()
			if accepted > mostAccepted {
				t.Errorf("%d bytes were accepted while none were handled, want at most %d", accepted, mostAccepted)
			}
			_ = cl.netConn.Close()
			waitForOpenRequests(t, s, 0)
		})
	}
}
