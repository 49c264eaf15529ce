package httprouter

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/topazfront/topazfront/internal/fake/fakeplatform"
	"github.com/topazfront/topazfront/internal/testsupport"
)

// Terms of the platform that the tests hold a shutdown to.
const (
	clientsComeFor    = 600 * time.Millisecond // after SIGTERM
	newClientsComeFor = 400 * time.Millisecond // after SIGTERM, on new connections
	acceptedLateness  = 500 * time.Millisecond // of an answer, after its request's deadline: it earns nothing, but isn't lost
	crossedClose      = 50 * time.Millisecond  // a request that crosses a close within this is sent again
)

var testedDeadlines = []time.Duration{50 * time.Millisecond, 200 * time.Millisecond, time.Second, 3 * time.Second, 10 * time.Second}

// earliestSIGKILL is when SIGKILL may follow SIGTERM.
func earliestSIGKILL(deadline time.Duration) time.Duration {
	return min(deadline, 3*time.Second) + 700*time.Millisecond
}

// TestShutdownPhases: whatever the longest deadline, the phases follow each other, clients find the router while they
// come, no call is cut short by more than the margin, and time is left to exit before SIGKILL.
func TestShutdownPhases(t *testing.T) {
	for _, deadline := range append(testedDeadlines, 0, time.Hour) {
		p := newShutdownPhases(deadline)
		if p.accepting > p.answering || p.answering >= p.stopping || p.stopping >= p.draining || p.draining >= p.closing {
			t.Errorf("%v: phases out of order: %+v", deadline, p)
		}
		if p.draining < clientsComeFor {
			t.Errorf("%v: clients may come until %v and are closed at %v", deadline, clientsComeFor, p.draining)
		}
		if p.answering < min(deadline, maxSIGKILLDeadline) {
			t.Errorf("%v: a call in flight at SIGTERM is answered within %v", deadline, p.answering)
		}
		if left := earliestSIGKILL(deadline) - p.closing; left < closeMargin {
			t.Errorf("%v: %v left to exit before SIGKILL", deadline, left)
		}
	}
}

// settingsWithDeadline are defaultSettings with a deadline for all classes, and with no cancellations: attempts at
// workers that hang stay in flight.
func settingsWithDeadline(deadline time.Duration) string {
	settings := strings.ReplaceAll(defaultSettings, `"deadline":8000000`, fmt.Sprintf(`"deadline":%d`, deadline.Microseconds()))
	settings = strings.ReplaceAll(settings, `"target":2000000`, fmt.Sprintf(`"target":%d`, deadline.Microseconds()/2))
	return strings.Replace(settings, `"cancel":true`, `"cancel":false`, 1)
}

// stallMeter measures for how long the machine has kept this process from running. Assertions on times allow for it.
type stallMeter struct {
	mu      sync.Mutex
	stalled time.Duration
}

const (
	stallSample  = time.Millisecond
	usualLatency = 10 * time.Millisecond  // of a wake-up
	fixedSlack   = 100 * time.Millisecond // that a time may be exceeded by on an idle machine
	stallFactor  = time.Duration(2)       // another process may have been stalled for longer
)

func startStallMeter(t *testing.T) *stallMeter {
	m := &stallMeter{}
	done := make(chan struct{})
	t.Cleanup(func() { close(done) })
	go func() {
		for last := time.Now(); ; {
			select {
			case <-done:
				return
			case <-time.After(stallSample):
			}
			now := time.Now()
			if over := now.Sub(last) - stallSample - usualLatency; over > 0 {
				m.mu.Lock()
				m.stalled += over
				m.mu.Unlock()
			}
			last = now
		}
	}()
	return m
}

func (m *stallMeter) slack() time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	return fixedSlack + stallFactor*m.stalled
}

// openClient is a client's connection and its reader.
type openClient struct {
	net.Conn
	reader *bufio.Reader
}

// newClientConn connects a client. It may be called from any goroutine: where it fails, what is done with the connection
// fails, too.
func newClientConn(t *testing.T, address string) *openClient {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Errorf("no new connection: %v", err)
		var other net.Conn
		conn, other = net.Pipe()
		_ = other.Close()
	}
	t.Cleanup(func() { _ = conn.Close() })
	_ = conn.SetDeadline(time.Now().Add(30 * time.Second))
	return &openClient{conn, bufio.NewReader(conn)}
}

// openClientConn connects a client whose connection has had a response.
func openClientConn(t *testing.T, address string) *openClient {
	t.Helper()
	c := newClientConn(t, address)
	_, _ = io.WriteString(c, "GET /ping HTTP/1.1\r\nHost: a\r\n\r\n")
	if status := c.readStatus(); status != http.StatusOK {
		t.Fatalf("ping: status %d", status)
	}
	return c
}

// readStatus reads a whole response and returns its status, or 0 where the connection ends without one.
func (c *openClient) readStatus() int {
	resp, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		return 0
	}
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return 0
	}
	return resp.StatusCode
}

// closedByRouter reports whether the end of the connection has come. Nothing else is awaited on it.
func (c *openClient) closedByRouter() bool {
	_ = c.SetReadDeadline(time.Now().Add(time.Millisecond))
	_, err := c.reader.Peek(1)
	_ = c.SetReadDeadline(time.Now().Add(30 * time.Second))
	return err != nil && !os.IsTimeout(err)
}

// exchange is what came of one request of a client.
type exchange struct {
	sentAt, endedAt time.Duration // since SIGTERM
	skipped         bool          // the connection had been closed before, so the client sent nothing
	status          int           // 0: the connection ended without an answer
}

// shutdownRequest is a request of a class, whose deadline is the class's.
func shutdownRequest(id int, class string, deadline time.Duration) string {
	return fmt.Sprintf("POST /call/%s/call HTTP/1.1\r\nHost: a\r\nX-Class: %s\r\nX-Correlation-Id: %s\r\nX-Operation-Key: k%d\r\n"+
		"X-Deadline-Ms: %d\r\nX-Attrs: memory_mb:512\r\nContent-Length: 4\r\n\r\nbody", hexID(7), class, hexID(id), id, deadline.Milliseconds())
}

// TestShutdownAnswersEachRequestInItsOwnTime plays a planned restart of a process, for each longest deadline: workers
// hang all through it, requests come each 50 ms, on open connections and at first on new ones, further SIGTERMs come, and
// SIGHUPs with a file that can't be read. Each request is answered by its deadline, and the process exits by itself before SIGKILL may come.
func TestShutdownAnswersEachRequestInItsOwnTime(t *testing.T) {
	const interval = 50 * time.Millisecond
	stalls := startStallMeter(t)
	t.Run("deadlines", func(t *testing.T) {
		for _, deadline := range testedDeadlines {
			t.Run(deadline.String(), func(t *testing.T) {
				t.Parallel()
				worker := &fakeplatform.Worker{ID: "a"}
				worker.Handle = func(r fakeplatform.Request) {
					if r.Command != "exec" {
						go worker.HandleHealthy(r)
					}
				}
				startWorker(t, worker)
				initial := initialSnapshot(fakeplatform.EndpointsEvent(true, "a "+worker.Addr()+" active"))
				p := startProcess(t, configJSONWith(settingsWithDeadline(deadline), unusedAddress(t), initial))
				sigkill := earliestSIGKILL(deadline)
				var clients []*openClient
				for range int((sigkill + interval) / interval) {
					clients = append(clients, openClientConn(t, p.address))
				}
				exchanges := make([]exchange, len(clients))
				var wg sync.WaitGroup
				p.writeConfig("{")
				terminatedAt := time.Now().Add(interval) // the first request comes before
				for i, client := range clients {
					wg.Go(func() {
						time.Sleep(time.Until(terminatedAt.Add(time.Duration(i-1) * interval)))
						class := []string{"safe", "keyed", "unsafe"}[i%3]
						if i%2 == 0 && time.Duration(i-1)*interval <= newClientsComeFor {
							client = newClientConn(t, p.address)
						}
						exchanges[i] = client.exchange(shutdownRequest(i+1, class, deadline), terminatedAt)
					})
				}
				time.Sleep(time.Until(terminatedAt))
				p.sendSignal(syscall.SIGTERM)
				p.requireExitDespiteSignals(terminatedAt)
				exitedAt := time.Since(terminatedAt)
				wg.Wait()
				t.Logf("exited %v after SIGTERM, %v before SIGKILL, slack %v", exitedAt, sigkill-exitedAt, stalls.slack())
				if exitedAt > sigkill+stalls.slack() {
					t.Errorf("the process exited %v after SIGTERM, SIGKILL may come after %v", exitedAt, sigkill)
				}
				for i, e := range exchanges {
					e.check(t, fmt.Sprintf("request %d", i+1), deadline, stalls.slack())
				}
			})
		}
	})
}

// exchange sends a request, unless the router has closed the connection, and waits for its end.
func (c *openClient) exchange(request string, start time.Time) (e exchange) {
	if e.skipped = c.closedByRouter(); e.skipped {
		e.endedAt = time.Since(start)
		return e
	}
	e.sentAt = time.Since(start)
	_, _ = io.WriteString(c, request)
	e.status = c.readStatus()
	e.endedAt = time.Since(start)
	return e
}

// check fails the test unless the exchange keeps the platform's terms.
func (e exchange) check(t *testing.T, name string, deadline, slack time.Duration) {
	t.Helper()
	switch {
	case e.skipped && e.endedAt < clientsComeFor:
		t.Errorf("%s: the connection was closed by %v while clients come", name, e.endedAt)
	case e.skipped:
	case e.status == 0 && e.endedAt-e.sentAt > crossedClose+slack:
		t.Errorf("%s: sent at %v, its connection ended at %v with no answer", name, e.sentAt, e.endedAt)
	case e.status != 0 && e.endedAt > e.sentAt+deadline+acceptedLateness+slack:
		t.Errorf("%s: sent at %v and answered by %d at %v, its deadline was %v", name, e.sentAt, e.status, e.endedAt, deadline)
	}
}

// requireExitDespiteSignals sends SIGHUP and SIGTERM every 40 ms until the process exits, with status 0.
func (p *process) requireExitDespiteSignals(start time.Time) {
	p.t.Helper()
	exited := make(chan error, 1)
	go func() { exited <- p.cmd.Wait() }()
	for {
		select {
		case err := <-exited:
			if err != nil {
				p.t.Error(err)
			}
			return
		case <-time.After(40 * time.Millisecond):
		}
		for _, s := range []syscall.Signal{syscall.SIGHUP, syscall.SIGTERM} {
			_ = p.cmd.Process.Signal(s) // it may have exited meanwhile
		}
		if time.Since(start) > 20*time.Second {
			p.t.Fatal("the process does not exit")
		}
	}
}

// TestShutdownDespiteClientThatReadsNothing has one client send requests without pause and read no response, until the
// router's writes to it wait. Beside it another client is answered, and the shutdown ends before SIGKILL.
func TestShutdownDespiteClientThatReadsNothing(t *testing.T) {
	const deadline = 200 * time.Millisecond
	stalls := startStallMeter(t)
	h := startHarness(t, harnessOptions{settings: settingsWithDeadline(deadline)})
	const firstStuckID = 1000
	var stuckServed atomic.Int32 // requests of the client that reads nothing
	writesWait := make(chan struct{})
	body := strings.Repeat("x", 60<<10)
	for _, worker := range h.workers {
		worker.Handle = func(r fakeplatform.Request) {
			if r.Command != "exec" {
				go worker.HandleHealthy(r)
				return
			}
			if r.ID >= hexID(firstStuckID) {
				stuckServed.Add(1)
			}
			r.Conn.WriteMessage(r.ID, "ok", "company=0", body)
		}
	}
	address := h.server.httpServer.Addr()
	stuck, other := openClientConn(t, address), openClientConn(t, address)
	if tcp, ok := stuck.Conn.(*net.TCPConn); ok {
		_ = tcp.SetReadBuffer(4 << 10)
	}
	ended := make(chan time.Duration, 1)
	startedAt := time.Now()
	time.AfterFunc(clientsComeFor/2, func() { // the writes still wait when the router drains
		for id := firstStuckID; stuckServed.Load() == int32(id-firstStuckID); id++ {
			_, _ = io.WriteString(stuck, shutdownRequest(id, "safe", deadline))
			for wait := 0; wait < 100 && stuckServed.Load() == int32(id-firstStuckID); wait++ {
				time.Sleep(time.Millisecond)
			}
		}
		close(writesWait)
	})
	go func() {
		h.server.Shutdown()
		ended <- time.Since(startedAt)
	}()
	for id := 1; time.Since(startedAt) < clientsComeFor/2; id++ {
		sentAt := time.Now()
		_, _ = io.WriteString(other, shutdownRequest(id, "safe", deadline))
		if status, took := other.readStatus(), time.Since(sentAt); status == 0 || took > deadline+acceptedLateness+stalls.slack() {
			t.Fatalf("request %d: status %d after %v", id, status, took)
		}
	}
	testsupport.Await(t, writesWait, "a write that waits")
	took := testsupport.Await(t, ended, "the end of the shutdown")
	t.Logf("shut down within %v, %d responses unread, slack %v", took, stuckServed.Load(), stalls.slack())
	if sigkill := earliestSIGKILL(deadline); took > sigkill+stalls.slack() {
		t.Errorf("shut down within %v, SIGKILL may come after %v", took, sigkill)
	}
}

// TestShutdownDespiteHangingDiscovery shuts a router down while its connect to the discovery server hangs.
func TestShutdownDespiteHangingDiscovery(t *testing.T) {
	const deadline = 50 * time.Millisecond
	address, _ := testsupport.ListenWithFullBacklog(t)
	worker := startWorker(t, &fakeplatform.Worker{ID: "a"})
	initial := initialSnapshot(fakeplatform.EndpointsEvent(true, "a "+worker.Addr()+" active"))
	settings := strings.Replace(settingsWithDeadline(deadline), `"connect_timeout":2000000`, `"connect_timeout":20000000`, 1)
	cfg, err := ParseConfig([]byte(configJSONWith(settings, address, initial)))
	if err != nil {
		t.Fatal(err)
	}
	server, err := Start(cfg, Options{})
	if err != nil {
		t.Fatal(err)
	}
	stalls := startStallMeter(t)
	startedAt := time.Now()
	server.Shutdown()
	took := time.Since(startedAt)
	t.Logf("shut down within %v", took)
	if sigkill := earliestSIGKILL(deadline); took > sigkill+stalls.slack() {
		t.Errorf("shut down within %v, SIGKILL may come after %v", took, sigkill)
	}
}
