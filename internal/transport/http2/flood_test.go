package http2

import (
	"testing"

	"github.com/topazfront/topazfront/internal/testsupport"
)

// blockedHandler blocks in StreamOpened until release is closed.
type blockedHandler struct {
	echoHandler
	blocked chan struct{} // closed when StreamOpened is called
	release chan struct{}
}

func (h *blockedHandler) StreamOpened(*Stream) Receiver {
	close(h.blocked)
	<-h.release
	return h
}

// TestPeerWaitsWhileItsFramesAreHandled guards against a peer that fills the memory because it sends frames faster than
// they are handled. PING frames are not subject to flow control.
func TestPeerWaitsWhileItsFramesAreHandled(t *testing.T) {
	const mostAccepted = 16 << 20 // the largest buffers of both sockets
	handler := &blockedHandler{blocked: make(chan struct{}), release: make(chan struct{})}
	s, err := Listen("tcp", "127.0.0.1:0", Config{}, func(*Conn) Handler { return handler })
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.Close)
	r := dialRawClient(t, s, true)
	r.openStream()
	testsupport.Await(t, handler.blocked, "the stream")
	accepted := testsupport.Flood(t, r.netConn, string(encodeFrame(framePing, 0, 0, make([]byte, 8)...)))
	close(handler.release)
	if accepted > mostAccepted {
		t.Errorf("%d bytes were accepted while none were handled, want at most %d", accepted, mostAccepted)
	}
}
