package httprouter

import (
	"bytes"
	"io"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/topazfront/topazfront/internal/fake/fakeplatform"
	"github.com/topazfront/topazfront/internal/invariants"
)

// peerTrouble is what one kind of peer does beside usual clients until the test ends.
type peerTrouble struct {
	stalledWorker bool // one worker reads nothing
	start         func(h *harness, stop <-chan struct{}, wg *sync.WaitGroup)
}

// rawCall is an HTTP request for a call, which is recorded as abandoned: what comes of it is not looked at.
func (h *harness) rawCall(body string) []byte {
	h.mu.Lock()
	h.nextCall++
	id := hexID(h.nextCall)
	function := hexID(h.nextCall%5 + 1)
	h.mu.Unlock()
	for _, kind := range []invariants.RecordKind{invariants.CallSent, invariants.CallAbandoned} {
		h.records.Add(invariants.Record{Kind: kind, Call: id, Request: id, Class: "safe", Router: fakeplatform.DefaultRouter})
	}
	return []byte(callRequest(id, function, "safe", time.Second, body))
}

// The pace of a peer in a flood: many times that of usual clients, and bounded, as the tests share the processors.
const (
	floodMessages = 400
	floodPause    = time.Millisecond
	unreadPause   = 5 * time.Millisecond // of clients that read nothing: each response is written before the next request
)

// writeWhile writes messages to connections made anew whenever one ends, until stop is closed.
func (h *harness) writeWhile(stop <-chan struct{}, wg *sync.WaitGroup, pause time.Duration, next func() []byte, use func(*net.TCPConn)) {
	address := strings.TrimPrefix(h.client.BaseURL, "http://")
	wg.Go(func() {
		left := floodMessages
		for left > 0 {
			netConn, err := net.Dial("tcp", address)
			if err != nil {
				return
			}
			closeOnStop(netConn, stop, wg)
			use(netConn.(*net.TCPConn)) // "tcp" gives no other
			for ; err == nil && left > 0; left-- {
				_, err = netConn.Write(next())
				time.Sleep(pause)
			}
			select {
			case <-stop:
				return
			default:
			}
		}
	})
}

// closeOnStop closes a connection when stop is closed.
func closeOnStop(conn net.Conn, stop <-chan struct{}, wg *sync.WaitGroup) {
	wg.Go(func() {
		<-stop
		_ = conn.Close()
	})
}

// discardResponses reads what comes over a connection and drops it.
func discardResponses(conn *net.TCPConn) {
	go func() { _, _ = io.Copy(io.Discard, conn) }()
}

// readNothing leaves what comes over a connection in small buffers.
func readNothing(conn *net.TCPConn) { _ = conn.SetReadBuffer(4 << 10) }

// peerTroubles are the kinds of peers.
func peerTroubles() map[string]peerTrouble {
	const peers = 8
	startPeers := func(pause time.Duration, next func(h *harness) []byte, use func(*net.TCPConn)) func(*harness, <-chan struct{}, *sync.WaitGroup) {
		return func(h *harness, stop <-chan struct{}, wg *sync.WaitGroup) {
			for range peers {
				h.writeWhile(stop, wg, pause, func() []byte { return next(h) }, use)
			}
		}
	}
	largeCall := func(h *harness) []byte { return h.rawCall(largeBody) }
	noise := bytes.Repeat([]byte("noise "), 1<<10)
	return map[string]peerTrouble{
		"clients that read nothing": {start: startPeers(unreadPause, largeCall, readNothing)},
		"a flood of requests":       {start: startPeers(floodPause, func(h *harness) []byte { return h.rawCall("body") }, discardResponses)},
		"a flood of noise":          {start: startPeers(floodPause, func(*harness) []byte { return noise }, discardResponses)},
		"a stalled worker":          {stalledWorker: true},
		"all of it": {stalledWorker: true, start: func(h *harness, stop <-chan struct{}, wg *sync.WaitGroup) {
			startPeers(unreadPause, largeCall, readNothing)(h, stop, wg)
			startPeers(floodPause, func(h *harness) []byte { return h.rawCall("body") }, discardResponses)(h, stop, wg)
			startPeers(floodPause, func(*harness) []byte { return noise }, discardResponses)(h, stop, wg)
		}},
	}
}

// largeBody is the body of calls that are answered with as much as a worker may send.
var largeBody = strings.Repeat("l", 15<<10)

// TestOthersAreAnsweredBesidePeersInTrouble makes usual calls beside clients and workers that misbehave. Each gets its
// answer in time, and at least half are served.
func TestOthersAreAnsweredBesidePeersInTrouble(t *testing.T) {
	t.Parallel()
	const (
		rounds        = 3
		callsPerClass = 8
		deadline      = time.Second
	)
	for name, trouble := range peerTroubles() {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			stop, stalled := make(chan struct{}), make(chan struct{})
			var stalling atomic.Bool
			h := startHarness(t, harnessOptions{handle: func(w *fakeplatform.Worker, r fakeplatform.Request) {
				if w.ID == "c" && stalling.Load() {
					<-stalled // nothing further is read from the connection
					return
				}
				if isAttempt(r) && r.Body == largeBody {
					w.RecordExecution(r)
					r.Conn.WriteMessage(r.ID, "ok", "-", strings.Repeat("l", 60<<10))
					return
				}
				go w.HandleHealthy(r)
			}})
			t.Cleanup(func() { close(stalled) })
			h.calls(callsPerClass) // functions are loaded and connections open
			stalling.Store(trouble.stalledWorker)
			var wg sync.WaitGroup
			if trouble.start != nil {
				trouble.start(h, stop, &wg)
			}
			served := 0
			for range rounds {
				served += h.callsWithin(callsPerClass, deadline)
			}
			close(stop)
			wg.Wait()
			t.Logf("%d of %d served", served, 3*callsPerClass*rounds)
			if served < 3*callsPerClass*rounds/2 {
				t.Errorf("%d of %d served", served, 3*callsPerClass*rounds)
			}
			h.requireInvariants()
		})
	}
}
