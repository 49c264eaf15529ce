package httpserver

import (
	"testing"
	"time"

	"github.com/topazfront/topazfront/internal/testsupport"
)

// TestWaitForDrain checks that WaitForDrain waits for a request in flight and for one that is not read yet, but not for
// a connection that has sent nothing.
func TestWaitForDrain(t *testing.T) {
	s, _ := startServer(t, nil)
	dial(t, s)
	waitForAccepted(t, s, 1)
	if !s.WaitForDrain(20 * time.Second) {
		t.Error("not drained without pending work")
	}
	busy := dial(t, s)
	busy.send(newRequest(pendingFunction, ""))
	waitForOpenRequests(t, s, 1)
	if s.WaitForDrain(0) {
		t.Error("drained with a request in flight")
	}
	_ = busy.netConn.Close()
	waitForOpenRequests(t, s, 0)
	cl := dial(t, s)
	waitForAccepted(t, s, 3)
	_, resume := blockReading(t, s, cl)
	cl.send(newRequest(servedFunction, "x"))
	testsupport.WaitUntil(t, "pending work", func() bool { return !s.WaitForDrain(0) })
	drained := make(chan bool)
	go func() { drained <- s.WaitForDrain(20 * time.Second) }()
	resume()
	if r := cl.readResponse(); r.status != 200 || !<-drained {
		t.Errorf("status %d", r.status)
	}
}

// TestCloseRightAfterListen guards against a server that is closed right after its start and then accepts connections
// of the next server. The next listener gets the same descriptor number, which an event loop that started late would
// watch.
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
