package httpserver

import (
	"fmt"
	"io"
	"maps"
	"net"
	"syscall"
	"testing"

	"github.com/cloudwego/netpoll"

	"github.com/topazfront/topazfront/internal/router"
	"github.com/topazfront/topazfront/internal/testsupport"
)

// unnotifiedConn is a connection whose event loop has not read or reported anything yet.
type unnotifiedConn struct {
	netpoll.Connection
	fd int
}

func (c unnotifiedConn) Fd() int                { return c.fd }
func (c unnotifiedConn) IsActive() bool         { return true }
func (c unnotifiedConn) Reader() netpoll.Reader { return netpoll.NewLinkBuffer() }

// newUnnotifiedConn returns a connection of a server, and its client.
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
	tcpConn, _ := accepted.(*net.TCPConn)
	file, err := tcpConn.File() // a copy of the descriptor
	if err != nil {
		t.Fatal(err)
	}
	_ = tcpConn.Close()
	t.Cleanup(func() { _, _ = client.Close(), file.Close() })
	fd := int(file.Fd())
	if err := syscall.SetNonblock(fd, true); err != nil {
		t.Fatal(err)
	}
	return s.newConn(unnotifiedConn{fd: fd}), client
}

// TestDisconnectedClient: a call's ClientCancelled is true as soon as the socket shows it, though the event loop may not have
// reported it.
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
		t.Error("disconnected while it waits")
	}
	_ = cl.netConn.Close()
	testsupport.WaitUntil(t, "the end of the connection", call.ClientCancelled)
	close(answer)
	waitForOpenRequests(t, s, 0)
}

// leave holds the ways in which a client leaves.
var leave = map[string]func(*net.TCPConn){
	"FIN":        func(client *net.TCPConn) { _ = client.Close() },
	"RST":        func(client *net.TCPConn) { _, _ = client.SetLinger(0), client.Close() },
	"half-close": func(client *net.TCPConn) { _ = client.CloseWrite() },
}

// TestDisconnectedBeforeNotification: the socket shows that the client has left, behind unread input too.
func TestDisconnectedBeforeNotification(t *testing.T) {
	s, _ := startServer(t, nil)
	for name, leave := range leave {
		for _, input := range []string{"", pingRequest} {
			t.Run(fmt.Sprintf("%s/%d bytes unread", name, len(input)), func(t *testing.T) {
				c, client := newUnnotifiedConn(t, s)
				_, _ = io.WriteString(client, input)
				if c.disconnected() {
					t.Error("disconnected while it waits")
				}
				leave(client)
				testsupport.WaitUntil(t, "the end of the connection", c.disconnected)
			})
		}
	}
}

// TestNoAttemptOfParkedCallAfterClientLeft: a call is parked, its client leaves, and the event loop can't report it: the
// attempt that the dispatcher starts then is not forwarded. While the client waits it is.
func TestNoAttemptOfParkedCallAfterClientLeft(t *testing.T) {
	rows := map[string]func(*net.TCPConn){"stays": func(*net.TCPConn) {}}
	maps.Copy(rows, leave)
	for name, leave := range rows {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s, upstream := startServer(t, nil)
			cl := dial(t, s)
			cl.send(newRequest(parkedFunction, ""))
			waitForOpenRequests(t, s, 1)
			c, resume := pauseReading(t, s, cl)
			cl.send("P") // its reader waits, and the close is not handled before that has ended
			waitUntilReading(t, c, true)
			tcpConn, _ := cl.netConn.(*net.TCPConn)
			leave(tcpConn)
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

// TestClientDisconnectsBeforeRequestIsRead: nothing of the request is forwarded.
func TestClientDisconnectsBeforeRequestIsRead(t *testing.T) {
	s, upstream := startServer(t, nil)
	cl := dial(t, s)
	waitForAccepted(t, s, 1)
	c, resume := pauseReading(t, s, cl)
	cl.send(newRequest(servedFunction, ""))
	waitUntilReading(t, c, true)
	_ = cl.netConn.Close()
	testsupport.WaitUntil(t, "the end of the connection", c.disconnected)
	resume()
	waitUntilReading(t, c, false)
	last := dial(t, s) // what the event loop was given before is handled by the time that this is answered
	last.send(newRequest(servedFunction, ""))
	last.expectStatus(200)
	upstream.expectForwarded(t, 1)
}
