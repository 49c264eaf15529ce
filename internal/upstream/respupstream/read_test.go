package respupstream

import (
	"fmt"
	"strings"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"github.com/topazfront/topazfront/dispatch"
	"github.com/topazfront/topazfront/internal/endpoints"
	"github.com/topazfront/topazfront/internal/fake/fakeplatform"
	"github.com/topazfront/topazfront/internal/invocation"
	"github.com/topazfront/topazfront/internal/router"
	"github.com/topazfront/topazfront/internal/testsupport"
)

// TestConnectionEndsAtEveryByte closes the connection after each number of bytes of a response, which is written byte
// by byte. A whole response ends the attempt as OK. After a partial response the attempt ends as ConnectionReset,
// because it may have run.
func TestConnectionEndsAtEveryByte(t *testing.T) {
	const id = "0000000000000001"
	response := fakeplatform.EncodeMessage(id, "ok", "company=1", "answer")
	for size := range len(response) + 1 {
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			t.Parallel()
			w := &fakeplatform.Worker{ID: "w", Handle: func(r fakeplatform.Request) {
				for _, b := range []byte(response[:size]) {
					r.Conn.WriteRaw(string([]byte{b}))
				}
				_ = r.Conn.Close()
			}}
			h := newHarness(t, nil, &scriptedDispatcher{attemptWorkers: []string{"w"}}, w)
			h.submit(15 * time.Second)
			want := dispatch.ConnectionReset
			if size == len(response) {
				want = dispatch.OK
			}
			if ended := testsupport.Await(t, h.dispatcher.outcomes, "the outcome"); ended.Result != want {
				t.Errorf("%+v, want result %v", ended, want)
			}
		})
	}
}

// TestConnectionTimeoutMayHaveRun: the system accepts a whole attempt and later ends the connection with ETIMEDOUT,
// without a reset from the worker. The attempt must then end at once as ConnectionReset, because it may have run.
func TestConnectionTimeoutMayHaveRun(t *testing.T) {
	// The body exceeds the worker's receive buffer, but the sender's system accepts all of it.
	const receiveBuffer, bodyBytes = 4 << 10, 32 << 10
	startReading := make(chan struct{})
	addr, _ := listenWithDelayedReading(t, startReading, receiveBuffer)
	defer close(startReading)
	// The worker's kernel acknowledges the bytes that fit into its receive window. After that the sender can only
	// send window probes, which TCP_USER_TIMEOUT limits.
	const userTimeout = 100 * time.Millisecond
	send := func(fd int, p []byte) (int, error) {
		if err := syscall.SetsockoptInt(fd, syscall.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(userTimeout.Milliseconds())); err != nil {
			t.Error(err)
		}
		return sendmsg(fd, p)
	}
	h := newHarness(t, func(c *Config) { c.send = send }, &scriptedDispatcher{attemptWorkers: []string{"w"}})
	h.endpoints = []endpoints.Worker{{Endpoint: dispatch.Endpoint{ID: "w"}, Address: addr}}
	h.router.SetEndpoints(h.endpoints)
	h.router.Submit(&router.Call{Function: testFunction, Class: "c", RemainingDeadline: 30 * time.Second, Client: make(testClient, 1),
		Request: &invocation.Request{ID: strings.Repeat("a", 16), Class: "c", Function: testFunction, Body: make([]byte, bodyBytes)}})
	if ended := testsupport.Await(t, h.dispatcher.outcomes, "the outcome"); ended.Result != dispatch.ConnectionReset {
		t.Errorf("%+v", ended)
	}
}
