package httprouter

import (
	"io"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/topazfront/topazfront/internal/fake/fakeplatform"
)

const (
	faultyClients  = 10
	firstFaultyID  = 1 << 20 // first request ID of the faulty clients
	callsPerClass  = 25
	actionInterval = 10 * time.Millisecond // between two actions of any client
)

// isolatedFaults are faults of one worker, or of some clients, that must not affect other clients.
var isolatedFaults = map[string]struct {
	worker    func(r fakeplatform.Request) // handles the messages to one of three workers; nil: it is healthy
	client    func(conn net.Conn, id int)  // action that faulty clients repeat; nil: there are none
	deadline  time.Duration                // of the other clients' calls
	allServed bool                         // all of those calls must be served; false: each gets an answer
}{
	"a worker that hangs": {worker: func(fakeplatform.Request) {}, deadline: time.Second},
	"a worker that stalls within its responses": {
		worker:   func(r fakeplatform.Request) { r.Conn.WriteRaw("*4\r\n$16\r\n" + r.ID[:1]) },
		deadline: time.Second,
	},
	"clients that read nothing": {
		client:   func(conn net.Conn, id int) { _, _ = io.WriteString(conn, callRequestWithKey(id, "safe", time.Second)) },
		deadline: 8 * time.Second, allServed: true,
	},
	"a flood of malformed requests": {
		client:   func(conn net.Conn, _ int) { _, _ = io.WriteString(conn, "POST call\r\n\r\n") },
		deadline: 8 * time.Second, allServed: true,
	},
	"a flood of requests behind each other": {
		client: func(conn net.Conn, _ int) {
			_, _ = io.WriteString(conn, strings.Repeat("GET /ping HTTP/1.1\r\n\r\n", 100))
		},
		deadline: 8 * time.Second, allServed: true,
	},
}

// TestFaultsDoNotAffectOtherCalls causes each of isolatedFaults while other clients make calls. It guards against a
// hanging worker or a faulty client that delays the answers to the other clients beyond their deadlines, or breaks an
// invariant.
func TestFaultsDoNotAffectOtherCalls(t *testing.T) {
	for name, test := range isolatedFaults {
		t.Run(name, func(t *testing.T) {
			stalls := startStallMeter(t)
			h := newHarness(t, nil)
			if test.worker != nil {
				h.workers[0].Handle = test.worker
			}
			stop := make(chan struct{})
			var faulty, others sync.WaitGroup
			defer faulty.Wait()
			defer close(stop)
			if test.client != nil {
				for i := range faultyClients {
					faulty.Go(func() { h.runFaultyClient(test.client, firstFaultyID*(i+1), stop) })
				}
			}
			for i, class := range []string{"safe", "keyed", "unsafe"} {
				others.Go(func() {
					for n := range callsPerClass {
						time.Sleep(actionInterval)
						sentAt := time.Now()
						status, text := h.client.Call(hexID(100*(i+1)+n), class, hexID(n%5+1), test.deadline)
						took := time.Since(sentAt)
						if status == 0 || test.allServed && status != 200 ||
							took > test.deadline+allowedLateness+stalls.slack() {
							t.Errorf("%s call %d: status %d after %v (%s)", class, n, status, took, text)
						}
					}
				})
			}
			others.Wait()
			h.requireInvariants()
		})
	}
}

// runFaultyClient repeats an action until stop is closed, ten times on each connection.
func (h *harness) runFaultyClient(action func(net.Conn, int), firstID int, stop <-chan struct{}) {
	for id := firstID; ; {
		conn, err := net.Dial("tcp", h.server.httpServer.Addr())
		if err != nil {
			h.t.Error(err)
			return
		}
		_ = conn.SetWriteDeadline(time.Now().Add(time.Second))
		for range 10 {
			action(conn, id)
			id++
			select {
			case <-stop:
				_ = conn.Close()
				return
			case <-time.After(actionInterval):
			}
		}
		_ = conn.Close()
	}
}
