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

// sendStep is what one call of sendmsg does: accept some bytes, or return an error.
type sendStep struct {
	accept int // below 0: all but so many
	err    error
}

// scriptedSend is a sendFunc that follows steps, and then writes all, or blocks while blocked returns true.
type scriptedSend struct {
	mu      sync.Mutex
	steps   []sendStep
	blocked func() bool // nil: never
	calls   int         // after the steps
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
	s.calls++
	if s.blocked != nil && s.blocked() {
		return -1, syscall.EAGAIN
	}
	return sendmsg(fd, p)
}

// blockedCalls returns how many times bytes were offered after the steps.
func (s *scriptedSend) blockedCalls() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
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

// TestSendFaults: an attempt that sendmsg does not accept whole never ran, whatever the errno, and is written whole once:
// to the same connection after a fault that passes, to another one after any other.
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
					t.Errorf("the worker got %+v", got)
				}
				if stats := h.pool.Stats(); stats.Dials != want {
					t.Errorf("%d connections, want %d", stats.Dials, want)
				}
			})
		}
	}
}

// TestShortWrites: a message of which the system accepts one byte at a time is whole.
func TestShortWrites(t *testing.T) {
	w := &fakeplatform.Worker{ID: "w"}
	steps := make([]sendStep, 1000)
	for i := range steps {
		steps[i].accept = 1
	}
	h := newSendHarness(t, &scriptedSend{steps: steps}, w, nil)
	testsupport.Await(t, h.submit(15*time.Second), "the answer")
	if got := w.Received(); len(got) != 1 || got[0].Body != "body" {
		t.Errorf("the worker got %+v", got)
	}
}

// TestWritesFailEverywhere: an attempt that no connection accepts ends, and is known not to have run.
func TestWritesFailEverywhere(t *testing.T) {
	var steps []sendStep
	for range maxRejectedWrites + 1 {
		steps = append(steps, sendStep{accept: 9}, sendStep{err: syscall.ETIMEDOUT})
	}
	w := &fakeplatform.Worker{ID: "w"}
	h := newSendHarness(t, &scriptedSend{steps: steps}, w, nil)
	h.submit(15 * time.Second)
	if ended := testsupport.Await(t, h.dispatcher.outcomes, "the outcome"); ended.Result != dispatch.NotSent {
		t.Errorf("%+v", ended)
	}
	if got := w.Received(); len(got) > 0 {
		t.Errorf("the worker got %+v", got)
	}
}

// TestPartlyWrittenAttemptIsNotCompleted: an attempt that is over when only a part of it was accepted never comes whole to the
// worker; the connection ends, as nothing else could follow on it.
func TestPartlyWrittenAttemptIsNotCompleted(t *testing.T) {
	for name, test := range map[string]struct {
		left time.Duration
		want dispatch.Result
		end  func(cancel func())
	}{
		"cancelled":    {15 * time.Second, dispatch.Cancelled, func(cancel func()) { cancel() }},
		"time is over": {300 * time.Millisecond, dispatch.TimedOut, func(func()) {}},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := &scriptedSend{steps: []sendStep{{accept: 5}}, blocked: func() bool { return true }}
			w := &fakeplatform.Worker{ID: "w"}
			h := newSendHarness(t, s, w, func(c *Config) { c.WriteTimeout = 0 })
			cancel, _ := h.router.Submit(&router.Call{Function: testFunction, Class: "c", RemainingDeadline: test.left, Client: make(testClient, 2),
				Request: &invocation.Request{ID: strings.Repeat("a", 16), Class: "c", Function: testFunction}})
			h.waitForStats("the attempt is not being written", func(Stats) bool { return s.blockedCalls() > 0 })
			test.end(func() { cancel() })
			if ended := testsupport.Await(t, h.dispatcher.outcomes, "the outcome"); ended.Result != test.want && ended.Result != dispatch.NotSent {
				t.Errorf("%+v, want result %v", ended, test.want)
			}
			h.waitForStats("the connection stays", func(s Stats) bool { return s.Conns == 0 })
			if got := w.Received(); len(got) > 0 {
				t.Errorf("the worker got %+v", got)
			}
		})
	}
}

// TestWriteTimeoutMovesAttempt: a worker that does not accept a message whole in time has not got it; another connection does.
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

// expectLimit checks the limit of the first attempt that a worker got.
func expectLimit(t *testing.T, w *fakeplatform.Worker, most time.Duration) {
	t.Helper()
	limit, err := strconv.Atoi(w.Received()[0].Fields["limit"])
	if err != nil || limit > int(most.Milliseconds()) {
		t.Errorf("limit %d, want at most %v; error %v", limit, most, err)
	}
}

// TestDeadlinePassedOnAtFirstByte: the limit that a worker gets is what is left when the first byte is written, after a
// dispatcher that takes long, a wait for a connection, or a socket that accepts nothing.
func TestDeadlinePassedOnAtFirstByte(t *testing.T) {
	const left, wait = 15 * time.Second, 300 * time.Millisecond
	for name, errno := range map[string]syscall.Errno{"full socket": syscall.EAGAIN, "no memory": syscall.ENOBUFS} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var start time.Time
			s := &scriptedSend{blocked: func() bool { return time.Since(start) < wait }, steps: []sendStep{{err: errno}}}
			w := &fakeplatform.Worker{ID: "w"}
			h := newSendHarness(t, s, w, nil)
			start = time.Now()
			testsupport.Await(t, h.submit(left), "the answer")
			expectLimit(t, w, left-wait)
		})
	}
	t.Run("dispatcher", func(t *testing.T) {
		t.Parallel()
		w := &fakeplatform.Worker{ID: "w"}
		h := newHarness(t, nil, &scriptedDispatcher{attemptWorkers: []string{"w"}, delay: wait}, w)
		testsupport.Await(t, h.submit(left), "the answer")
		expectLimit(t, w, left-wait)
	})
	t.Run("dial", func(t *testing.T) {
		t.Parallel()
		h := newHarness(t, nil, &scriptedDispatcher{attemptWorkers: []string{"w"}}, &fakeplatform.Worker{ID: "w"})
		h.waitForEndpoints()
		x, _ := queueUnwritten(t, h, kindHealthCheck)
		passedOn := make(chan time.Duration, 1)
		h.pool.mu.Lock()
		x.writeBefore = time.Now().Add(left)
		x.encode = func(left time.Duration) []byte { passedOn <- left; return encodeHealthCheck("held") }
		h.pool.mu.Unlock()
		time.Sleep(wait)
		h.pool.dial(x.worker)
		if limit := testsupport.Await(t, passedOn, "the message"); limit > left-wait {
			t.Errorf("limit %v, want at most %v", limit, left-wait)
		}
	})
}

// TestCancellationThatCannotBeWritten: a worker accepts an attempt and nothing after it. A cancellation must not wait for it
// longer than others do that are in flight: closing the connection gives the attempt up, too.
func TestCancellationThatCannotBeWritten(t *testing.T) {
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
	h.waitForStats("the cancellation was not offered", func(Stats) bool { return s.blockedCalls() > 1 })
	if stats := h.pool.Stats(); stats.Conns != 1 || stats.InFlight != 1 {
		t.Errorf("with another attempt in flight: %+v", stats)
	}
	cancels[1]()
	h.waitForStats("the connection stays", func(s Stats) bool { return s.Conns == 0 })
}

// TestPostponedAttemptIsRechecked: the system accepts no byte of an attempt for a while, and the attempt is over meanwhile.
// It does not begin once bytes are accepted again.
func TestPostponedAttemptIsRechecked(t *testing.T) {
	type state struct {
		h      *harness
		cancel func()
		left   *atomic.Bool
	}
	for name, end := range map[string]func(state){
		"cancelled":   func(s state) { s.cancel() },
		"client left": func(s state) { s.left.Store(true) },
		"worker drains": func(s state) {
			s.h.endpoints[0].State = dispatch.EndpointDraining
			s.h.router.SetEndpoints(s.h.endpoints)
		},
		"worker removed": func(s state) { s.h.router.SetEndpoints(nil) },
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var accepts, left atomic.Bool
			script := &scriptedSend{blocked: func() bool { return !accepts.Load() }}
			w := &fakeplatform.Worker{ID: "w"}
			h := newSendHarness(t, script, w, nil)
			cancel, _ := h.router.Submit(&router.Call{Function: testFunction, Class: "c", RemainingDeadline: 15 * time.Second, Client: make(testClient, 2),
				ClientCancelled: left.Load, Request: &invocation.Request{ID: strings.Repeat("a", 16), Class: "c", Function: testFunction}})
			h.waitForStats("the attempt was not offered", func(Stats) bool { return script.blockedCalls() > 0 })
			end(state{h, cancel, &left})
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
					t.Errorf("the worker got %+v", r)
				}
			}
		})
	}
}
