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
	faultyClients = 10
	firstFaultyID = 1 << 20 // of the faulty clients' requests
	callsPerClass = 25
	actInterval   = 10 * time.Millisecond // between two acts of a client, faulty or not
)

// faultsBesideOthers are faults of a worker or of clients that others must not notice.
var faultsBesideOthers = map[string]struct {
	worker   func(r fakeplatform.Request) // how one of three workers handles messages; nil: as a healthy one
	client   func(conn net.Conn, id int)  // what faulty clients do again and again; nil: there are none
	deadline time.Duration                // of the others' calls
	served   bool                         // all of the others' calls are served; else each has an answer
}{
	"a worker that hangs": {worker: func(fakeplatform.Request) {}, deadline: time.Second},
	"a worker that stalls within its responses": {
		worker:   func(r fakeplatform.Request) { r.Conn.WriteRaw("*4\r\n$16\r\n" + r.ID[:1]) },
		deadline: time.Second,
	},
	"clients that read nothing": {
		client:   func(conn net.Conn, id int) { _, _ = io.WriteString(conn, callRequestWithKey(id, "safe", time.Second)) },
		deadline: 8 * time.Second, served: true,
	},
	"a flood of malformed requests": {
		client:   func(conn net.Conn, _ int) { _, _ = io.WriteString(conn, "POST call\r\n\r\n") },
		deadline: 8 * time.Second, served: true,
	},
	"a flood of requests behind each other": {
		client: func(conn net.Conn, _ int) {
			_, _ = io.WriteString(conn, strings.Repeat("GET /ping HTTP/1.1\r\n\r\n", 100))
		},
		deadline: 8 * time.Second, served: true,
	},
}

// TestFaultsBesideOthers plays each of faultsBesideOthers beside usual clients: each of their calls has its final answer
// in its own time, and the rules hold.
func TestFaultsBesideOthers(t *testing.T) {
	for name, test := range faultsBesideOthers {
		t.Run(name, func(t *testing.T) {
			stalls := startStallMeter(t)
			h := newHarness(t, nil)
			if test.worker != nil {
				h.workers[0].Handle = test.worker
			}
			stop := make(chan struct{})
			var faulty, usual sync.WaitGroup
			defer faulty.Wait()
			defer close(stop)
			if test.client != nil {
				for i := range faultyClients {
					faulty.Go(func() { h.runFaultyClient(test.client, firstFaultyID*(i+1), stop) })
				}
			}
			for i, class := range []string{"safe", "keyed", "unsafe"} {
				usual.Go(func() {
					for n := range callsPerClass {
						time.Sleep(actInterval)
						sentAt := time.Now()
						status, text := h.client.Call(hexID(100*(i+1)+n), class, hexID(n%5+1), test.deadline)
						took := time.Since(sentAt)
						if status == 0 || test.served && status != 200 || took > test.deadline+acceptedLateness+stalls.slack() {
							t.Errorf("%s call %d: status %d after %v (%s)", class, n, status, took, text)
						}
					}
				})
			}
			usual.Wait()
			h.requireInvariants()
		})
	}
}

// runFaultyClient acts until stop is closed, ten times over each connection.
func (h *harness) runFaultyClient(act func(net.Conn, int), firstID int, stop <-chan struct{}) {
	for id := firstID; ; {
		conn, err := net.Dial("tcp", h.server.httpServer.Addr())
		if err != nil {
			h.t.Error(err)
			return
		}
		_ = conn.SetWriteDeadline(time.Now().Add(time.Second))
		for range 10 {
			act(conn, id)
			id++
			select {
			case <-stop:
				_ = conn.Close()
				return
			case <-time.After(actInterval):
			}
		}
		_ = conn.Close()
	}
}
