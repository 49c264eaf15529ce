package respupstream

import (
	"net"
	"testing"
	"time"

	"github.com/topazfront/topazfront/dispatch"
	"github.com/topazfront/topazfront/internal/endpoints"
	"github.com/topazfront/topazfront/internal/fake/fakeplatform"
	"github.com/topazfront/topazfront/internal/testsupport"
)

// TestWorkerWaitsWhileItsResponsesAreHandled guards against a worker that fills the memory because it sends responses
// without end, under ids that nobody asked for, faster than they are handled.
func TestWorkerWaitsWhileItsResponsesAreHandled(t *testing.T) {
	const mostAccepted = 1 << 20 // the buffers of both sockets and one read
	listener := testsupport.Listen(t)
	h := newHarness(t, nil, &scriptedDispatcher{attemptWorkers: []string{"w"}})
	h.router.SetEndpoints([]endpoints.Worker{{Endpoint: dispatch.Endpoint{ID: "w"}, Address: listener.Addr().String()}})
	h.submit(15 * time.Second)
	conn, err := listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	h.waitForStats("the attempt was not written", func(s Stats) bool { return s.InFlight == 1 })
	h.waitForWrites()
	accepted := h.floodWhileBlocked(conn, fakeplatform.EncodeMessage("0123456789abcdef", "ok", "-", "answer"))
	if accepted > mostAccepted {
		t.Errorf("%d bytes were accepted while none were handled, want at most %d", accepted, mostAccepted)
	}
}

// floodWhileBlocked floods the router with a message while no response can be handled, and returns how many bytes were
// accepted.
func (h *harness) floodWhileBlocked(conn net.Conn, message string) (accepted int) {
	h.t.Helper()
	h.pool.mu.Lock()
	defer h.pool.mu.Unlock()
	return testsupport.Flood(h.t, conn, message)
}
