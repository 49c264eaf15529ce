package httpserver

import (
	"fmt"
	"io"
	"maps"
	"net"
	"testing"

	"github.com/topazfront/topazfront/internal/router"
	"github.com/topazfront/topazfront/internal/testsupport"
)

// newUnnotifiedConn returns a connection of a server that has not read or noticed anything yet, and the client's end of
// it.
func newUnnotifiedConn(t *testing.T, s *Server) (*conn, *net.TCPConn) {
	t.Helper()
	listener := testsupport.Listen(t)
	dialed, err := net.Dial("tcp", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	accepted, err := listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	client, _ := dialed.(*net.TCPConn)
	t.Cleanup(func() { _, _ = client.Close(), accepted.Close() })
	c, err := s.newConn(accepted)
	if err != nil {
		t.Fatal(err)
	}
	return c, client
}

// TestDisconnectedClient guards against a ClientCancelled that reports a disconnect only when the event loop does, and
// not as soon as the socket shows it.
func TestDisconnectedClient(t *testing.T) {
	s, upstream := startServer(t, nil)
	cl := dial(t, s)
	waitForAccepted(t, s, 1)
	calls := make(chan *router.Call, 1)
	answer := make(chan struct{})
	upstream.mu.Lock()
	upstream.beforeAnswer = func(call *router.Call) { calls <- call; <-answer }
	upstream.mu.Unlock()
	cl.send(newRequest(servedFunction, ""))
	call := <-calls
	if call.ClientCancelled() {
		t.Error("ClientCancelled is true while the client waits")
	}
	_ = cl.netConn.Close()
	testsupport.WaitUntil(t, "the end of the connection", call.ClientCancelled)
	close(answer)
	waitForOpenRequests(t, s, 0)
}

// disconnect holds the ways in which a client may disconnect.
var disconnect = map[string]func(*net.TCPConn){
	"FIN":        func(client *net.TCPConn) { _ = client.Close() },
	"RST":        func(client *net.TCPConn) { _, _ = client.SetLinger(0), client.Close() },
	"half-close": func(client *net.TCPConn) { _ = client.CloseWrite() },
}

// TestDisconnectedBeforeNotification checks that a disconnect is detected from the socket, also if unread input
// precedes it.
func TestDisconnectedBeforeNotification(t *testing.T) {
	s, _ := startServer(t, nil)
	for name, disconnect := range disconnect {
		for _, input := range []string{"", pingRequest} {
			t.Run(fmt.Sprintf("%s/%d bytes unread", name, len(input)), func(t *testing.T) {
				c, client := newUnnotifiedConn(t, s)
				_, _ = io.WriteString(client, input)
				if c.disconnected() {
					t.Error("disconnected is true while the client waits")
				}
				disconnect(client)
				testsupport.WaitUntil(t, "the end of the connection", c.disconnected)
			})
		}
	}
}

// TestNoAttemptAfterClientDisconnected guards against an attempt that is forwarded although the client has
// disconnected. The dispatcher defers a call, the client disconnects while the event loop can't report it, and then the
// dispatcher starts the attempt. If the client stays connected, the attempt must be forwarded.
func TestNoAttemptAfterClientDisconnected(t *testing.T) {
	rows := map[string]func(*net.TCPConn){"stays": func(*net.TCPConn) {}}
	maps.Copy(rows, disconnect)
	for name, disconnect := range rows {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s, upstream := startServer(t, nil)
			cl := dial(t, s)
			cl.send(newRequest(deferredFunction, ""))
			waitForOpenRequests(t, s, 1)
			c, resume := blockReading(t, s, cl)
			cl.send("P") // the event loop blocks on this input and so can't handle the close
			waitUntilReading(t, c, true)
			tcpConn, _ := cl.netConn.(*net.TCPConn)
			disconnect(tcpConn)
			want := 2
			if name != "stays" {
				want = 1
				testsupport.WaitUntil(t, "the end of the connection", c.disconnected)
			}
			other := dial(t, s)
			other.send(newRequest(servedFunction, ""))
			other.expectStatus(200)
			upstream.expectForwarded(t, want)
			resume()
			waitForOpenRequests(t, s, 0)
		})
	}
}

// TestClientDisconnectsBeforeRequestIsRead checks that a request is not forwarded if its client disconnects before the
// server has read it.
func TestClientDisconnectsBeforeRequestIsRead(t *testing.T) {
	s, upstream := startServer(t, nil)
	cl := dial(t, s)
	waitForAccepted(t, s, 1)
	c, resume := blockReading(t, s, cl)
	cl.send(newRequest(servedFunction, ""))
	waitUntilReading(t, c, true)
	_ = cl.netConn.Close()
	testsupport.WaitUntil(t, "the end of the connection", c.disconnected)
	resume()
	waitUntilReading(t, c, false)
	last := dial(t, s) // the event loop handles earlier events before it answers this client
	last.send(newRequest(servedFunction, ""))
	last.expectStatus(200)
	upstream.expectForwarded(t, 1)
}
