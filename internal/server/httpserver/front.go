// Package httpserver is the front that speaks the platform's HTTP/1.1: a POST names the function by its path and
// the rest of a call by header fields. A client has one request at a time on a connection, so the state of this
// front is bounded by its connections, and those by the settings. Every request that is taken gets one answer;
// what can't be a call is turned down, and a connection whose framing is in doubt is closed.
package httpserver

import (
	"context"
	"log/slog"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cloudwego/netpoll"
	"golang.org/x/sys/unix"

	"github.com/topazfront/topazfront/dispatch"
	"github.com/topazfront/topazfront/internal/router"
	"github.com/topazfront/topazfront/internal/transport/http1"
	"github.com/topazfront/topazfront/internal/transport/listen"
)

// Config is the front's share of the settings.
type Config struct {
	Address  string
	Classes  map[string]dispatch.Idempotency
	MaxConns int           // clients connected at once
	Limits   http1.Limits  // of a request
	First    time.Duration // a connection's first request must be whole by then, and any other as long after it began
	Idle     time.Duration // a connection without a request is closed after this
	Write    time.Duration // a client must take its answer within this
	Buffer   int           // bytes that the system holds of what a client sends ahead
	Log      *slog.Logger
}

// Front serves one listener.
type Front struct {
	cfg    Config
	router *router.Router
	ln     *listen.Listener
	loop   netpoll.EventLoop
	stop   chan struct{}
	wg     sync.WaitGroup

	mu    sync.Mutex
	conns map[*conn]struct{}
	ids   map[string]struct{} // of the calls in hand
	done  bool
	stats Stats

	sweeps atomic.Uint64 // so far
}

// Stats counts what the front has turned down.
type Stats struct {
	Conns, Open            int
	Accepted, Bad, Evicted uint64
}

type connKey struct{}

// Listen opens the listener and serves it until Close.
func Listen(cfg Config, r *router.Router) (*Front, error) {
	if cfg.Log == nil {
		cfg.Log = slog.New(slog.DiscardHandler)
	}
	f := &Front{cfg: cfg, router: r, conns: map[*conn]struct{}{}, ids: map[string]struct{}{}, stop: make(chan struct{})}
	var err error
	if f.ln, err = listen.On("tcp", cfg.Address); err != nil {
		return nil, err
	}
	if cfg.Buffer > 0 { // what is accepted inherits it
		_ = syscall.SetsockoptInt(f.ln.Fd(), syscall.SOL_SOCKET, syscall.SO_RCVBUF, cfg.Buffer)
	}
	f.loop, err = netpoll.NewEventLoop(
		func(ctx context.Context, _ netpoll.Connection) error {
			c, _ := ctx.Value(connKey{}).(*conn)
			c.read()
			return nil
		},
		netpoll.WithOnPrepare(func(nc netpoll.Connection) context.Context {
			return context.WithValue(context.Background(), connKey{}, f.accept(nc))
		}),
		netpoll.WithOnConnect(func(ctx context.Context, nc netpoll.Connection) context.Context {
			c, _ := ctx.Value(connKey{}).(*conn)
			_ = nc.AddCloseCallback(func(netpoll.Connection) error { c.closed(); return nil })
			if !nc.IsActive() { // it was closed before the callback stood
				c.closed()
			}
			return ctx
		}))
	if err != nil {
		_ = f.ln.Close()
		return nil, err
	}
	f.ln.Serve(f.loop)
	f.wg.Go(f.sweep)
	return f, nil
}

// Addr is the address that the front listens on.
func (f *Front) Addr() string { return f.ln.Addr().String() }

// Stats tells what the front has done.
func (f *Front) Stats() Stats {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := f.stats
	s.Conns, s.Open = len(f.conns), len(f.ids)
	return s
}

// Close ends the listener and all connections.
func (f *Front) Close() {
	f.mu.Lock()
	if f.done {
		f.mu.Unlock()
		return
	}
	f.done = true
	list := make([]*conn, 0, len(f.conns))
	for c := range f.conns {
		list = append(list, c)
	}
	f.mu.Unlock()
	close(f.stop)
	f.wg.Wait()
	for _, c := range list {
		_ = c.nc.Close()
	}
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	_ = f.loop.Shutdown(ctx)
	_ = f.ln.Close()
}

// Settle waits until nothing is owed to any client: no request in hand, come and not read, or waiting behind a
// connection that was not accepted yet, and the last answer's bytes taken by the system. It reports whether that came
// within limit. The router must have stopped: what still comes is turned away.
func (f *Front) Settle(limit time.Duration) bool {
	for end := time.Now().Add(limit); ; time.Sleep(5 * time.Millisecond) {
		f.mu.Lock()
		owed := readable(f.ln.Fd())
		for c := range f.conns {
			owed = owed || c.owed()
		}
		f.mu.Unlock()
		if !owed || time.Now().After(end) {
			return !owed
		}
	}
}

// accept takes a connection. Above the bound the least useful one yields: one that has never sent anything, the
// oldest first, then the one idle longest. Where all have a request in hand, or one that has come in part or is not
// read yet, the new one is closed.
func (f *Front) accept(nc netpoll.Connection) *conn {
	_ = nc.SetWriteTimeout(f.cfg.Write)
	c := &conn{f: f, nc: nc, since: time.Now(), in: http1.NewReader(f.cfg.Limits)}
	f.mu.Lock()
	f.stats.Accepted++
	var yields *conn
	if len(f.conns) >= f.cfg.MaxConns {
		yields = c
		for o := range f.conns {
			if (yields == c || o.yields(yields)) && !o.over && !o.begun && !o.owed() {
				yields = o
			}
		}
		f.stats.Evicted++
	}
	if yields != c {
		f.conns[c] = struct{}{}
	}
	if yields != nil {
		yields.over = true
		delete(f.conns, yields)
	}
	f.mu.Unlock()
	if yields != nil {
		_ = yields.nc.Close()
	}
	return c
}

// sweep ends connections that are late with a request or have been idle for long.
func (f *Front) sweep() {
	tick := time.NewTicker(100 * time.Millisecond)
	defer tick.Stop()
	for {
		select {
		case <-f.stop:
			return
		case <-tick.C:
		}
		now := time.Now()
		var late, idle []*conn
		f.mu.Lock()
		for c := range f.conns {
			switch wait := now.Sub(c.since); {
			case c.over:
			case (!c.served || c.begun) && wait > f.cfg.First:
				if !c.owed() {
					late = append(late, c)
				}
			case wait > f.cfg.Idle:
				idle = append(idle, c)
			}
		}
		f.mu.Unlock()
		for _, c := range late {
			c.turnDown(408, "no whole request in time")
		}
		for _, c := range idle {
			c.end()
		}
		f.sweeps.Add(1)
	}
}

// conn is one client's connection: the reader of its requests and the client of its call. What it holds is
// guarded by the front's lock, but for the reader, which has one of its own.
type conn struct {
	f  *Front
	nc netpoll.Connection

	mu sync.Mutex // held over a look at what has come, before the front's lock
	in *http1.Reader

	since  time.Time // when it was accepted, its request began, or its last answer was given
	served bool      // it has had an answer
	begun  bool      // a request has begun and is not whole
	reads  bool      // what has come is being read
	busy   bool      // a request is in hand
	last   bool      // the connection ends after the answer
	over   bool
	id     string
	drop   func()
	taken  uint64 // requests so far
}

// yields tells whether c is to be closed rather than o.
func (c *conn) yields(o *conn) bool {
	if c.served != o.served {
		return !c.served
	}
	return c.since.Before(o.since)
}

// owed tells whether a request is in hand, or may have come and was not looked at: then the connection is not closed.
// The front's lock is held, without which nothing that has come is read.
func (c *conn) owed() bool {
	return c.busy || c.reads || readable(fdOf(c.nc)) || c.nc.Reader().Len() > 0
}

// gone tells whether the client has left, by the socket too: what it tells may not have been read yet.
func (c *conn) gone() bool {
	c.f.mu.Lock()
	defer c.f.mu.Unlock()
	return c.over || !c.nc.IsActive() || polled(fdOf(c.nc), unix.POLLRDHUP)&(unix.POLLRDHUP|unix.POLLHUP|unix.POLLERR) != 0
}

// fdOf is a connection's descriptor, or -1.
func fdOf(nc netpoll.Connection) int {
	if fd, ok := nc.(netpoll.Conn); ok && nc.IsActive() {
		return fd.Fd()
	}
	return -1
}

// readable tells whether something waits to be read on a descriptor, the end included.
func readable(fd int) bool { return polled(fd, unix.POLLIN)&unix.POLLIN != 0 }

// polled looks at a descriptor without waiting. The system passes over one below 0.
func polled(fd int, events int16) int16 {
	set := []unix.PollFd{{Fd: int32(fd), Events: events}}
	if n, err := unix.Poll(set, 0); err != nil || n == 0 {
		return 0
	}
	return set[0].Revents
}

// closed takes the end of the connection: the client of a call in hand has left.
func (c *conn) closed() {
	c.f.mu.Lock()
	c.over = true
	delete(c.f.conns, c)
	drop, id := c.drop, c.id
	c.drop = nil
	c.f.mu.Unlock()
	if drop != nil {
		drop()
		c.forget(id)
	}
}

// forget lets a call's id be used again.
func (c *conn) forget(id string) {
	c.f.mu.Lock()
	defer c.f.mu.Unlock()
	if c.id == id {
		delete(c.f.ids, id)
		c.id = ""
	}
}

// end closes the connection, unless a request has come meanwhile.
func (c *conn) end() {
	c.f.mu.Lock()
	if c.over || c.begun || c.owed() {
		c.f.mu.Unlock()
		return
	}
	c.over = true
	c.f.mu.Unlock()
	_ = c.nc.Close()
}

// read takes what has come. netpoll runs it on one goroutine at a time.
func (c *conn) read() {
	defer func() {
		if p := recover(); p != nil {
			c.f.cfg.Log.Error("client connection: panic", "panic", p)
			_ = c.nc.Close()
		}
	}()
	defer func() {
		c.f.mu.Lock()
		c.reads = false
		c.f.mu.Unlock()
	}()
	r := c.nc.Reader()
	came := arrival(c.nc)
	for n := r.Len(); n > 0; n = r.Len() {
		c.f.mu.Lock()
		over := c.over
		c.reads = true
		c.f.mu.Unlock()
		if over {
			_ = r.Skip(n)
			_ = r.Release()
			_ = c.nc.Close()
			return
		}
		c.mu.Lock()
		p, err := r.Next(min(n, max(c.in.Room(), 1)))
		if err == nil {
			err = c.in.Add(p)
		}
		c.mu.Unlock()
		_ = r.Release()
		if err != nil { // too much behind a request in hand: there is no place for another answer
			_ = c.nc.Close()
			return
		}
		c.next(came)
	}
}

// arrival is when the last bytes came: they may have waited for this process, in the backlog too.
func arrival(nc netpoll.Connection) time.Time {
	now := time.Now()
	if fd, ok := nc.(netpoll.Conn); ok {
		if info, err := unix.GetsockoptTCPInfo(fd.Fd(), unix.IPPROTO_TCP, unix.TCP_INFO); err == nil {
			if ago := time.Duration(info.Last_data_recv) * time.Millisecond; ago < time.Minute {
				return now.Add(-ago)
			}
		}
	}
	return now
}

// next takes the next request where none is in hand.
func (c *conn) next(came time.Time) {
	m, err := c.look(came)
	switch {
	case err != nil:
		status := 400
		if e, ok := err.(*http1.Error); ok {
			status = e.Status
		}
		c.turnDown(status, err.Error())
	case m != nil:
		c.request(m, came)
	}
}

// look returns the next request if one is whole and none is in hand; it is in hand then. What comes while another
// goroutine looks is seen by one of the two.
func (c *conn) look(came time.Time) (*http1.Message, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.f.mu.Lock()
	idle := !c.busy && !c.over
	c.f.mu.Unlock()
	if !idle {
		return nil, nil
	}
	m, err := c.in.Next()
	part := c.in.Partial()
	c.f.mu.Lock()
	defer c.f.mu.Unlock()
	if m != nil {
		c.begun, c.busy, c.last = false, true, m.Close
		c.taken++
		return m, nil
	}
	if part && !c.begun && c.served {
		c.since = came
	}
	c.begun = part
	return nil, err
}

// request acts on one whole request.
func (c *conn) request(m *http1.Message, came time.Time) {
	if m.Method == "GET" && m.Target == "/ping" {
		c.answer(200, nil, nil)
		return
	}
	call, req, err := c.f.call(m, came)
	if err != nil {
		c.refuse(err)
		return
	}
	call.Client, call.ClientLeft = c, c.gone
	c.f.mu.Lock()
	if _, open := c.f.ids[req.ID]; open {
		c.f.mu.Unlock()
		c.refuse(&turned{409, "a request of this id is open"})
		return
	}
	c.f.ids[req.ID] = struct{}{}
	c.id = req.ID
	turn := c.taken
	c.f.mu.Unlock()
	drop, ok := c.f.router.Submit(call)
	if !ok {
		c.finish(503, nil, nil)
		return
	}
	c.f.mu.Lock()
	gone := c.over
	if !gone && c.taken == turn && c.id == req.ID {
		c.drop = drop
	}
	c.f.mu.Unlock()
	if gone { // the client left meanwhile; a call that has ended is not dropped by it
		drop()
		c.forget(req.ID)
	}
}

// refuse answers what can't be a call, and ends the connection: no usual client sends such.
func (c *conn) refuse(err error) {
	status := 400
	if t, ok := err.(*turned); ok {
		status = t.status
	}
	c.f.mu.Lock()
	c.f.stats.Bad++
	c.last = true
	c.f.mu.Unlock()
	c.f.cfg.Log.Debug("request turned down", "client", c.nc.RemoteAddr(), "reason", err)
	c.answer(status, nil, []byte(err.Error()+"\n"))
}

// turnDown answers where no request could be read, and closes.
func (c *conn) turnDown(status int, reason string) {
	c.f.mu.Lock()
	if c.over || c.busy {
		c.f.mu.Unlock()
		return
	}
	c.busy, c.last = true, true
	c.f.stats.Bad++
	c.f.mu.Unlock()
	c.f.cfg.Log.Debug("client connection turned down", "client", c.nc.RemoteAddr(), "reason", reason)
	c.answer(status, nil, []byte(reason+"\n"))
}

// Start implements router.Client.
func (c *conn) Start(any) {}

// Message implements router.Client. An answer of this protocol comes whole, with the final answer.
func (c *conn) Message(p []byte, _ func(int)) int { return len(p) }

// Finish implements router.Client.
func (c *conn) Finish(f router.FinalAnswer) {
	switch f.Kind {
	case router.FinalAnswered:
		if f.Attempt != nil && f.Attempt.Result == dispatch.OK {
			c.finish(200, nil, f.Attempt.Body)
			return
		}
		c.finish(502, nil, nil)
	case router.FinalRejected:
		var fields []http1.Field
		if ms := f.RetryAfter.Milliseconds(); ms > 0 {
			fields = []http1.Field{{Name: "X-Pushback-Ms", Value: strconv.FormatInt(ms, 10)}}
		}
		c.finish(503, fields, nil)
	default:
		status := 502
		if f.DeadlineExceeded {
			status = 504
		}
		c.finish(status, nil, nil)
	}
}

// finish answers the call in hand.
func (c *conn) finish(status int, fields []http1.Field, body []byte) {
	c.f.mu.Lock()
	id := c.id
	c.drop = nil
	c.f.mu.Unlock()
	c.forget(id)
	c.answer(status, fields, body)
}

// answer writes a response; the next request is looked at when the client has taken it. It does not block: a
// client that doesn't read holds up nothing but its own connection, and that not for long.
func (c *conn) answer(status int, fields []http1.Field, body []byte) {
	c.f.mu.Lock()
	last, over := c.last, c.over
	c.f.mu.Unlock()
	if over {
		return
	}
	go func() {
		_, err := c.nc.Write(http1.AppendResponse(make([]byte, 0, 256+len(body)), status, fields, body, last))
		c.f.mu.Lock()
		c.busy, c.served, c.since = false, true, time.Now()
		if err != nil || last {
			c.over = true
		}
		over := c.over
		c.f.mu.Unlock()
		if over {
			_ = c.nc.Close()
			return
		}
		c.next(time.Now()) // what came behind the request, if anything
	}()
}
