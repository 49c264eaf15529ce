package httpserver

import (
	"testing"
	"time"

	"github.com/topazfront/topazfront/internal/testsupport"
)

// TestWaitForDrain waits for a request in flight, and one that is not read yet; not for a connection that sends nothing.
func TestWaitForDrain(t *testing.T) {
	s, _ := startServer(t, nil)
	dial(t, s)
	waitForAccepted(t, s, 1)
	if !s.WaitForDrain(20 * time.Second) {
		t.Error("nothing was pending")
	}
	busy := dial(t, s)
	busy.send(newRequest(pendingFunction, ""))
	waitForOpenRequests(t, s, 1)
	if s.WaitForDrain(0) {
		t.Error("a request in flight was pending")
	}
	_ = busy.netConn.Close()
	waitForOpenRequests(t, s, 0)
	cl := dial(t, s)
	waitForAccepted(t, s, 3)
	_, resume := pauseReading(t, s, cl)
	cl.send(newRequest(servedFunction, "x"))
	testsupport.WaitUntil(t, "pending work", func() bool { return !s.WaitForDrain(0) })
	drained := make(chan bool)
	go func() { drained <- s.WaitForDrain(20 * time.Second) }()
	resume()
	if r := cl.readResponse(); r.status != 200 || !<-drained {
		t.Errorf("status %d", r.status)
	}
}

// TestCloseRightAfterListen: a server that is closed at once doesn't accept the connections of the next one, whose
// listener has got its descriptor.
func TestCloseRightAfterListen(t *testing.T) {
	for range 100 {
		closed, _ := startServer(t, nil)
		closed.Close()
		closed.router.Kill()
		s, _ := startServer(t, nil)
		cl := dial(t, s)
		cl.send(newRequest(servedFunction, ""))
		cl.expectStatus(200)
		s.Close()
	}
}
