package httpserver

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/cloudwego/netpoll"
	"golang.org/x/sys/unix"

	"github.com/topazfront/topazfront/dispatch"
	"github.com/topazfront/topazfront/internal/endpoints"
	"github.com/topazfront/topazfront/internal/invocation"
	"github.com/topazfront/topazfront/internal/router"
	"github.com/topazfront/topazfront/internal/transport/http1"
)

// decider does with each request what its function says: a... is served, b... refused, c... failed, d... held.
type decider struct{}

func (decider) Step(_ time.Duration, events []dispatch.Event) (out []dispatch.Action) {
	for _, e := range events {
		if e, ok := e.(dispatch.Request); ok {
			switch e.Function[:1] {
			case "a":
				out = append(out, dispatch.StartAttempt{ID: e.ID, Worker: "w"})
			case "b":
				out = append(out, dispatch.RejectRequest{ID: e.ID, RetryAfter: 70 * time.Millisecond})
			case "c":
				out = append(out, dispatch.FailRequest{ID: e.ID})
			}
		}
	}
	return out
}

// echo is an upstream that answers each attempt with its body.
type echo struct {
	r    *router.Router
	hold func(*router.Call) // nil, or called before each answer
	mu   sync.Mutex
	seen []*invocation.Request
}

type none struct{}

func (none) ForwardTo(router.Client) {}
func (none) Cancel()                 {}

func (u *echo) StartAttempt(token router.AttemptToken, c *router.Call, _ string, _ int, _ time.Duration) router.UpstreamAttempt {
	req, _ := c.Request.(*invocation.Request)
	u.mu.Lock()
	u.seen = append(u.seen, req)
	hold := u.hold
	u.mu.Unlock()
	if hold != nil {
		hold(c)
	}
	u.r.AttemptEnded(token, router.AttemptResult{Result: dispatch.OK, Body: append([]byte("done "), req.Body...), Report: router.NoWorkerReport})
	return none{}
}
func (u *echo) LoadFunction(string, string, int, time.Duration, func(router.LoadResult)) {}
func (u *echo) CheckHealth(string, time.Duration, func(router.HealthResult))             {}
func (u *echo) SetEndpoints([]endpoints.Worker)                                          {}

func serve(t *testing.T, change func(*Config)) (*Front, *echo) {
	t.Helper()
	u := &echo{}
	r, err := router.New(router.Config{NewDispatcher: func(dispatch.Settings, uint64) (router.Dispatcher, error) { return decider{}, nil }}, u)
	if err != nil {
		t.Fatal(err)
	}
	u.r = r
	cfg := Config{Address: "127.0.0.1:0", Classes: map[string]dispatch.Idempotency{"safe": dispatch.Idempotent, "keyed": dispatch.IdempotentByKey}, MaxConns: 64,
		Limits: http1.Limits{Head: 4 << 10, Fields: 32, Body: 16 << 10, Pending: 4 << 10}, First: 20 * time.Second,
		Idle: 20 * time.Second, Write: 20 * time.Second, Buffer: 32 << 10}
	if change != nil {
		change(&cfg)
	}
	f, err := Listen(cfg, r)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { f.Close(); r.Kill() })
	return f, u
}

const (
	served  = "aaaaaaaaaaaaaaaa"
	refused = "bbbbbbbbbbbbbbbb"
	failed  = "cccccccccccccccc"
	held    = "dddddddddddddddd"
)

var idMu sync.Mutex
var lastID int

func newID() string {
	idMu.Lock()
	defer idMu.Unlock()
	lastID++
	return fmt.Sprintf("%016x", lastID)
}

// request is a usual one, with fields set or, by "-name", left out.
func request(fn, body string, fields ...string) string {
	h := map[string]string{"Host": "a", "X-Class": "safe", "X-Correlation-Id": newID(), "X-Deadline-Ms": "15000",
		"Content-Length": fmt.Sprint(len(body))}
	extra := ""
	for _, f := range fields {
		if name, ok := strings.CutPrefix(f, "-"); ok {
			delete(h, name)
			continue
		}
		name, value, _ := strings.Cut(f, ": ")
		if strings.HasPrefix(name, "+") {
			extra += name[1:] + ": " + value + "\r\n"
		} else {
			h[name] = value
		}
	}
	var b strings.Builder
	fmt.Fprintf(&b, "POST /call/%s/call HTTP/1.1\r\n", fn)
	for n, v := range h {
		fmt.Fprintf(&b, "%s: %s\r\n", n, v)
	}
	return b.String() + extra + "\r\n" + body
}

// link is one client connection, read by the standard library.
type link struct {
	t  *testing.T
	nc net.Conn
	in *bufio.Reader
}

func dial(t *testing.T, f *Front) *link {
	t.Helper()
	nc, err := net.Dial("tcp", f.Addr())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = nc.Close() })
	_ = nc.SetDeadline(time.Now().Add(20 * time.Second))
	return &link{t, nc, bufio.NewReader(nc)}
}

func (l *link) write(s string) { _, _ = io.WriteString(l.nc, s) }

// answer reads one answer; status 0 tells of a close without one.
func (l *link) answer() (status int, body string, header http.Header, last bool) {
	l.t.Helper()
	resp, err := http.ReadResponse(l.in, nil)
	if err != nil {
		var ne net.Error
		if errors.As(err, &ne) && ne.Timeout() {
			l.t.Fatal("neither an answer nor a close")
		}
		return 0, "", nil, true
	}
	raw, err := io.ReadAll(resp.Body)
	if err != nil {
		l.t.Fatal(err)
	}
	return resp.StatusCode, string(raw), resp.Header, resp.Close
}

// ended waits for the end of the connection.
func (l *link) ended() {
	l.t.Helper()
	if _, err := io.Copy(io.Discard, l.in); err != nil {
		var ne net.Error
		if errors.As(err, &ne) && ne.Timeout() {
			l.t.Error("the connection stays open")
		}
	}
}

func TestAnswers(t *testing.T) {
	f, u := serve(t, nil)
	l := dial(t, f)
	l.write("GET /ping HTTP/1.1\r\nHost: a\r\n\r\n")
	if status, _, _, _ := l.answer(); status != 200 {
		t.Errorf("ping: %d", status)
	}
	l.write(request(served, "x\x00\r\ny", "X-Attrs: memory_mb:512;lanes:2;load_ms:640", "X-Estimate-Ms: 8.2"))
	if status, body, _, last := l.answer(); status != 200 || body != "done x\x00\r\ny" || last {
		t.Errorf("served: %d %q, closes %v", status, body, last)
	}
	l.write(request(refused, ""))
	if status, _, h, last := l.answer(); status != 503 || h.Get("X-Pushback-Ms") != "70" || last {
		t.Errorf("refused: %d, pushback %q, closes %v", status, h.Get("X-Pushback-Ms"), last)
	}
	l.write(request(failed, ""))
	if status, _, h, _ := l.answer(); status != 502 || h.Get("X-Pushback-Ms") != "" {
		t.Errorf("failed: %d, %v", status, h)
	}
	l.write(request(served, "z", "X-Class: keyed", "X-Operation-Key: 5c0f6e1a2b3d4c59a8b7c6d5e4f30211"))
	if status, _, _, _ := l.answer(); status != 200 {
		t.Errorf("keyed: %d", status)
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	if last := u.seen[len(u.seen)-1]; last.IdempotencyKey != "5c0f6e1a2b3d4c59a8b7c6d5e4f30211" || last.Class != "keyed" || string(last.Body) != "z" {
		t.Errorf("passed on: %+v", last)
	}
}

// TestNothingUnusablePasses: what can't be a call gets an error and a close, and no worker hears of it.
func TestNothingUnusablePasses(t *testing.T) {
	f, u := serve(t, nil)
	for name, c := range map[string]struct {
		in     string
		status int
	}{
		"unknown class":       {request(served, "", "X-Class: odd"), 400},
		"no class":            {request(served, "", "-X-Class"), 400},
		"no id":               {request(served, "", "-X-Correlation-Id"), 400},
		"short id":            {request(served, "", "X-Correlation-Id: 12"), 400},
		"id that is no hex":   {request(served, "", "X-Correlation-Id: zzzzzzzzzzzzzzzz"), 400},
		"two ids":             {request(served, "", "+X-Correlation-Id: 0000000000000000"), 400},
		"no deadline":         {request(served, "", "-X-Deadline-Ms"), 400},
		"deadline 0":          {request(served, "", "X-Deadline-Ms: 0"), 400},
		"negative deadline":   {request(served, "", "X-Deadline-Ms: -5"), 400},
		"deadline NaN":        {request(served, "", "X-Deadline-Ms: NaN"), 400},
		"deadline Inf":        {request(served, "", "X-Deadline-Ms: Inf"), 400},
		"deadline 1e9":        {request(served, "", "X-Deadline-Ms: 1e9"), 400},
		"deadline in years":   {request(served, "", "X-Deadline-Ms: 99999999999"), 400},
		"two points":          {request(served, "", "X-Deadline-Ms: 1.2.3"), 400},
		"odd estimate":        {request(served, "", "X-Estimate-Ms: lots"), 400},
		"huge estimate":       {request(served, "", "X-Estimate-Ms: 99999999999"), 400},
		"odd attrs":           {request(served, "", "X-Attrs: memory_mb=5"), 400},
		"negative memory":     {request(served, "", "X-Attrs: memory_mb:-5"), 400},
		"lanes beyond all":    {request(served, "", "X-Attrs: lanes:99999"), 400},
		"attrs without end":   {request(served, "", "X-Attrs: "+strings.Repeat("a:1;", 40)), 400},
		"keyed without key":   {request(served, "", "X-Class: keyed"), 400},
		"key of two fields":   {request(served, "", "X-Class: keyed", "X-Operation-Key: a,item=b"), 400},
		"short function":      {request("abc", ""), 404},
		"function not hex":    {request("ABCDEFABCDEFABCD", ""), 404},
		"another path":        {strings.Replace(request(served, ""), "/call HTTP", "/x HTTP", 1), 404},
		"another method":      {strings.Replace(request(served, ""), "POST", "PUT", 1), 405},
		"length and encoding": {request(served, "0\r\n\r\n", "Transfer-Encoding: chunked"), 400},
		"60 MB":               {request(served, "", "Content-Length: 62914560"), 413},
		"negative length":     {request(served, "", "Content-Length: -1"), 400},
		"noise":               {"\x16\x03\x01\x00\xff\r\n\r\n", 400},
	} {
		t.Run(name, func(t *testing.T) {
			l := dial(t, f)
			l.write(c.in)
			if status, _, _, last := l.answer(); status != c.status || !last {
				t.Errorf("status %d, want %d; closes %v", status, c.status, last)
			}
			l.ended()
		})
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	if len(u.seen) > 0 {
		t.Errorf("passed on: %+v", u.seen[0])
	}
}

// TestAnIdThatIsOpen is refused to others, whatever their body, and free again once it was answered or left.
func TestAnIdThatIsOpen(t *testing.T) {
	f, _ := serve(t, nil)
	one, two := dial(t, f), dial(t, f)
	id := "X-Correlation-Id: " + newID()
	one.write(request(held, "one", id))
	open(t, f, 1)
	two.write(request(served, "two", id))
	if status, _, _, _ := two.answer(); status != 409 {
		t.Errorf("status %d", status)
	}
	_ = one.nc.Close()
	open(t, f, 0)
	three := dial(t, f)
	three.write(request(served, "three", id))
	if status, body, _, _ := three.answer(); status != 200 || body != "done three" {
		t.Errorf("once it was left: %d %q", status, body)
	}
}

// open waits until so many calls are in hand.
func open(t *testing.T, f *Front, n int) {
	t.Helper()
	for range 4000 {
		if f.Stats().Open == n {
			return
		}
		time.Sleep(5 * time.Millisecond)
	}
	t.Fatalf("%d calls in hand, want %d", f.Stats().Open, n)
}

// TestSilentAndSlowClientsAreClosed: a connection that says nothing, one that sends half a request, and one that
// keeps its connection for good.
func TestSilentAndSlowClientsAreClosed(t *testing.T) {
	f, _ := serve(t, func(c *Config) { c.First, c.Idle = 50*time.Millisecond, 200*time.Millisecond })
	silent, half, keeper, again := dial(t, f), dial(t, f), dial(t, f), dial(t, f)
	half.write(request(served, "body")[:40])
	keeper.write("GET /ping HTTP/1.1\r\nHost: a\r\n\r\n")
	again.write("GET /ping HTTP/1.1\r\nHost: a\r\n\r\nPOST /call")
	for name, l := range map[string]*link{"silent": silent, "half": half} {
		if status, _, _, _ := l.answer(); status != 408 && status != 0 {
			t.Errorf("%s: %d", name, status)
		}
		l.ended()
	}
	if status, _, _, _ := keeper.answer(); status != 200 {
		t.Errorf("keeper: %d", status)
	}
	keeper.ended()
	if status, _, _, _ := again.answer(); status != 200 {
		t.Errorf("half behind a ping: %d", status)
	}
	again.ended()
	for range 4000 {
		if f.Stats().Conns == 0 {
			return
		}
		time.Sleep(5 * time.Millisecond)
	}
	t.Errorf("%d connections stay", f.Stats().Conns)
}

// TestPipelined: requests sent at once are answered one after another, each once.
func TestPipelined(t *testing.T) {
	f, u := serve(t, nil)
	l := dial(t, f)
	var in strings.Builder
	for i := range 10 {
		in.WriteString(request(served, fmt.Sprint(i)))
	}
	l.write(in.String())
	for i := range 10 {
		if status, body, _, _ := l.answer(); status != 200 || body != fmt.Sprint("done ", i) {
			t.Fatalf("answer %d: %d %q", i, status, body)
		}
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	if len(u.seen) != 10 {
		t.Errorf("%d passed on", len(u.seen))
	}
}

// TestRequestsInPieces: one that comes byte by byte is served, as is one whose body follows its head; one that is cut off in
// its body, by a close or a reset, goes nowhere.
func TestRequestsInPieces(t *testing.T) {
	f, u := serve(t, nil)
	l := dial(t, f)
	for _, b := range []byte(request(served, "piece")) {
		l.write(string(b))
	}
	if status, body, _, _ := l.answer(); status != 200 || body != "done piece" {
		t.Errorf("byte by byte: %d %q", status, body)
	}
	in := request(served, "follows")
	l.write(in[:len(in)-7])
	until(t, "the head", func() bool {
		f.mu.Lock()
		defer f.mu.Unlock()
		for c := range f.conns {
			if c.begun {
				return true
			}
		}
		return false
	})
	l.write(in[len(in)-7:])
	if status, body, _, _ := l.answer(); status != 200 || body != "done follows" {
		t.Errorf("in two: %d %q", status, body)
	}
	for n, reset := range []bool{false, true} {
		cut := dial(t, f)
		in := request(served, "cut off")
		cut.write(in[:len(in)-3])
		if tc, ok := cut.nc.(*net.TCPConn); ok && reset {
			_ = tc.SetLinger(0)
		}
		_ = cut.nc.Close()
		until(t, "the end", func() bool { s := f.Stats(); return s.Accepted == uint64(n+2) && s.Conns == 1 })
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	if len(u.seen) != 2 {
		t.Errorf("%d requests passed on", len(u.seen))
	}
}

// TestFloodBehindARequestIsCutOff: what a client sends on and on behind a request in hand is not kept.
func TestFloodBehindARequestIsCutOff(t *testing.T) {
	f, _ := serve(t, nil)
	l := dial(t, f)
	l.write(request(held, ""))
	open(t, f, 1)
	go func() {
		for range 1 << 14 {
			if _, err := io.WriteString(l.nc, strings.Repeat("x", 4096)); err != nil {
				return
			}
		}
	}()
	open(t, f, 0)
	l.ended()
}

// TestIdleConnectionsYield: at the bound a usual client gets in, at the cost of one that never said a word; a request
// in hand is never cut off for it.
func TestIdleConnectionsYield(t *testing.T) {
	f, _ := serve(t, func(c *Config) { c.MaxConns = 4 })
	busy := dial(t, f)
	busy.write(request(held, ""))
	open(t, f, 1)
	used := dial(t, f)
	used.write(request(served, ""))
	if status, _, _, _ := used.answer(); status != 200 {
		t.Fatal(status)
	}
	var silent []*link
	for range 20 {
		silent = append(silent, dial(t, f))
	}
	for range 4000 {
		if f.Stats().Accepted == 22 {
			break
		}
		time.Sleep(5 * time.Millisecond)
	}
	usual := dial(t, f)
	usual.write(request(served, "x"))
	if status, body, _, _ := usual.answer(); status != 200 || body != "done x" {
		t.Errorf("usual client: %d %q", status, body)
	}
	used.write(request(served, "y"))
	if status, _, _, _ := used.answer(); status != 200 {
		t.Errorf("the used connection yielded before silent ones: %d", status)
	}
	for _, l := range silent[:18] {
		l.ended()
	}
	if s := f.Stats(); s.Conns > 4 || s.Open != 1 {
		t.Errorf("%+v", s)
	}
}

// stopReading has a connection's reader wait: what its client sends is taken by the system and not looked at.
func stopReading(t *testing.T, f *Front, l *link) (c *conn, resume func()) {
	t.Helper()
	f.mu.Lock()
	for o := range f.conns {
		if o.nc.RemoteAddr().String() == l.nc.LocalAddr().String() {
			c = o
		}
	}
	f.mu.Unlock()
	if c == nil {
		t.Fatal("no such connection")
	}
	c.mu.Lock()
	return c, c.mu.Unlock
}

// until waits for something that must come.
func until(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for range 4000 {
		if ok() {
			return
		}
		time.Sleep(5 * time.Millisecond)
	}
	t.Fatalf("%s did not come", what)
}

// accepted waits until so many connections have been taken.
func accepted(t *testing.T, f *Front, n uint64) {
	t.Helper()
	until(t, "the connection", func() bool { return f.Stats().Accepted == n })
}

// TestARequestThatIsNotReadYetIsNotClosedOn: it crosses an eviction, and the sweep of idle connections and of those late
// with a request. In each case the connection was due before the request came.
func TestARequestThatIsNotReadYetIsNotClosedOn(t *testing.T) {
	for name, cross := range map[string]func(t *testing.T, f *Front, c *conn){
		"eviction": func(t *testing.T, f *Front, c *conn) {
			for n := range 6 { // by its age it is the first to yield
				dial(t, f)
				accepted(t, f, uint64(n+2))
			}
		},
		"idle": func(t *testing.T, f *Front, c *conn) { c.end() },
		"late": func(t *testing.T, f *Front, c *conn) {
			f.mu.Lock()
			c.since = time.Now().Add(-time.Hour)
			f.mu.Unlock()
			next := f.sweeps.Load() + 2
			until(t, "a sweep", func() bool { return f.sweeps.Load() >= next })
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f, _ := serve(t, func(c *Config) { c.MaxConns = 3 })
			l := dial(t, f)
			accepted(t, f, 1)
			c, resume := stopReading(t, f, l)
			l.write(request(served, "x"))
			until(t, "the request", func() bool {
				f.mu.Lock()
				defer f.mu.Unlock()
				return c.reads
			})
			cross(t, f, c)
			resume()
			if status, body, _, _ := l.answer(); status != 200 || body != "done x" {
				t.Errorf("%d %q", status, body)
			}
		})
	}
}

// TestBytesInTheSystemAreOwed: before the reader has been woken, and the descriptor alone shows that something came.
func TestBytesInTheSystemAreOwed(t *testing.T) {
	fd, err := syscall.Socketpair(syscall.AF_UNIX, syscall.SOCK_STREAM, 0)
	if err != nil {
		t.Fatal(err)
	}
	if readable(fd[0]) || polled(fd[0], unix.POLLRDHUP) != 0 || readable(-1) {
		t.Error("something is seen where nothing came")
	}
	if _, err := syscall.Write(fd[1], []byte("P")); err != nil || !readable(fd[0]) {
		t.Error("a byte is not seen", err)
	}
	_ = syscall.Close(fd[1])
	if polled(fd[0], unix.POLLRDHUP)&unix.POLLRDHUP == 0 {
		t.Error("the end behind it is not seen")
	}
	_ = syscall.Close(fd[0])
}

// deaf is a connection whose event loop has not got to hear of anything yet.
type deaf struct {
	netpoll.Connection
	fd int
}

func (d deaf) Fd() int        { return d.fd }
func (d deaf) IsActive() bool { return true }

// TestAClientThatLeftIsGone: the call tells so as soon as the socket does, though the event loop may not have.
func TestAClientThatLeftIsGone(t *testing.T) {
	f, u := serve(t, nil)
	l := dial(t, f)
	accepted(t, f, 1)
	in := make(chan *router.Call, 1)
	hold := make(chan struct{})
	u.mu.Lock()
	u.hold = func(c *router.Call) { in <- c; <-hold }
	u.mu.Unlock()
	l.write(request(served, ""))
	call := <-in
	if call.ClientLeft() {
		t.Error("gone while it waits")
	}
	_ = l.nc.Close()
	until(t, "the end", call.ClientLeft)
	close(hold)
	open(t, f, 0)

	fd, err := syscall.Socketpair(syscall.AF_UNIX, syscall.SOCK_STREAM, 0)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = syscall.Close(fd[0]) }()
	c := &conn{f: f, nc: deaf{fd: fd[0]}}
	if c.gone() {
		t.Error("gone while it waits")
	}
	if _ = syscall.Close(fd[1]); !c.gone() {
		t.Error("not gone though the socket tells so")
	}
}

// TestAClientThatLeavesBeforeItsRequestIsRead: nothing of the request goes anywhere.
func TestAClientThatLeavesBeforeItsRequestIsRead(t *testing.T) {
	f, u := serve(t, nil)
	l := dial(t, f)
	accepted(t, f, 1)
	c, resume := stopReading(t, f, l)
	l.write(request(served, ""))
	until(t, "the request", func() bool {
		f.mu.Lock()
		defer f.mu.Unlock()
		return c.reads
	})
	_ = l.nc.Close()
	until(t, "the end", c.gone)
	resume()
	until(t, "the end of the reading", func() bool {
		f.mu.Lock()
		defer f.mu.Unlock()
		return !c.reads
	})
	last := dial(t, f) // what the loop was handed before has been seen to by the time that this is answered
	last.write(request(served, ""))
	if status, _, _, _ := last.answer(); status != 200 {
		t.Error(status)
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	if len(u.seen) != 1 {
		t.Errorf("%d requests passed on", len(u.seen))
	}
}

// TestSettleWaitsForWhatIsOwed: a request in hand, and one that is not read yet; not a connection that says nothing.
func TestSettleWaitsForWhatIsOwed(t *testing.T) {
	f, _ := serve(t, nil)
	dial(t, f)
	accepted(t, f, 1)
	if !f.Settle(20 * time.Second) {
		t.Error("nothing was owed")
	}
	busy := dial(t, f)
	busy.write(request(held, ""))
	open(t, f, 1)
	if f.Settle(0) {
		t.Error("a request in hand was owed its answer")
	}
	_ = busy.nc.Close()
	open(t, f, 0)
	l := dial(t, f)
	accepted(t, f, 3)
	_, resume := stopReading(t, f, l)
	l.write(request(served, "x"))
	until(t, "what is owed", func() bool { return !f.Settle(0) })
	settled := make(chan bool)
	go func() { settled <- f.Settle(20 * time.Second) }()
	resume()
	if status, _, _, _ := l.answer(); status != 200 || !<-settled {
		t.Errorf("status %d", status)
	}
}

// TestTimeCountsFromArrival: what waited in the system before it was read has used up some of its time.
func TestTimeCountsFromArrival(t *testing.T) {
	f, _ := serve(t, nil)
	in := http1.NewReader(f.cfg.Limits)
	_ = in.Add([]byte(request(served, "", "X-Deadline-Ms: 1500")))
	m, err := in.Next()
	if err != nil {
		t.Fatal(err)
	}
	c, _, err := f.call(m, time.Now().Add(-400*time.Millisecond))
	if err != nil || c.RemainingDeadline > 1100*time.Millisecond || c.RemainingDeadline < 500*time.Millisecond {
		t.Errorf("left %v, %v", c.RemainingDeadline, err)
	}
}
