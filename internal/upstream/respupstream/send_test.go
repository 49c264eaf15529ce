package respupstream

import (
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/topazfront/topazfront/dispatch"
	"github.com/topazfront/topazfront/internal/fake/fakeplatform"
	"github.com/topazfront/topazfront/internal/invocation"
	"github.com/topazfront/topazfront/internal/router"
	"github.com/topazfront/topazfront/internal/testsupport"
)

// sendStep is the behavior of one call of sendmsg: it accepts some bytes or returns an error.
type sendStep struct {
	accept int // bytes to accept; a negative number means all but that many
	err    error
}

// scriptedSend has a sendFunc that follows steps. After them it writes everything, but returns EAGAIN while blocked
// returns true.
type scriptedSend struct {
	mu         sync.Mutex
	steps      []sendStep
	blocked    func() bool // nil means never
	extraCalls int         // number of calls after the steps
}

func (s *scriptedSend) send(fd int, p []byte) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.steps) > 0 {
		step := s.steps[0]
		s.steps = s.steps[1:]
		if step.err != nil {
			return -1, step.err
		}
		accept := step.accept
		if accept < 0 {
			accept += len(p)
		}
		return sendmsg(fd, p[:min(accept, len(p))])
	}
	s.extraCalls++
	if s.blocked != nil && s.blocked() {
		return -1, syscall.EAGAIN
	}
	return sendmsg(fd, p)
}

// callsAfterSteps returns the number of calls of send after the steps, blocked ones included.
func (s *scriptedSend) callsAfterSteps() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.extraCalls
}

func newSendHarness(t *testing.T, s *scriptedSend, w *fakeplatform.Worker, configure func(*Config)) *harness {
	t.Helper()
	return newHarness(t, func(c *Config) {
		c.send = s.send
		if configure != nil {
			configure(c)
		}
	}, &scriptedDispatcher{attemptWorkers: []string{"w"}}, w)
}

// TestSendFaults checks that an attempt that sendmsg does not accept whole is written again and reaches the worker
// exactly once: on the same connection after a transient error, on another one after any other error.
func TestSendFaults(t *testing.T) {
	const sameConn, otherConn = 1, 2
	for errno, dials := range map[syscall.Errno]uint64{
		syscall.EAGAIN: sameConn, syscall.EINTR: sameConn, syscall.ENOBUFS: sameConn, syscall.ENOMEM: sameConn,
		syscall.EPIPE: otherConn, syscall.ECONNRESET: otherConn, syscall.ETIMEDOUT: otherConn, syscall.EHOSTUNREACH: otherConn,
		syscall.ENETUNREACH: otherConn, syscall.ENETDOWN: otherConn, syscall.EHOSTDOWN: otherConn, syscall.EPERM: otherConn,
	} {
		for name, steps := range map[string][]sendStep{
			"first byte":        {{err: errno}},
			"after a byte":      {{accept: 1}, {err: errno}},
			"before last byte":  {{accept: 60}, {accept: -1}, {err: errno}},
			"twice, two places": {{err: errno}, {accept: 7}, {err: errno}},
		} {
			t.Run(errno.Error()+"/"+name, func(t *testing.T) {
				t.Parallel()
				want := dials
				if dials == otherConn && name == "twice, two places" {
					want++
				}
				w := &fakeplatform.Worker{ID: "w"}
				h := newSendHarness(t, &scriptedSend{steps: steps}, w, nil)
				testsupport.Await(t, h.submit(15*time.Second), "the answer")
				if ended := testsupport.Await(t, h.dispatcher.outcomes, "the outcome"); ended.Result != dispatch.OK {
					t.Errorf("%+v", ended)
				}
				if got := w.Received(); len(got) != 1 || got[0].Body != "body" {
					t.Errorf("the worker received %+v", got)
				}
				if stats := h.pool.Stats(); stats.Dials != want {
					t.Errorf("%d connections, want %d", stats.Dials, want)
				}
			})
		}
	}
}

// TestShortWrites checks that a message arrives whole if the system accepts one byte at a time.
func TestShortWrites(t *testing.T) {
	w := &fakeplatform.Worker{ID: "w"}
	steps := make([]sendStep, 1000)
	for i := range steps {
		steps[i].accept = 1
	}
	h := newSendHarness(t, &scriptedSend{steps: steps}, w, nil)
	testsupport.Await(t, h.submit(15*time.Second), "the answer")
	if got := w.Received(); len(got) != 1 || got[0].Body != "body" {
		t.Errorf("the worker received %+v", got)
	}
}

// TestAttemptEndsAfterFailedWrites checks that an attempt ends as NotSent if the writes to all connections fail,
// because it cannot have run.
func TestAttemptEndsAfterFailedWrites(t *testing.T) {
	var steps []sendStep
	for range maxFailedWrites + 1 {
		steps = append(steps, sendStep{accept: 9}, sendStep{err: syscall.ETIMEDOUT})
	}
	w := &fakeplatform.Worker{ID: "w"}
	h := newSendHarness(t, &scriptedSend{steps: steps}, w, nil)
	h.submit(15 * time.Second)
	if ended := testsupport.Await(t, h.dispatcher.outcomes, "the outcome"); ended.Result != dispatch.NotSent {
		t.Errorf("%+v", ended)
	}
	if got := w.Received(); len(got) > 0 {
		t.Errorf("the worker received %+v", got)
	}
}

// TestPartlyWrittenAttemptIsNotCompleted checks that the rest of a partly written attempt is not written after the
// attempt has ended. The connection is closed, because no other message can follow a partial one.
func TestPartlyWrittenAttemptIsNotCompleted(t *testing.T) {
	for name, test := range map[string]struct {
		remaining time.Duration
		want      dispatch.Result
		end       func(cancel func())
	}{
		"cancelled":    {15 * time.Second, dispatch.Cancelled, func(cancel func()) { cancel() }},
		"time is over": {300 * time.Millisecond, dispatch.TimedOut, func(func()) {}},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := &scriptedSend{steps: []sendStep{{accept: 5}}, blocked: func() bool { return true }}
			w := &fakeplatform.Worker{ID: "w"}
			h := newSendHarness(t, s, w, func(c *Config) { c.WriteTimeout = 0 })
			cancel, _ := h.router.Submit(&router.Call{Function: testFunction, Class: "c",
				RemainingDeadline: test.remaining,
				Client:            make(testClient, 2),
				Request:           &invocation.Request{ID: strings.Repeat("a", 16), Class: "c", Function: testFunction}})
			h.waitForStats("the attempt is not being written", func(Stats) bool { return s.callsAfterSteps() > 0 })
			test.end(func() { cancel() })
			if ended := testsupport.Await(t, h.dispatcher.outcomes, "the outcome"); ended.Result != test.want && ended.Result != dispatch.NotSent {
				t.Errorf("%+v, want result %v", ended, test.want)
			}
			h.waitForStats("the connection stays", func(s Stats) bool { return s.Conns == 0 })
			if got := w.Received(); len(got) > 0 {
				t.Errorf("the worker received %+v", got)
			}
		})
	}
}

// TestWriteTimeoutMovesAttempt checks that an attempt moves to another connection if a write is not complete in time.
func TestWriteTimeoutMovesAttempt(t *testing.T) {
	var h *harness
	s := &scriptedSend{steps: []sendStep{{accept: 5}}}
	s.blocked = func() bool { return h.pool.Stats().Dials < 2 }
	w := &fakeplatform.Worker{ID: "w"}
	h = newSendHarness(t, s, w, func(c *Config) { c.WriteTimeout = 50 * time.Millisecond })
	testsupport.Await(t, h.submit(15*time.Second), "the answer")
	if ended := testsupport.Await(t, h.dispatcher.outcomes, "the outcome"); ended.Result != dispatch.OK {
		t.Errorf("%+v", ended)
	}
}

// expectLimit checks the limit in the first message that a worker received.
func expectLimit(t *testing.T, w *fakeplatform.Worker, maxLimit time.Duration) {
	t.Helper()
	limit, err := strconv.Atoi(w.Received()[0].Fields["limit"])
	if err != nil || limit > int(maxLimit.Milliseconds()) {
		t.Errorf("limit %d, want at most %v; error %v", limit, maxLimit, err)
	}
}

// TestRemainingDeadlineAtFirstByte checks that a worker receives the deadline that remains when the first byte is
// written, if the attempt was delayed by a slow dispatcher, a slow connect, or a socket that accepts nothing.
func TestRemainingDeadlineAtFirstByte(t *testing.T) {
	const remaining, wait = 15 * time.Second, 300 * time.Millisecond
	for name, errno := range map[string]syscall.Errno{"full socket": syscall.EAGAIN, "no memory": syscall.ENOBUFS} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var start time.Time
			s := &scriptedSend{blocked: func() bool { return time.Since(start) < wait }, steps: []sendStep{{err: errno}}}
			w := &fakeplatform.Worker{ID: "w"}
			h := newSendHarness(t, s, w, nil)
			start = time.Now()
			testsupport.Await(t, h.submit(remaining), "the answer")
			expectLimit(t, w, remaining-wait)
		})
	}
	t.Run("dispatcher", func(t *testing.T) {
		t.Parallel()
		w := &fakeplatform.Worker{ID: "w"}
		h := newHarness(t, nil, &scriptedDispatcher{attemptWorkers: []string{"w"}, delay: wait}, w)
		testsupport.Await(t, h.submit(remaining), "the answer")
		expectLimit(t, w, remaining-wait)
	})
	t.Run("dial", func(t *testing.T) {
		t.Parallel()
		h := newHarness(t, nil, &scriptedDispatcher{attemptWorkers: []string{"w"}}, &fakeplatform.Worker{ID: "w"})
		h.waitForEndpoints()
		x, _ := addWaitingExchange(t, h, kindHealthCheck)
		encodedLimit := make(chan time.Duration, 1)
		h.pool.mu.Lock()
		x.writeBefore = time.Now().Add(remaining)
		x.encode = func(remaining time.Duration) []byte { encodedLimit <- remaining; return encodeHealthCheck("held") }
		h.pool.mu.Unlock()
		time.Sleep(wait)
		h.pool.dial(x.worker)
		if limit := testsupport.Await(t, encodedLimit, "the message"); limit > remaining-wait {
			t.Errorf("limit %v, want at most %v", limit, remaining-wait)
		}
	})
}

// TestUnwritableCancellationClosesConnection: a worker accepts two attempts and then no more bytes. The cancellation
// of the first attempt waits while the second is in flight. Once only cancellations are outstanding, the connection
// is closed, which cancels the attempts, too.
func TestUnwritableCancellationClosesConnection(t *testing.T) {
	s := &scriptedSend{steps: []sendStep{{accept: 1 << 10}, {accept: 1 << 10}}, blocked: func() bool { return true }}
	w := &fakeplatform.Worker{ID: "w", Handle: func(fakeplatform.Request) {}}
	h := newSendHarness(t, s, w, func(c *Config) { c.MaxConns, c.WriteTimeout = 1, 0 })
	var cancels []func()
	for _, id := range []string{"a", "b"} {
		cancel, _ := h.router.Submit(&router.Call{Function: testFunction, Class: "c", RemainingDeadline: 15 * time.Second, Client: make(testClient, 2),
			Request: &invocation.Request{ID: strings.Repeat(id, 16), Class: "c", Function: testFunction}})
		testsupport.Await(t, w.Arrivals(), "the attempt")
		cancels = append(cancels, cancel)
	}
	cancels[0]()
	h.waitForStats("the cancellation was not offered", func(Stats) bool { return s.callsAfterSteps() > 1 })
	if stats := h.pool.Stats(); stats.Conns != 1 || stats.InFlight != 1 {
		t.Errorf("with another attempt in flight: %+v", stats)
	}
	cancels[1]()
	h.waitForStats("the connection stays", func(s Stats) bool { return s.Conns == 0 })
}

// TestPostponedAttemptIsRechecked: the system accepts no byte of an attempt at first. The attempt ends or must no
// longer be sent before the system accepts bytes again, so it must not be written.
func TestPostponedAttemptIsRechecked(t *testing.T) {
	type state struct {
		h               *harness
		cancel          func()
		clientCancelled *atomic.Bool
	}
	for name, end := range map[string]func(state){
		"cancelled":   func(s state) { s.cancel() },
		"client left": func(s state) { s.clientCancelled.Store(true) },
		"worker drains": func(s state) {
			s.h.endpoints[0].State = dispatch.EndpointDraining
			s.h.router.SetEndpoints(s.h.endpoints)
		},
		"worker removed": func(s state) { s.h.router.SetEndpoints(nil) },
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var accepts, clientCancelled atomic.Bool
			script := &scriptedSend{blocked: func() bool { return !accepts.Load() }}
			w := &fakeplatform.Worker{ID: "w"}
			h := newSendHarness(t, script, w, nil)
			cancel, _ := h.router.Submit(&router.Call{Function: testFunction, Class: "c", RemainingDeadline: 15 * time.Second, Client: make(testClient, 2),
				ClientCancelled: clientCancelled.Load,
				Request:         &invocation.Request{ID: strings.Repeat("a", 16), Class: "c", Function: testFunction}})
			h.waitForStats("the attempt was not offered", func(Stats) bool { return script.callsAfterSteps() > 0 })
			end(state{h, cancel, &clientCancelled})
			ended := testsupport.Await(t, h.dispatcher.outcomes, "the outcome")
			accepts.Store(true)
			if ended.Result != dispatch.NotSent && (name != "cancelled" || ended.Result != dispatch.Cancelled) {
				t.Errorf("%+v", ended)
			}
			checked := make(chan router.HealthResult, 1)
			h.pool.CheckHealth("w", 15*time.Second, func(r router.HealthResult) { checked <- r })
			testsupport.Await(t, checked, "a health check behind it")
			for _, r := range w.Received() {
				if r.Command == "exec" {
					t.Errorf("the worker received %+v", r)
				}
			}
		})
	}
}
