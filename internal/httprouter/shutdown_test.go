package httprouter

import (
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/topazfront/topazfront/internal/fake/fakeplatform"
	"github.com/topazfront/topazfront/internal/testsupport"
	"github.com/topazfront/topazfront/internal/testsupport/platformtest"
)

// TestShutdownAnswersPendingCalls has calls with deadlines beyond the exit of the process, which no worker answers. It
// guards against calls that are left without a final answer, or get one that their idempotency doesn't allow.
func TestShutdownAnswersPendingCalls(t *testing.T) {
	h := newHarness(t, nil)
	for _, worker := range h.workers {
		worker.Handle = func(fakeplatform.Request) {}
	}
	type answer struct {
		class  string
		status int
	}
	answers := make(chan answer, 3)
	for i, class := range []string{"safe", "keyed", "unsafe"} {
		go func() {
			status, _ := h.client.Call(hexID(100+i), class, hexID(7), time.Minute)
			answers <- answer{class, status}
		}()
	}
	testsupport.WaitUntil(t, "the router has accepted the calls", func() bool { return h.server.router.Stats().CallsInFlight == 3 })
	if unanswered := h.server.Shutdown(); unanswered != 0 {
		t.Errorf("%d calls without an answer", unanswered)
	}
	want := map[string]int{"safe": 503, "keyed": 502, "unsafe": 502}
	for range 3 {
		if a := testsupport.Await(t, answers, "an answer"); a.status != want[a.class] {
			t.Errorf("%s: status %d, want %d", a.class, a.status, want[a.class])
		}
	}
}

// TestShutdownWhileWorkersHang has workers that answer nothing during a shutdown, while clients keep making calls on
// open and new connections. It guards against calls without an answer in time.
func TestShutdownWhileWorkersHang(t *testing.T) {
	const (
		deadline  = time.Second
		callFor   = 600 * time.Millisecond // clients make calls for this long after SIGTERM
		callPause = 50 * time.Millisecond
	)
	t.Parallel()
	settings := strings.ReplaceAll(defaultSettings, `"deadline":8000000`, `"deadline":1000000`)
	h := startHarness(t, harnessOptions{settings: settings, handle: func(*fakeplatform.Worker, fakeplatform.Request) {}})
	var wg sync.WaitGroup
	callEachClass := func() {
		for _, class := range []string{"safe", "keyed", "unsafe"} {
			wg.Go(func() {
				if status := h.callWithin(class, deadline); status == 200 || status == 0 {
					t.Errorf("%s: status %d", class, status)
				}
			})
		}
	}
	callEachClass()
	stopped := make(chan int, 1)
	startedAt := time.Now()
	go func() { stopped <- h.server.Shutdown() }()
	for time.Since(startedAt) < callFor {
		callEachClass()
		time.Sleep(callPause)
	}
	wg.Wait()
	if unanswered := testsupport.Await(t, stopped, "the end of the shutdown"); unanswered != 0 {
		t.Errorf("%d calls without an answer", unanswered)
	}
	h.requireInvariants()
}

// settingsWithDeadline returns defaultSettings with a deadline for all classes and without cancellations, so that
// attempts at hanging workers stay in flight.
func settingsWithDeadline(deadline time.Duration) string {
	settings := strings.ReplaceAll(defaultSettings, `"deadline":8000000`, fmt.Sprintf(`"deadline":%d`, deadline.Microseconds()))
	settings = strings.ReplaceAll(settings, `"target":2000000`, fmt.Sprintf(`"target":%d`, deadline.Microseconds()/2))
	return strings.Replace(settings, `"cancel":true`, `"cancel":false`, 1)
}

// TestShutdownWithClientThatDoesNotRead has a client that sends requests and reads no responses until the router's
// writes to it block. It guards against blocked writes that delay the answers to another client, or the end of the
// shutdown beyond SIGKILL.
func TestShutdownWithClientThatDoesNotRead(t *testing.T) {
	const deadline = 200 * time.Millisecond
	stalls := startStallMeter(t)
	h := startHarness(t, harnessOptions{settings: settingsWithDeadline(deadline)})
	const firstStuckID = 1000
	var stuckServed atomic.Int32 // requests of the client that doesn't read
	writesBlocked := make(chan struct{})
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
	time.AfterFunc(clientSendPeriod/2, func() { // the writes are still blocked when the router drains
		for id := firstStuckID; stuckServed.Load() == int32(id-firstStuckID); id++ {
			_, _ = io.WriteString(stuck, callRequestWithKey(id, "safe", deadline))
			for wait := 0; wait < 100 && stuckServed.Load() == int32(id-firstStuckID); wait++ {
				time.Sleep(time.Millisecond)
			}
		}
		close(writesBlocked)
	})
	go func() {
		h.server.Shutdown()
		ended <- time.Since(startedAt)
	}()
	for id := 1; time.Since(startedAt) < clientSendPeriod/2; id++ {
		sentAt := time.Now()
		_, _ = io.WriteString(other, callRequestWithKey(id, "safe", deadline))
		if status, took := other.readStatus(), time.Since(sentAt); status == 0 ||
			took > deadline+allowedLateness+stalls.slack() {
			t.Fatalf("request %d: status %d after %v", id, status, took)
		}
	}
	testsupport.Await(t, writesBlocked, "a write that waits")
	took := testsupport.Await(t, ended, "the end of the shutdown")
	t.Logf("shut down within %v, %d responses unread, slack %v", took, stuckServed.Load(), stalls.slack())
	if sigkill := earliestSIGKILL(deadline); took > sigkill+stalls.slack() {
		t.Errorf("shut down within %v, SIGKILL may come after %v", took, sigkill)
	}
}

// TestShutdownWithHangingDiscoveryConnect guards against a shutdown that waits for a hanging connect to the discovery
// server.
func TestShutdownWithHangingDiscoveryConnect(t *testing.T) {
	const deadline = 50 * time.Millisecond
	address, _ := testsupport.ListenWithFullBacklog(t)
	worker := platformtest.StartWorker(t, &fakeplatform.Worker{ID: "a"})
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
