package httpserver

import (
	"strings"
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

// TestInputOfAllClientsIsLimited guards against clients that fill the memory together, each within the limits of one
// request: some of them get 503, and the others are served.
func TestInputOfAllClientsIsLimited(t *testing.T) {
	const limit, clients = 4 << 10, 16
	s, _ := startServer(t, func(c *Config) { c.MaxInputBytes = limit })
	request := newRequest(servedFunction, strings.Repeat("x", 512))
	var stalled []*client
	for range clients {
		cl := dial(t, s)
		cl.send(request[:len(request)-1])
		stalled = append(stalled, cl)
	}
	testsupport.WaitUntil(t, "a rejection", func() bool { return s.Stats().InputRejected > 0 })
	testsupport.WaitUntil(t, "all clients are read", func() bool { return s.Stats().InputBytes <= limit })
	statuses := map[int]int{}
	for _, cl := range stalled { // one after the other, because their requests have the same id
		cl.send(request[len(request)-1:])
		statuses[cl.readResponse().status]++
		_ = cl.netConn.Close()
	}
	if statuses[200] == 0 || statuses[503] == 0 || statuses[200]+statuses[503] != clients {
		t.Errorf("responses by status: %v, want some 200, some 503 and no other", statuses)
	}
	testsupport.WaitUntil(t, "no input is held", func() bool { return s.Stats().InputBytes == 0 })
	last := dial(t, s)
	last.send(request)
	last.expectStatus(200)
}
