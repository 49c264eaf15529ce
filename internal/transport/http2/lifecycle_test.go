package http2

import (
	"errors"
	"io"
	"net"
	"sync"
	"testing"
	"time"

	peer "golang.org/x/net/http2"

	"github.com/topazfront/topazfront/internal/testsupport"
)

// TestDrainServesOpenStreams checks that a stream that is open when the server drains is completed, and that no further
// stream can be opened.
func TestDrainServesOpenStreams(t *testing.T) {
	s, _ := startServer(t, Config{})
	c, h := dialServer(t, s, Config{})
	r := newRecordingReceiver()
	stream, err := c.OpenStream(r, requestFields, nil, false)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := stream.Write([]byte("first"), false); err != nil {
		t.Fatal(err)
	}
	s.Drain()
	if code := testsupport.Await(t, h.goAway, "GOAWAY"); code != NoError {
		t.Fatalf("GOAWAY with error code %v, want NO_ERROR", code)
	}
	if _, err := c.OpenStream(newRecordingReceiver(), requestFields, nil, true); !errors.Is(err, ErrGoAway) {
		t.Errorf("opening a stream after GOAWAY returns %v, want ErrGoAway", err)
	}
	if _, err := stream.Write([]byte(" and last"), true); err != nil {
		t.Fatal(err)
	}
	if err := testsupport.Await(t, r.ended, "the end"); err != nil || r.body.String() != "first and last" {
		t.Fatalf("response body %q, error %v", r.body.String(), err)
	}
	_ = testsupport.Await(t, h.closed, "the connection's end")
}

// serveGoAway accepts one connection and waits for HEADERS on stream 5. It then sends GOAWAY with last stream 3, resets
// stream 1 with REFUSED_STREAM and closes the connection.
func serveGoAway(listener net.Listener) {
	netConn, err := listener.Accept()
	if err != nil {
		return
	}
	framer := peer.NewFramer(netConn, netConn)
	_, _ = io.ReadFull(netConn, make([]byte, len(clientPreface)))
	_ = framer.WriteSettings()
	for {
		f, err := framer.ReadFrame()
		if err != nil {
			return
		}
		if h, ok := f.(*peer.HeadersFrame); ok && h.StreamID == 5 {
			_ = framer.WriteGoAway(3, peer.ErrCodeNo, nil)
			_ = framer.WriteRSTStream(1, peer.ErrCodeRefusedStream)
			_ = netConn.Close()
		}
	}
}

// TestGoAwayUnprocessedStreams checks that streams above the last stream of GOAWAY and refused streams are reported as
// unprocessed, and the others as lost with the connection: the peer may have processed those.
func TestGoAwayUnprocessedStreams(t *testing.T) {
	listener := testsupport.Listen(t)
	go serveGoAway(listener)
	c, err := Dial("tcp", listener.Addr().String(), time.Second, Config{}, newRecordingHandler())
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	var receivers [3]*recordingReceiver
	for i := range receivers {
		receivers[i] = newRecordingReceiver()
		if _, err := c.OpenStream(receivers[i], requestFields, nil, true); err != nil {
			t.Fatal(err)
		}
	}
	for i, want := range []struct{ unprocessed, connLost bool }{{true, false}, {false, true}, {true, false}} {
		var streamErr *StreamError
		err := testsupport.Await(t, receivers[i].ended, "the end of a stream")
		if !errors.As(err, &streamErr) || streamErr.Unprocessed != want.unprocessed || streamErr.ConnLost != want.connLost {
			t.Errorf("stream %d: error %v, want unprocessed %v, connection lost %v", 2*i+1, err, want.unprocessed, want.connLost)
		}
	}
}

// TestCloseListenerKeepsOtherConnections guards against a listener that closes its file descriptor twice. The second
// close would hit a connection of another server that has got the same descriptor number meanwhile.
func TestCloseListenerKeepsOtherConnections(t *testing.T) {
	s, _ := startServer(t, Config{})
	stop := make(chan struct{})
	var wg sync.WaitGroup
	for range 3 {
		wg.Go(func() {
			for {
				select {
				case <-stop:
					return
				default:
				}
				other, err := Listen("tcp", "127.0.0.1:0", Config{}, func(*Conn) Handler { return &echoHandler{} })
				if err != nil {
					t.Error(err)
					return
				}
				other.Close()
				other.Close()
			}
		})
	}
	for range 100 {
		c, _ := dialServer(t, s, Config{})
		for range 5 {
			r := newRecordingReceiver()
			if _, err := c.OpenStream(r, requestFields, []byte("hello"), true); err != nil {
				t.Fatal(err)
			}
			if err := testsupport.Await(t, r.ended, "the end"); err != nil || r.body.String() != "hello" {
				t.Fatalf("response body %q, error %v", r.body.String(), err)
			}
		}
		c.Close()
	}
	close(stop)
	wg.Wait()
}

// panicHandler panics on a request whose body is "panic".
type panicHandler struct{ echoHandler }

func (h *panicHandler) StreamOpened(*Stream) Receiver { return h }

func (h *panicHandler) Data(s *Stream, p []byte, end bool) {
	if string(p) == "panic" {
		panic("a fault of the program")
	}
	h.echoHandler.Data(s, p, end)
}

// TestPanicClosesOnlyItsConnection guards against a connection that hangs, or a process that exits, when a handler
// panics.
func TestPanicClosesOnlyItsConnection(t *testing.T) {
	s, err := Listen("tcp", "127.0.0.1:0", Config{}, func(*Conn) Handler { return &panicHandler{} })
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.Close)
	good, _ := dialServer(t, s, Config{})
	bad, h := dialServer(t, s, Config{})
	for range 3 {
		r := newRecordingReceiver()
		if _, err := bad.OpenStream(r, requestFields, []byte("panic"), true); err == nil {
			var streamErr *StreamError
			if err := testsupport.Await(t, r.ended, "the end"); !errors.As(err, &streamErr) || !streamErr.ConnLost {
				t.Errorf("the call that panicked ended with %v, want a StreamError with ConnLost", err)
			}
		}
		r = newRecordingReceiver()
		if _, err := good.OpenStream(r, requestFields, []byte("fine"), true); err != nil {
			t.Fatal(err)
		}
		if err := testsupport.Await(t, r.ended, "the end"); err != nil || r.body.String() != "fine" {
			t.Errorf("another connection: response body %q, error %v", r.body.String(), err)
		}
	}
	_ = testsupport.Await(t, h.closed, "the connection's end")
}

// TestCloseDuringShutdown ends connections by Shutdown and Close concurrently. Under the race detector it guards
// against data races between the two.
func TestCloseDuringShutdown(t *testing.T) {
	s, _ := startServer(t, Config{})
	for range 500 {
		c, h := dialServer(t, s, Config{})
		var wg sync.WaitGroup
		wg.Go(c.Shutdown)
		wg.Go(c.Close)
		wg.Wait()
		_ = testsupport.Await(t, h.closed, "the connection's end")
	}
}

// TestUnwrittenFramesArePendingWork guards against closing a connection as idle when it has no open stream but its last
// frames have not reached the socket. Its client would get a response without its end.
func TestUnwrittenFramesArePendingWork(t *testing.T) {
	s, _ := startServer(t, Config{})
	c, _ := dialServer(t, s, Config{})
	r := newRecordingReceiver()
	if _, err := c.OpenStream(r, requestFields, nil, true); err != nil {
		t.Fatal(err)
	}
	if err := testsupport.Await(t, r.ended, "the response"); err != nil {
		t.Fatal(err)
	}
	testsupport.WaitUntil(t, "nothing is pending", func() bool { return !s.HasPendingWork() })
	conn := s.openConns()[0]
	conn.mu.Lock()
	conn.flushing = true // the state while flush blocks on the socket
	conn.mu.Unlock()
	if !s.HasPendingWork() || s.NumStreams() > 0 {
		t.Errorf("pending work: %v, open streams: %d; want true and 0", s.HasPendingWork(), s.NumStreams())
	}
	conn.mu.Lock()
	conn.flushing = false
	conn.mu.Unlock()
}
