package respupstream

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/cloudwego/netpoll"

	"github.com/topazfront/topazfront/dispatch"
	"github.com/topazfront/topazfront/internal/endpoints"
	"github.com/topazfront/topazfront/internal/fake/fakeplatform"
	"github.com/topazfront/topazfront/internal/invocation"
	"github.com/topazfront/topazfront/internal/router"
)

// script is a decider that sends each request to the workers of a list, one after another, and notes what comes.
type script struct {
	to       []string
	outcomes chan dispatch.AttemptEnded
	loaded   chan dispatch.FunctionLoaded
	probed   chan dispatch.HealthChecked
	order    string // a worker that is ordered to load with each request
	probe    string // and one that is probed

	mu    sync.Mutex
	tries map[dispatch.RequestID]int
}

func (s *script) Step(_ time.Duration, events []dispatch.Event) (out []dispatch.Action) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, e := range events {
		switch e := e.(type) {
		case dispatch.Request:
			out = append(out, dispatch.StartAttempt{ID: e.ID, Worker: s.to[0]})
			if s.order != "" {
				out = append(out, dispatch.LoadFunction{Worker: s.order, Function: e.Function, Copies: 2})
			}
			if s.probe != "" {
				out = append(out, dispatch.CheckHealth{Worker: s.probe})
			}
		case dispatch.AttemptEnded:
			s.outcomes <- e
			s.tries[e.ID]++
			if n := s.tries[e.ID]; !e.Final && n < len(s.to) {
				out = append(out, dispatch.StartAttempt{ID: e.ID, Worker: s.to[n]})
			} else if !e.Final {
				out = append(out, dispatch.FailRequest{ID: e.ID})
			}
		case dispatch.RequestCancelled:
			out = append(out, dispatch.CancelAttempt{ID: e.ID})
		case dispatch.FunctionLoaded:
			s.loaded <- e
		case dispatch.HealthChecked:
			s.probed <- e
		}
	}
	return out
}

type client chan router.FinalAnswer

func (c client) Start(any)                         {}
func (c client) Message(p []byte, _ func(int)) int { return len(p) }
func (c client) Finish(f router.FinalAnswer)       { c <- f }

const fn = "7f3a9c21e0b4d655"

type stage struct {
	t    *testing.T
	s    *script
	p    *Pool
	r    *router.Router
	list []endpoints.Worker
	n    int
}

func newStage(t *testing.T, change func(*Config), s *script, workers ...*fakeplatform.Worker) *stage {
	t.Helper()
	s.outcomes, s.loaded, s.probed = make(chan dispatch.AttemptEnded, 64), make(chan dispatch.FunctionLoaded, 64), make(chan dispatch.HealthChecked, 64)
	s.tries = map[dispatch.RequestID]int{}
	cfg := Config{ConnectTimeout: 10 * time.Second, WriteTimeout: 10 * time.Second, StallAfter: 10 * time.Second, MaxConns: 8,
		MaxOpen: 32, MaxAnswer: 1 << 12, Buffer: 32 << 10}
	if change != nil {
		change(&cfg)
	}
	st := &stage{t: t, s: s, p: New(cfg)}
	var err error
	st.r, err = router.New(router.Config{Name: "r", LoadTimeout: 20 * time.Second, HealthCheckTimeout: 20 * time.Second,
		NewDispatcher: func(dispatch.Settings, uint64) (router.Dispatcher, error) { return s, nil }}, st.p)
	if err != nil {
		t.Fatal(err)
	}
	st.p.Attach(st.r)
	for _, w := range workers {
		if err := w.Start("127.0.0.1:0"); err != nil {
			t.Fatal(err)
		}
		st.list = append(st.list, endpoints.Worker{Endpoint: dispatch.Endpoint{ID: w.ID}, Address: w.Addr()})
		t.Cleanup(w.Stop)
	}
	st.r.SetEndpoints(st.list)
	t.Cleanup(func() { st.r.Kill(); st.p.Close() })
	return st
}

// settle returns once the loop has followed the list: a second question is answered by a later turn than the first.
func (st *stage) settle() {
	st.r.Stats()
	st.r.Stats()
}

// call submits a request.
func (st *stage) call(left time.Duration) client {
	c := make(client, 2)
	st.n++
	st.r.Submit(&router.Call{Function: fn, Class: "c", RemainingDeadline: left, Client: c,
		Request: &invocation.Request{ID: fmt.Sprintf("%016x", st.n), Class: "c", Function: fn, IdempotencyKey: "k1", Body: []byte("body")}})
	return c
}

func say(items ...string) func(fakeplatform.Request) {
	return func(r fakeplatform.Request) {
		if r.Verb == "exec" {
			r.Conn.Say(append([]string{r.ID}, items...)...)
		}
	}
}

func raw(s string) func(fakeplatform.Request) { return func(r fakeplatform.Request) { r.Conn.Raw(s) } }

// TestEvidence runs through the table of evidence.go at sockets: what a worker does, and what the router is told.
func TestEvidence(t *testing.T) {
	for name, c := range map[string]struct {
		act    func(fakeplatform.Request)
		result dispatch.Result
	}{
		"ok":                      {say("ok", "-", "answer"), dispatch.OK},
		"ok with a report":        {say("ok", "company=3,meter=inflight:7;util:0.61", "answer"), dispatch.OK},
		"nothing":                 {say("nothing", "-", ""), dispatch.NotResident},
		"refused":                 {say("refused", "-", ""), dispatch.Rejected},
		"error":                   {say("error", "-", ""), dispatch.Errored},
		"stale":                   {say("stale", "-", ""), dispatch.NotSent},
		"closed":                  {func(r fakeplatform.Request) { _ = r.Conn.Close() }, dispatch.ConnectionReset},
		"noise":                   {raw("\x00\x01noise\r\n"), dispatch.ConnectionReset},
		"a line without end":      {raw("*" + strings.Repeat("1", 64)), dispatch.ConnectionReset},
		"3 GB announced":          {raw("*4\r\n$16\r\n0000000000000001\r\n$2\r\nok\r\n$1\r\n-\r\n$3221225472\r\nx"), dispatch.ConnectionReset},
		"an unknown word":         {say("fine", "-", "answer"), dispatch.ConnectionReset},
		"a word of other answers": {say("yes", "-", ""), dispatch.ConnectionReset},
		"too few items":           {say("ok", "-"), dispatch.ConnectionReset},
		"fields that are none":    {say("ok", "company", "answer"), dispatch.ConnectionReset},
		"a figure that is none":   {say("ok", "company=NaN", "answer"), dispatch.ConnectionReset},
		"a negative figure":       {say("ok", "meter=inflight:-1", "answer"), dispatch.ConnectionReset},
		"a body too short": {func(r fakeplatform.Request) {
			r.Conn.Raw("*4\r\n$16\r\n" + r.ID + "\r\n$2\r\nok\r\n$1\r\n-\r\n$9\r\nanswer\r\n*4\r\n")
		}, dispatch.ConnectionReset},
		"an unknown id ahead": {func(r fakeplatform.Request) {
			r.Conn.Say("ffffffffffffffff", "ok", "-", "another's")
			r.Conn.Say(r.ID, "ok", "-", "answer")
		}, dispatch.OK},
		"a second copy": {func(r fakeplatform.Request) {
			r.Conn.Raw(strings.Repeat(fakeplatform.Message(r.ID, "ok", "-", "answer"), 2))
		}, dispatch.OK},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			st := newStage(t, nil, &script{to: []string{"w"}}, &fakeplatform.Worker{ID: "w", Act: c.act})
			cl := st.call(15 * time.Second)
			o := fakeplatform.Await(t, st.s.outcomes, "the outcome")
			if o.Result != c.result || o.Final != (c.result == dispatch.OK) {
				t.Errorf("outcome %+v, want result %v", o, c.result)
			}
			if name == "ok with a report" && (o.FunctionInFlight != 3 || o.LoadReport.InFlight != 7) {
				t.Errorf("report %+v", o)
			}
			f := fakeplatform.Await(t, cl, "the final answer")
			if c.result == dispatch.OK && string(f.Attempt.Body) != "answer" {
				t.Errorf("the client got %q", f.Attempt.Body)
			}
		})
	}
}

func TestRefusedConnectionProvesThatNothingRan(t *testing.T) {
	w := &fakeplatform.Worker{ID: "w"}
	st := newStage(t, nil, &script{to: []string{"w"}}, w)
	w.Stop()
	st.call(15 * time.Second)
	if o := fakeplatform.Await(t, st.s.outcomes, "the outcome"); o.Result != dispatch.ConnectFailed {
		t.Errorf("%+v", o)
	}
}

// TestWhatPassesOn: id, class, key and body unchanged, and the time that is left.
func TestWhatPassesOn(t *testing.T) {
	w := &fakeplatform.Worker{ID: "w"}
	st := newStage(t, nil, &script{to: []string{"w"}}, w)
	fakeplatform.Await(t, st.call(15*time.Second), "the answer")
	r := w.Got()[0]
	if r.Verb != "exec" || r.ID != "0000000000000001" || r.Body != "body" || r.Fields["cls"] != "c" || r.Fields["item"] != fn || r.Fields["nonce"] != "k1" {
		t.Errorf("%+v", r)
	}
	if l := r.Fields["limit"]; len(l) != 5 || l > "15000" {
		t.Errorf("limit %s", l)
	}
}

// TestOneBrokenAnswerEndsAllOnItsConnection: the others on it may have run, too.
func TestOneBrokenAnswerEndsAllOnItsConnection(t *testing.T) {
	var mu sync.Mutex
	n := 0
	w := &fakeplatform.Worker{ID: "w", Act: func(r fakeplatform.Request) {
		mu.Lock()
		defer mu.Unlock()
		if n++; n == 3 {
			r.Conn.Raw("noise\r\n")
		}
	}}
	st := newStage(t, func(c *Config) { c.MaxConns = 1 }, &script{to: []string{"w"}}, w)
	for range 3 {
		st.call(15 * time.Second)
	}
	for range 3 {
		if o := fakeplatform.Await(t, st.s.outcomes, "the outcome"); o.Result != dispatch.ConnectionReset {
			t.Errorf("%+v", o)
		}
	}
}

// TestAnswerIsNeverAnotherAttempts: a second try of the same id at the same worker goes over another connection, so
// that a late answer to the first, or a second copy of it, is not taken for the second's.
func TestAnswerIsNeverAnotherAttempts(t *testing.T) {
	var mu sync.Mutex
	var conns []*fakeplatform.Conn
	w := &fakeplatform.Worker{ID: "w", Act: func(r fakeplatform.Request) {
		if r.Verb != "exec" {
			return
		}
		mu.Lock()
		defer mu.Unlock()
		if conns = append(conns, r.Conn); len(conns) == 1 {
			r.Conn.Say(r.ID, "nothing", "-", "")
			return
		}
		conns[0].Say(r.ID, "ok", "-", "late")
		conns[1].Say(r.ID, "ok", "-", "its own")
	}}
	st := newStage(t, nil, &script{to: []string{"w", "w"}}, w)
	f := fakeplatform.Await(t, st.call(15*time.Second), "the answer")
	mu.Lock()
	defer mu.Unlock()
	if string(f.Attempt.Body) != "its own" || conns[0] == conns[1] {
		t.Errorf("answer %q, same connection %v", f.Attempt.Body, conns[0] == conns[1])
	}
}

// TestGivenUp: what was written is dropped, and its answer, come late, is no other request's.
func TestGivenUp(t *testing.T) {
	dropped := make(chan fakeplatform.Request, 1)
	var mu sync.Mutex
	var first fakeplatform.Request
	w := &fakeplatform.Worker{ID: "w"}
	w.Act = func(r fakeplatform.Request) {
		mu.Lock()
		defer mu.Unlock()
		switch {
		case r.Verb == "drop":
			first.Conn.Say(first.ID, "ok", "-", "late")
			dropped <- r
		case first.ID == "":
			first = r
		default:
			r.Conn.Say(r.ID, "ok", "-", "second")
		}
	}
	st := newStage(t, func(c *Config) { c.MaxConns = 1 }, &script{to: []string{"w"}}, w)
	c := make(client, 1)
	drop, _ := st.r.Submit(&router.Call{Function: fn, Class: "c", RemainingDeadline: 15 * time.Second, Client: c,
		Request: &invocation.Request{ID: strings.Repeat("a", 16), Class: "c", Function: fn}})
	fakeplatform.Await(t, w.Came(), "the attempt")
	drop()
	if o := fakeplatform.Await(t, st.s.outcomes, "the outcome"); o.Result != dispatch.Cancelled {
		t.Errorf("%+v", o)
	}
	if r := fakeplatform.Await(t, dropped, "the drop"); r.ID != strings.Repeat("a", 16) {
		t.Errorf("dropped %q", r.ID)
	}
	if f := fakeplatform.Await(t, st.call(15*time.Second), "the second's answer"); string(f.Attempt.Body) != "second" {
		t.Errorf("%q", f.Attempt.Body)
	}
}

// hold puts an exchange on its way that can't be written yet: its worker's one connection is still being opened.
func hold(t *testing.T, st *stage, kind kind) (x *exchange, ended chan dispatch.Result) {
	t.Helper()
	ended = make(chan dispatch.Result, 1)
	x = &exchange{p: st.p, kind: kind, id: "held", until: time.Now().Add(15 * time.Second),
		form: func(time.Duration) []byte { return loadOf("held") },
		done: func(r dispatch.Result, _ *answer) { ended <- r }}
	st.p.mu.Lock()
	defer st.p.mu.Unlock()
	w := st.p.workers["w"]
	x.w = w
	w.dialing++ // stands for a connect that hangs
	st.p.dialing++
	w.waiting = append(w.waiting, x)
	return x, ended
}

// TestASendIsCheckedWhenItIsWritten: while a connect hung its worker began to drain, left, was replaced at its
// address or under its id, or the time ran out. Nothing is written then, and that is told as proof.
func TestASendIsCheckedWhenItIsWritten(t *testing.T) {
	for name, change := range map[string]func(st *stage, x *exchange){
		"drains":               func(st *stage, _ *exchange) { st.list[0].State = dispatch.EndpointDraining },
		"left":                 func(st *stage, _ *exchange) { st.list = nil },
		"new process":          func(st *stage, _ *exchange) { st.list[0].StartedAt = time.Hour },
		"new one, old address": func(st *stage, _ *exchange) { st.list[0].ID = "other" },
		"time ran out": func(st *stage, x *exchange) {
			st.p.mu.Lock()
			x.until = time.Now()
			st.p.mu.Unlock()
		},
		"the client left": func(st *stage, x *exchange) {
			st.p.mu.Lock()
			x.call = &router.Call{ClientLeft: func() bool { return true }}
			st.p.mu.Unlock()
		},
	} {
		for _, k := range []kind{exec, order} {
			t.Run(fmt.Sprint(name, " ", k), func(t *testing.T) {
				t.Parallel()
				w := &fakeplatform.Worker{ID: "w"}
				st := newStage(t, nil, &script{to: []string{"w"}}, w)
				st.settle()
				x, ended := hold(t, st, k)
				change(st, x)
				st.r.SetEndpoints(st.list)
				st.settle()
				st.p.dial(x.w) // the connect comes up
				if res := fakeplatform.Await(t, ended, "the end"); res != dispatch.NotSent {
					t.Errorf("result %v", res)
				}
				if got := w.Got(); len(got) > 0 {
					t.Errorf("the worker got %v", got)
				}
			})
		}
	}
}

// TestNoFurtherAttemptForAClientThatLeft: the client leaves while the first attempt is out, and the router has not got to
// hear of it when that one ends. The further attempt that follows is not written.
func TestNoFurtherAttemptForAClientThatLeft(t *testing.T) {
	var left atomic.Bool
	first := &fakeplatform.Worker{ID: "w", Act: func(r fakeplatform.Request) {
		left.Store(true)
		r.Conn.Say(r.ID, "error", "-", "")
	}}
	second := &fakeplatform.Worker{ID: "x"}
	st := newStage(t, nil, &script{to: []string{"w", "x"}}, first, second)
	c := make(client, 1)
	st.r.Submit(&router.Call{Function: fn, Class: "c", RemainingDeadline: 15 * time.Second, Client: c, ClientLeft: left.Load,
		Request: &invocation.Request{ID: strings.Repeat("a", 16), Class: "c", Function: fn}})
	for _, want := range []dispatch.Result{dispatch.Errored, dispatch.NotSent} {
		if o := fakeplatform.Await(t, st.s.outcomes, "an outcome"); o.Result != want {
			t.Errorf("%+v, want result %v", o, want)
		}
	}
	fakeplatform.Await(t, c, "the final answer")
	if got := second.Got(); len(got) > 0 {
		t.Errorf("the second worker got %v", got)
	}
}

// TestWhatWaitedIsWrittenWhereNothingChanged is the mutation of the test above: it can fail.
func TestWhatWaitedIsWrittenWhereNothingChanged(t *testing.T) {
	w := &fakeplatform.Worker{ID: "w"}
	st := newStage(t, nil, &script{to: []string{"w"}}, w)
	st.settle()
	x, _ := hold(t, st, probe)
	st.p.dial(x.w)
	fakeplatform.Await(t, w.Came(), "what waited")
}

// TestASendBehindABlockedWriteIsCheckedAgain: a worker does not read, so that one request fills the socket and another
// waits behind it. By the time that the socket takes bytes again the worker drains, or the second's client has left: only
// the first is written.
func TestASendBehindABlockedWriteIsCheckedAgain(t *testing.T) {
	t.Run("drains", func(t *testing.T) { blockedWrite(t, false) })
	t.Run("the client left", func(t *testing.T) { blockedWrite(t, true) })
}

func blockedWrite(t *testing.T, leaves bool) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = ln.Close() }()
	read, got := make(chan struct{}), make(chan string, 8)
	go func() {
		nc, err := ln.Accept()
		if err != nil {
			return
		}
		defer func() { _ = nc.Close() }()
		<-read
		for in := bufio.NewReader(nc); ; {
			m, err := fakeplatform.ReadMessage(in)
			if err != nil {
				return
			}
			got <- m[1]
			_, _ = io.WriteString(nc, fakeplatform.Message(m[1], "ok", "-", "answer"))
		}
	}()
	st := newStage(t, func(c *Config) { c.MaxConns = 1 }, &script{to: []string{"w"}})
	st.list = []endpoints.Worker{{Endpoint: dispatch.Endpoint{ID: "w"}, Address: ln.Addr().String()}}
	st.r.SetEndpoints(st.list)
	until := func(what string, ok func(Stats) bool) {
		t.Helper()
		for range 4000 {
			if ok(st.p.Stats()) {
				return
			}
			time.Sleep(5 * time.Millisecond)
		}
		t.Fatalf("%s: %+v", what, st.p.Stats())
	}
	big := make(client, 1)
	st.r.Submit(&router.Call{Function: fn, Class: "c", RemainingDeadline: 30 * time.Second, Client: big,
		Request: &invocation.Request{ID: strings.Repeat("a", 16), Class: "c", Function: fn, Body: make([]byte, 32<<20)}})
	until("the first is being written", func(s Stats) bool { return s.Written == 1 })
	var left atomic.Bool
	small := make(client, 1)
	st.r.Submit(&router.Call{Function: fn, Class: "c", RemainingDeadline: 30 * time.Second, Client: small, ClientLeft: left.Load,
		Request: &invocation.Request{ID: strings.Repeat("b", 16), Class: "c", Function: fn}})
	until("the second waits", func(s Stats) bool { return s.Waiting == 1 })
	if leaves {
		left.Store(true)
	} else {
		st.list[0].State = dispatch.EndpointDraining
		st.r.SetEndpoints(st.list)
		st.settle()
	}
	close(read)
	if f := fakeplatform.Await(t, big, "the first's answer"); string(f.Attempt.Body) != "answer" {
		t.Errorf("%+v", f)
	}
	fakeplatform.Await(t, small, "the second's final answer")
	for range 2 {
		if o := fakeplatform.Await(t, st.s.outcomes, "an outcome"); o.Result != dispatch.OK && o.Result != dispatch.NotSent {
			t.Errorf("%+v", o)
		}
	}
	if id := fakeplatform.Await(t, got, "the first"); id != strings.Repeat("a", 16) || len(got) > 0 {
		t.Errorf("the worker got %s and %d more", id, len(got))
	}
}

// full is a listener whose queue of connections is full, so that further connects hang until room is made.
func full(t *testing.T) (addr string, room func() net.Listener) {
	t.Helper()
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	if err != nil {
		t.Fatal(err)
	}
	if err := syscall.Bind(fd, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}); err != nil {
		t.Fatal(err)
	}
	if err := syscall.Listen(fd, 0); err != nil {
		t.Fatal(err)
	}
	file := os.NewFile(uintptr(fd), "listener")
	ln, err := net.FileListener(file)
	if err != nil {
		t.Fatal(err)
	}
	_ = file.Close()
	t.Cleanup(func() { _ = ln.Close() })
	var fill []net.Conn
	for {
		nc, err := net.DialTimeout("tcp", ln.Addr().String(), 200*time.Millisecond)
		if err != nil {
			break
		}
		if fill = append(fill, nc); len(fill) > 64 {
			t.Skip("this system takes connections beyond a full queue")
		}
	}
	return ln.Addr().String(), func() net.Listener {
		for _, nc := range fill {
			_ = nc.Close()
			got, err := ln.Accept()
			if err != nil {
				t.Fatal(err)
			}
			_ = got.Close()
		}
		return ln
	}
}

// TestAConnectionThatNeverComesUp: the time-out proves that nothing ran, and the worker never gets the request.
func TestAConnectionThatNeverComesUp(t *testing.T) {
	addr, _ := full(t)
	st := newStage(t, func(c *Config) { c.ConnectTimeout = 50 * time.Millisecond }, &script{to: []string{"w"}})
	st.list = []endpoints.Worker{{Endpoint: dispatch.Endpoint{ID: "w"}, Address: addr}}
	st.r.SetEndpoints(st.list)
	st.call(20 * time.Second)
	if o := fakeplatform.Await(t, st.s.outcomes, "the outcome"); o.Result != dispatch.ConnectFailed {
		t.Errorf("%+v", o)
	}
	if s := st.p.Stats(); s.Written != 0 || s.Conns != 0 {
		t.Errorf("%+v", s)
	}
}

// TestAConnectionThatComesUpLate: the request that waited for it is written, and answered.
func TestAConnectionThatComesUpLate(t *testing.T) {
	addr, room := full(t)
	st := newStage(t, nil, &script{to: []string{"w"}})
	st.list = []endpoints.Worker{{Endpoint: dispatch.Endpoint{ID: "w"}, Address: addr}}
	st.r.SetEndpoints(st.list)
	c := st.call(20 * time.Second)
	for range 4000 {
		if st.p.Stats().Dials == 1 {
			break
		}
		time.Sleep(5 * time.Millisecond)
	}
	ln := room()
	go func() {
		for {
			nc, err := ln.Accept()
			if err != nil {
				return
			}
			go func() {
				for in := bufio.NewReader(nc); ; {
					m, err := fakeplatform.ReadMessage(in)
					if err != nil {
						return
					}
					_, _ = io.WriteString(nc, fakeplatform.Message(m[1], "ok", "-", "late but whole"))
				}
			}()
		}
	}()
	if f := fakeplatform.Await(t, c, "the answer"); f.Attempt == nil || string(f.Attempt.Body) != "late but whole" {
		t.Errorf("%+v", f)
	}
}

// TestConnectionThatFellSilentWithinAnAnswer: it is ended, and what is open on it may have run.
func TestConnectionThatFellSilentWithinAnAnswer(t *testing.T) {
	w := &fakeplatform.Worker{ID: "w", Act: raw("*4\r\n$16\r\n")}
	st := newStage(t, func(c *Config) { c.StallAfter = 50 * time.Millisecond }, &script{to: []string{"w"}}, w)
	st.call(15 * time.Second)
	if o := fakeplatform.Await(t, st.s.outcomes, "the outcome"); o.Result != dispatch.ConnectionReset {
		t.Errorf("%+v", o)
	}
}

// TestResetWhileIdleIsNoHarm: a request that finds its connection reset before a byte was taken goes over another.
func TestResetWhileIdleIsNoHarm(t *testing.T) {
	w := &fakeplatform.Worker{ID: "w"}
	st := newStage(t, nil, &script{to: []string{"w"}}, w)
	fakeplatform.Await(t, st.call(15*time.Second), "the first answer")
	fakeplatform.Await(t, st.s.outcomes, "its outcome")
	for _, r := range w.Got() {
		_ = r.Conn.Close()
	}
	for range 20 {
		f := fakeplatform.Await(t, st.call(15*time.Second), "an answer")
		if o := fakeplatform.Await(t, st.s.outcomes, "the outcome"); o.Result == dispatch.OK && string(f.Attempt.Body) == "done body" {
			return
		}
	}
	t.Error("no answer after a reset")
}

func TestOrdersAndProbes(t *testing.T) {
	w := &fakeplatform.Worker{ID: "w"}
	st := newStage(t, nil, &script{to: []string{"w"}, order: "w", probe: "w"}, w)
	fakeplatform.Await(t, st.call(15*time.Second), "the answer")
	if o := fakeplatform.Await(t, st.s.loaded, "the order's end"); o.Result != dispatch.OK || o.Copies != 2 || o.Function != fn {
		t.Errorf("%+v", o)
	}
	if o := fakeplatform.Await(t, st.s.probed, "the probe's end"); o.Result != dispatch.OK || o.LoadReport.InFlight != 1 {
		t.Errorf("%+v", o)
	}
	for _, r := range w.Got() {
		if r.Verb == "ensure" && (r.Fields["item"] != fn || r.Fields["slots_up"] != "2") {
			t.Errorf("%+v", r)
		}
	}
}

// TestBounds: connections to all workers stay within the bound, idle ones end, and the ids remembered are let go.
func TestBounds(t *testing.T) {
	release := make(chan struct{})
	w := &fakeplatform.Worker{ID: "w"}
	w.Act = func(r fakeplatform.Request) {
		go func() {
			<-release
			r.Conn.Say(r.ID, "ok", "-", "")
		}()
	}
	st := newStage(t, func(c *Config) { c.MaxConns, c.MaxOpen, c.IdleClose = 3, 100, 50*time.Millisecond }, &script{to: []string{"w"}}, w)
	for range 40 {
		st.call(15 * time.Second)
	}
	for range 40 {
		fakeplatform.Await(t, w.Came(), "an attempt")
	}
	if s := st.p.Stats(); s.Conns > 3 || s.Open != 40 {
		t.Errorf("%+v", s)
	}
	close(release)
	for range 40 {
		fakeplatform.Await(t, st.s.outcomes, "an outcome")
	}
	for range 2000 {
		if st.p.Stats().Conns == 0 && w.Conns() == 0 {
			return
		}
		time.Sleep(5 * time.Millisecond)
	}
	t.Errorf("idle connections stay: %+v", st.p.Stats())
}

func TestUsedIdsAreLetGo(t *testing.T) {
	c := &conn{open: map[string]*exchange{"open": {}}, used: map[string]int64{"old": 1, "open": 1, "new": 1 << 40}, w: &worker{}}
	c.forget(time.Now())
	if len(c.used) != 2 || c.used["old"] != 0 {
		t.Errorf("%v", c.used)
	}
	for i := range maxUsed {
		c.used[fmt.Sprint(i)] = 1 << 40
	}
	if c.forget(time.Now()); !c.retired {
		t.Error("a connection that remembers too much takes more")
	}
}

// FuzzAnswer: no answer panics the reader of its words.
func FuzzAnswer(f *testing.F) {
	f.Add("id", "ok", "company=1,meter=inflight:7;util:0.61", "body")
	f.Add("id", "refused", "-", "")
	f.Fuzz(func(t *testing.T, id, word, fields, body string) {
		a, err := readAnswer([][]byte{[]byte(id), []byte(word), []byte(fields), []byte(body)})
		if err == nil && (a.id != id || words[a.word] == nil || a.report.FunctionInFlight < -1) {
			t.Fatalf("%+v", a)
		}
	})
}

// TestWantOfDescriptorsIsNoWordOnAWorker: a connect that fails at this end must not raise a doubt of the worker.
func TestWantOfDescriptorsIsNoWordOnAWorker(t *testing.T) {
	for err, want := range map[error]bool{
		&net.OpError{Op: "dial", Err: os.NewSyscallError("socket", syscall.EMFILE)}:         true,
		&net.OpError{Op: "dial", Err: os.NewSyscallError("connect", syscall.EADDRNOTAVAIL)}: true,
		netpoll.Exception(syscall.EMFILE, "when dial"):                                      true,
		&net.OpError{Op: "dial", Err: os.NewSyscallError("connect", syscall.ECONNREFUSED)}:  false,
		netpoll.Exception(netpoll.ErrDialTimeout, "when dial"):                              false,
	} {
		if ours(err) != want {
			t.Errorf("%v: %v, want %v", err, ours(err), want)
		}
	}
}
