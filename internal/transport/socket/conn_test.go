package socket

import (
	"bytes"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/topazfront/topazfront/internal/testsupport"
)

// recorder is a Handler that records its calls. It blocks in Received while block is not nil and open.
type recorder struct {
	received chan []byte
	closed   chan struct{}
	block    chan struct{}
	handling atomic.Int32
}

func (r *recorder) Received(input []byte) {
	r.handling.Add(1)
	r.received <- bytes.Clone(input)
	if r.block != nil {
		<-r.block
	}
	r.handling.Add(-1)
}

func (r *recorder) Closed() {
	r.handling.Add(1)
	close(r.closed) // panics if it is called twice
	r.handling.Add(-1)
}

// newPair returns a started Conn with its handler, and the peer's end.
func newPair(t *testing.T, block chan struct{}) (*Conn, *recorder, net.Conn) {
	t.Helper()
	listener := testsupport.Listen(t)
	peer, err := Dial("tcp", listener.Addr().String(), 5*time.Second)
	if err != nil {
		t.Fatal(err)
	}
	accepted, err := listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	handler := &recorder{received: make(chan []byte, 1<<16), closed: make(chan struct{}), block: block}
	c, err := New(accepted, handler, time.Second)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = peer.Close(); c.Close() })
	c.Start()
	return c, handler, peer
}

// TestInputIsHandledInOrder checks that all bytes are passed to the handler in their order, and then the end.
func TestInputIsHandledInOrder(t *testing.T) {
	_, handler, peer := newPair(t, nil)
	sent := make([]byte, 5*readBufferBytes+7)
	for i := range sent {
		sent[i] = byte(i % 251)
	}
	go func() {
		_, _ = peer.Write(sent)
		_ = peer.Close()
	}()
	testsupport.Await(t, handler.closed, "the end")
	close(handler.received)
	var received []byte
	for input := range handler.received {
		received = append(received, input...)
	}
	if !bytes.Equal(received, sent) {
		t.Errorf("%d bytes received, or in another order, want the %d sent", len(received), len(sent))
	}
}

// TestPeerWaitsWhileInputIsHandled guards against a connection that reads on while its handler is busy.
func TestPeerWaitsWhileInputIsHandled(t *testing.T) {
	const mostAccepted = 16 << 20 // the largest buffers of both sockets
	block := make(chan struct{})
	_, handler, peer := newPair(t, block)
	accepted := testsupport.Flood(t, peer, "x")
	if calls := len(handler.received); calls != 1 || accepted > mostAccepted {
		t.Errorf("%d calls and %d bytes accepted while the first was handled, want 1 call and at most %d bytes", calls, accepted, mostAccepted)
	}
	close(block)
}

// TestCloseDuringHandling guards against an end that overlaps with the handling of input, or comes twice.
func TestCloseDuringHandling(t *testing.T) {
	block := make(chan struct{})
	c, handler, peer := newPair(t, block)
	if _, err := peer.Write([]byte("x")); err != nil {
		t.Fatal(err)
	}
	testsupport.Await(t, handler.received, "the input")
	c.Close()
	c.Close()
	select {
	case <-handler.closed:
		t.Error("Closed was called while input was handled")
	case <-time.After(50 * time.Millisecond): // a shorter wait could miss a fault, but never fail correct code
	}
	if c.IsActive() || !c.IsBusy() {
		t.Errorf("active %v, busy %v, want a closed connection that is still busy", c.IsActive(), c.IsBusy())
	}
	close(block)
	testsupport.Await(t, handler.closed, "the end")
}

// TestCloseWhileWaiting checks that Close has ended a connection without input when it returns.
func TestCloseWhileWaiting(t *testing.T) {
	c, handler, _ := newPair(t, nil)
	testsupport.WaitUntil(t, "no input is read", func() bool { return !c.IsBusy() })
	c.Close()
	testsupport.Await(t, handler.closed, "the end")
}

// TestInputIsNeverOverlooked guards against input on its way from the socket to its handler that
// HasUnhandledInput does not see: a server would close the connection and lose a request.
func TestInputIsNeverOverlooked(t *testing.T) {
	c, handler, peer := newPair(t, nil)
	for i := range 2000 {
		if _, err := peer.Write([]byte("x")); err != nil {
			t.Fatal(err)
		}
		for arrived := false; len(handler.received) == 0; {
			seen := c.HasUnhandledInput()
			if arrived && !seen && len(handler.received) == 0 {
				t.Fatalf("byte %d was overlooked", i)
			}
			arrived = arrived || seen // the system may deliver the byte later
		}
		<-handler.received
	}
}
