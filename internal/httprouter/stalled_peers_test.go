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

// misbehavingPeer is a kind of peer that misbehaves while other clients make calls.
type misbehavingPeer struct {
	stalledWorker bool // one worker stops reading
	start         func(h *harness, stop <-chan struct{}, wg *sync.WaitGroup)
}

// abandonedCallRequest returns the HTTP request of a call and records the call as abandoned, so that its answer isn't
// checked.
func (h *harness) abandonedCallRequest(body string) []byte {
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

// The rate of a flooding peer. It is many times that of other clients, and bounded because parallel tests share the
// processors.
const (
	floodMessages   = 400
	floodPause      = time.Millisecond
	nonReadingPause = 5 * time.Millisecond // of clients that don't read; longer than the write of a response
)

// writeUntilStopped writes up to floodMessages messages until stop is closed. It opens a new connection whenever one
// ends, and calls prepare for each.
func (h *harness) writeUntilStopped(stop <-chan struct{}, wg *sync.WaitGroup, pause time.Duration, next func() []byte,
	prepare func(*net.TCPConn)) {
	address := strings.TrimPrefix(h.client.BaseURL, "http://")
	wg.Go(func() {
		remaining := floodMessages
		for remaining > 0 {
			netConn, err := net.Dial("tcp", address)
			if err != nil {
				return
			}
			closeOnStop(netConn, stop, wg)
			prepare(netConn.(*net.TCPConn)) // "tcp" gives no other
			for ; err == nil && remaining > 0; remaining-- {
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

// discardResponses reads and discards the input of a connection in the background.
func discardResponses(conn *net.TCPConn) {
	go func() { _, _ = io.Copy(io.Discard, conn) }()
}

// limitReadBuffer sets a small receive buffer, so that writes to a client that doesn't read block soon.
func limitReadBuffer(conn *net.TCPConn) { _ = conn.SetReadBuffer(4 << 10) }

// misbehavingPeers returns the kinds of peers by name.
func misbehavingPeers() map[string]misbehavingPeer {
	const peers = 8
	startPeers := func(pause time.Duration, next func(h *harness) []byte,
		prepare func(*net.TCPConn)) func(*harness, <-chan struct{}, *sync.WaitGroup) {
		return func(h *harness, stop <-chan struct{}, wg *sync.WaitGroup) {
			for range peers {
				h.writeUntilStopped(stop, wg, pause, func() []byte { return next(h) }, prepare)
			}
		}
	}
	largeCall := func(h *harness) []byte { return h.abandonedCallRequest(largeBody) }
	noise := bytes.Repeat([]byte("noise "), 1<<10)
	return map[string]misbehavingPeer{
		"clients that read nothing": {start: startPeers(nonReadingPause, largeCall, limitReadBuffer)},
		"a flood of requests": {start: startPeers(floodPause, func(h *harness) []byte {
			return h.abandonedCallRequest("body")
		}, discardResponses)},
		"a flood of noise": {start: startPeers(floodPause, func(*harness) []byte { return noise }, discardResponses)},
		"a stalled worker": {stalledWorker: true},
		"all of it": {stalledWorker: true, start: func(h *harness, stop <-chan struct{}, wg *sync.WaitGroup) {
			startPeers(nonReadingPause, largeCall, limitReadBuffer)(h, stop, wg)
			startPeers(floodPause, func(h *harness) []byte {
				return h.abandonedCallRequest("body")
			}, discardResponses)(h, stop, wg)
			startPeers(floodPause, func(*harness) []byte { return noise }, discardResponses)(h, stop, wg)
		}},
	}
}

// largeBody is the body of calls to which workers send a response of nearly the maximum size.
var largeBody = strings.Repeat("l", 15<<10)

// TestMisbehavingPeersDoNotAffectOthers makes calls while other clients and workers misbehave. It guards against peers
// that delay the answers to other clients, or cause more than half of the calls to fail.
func TestMisbehavingPeersDoNotAffectOthers(t *testing.T) {
	t.Parallel()
	const (
		rounds        = 3
		callsPerClass = 8
		deadline      = time.Second
	)
	for name, peer := range misbehavingPeers() {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			stop, stalled := make(chan struct{}), make(chan struct{})
			var stalling atomic.Bool
			h := startHarness(t, harnessOptions{handle: func(w *fakeplatform.Worker, r fakeplatform.Request) {
				if w.ID == "c" && stalling.Load() {
					<-stalled // blocks further reads from the connection
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
			h.makeCalls(callsPerClass) // loads the functions and opens connections
			stalling.Store(peer.stalledWorker)
			var wg sync.WaitGroup
			if peer.start != nil {
				peer.start(h, stop, &wg)
			}
			served := 0
			for range rounds {
				served += h.makeCallsWithin(callsPerClass, deadline)
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
