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
	MaxConnections int           // clients connected at once
	Limits   http1.Limits  // of a request
	RequestTimeout    time.Duration // a connection's first request must be whole by then, and any other as long after it began
	IdleTimeout     time.Duration // a connection without a request is closed after this
	WriteTimeout    time.Duration // a client must take its answer within this
	ReceiveBufferBytes   int           // bytes that the system holds of what a client sends ahead
	Logger      *slog.Logger
}

// Front serves one listener.
type Server struct {
	cfg    Config
	router *router.Router
	listener     *listen.Listener
	eventLoop   netpoll.EventLoop
	stop   chan struct{}
	wg     sync.WaitGroup

	mu    sync.Mutex
	conns map[*conn]struct{}
	openIDs   map[string]struct{} // of the calls in hand
	closed  bool
	stats Stats

	sweeps atomic.Uint64 // so far
}

// Stats counts what the front has turned down.
type Stats struct {
	Connections, OpenRequests            int
	Accepted, BadRequests, Evicted uint64
}

type connContextKey struct{}

// Listen opens the listener and serves it until Close.
func Listen(cfg Config, r *router.Router) (*Server, error) {
	if cfg.Logger == nil {
		cfg.Logger = slog.New(slog.DiscardHandler)
	}
	f := &Server{cfg: cfg, router: r, conns: map[*conn]struct{}{}, openIDs: map[string]struct{}{}, stop: make(chan struct{})}
	var err error
	if f.listener, err = listen.Open("tcp", cfg.Address); err != nil {
		return nil, err
	}
	if cfg.ReceiveBufferBytes > 0 { // what is accepted inherits it
		_ = syscall.SetsockoptInt(f.listener.Fd(), syscall.SOL_SOCKET, syscall.SO_RCVBUF, cfg.ReceiveBufferBytes)
	}
	f.eventLoop, err = netpoll.NewEventLoop(
		func(ctx context.Context, _ netpoll.Connection) error {
			c, _ := ctx.Value(connContextKey{}).(*conn)
			c.onReadable()
			return nil
		},
		netpoll.WithOnPrepare(func(nc netpoll.Connection) context.Context {
			return context.WithValue(context.Background(), connContextKey{}, f.accept(nc))
		}),
		netpoll.WithOnConnect(func(ctx context.Context, nc netpoll.Connection) context.Context {
			c, _ := ctx.Value(connContextKey{}).(*conn)
			_ = nc.AddCloseCallback(func(netpoll.Connection) error { c.onClosed(); return nil })
			if !nc.IsActive() { // it was closed before the callback stood
				c.onClosed()
			}
			return ctx
		}))
	if err != nil {
		_ = f.listener.Close()
		return nil, err
	}
	f.listener.Serve(f.eventLoop)
	f.wg.Go(f.sweep)
	return f, nil
}

// Addr is the address that the front listens on.
func (f *Server) Addr() string { return f.listener.Addr().String() }

// Stats tells what the front has done.
func (f *Server) Stats() Stats {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := f.stats
	s.Connections, s.OpenRequests = len(f.conns), len(f.openIDs)
	return s
}

// Close ends the listener and all connections.
func (f *Server) Close() {
	f.mu.Lock()
	if f.closed {
		f.mu.Unlock()
		return
	}
	f.closed = true
	list := make([]*conn, 0, len(f.conns))
	for c := range f.conns {
		list = append(list, c)
	}
	f.mu.Unlock()
	close(f.stop)
	f.wg.Wait()
	for _, c := range list {
		_ = c.netConn.Close()
	}
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	_ = f.eventLoop.Shutdown(ctx)
	_ = f.listener.Close()
}

// Settle waits until nothing is owed to any client: no request in hand, come and not read, or waiting behind a
// connection that was not accepted yet, and the last answer's bytes taken by the system. It reports whether that came
// within limit. The router must have stopped: what still comes is turned away.
func (f *Server) WaitForDrain(limit time.Duration) bool {
	for end := time.Now().Add(limit); ; time.Sleep(5 * time.Millisecond) {
		f.mu.Lock()
		owed := readable(f.listener.Fd())
		for c := range f.conns {
			owed = owed || c.hasPendingWork()
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
func (f *Server) accept(nc netpoll.Connection) *conn {
	_ = nc.SetWriteTimeout(f.cfg.WriteTimeout)
	c := &conn{server: f, netConn: nc, lastActivity: time.Now(), reader: http1.NewReader(f.cfg.Limits)}
	f.mu.Lock()
	f.stats.Accepted++
	var yields *conn
	if len(f.conns) >= f.cfg.MaxConnections {
		yields = c
		for o := range f.conns {
			if (yields == c || o.evictedBefore(yields)) && !o.closed && !o.requestStarted && !o.hasPendingWork() {
				yields = o
			}
		}
		f.stats.Evicted++
	}
	if yields != c {
		f.conns[c] = struct{}{}
	}
	if yields != nil {
		yields.closed = true
		delete(f.conns, yields)
	}
	f.mu.Unlock()
	if yields != nil {
		_ = yields.netConn.Close()
	}
	return c
}

// sweep ends connections that are late with a request or have been idle for long.
func (f *Server) sweep() {
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
			switch wait := now.Sub(c.lastActivity); {
			case c.closed:
			case (!c.responded || c.requestStarted) && wait > f.cfg.RequestTimeout:
				if !c.hasPendingWork() {
					late = append(late, c)
				}
			case wait > f.cfg.IdleTimeout:
				idle = append(idle, c)
			}
		}
		f.mu.Unlock()
		for _, c := range late {
			c.rejectConnection(408, "no whole request in time")
		}
		for _, c := range idle {
			c.closeIfIdle()
		}
		f.sweeps.Add(1)
	}
}

// conn is one client's connection: the reader of its requests and the client of its call. What it holds is
// guarded by the front's lock, but for the reader, which has one of its own.
type conn struct {
	server  *Server
	netConn netpoll.Connection

	parseMu sync.Mutex // held over a look at what has come, before the front's lock
	reader *http1.Reader

	lastActivity  time.Time // when it was accepted, its request began, or its last answer was given
	responded bool      // it has had an answer
	requestStarted  bool      // a request has begun and is not whole
	reading  bool      // what has come is being read
	requestInFlight   bool      // a request is in hand
	closeAfterResponse   bool      // the connection ends after the answer
	closed   bool
	requestID     string
	cancel   func()
	requests  uint64 // requests so far
}

// yields tells whether c is to be closed rather than o.
func (c *conn) evictedBefore(o *conn) bool {
	if c.responded != o.responded {
		return !c.responded
	}
	return c.lastActivity.Before(o.lastActivity)
}

// owed tells whether a request is in hand, or may have come and was not looked at: then the connection is not closed.
// The front's lock is held, without which nothing that has come is read.
func (c *conn) hasPendingWork() bool {
	return c.requestInFlight || c.reading || readable(descriptor(c.netConn)) || c.netConn.Reader().Len() > 0
}

// gone tells whether the client has left, by the socket too: what it tells may not have been read yet.
func (c *conn) disconnected() bool {
	c.server.mu.Lock()
	defer c.server.mu.Unlock()
	return c.closed || !c.netConn.IsActive() || poll(descriptor(c.netConn), unix.POLLRDHUP)&(unix.POLLRDHUP|unix.POLLHUP|unix.POLLERR) != 0
}

// fdOf is a connection's descriptor, or -1.
func descriptor(nc netpoll.Connection) int {
	if fd, ok := nc.(netpoll.Conn); ok && nc.IsActive() {
		return fd.Fd()
	}
	return -1
}

// readable tells whether something waits to be read on a descriptor, the end included.
func readable(fd int) bool { return poll(fd, unix.POLLIN)&unix.POLLIN != 0 }

// polled looks at a descriptor without waiting. The system passes over one below 0.
func poll(fd int, events int16) int16 {
	set := []unix.PollFd{{Fd: int32(fd), Events: events}}
	if n, err := unix.Poll(set, 0); err != nil || n == 0 {
		return 0
	}
	return set[0].Revents
}

// closed takes the end of the connection: the client of a call in hand has left.
func (c *conn) onClosed() {
	c.server.mu.Lock()
	c.closed = true
	delete(c.server.conns, c)
	drop, id := c.cancel, c.requestID
	c.cancel = nil
	c.server.mu.Unlock()
	if drop != nil {
		drop()
		c.releaseID(id)
	}
}

// forget lets a call's id be used again.
func (c *conn) releaseID(id string) {
	c.server.mu.Lock()
	defer c.server.mu.Unlock()
	if c.requestID == id {
		delete(c.server.openIDs, id)
		c.requestID = ""
	}
}

// end closes the connection, unless a request has come meanwhile.
func (c *conn) closeIfIdle() {
	c.server.mu.Lock()
	if c.closed || c.requestStarted || c.hasPendingWork() {
		c.server.mu.Unlock()
		return
	}
	c.closed = true
	c.server.mu.Unlock()
	_ = c.netConn.Close()
}

// read takes what has come. netpoll runs it on one goroutine at a time.
func (c *conn) onReadable() {
	defer func() {
		if p := recover(); p != nil {
			c.server.cfg.Logger.Error("client connection: panic", "panic", p)
			_ = c.netConn.Close()
		}
	}()
	defer func() {
		c.server.mu.Lock()
		c.reading = false
		c.server.mu.Unlock()
	}()
	r := c.netConn.Reader()
	came := arrivalTime(c.netConn)
	for n := r.Len(); n > 0; n = r.Len() {
		c.server.mu.Lock()
		over := c.closed
		c.reading = true
		c.server.mu.Unlock()
		if over {
			_ = r.Skip(n)
			_ = r.Release()
			_ = c.netConn.Close()
			return
		}
		c.parseMu.Lock()
		p, err := r.Next(min(n, max(c.reader.Available(), 1)))
		if err == nil {
			err = c.reader.Add(p)
		}
		c.parseMu.Unlock()
		_ = r.Release()
		if err != nil { // too much behind a request in hand: there is no place for another answer
			_ = c.netConn.Close()
			return
		}
		c.serveNext(came)
	}
}

// arrival is when the last bytes came: they may have waited for this process, in the backlog too.
func arrivalTime(nc netpoll.Connection) time.Time {
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
func (c *conn) serveNext(came time.Time) {
	m, err := c.nextRequest(came)
	switch {
	case err != nil:
		status := 400
		if e, ok := err.(*http1.Error); ok {
			status = e.Status
		}
		c.rejectConnection(status, err.Error())
	case m != nil:
		c.serveRequest(m, came)
	}
}

// look returns the next request if one is whole and none is in hand; it is in hand then. What comes while another
// goroutine looks is seen by one of the two.
func (c *conn) nextRequest(came time.Time) (*http1.Message, error) {
	c.parseMu.Lock()
	defer c.parseMu.Unlock()
	c.server.mu.Lock()
	idle := !c.requestInFlight && !c.closed
	c.server.mu.Unlock()
	if !idle {
		return nil, nil
	}
	m, err := c.reader.Next()
	part := c.reader.Partial()
	c.server.mu.Lock()
	defer c.server.mu.Unlock()
	if m != nil {
		c.requestStarted, c.requestInFlight, c.closeAfterResponse = false, true, m.Close
		c.requests++
		return m, nil
	}
	if part && !c.requestStarted && c.responded {
		c.lastActivity = came
	}
	c.requestStarted = part
	return nil, err
}

// request acts on one whole request.
func (c *conn) serveRequest(m *http1.Message, came time.Time) {
	if m.Method == "GET" && m.Target == "/ping" {
		c.respond(200, nil, nil)
		return
	}
	call, req, err := c.server.parseCall(m, came)
	if err != nil {
		c.rejectRequest(err)
		return
	}
	call.Client, call.ClientLeft = c, c.disconnected
	c.server.mu.Lock()
	if _, open := c.server.openIDs[req.ID]; open {
		c.server.mu.Unlock()
		c.rejectRequest(&requestError{409, "a request of this id is open"})
		return
	}
	c.server.openIDs[req.ID] = struct{}{}
	c.requestID = req.ID
	turn := c.requests
	c.server.mu.Unlock()
	drop, ok := c.server.router.Submit(call)
	if !ok {
		c.completeRequest(503, nil, nil)
		return
	}
	c.server.mu.Lock()
	gone := c.closed
	if !gone && c.requests == turn && c.requestID == req.ID {
		c.cancel = drop
	}
	c.server.mu.Unlock()
	if gone { // the client left meanwhile; a call that has ended is not dropped by it
		drop()
		c.releaseID(req.ID)
	}
}

// refuse answers what can't be a call, and ends the connection: no usual client sends such.
func (c *conn) rejectRequest(err error) {
	status := 400
	if t, ok := err.(*requestError); ok {
		status = t.status
	}
	c.server.mu.Lock()
	c.server.stats.BadRequests++
	c.closeAfterResponse = true
	c.server.mu.Unlock()
	c.server.cfg.Logger.Debug("request turned down", "client", c.netConn.RemoteAddr(), "reason", err)
	c.respond(status, nil, []byte(err.Error()+"\n"))
}

// turnDown answers where no request could be read, and closes.
func (c *conn) rejectConnection(status int, reason string) {
	c.server.mu.Lock()
	if c.closed || c.requestInFlight {
		c.server.mu.Unlock()
		return
	}
	c.requestInFlight, c.closeAfterResponse = true, true
	c.server.stats.BadRequests++
	c.server.mu.Unlock()
	c.server.cfg.Logger.Debug("client connection turned down", "client", c.netConn.RemoteAddr(), "reason", reason)
	c.respond(status, nil, []byte(reason+"\n"))
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
			c.completeRequest(200, nil, f.Attempt.Body)
			return
		}
		c.completeRequest(502, nil, nil)
	case router.FinalRejected:
		var fields []http1.Field
		if ms := f.RetryAfter.Milliseconds(); ms > 0 {
			fields = []http1.Field{{Name: "X-Pushback-Ms", Value: strconv.FormatInt(ms, 10)}}
		}
		c.completeRequest(503, fields, nil)
	default:
		status := 502
		if f.DeadlineExceeded {
			status = 504
		}
		c.completeRequest(status, nil, nil)
	}
}

// finish answers the call in hand.
func (c *conn) completeRequest(status int, fields []http1.Field, body []byte) {
	c.server.mu.Lock()
	id := c.requestID
	c.cancel = nil
	c.server.mu.Unlock()
	c.releaseID(id)
	c.respond(status, fields, body)
}

// answer writes a response; the next request is looked at when the client has taken it. It does not block: a
// client that doesn't read holds up nothing but its own connection, and that not for long.
func (c *conn) respond(status int, fields []http1.Field, body []byte) {
	c.server.mu.Lock()
	last, over := c.closeAfterResponse, c.closed
	c.server.mu.Unlock()
	if over {
		return
	}
	go func() {
		_, err := c.netConn.Write(http1.AppendResponse(make([]byte, 0, 256+len(body)), status, fields, body, last))
		c.server.mu.Lock()
		c.requestInFlight, c.responded, c.lastActivity = false, true, time.Now()
		if err != nil || last {
			c.closed = true
		}
		over := c.closed
		c.server.mu.Unlock()
		if over {
			_ = c.netConn.Close()
			return
		}
		c.serveNext(time.Now()) // what came behind the request, if anything
	}()
}
