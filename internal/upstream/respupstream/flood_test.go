package respupstream

import (
	"net"
	"strings"
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

// TestIncompleteResponsesOfAllWorkersAreLimited guards against workers that fill the memory together, each with the
// beginning of a response within the limit of one. The connection that exceeds the limit ends, and its attempt may have
// run.
func TestIncompleteResponsesOfAllWorkersAreLimited(t *testing.T) {
	const limit = 2 << 10
	response := fakeplatform.EncodeMessage("0000000000000001", "ok", "-", strings.Repeat("x", limit))
	w := &fakeplatform.Worker{ID: "w", Handle: func(r fakeplatform.Request) { r.Conn.WriteRaw(response[:len(response)-1]) }}
	h := newHarness(t, func(c *Config) { c.MaxInputBytes = limit }, &scriptedDispatcher{attemptWorkers: []string{"w"}}, w)
	h.submit(15 * time.Second)
	if ended := testsupport.Await(t, h.dispatcher.outcomes, "the outcome"); ended.Result != dispatch.ConnectionReset {
		t.Errorf("result %v, want %v", ended.Result, dispatch.ConnectionReset)
	}
	if held := h.pool.Stats().InputBytes; held != 0 {
		t.Errorf("%d bytes held after the connection has ended", held)
	}
}
