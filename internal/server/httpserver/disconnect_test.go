package httpserver

import (
	"syscall"
	"testing"

	"github.com/cloudwego/netpoll"

	"github.com/topazfront/topazfront/internal/router"
)

// unnotifiedConn is a connection whose event loop has not reported anything yet.
type unnotifiedConn struct {
	netpoll.Connection
	fd int
}

func (c unnotifiedConn) Fd() int        { return c.fd }
func (c unnotifiedConn) IsActive() bool { return true }

// TestDisconnectedClient: a call's ClientLeft is true as soon as the socket shows it, though the event loop may not have
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
	if call.ClientLeft() {
		t.Error("disconnected while it waits")
	}
	_ = cl.netConn.Close()
	waitFor(t, "the end of the connection", call.ClientLeft)
	close(answer)
	waitForOpenRequests(t, s, 0)

	fds, err := syscall.Socketpair(syscall.AF_UNIX, syscall.SOCK_STREAM, 0)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = syscall.Close(fds[0]) }()
	c := &conn{server: s, netConn: unnotifiedConn{fd: fds[0]}}
	if c.disconnected() {
		t.Error("disconnected while it waits")
	}
	if _ = syscall.Close(fds[1]); !c.disconnected() {
		t.Error("not disconnected though the socket shows it")
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
	waitFor(t, "the end of the connection", c.disconnected)
	resume()
	waitUntilReading(t, c, false)
	last := dial(t, s) // what the event loop was given before is handled by the time that this is answered
	last.send(newRequest(servedFunction, ""))
	last.expectStatus(200)
	upstream.expectForwarded(t, 1)
}
