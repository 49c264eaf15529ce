package respupstream

import (
	"context"
	"errors"
	"strconv"
	"syscall"
	"time"

	"github.com/cloudwego/netpoll"
	"golang.org/x/sys/unix"

	"github.com/topazfront/topazfront/dispatch"
	"github.com/topazfront/topazfront/internal/invocation"
	"github.com/topazfront/topazfront/internal/transport/listen"
	"github.com/topazfront/topazfront/internal/transport/resp"
)

// conn is one connection to a worker.
type conn struct {
	p  *Pool
	w  *worker
	nc netpoll.Connection
	in *resp.Reader // of netpoll's goroutine for the connection

	// Under the pool's lock.
	open    map[string]*exchange // written and not answered
	used    map[string]int64     // ids that went over it, until this Unix time, in seconds
	swept   time.Time
	queue   []*exchange
	writing bool // a goroutine empties the queue
	partial bool // an answer has begun and is not whole
	retired bool // takes nothing new; ends once nothing is open
	dead    bool
	heard   time.Time // when bytes last came
	lastUse time.Time
}

// usedFor is how long an id counts as used on a connection: longer than any deadline that a request can have and
// that a late answer may take.
const usedFor = time.Minute

// maxUsed bounds the ids that a connection remembers: then it makes room for a fresh one.
const maxUsed = 4096

// dial opens one connection for those that wait.
func (p *Pool) dial(w *worker) {
	nc, err := netpoll.NewDialer().DialConnection("tcp", w.addr, p.cfg.ConnectTimeout)
	var c *conn
	if err == nil {
		c = &conn{p: p, w: w, nc: nc, in: resp.NewReader(resp.Limits{Items: 8, Bytes: p.cfg.MaxAnswer}),
			open: map[string]*exchange{}, used: map[string]int64{}, heard: time.Now(), lastUse: time.Now()}
		if fd, ok := nc.(netpoll.Conn); ok && p.cfg.Buffer > 0 {
			_ = syscall.SetsockoptInt(fd.Fd(), syscall.SOL_SOCKET, syscall.SO_RCVBUF, p.cfg.Buffer)
		}
		_ = nc.SetWriteTimeout(p.cfg.WriteTimeout)
	}
	var ends []func()
	p.mu.Lock()
	w.dialing--
	p.dialing--
	if err != nil {
		p.stats.Failed++
		res := dispatch.ConnectFailed
		if ours(err) {
			res = dispatch.NotSent
		}
		waiting := w.waiting
		w.waiting = nil
		for _, x := range waiting {
			ends = append(ends, p.end(x, res, nil))
		}
	} else {
		p.conns[c] = struct{}{}
		w.conns = append(w.conns, c)
		c.retired = w.left || p.closed
	}
	p.mu.Unlock()
	run(ends)
	ends = nil
	if err != nil {
		p.cfg.Log.Debug("no connection", "worker", w.id, "error", err)
		return
	}
	_ = nc.SetOnRequest(func(context.Context, netpoll.Connection) error { c.read(); return nil })
	_ = nc.AddCloseCallback(func(netpoll.Connection) error { c.lost(); return nil })
	if !nc.IsActive() {
		c.lost()
		return
	}
	p.mu.Lock()
	c.serve()
	if waiting := w.waiting; w.dialing == 0 { // no other connection is on its way: what is left shares those that stand
		w.waiting = nil
		for _, x := range waiting {
			ends = append(ends, p.place(x))
		}
	}
	p.mu.Unlock()
	run(ends)
}

// ours tells whether a connect failed for want of something at this end, which says nothing of the worker.
func ours(err error) bool {
	for _, e := range []error{syscall.EMFILE, syscall.ENFILE, syscall.EADDRNOTAVAIL, syscall.ENOBUFS, syscall.ENOMEM} {
		if errors.Is(err, e) {
			return true
		}
	}
	return false
}

// serve takes the first that waits for a connection, where this one has nothing to do. The lock is held.
func (c *conn) serve() {
	for len(c.w.waiting) > 0 && !c.retired && c.load() == 0 {
		x := c.w.waiting[0]
		if c.used[x.id] != 0 {
			return
		}
		c.w.waiting = c.w.waiting[1:]
		if !x.over {
			c.enqueue(x)
		}
	}
}

// load is what the connection has in hand. The lock is held, as by the methods that follow.
func (c *conn) load() int { return len(c.open) + len(c.queue) }

// enqueue has an exchange written next.
func (c *conn) enqueue(x *exchange) {
	if c.dead {
		return
	}
	x.c = c
	c.queue = append(c.queue, x)
	c.lastUse = time.Now()
	if !c.writing {
		c.writing = true
		go c.write()
	}
}

// retire has the connection take nothing new. The sweep ends it when nothing is open.
func (c *conn) retire() {
	c.retired = true
	for i, o := range c.w.conns {
		if o == c {
			c.w.conns = append(c.w.conns[:i], c.w.conns[i+1:]...)
			break
		}
	}
}

// remove takes an exchange that has ended off the connection.
func (c *conn) remove(x *exchange) {
	if c.open[x.id] == x {
		delete(c.open, x.id)
	}
	for i, o := range c.queue {
		if o == x {
			c.queue = append(c.queue[:i], c.queue[i+1:]...)
			break
		}
	}
	c.lastUse = time.Now()
	c.serve()
}

// forget lets ids go that no late answer can come for, and makes room for a fresh connection where too many are
// remembered.
func (c *conn) forget(now time.Time) {
	if len(c.used) > maxUsed {
		c.retire()
	}
	if now.Sub(c.swept) < usedFor/8 {
		return
	}
	c.swept = now
	for id, until := range c.used {
		if until < now.Unix() && c.open[id] == nil {
			delete(c.used, id)
		}
	}
}

// write empties the queue. What is next is looked at once the socket takes bytes: its first byte goes out right
// after.
func (c *conn) write() {
	p := c.p
	for {
		ready := writable(c.nc)
		var f func()
		p.mu.Lock()
		if c.dead || len(c.queue) == 0 {
			c.writing = false
			over := c.retired && len(c.open) == 0
			p.mu.Unlock()
			if over {
				c.lost()
			}
			return
		}
		x, now := c.queue[0], time.Now()
		if x.kind != note && !p.viable(x, now) {
			f = p.end(x, dispatch.NotSent, nil)
			p.mu.Unlock()
			run([]func(){f})
			continue
		}
		if !ready {
			p.mu.Unlock()
			time.Sleep(time.Millisecond)
			continue
		}
		c.queue = c.queue[1:]
		if x.kind != note {
			x.written = now
			c.open[x.id] = x
			c.used[x.id] = now.Add(usedFor).Unix()
			p.stats.Written++
		}
		p.mu.Unlock()
		buf := x.form(x.until.Sub(now))
		active := c.nc.IsActive()
		var err error
		if active {
			_, err = c.nc.Write(buf)
		}
		if none := !active || errors.Is(err, syscall.EPIPE) || errors.Is(err, syscall.ECONNRESET); none {
			c.untaken(x)
			c.lost()
			return
		}
		if err != nil {
			c.lost()
			return
		}
	}
}

// untaken has an exchange of which the system took no byte go to another connection.
func (c *conn) untaken(x *exchange) {
	p := c.p
	var f func()
	p.mu.Lock()
	if !x.over && x.kind != note {
		delete(c.open, x.id)
		c.retire()
		x.written, x.c = time.Time{}, nil
		if x.tries++; x.tries > 3 {
			f = p.end(x, dispatch.NotSent, nil)
		} else {
			f = p.place(x)
		}
	}
	p.mu.Unlock()
	run([]func(){f})
}

// writable tells whether the socket takes bytes now.
func writable(nc netpoll.Connection) bool {
	fd, ok := nc.(netpoll.Conn)
	if !ok || !nc.IsActive() {
		return true // the write tells
	}
	ready, err := listen.Poll(fd.Fd(), unix.POLLOUT)
	return err != nil || ready != 0
}

// read takes what has come. netpoll runs it on one goroutine at a time.
func (c *conn) read() {
	defer func() {
		if v := recover(); v != nil {
			c.p.cfg.Log.Error("worker connection: panic", "worker", c.w.id, "panic", v)
			c.broken("panic")
		}
	}()
	r := c.nc.Reader()
	for n := r.Len(); n > 0; n = r.Len() {
		if n > c.p.cfg.MaxAnswer {
			n = c.p.cfg.MaxAnswer
		}
		p, err := r.Next(n)
		if err == nil {
			err = c.in.Feed(p, c.answered)
		}
		_ = r.Release()
		c.p.mu.Lock()
		c.heard, c.partial = time.Now(), c.in.Partial()
		dead := c.dead
		c.p.mu.Unlock()
		if err != nil {
			c.broken(err.Error())
			return
		}
		if dead {
			_ = r.Skip(r.Len())
			_ = r.Release()
			_ = c.nc.Close()
			return
		}
	}
}

// answered takes one whole answer.
func (c *conn) answered(items [][]byte) error {
	a, err := readAnswer(items)
	if err != nil {
		return err
	}
	p := c.p
	var f func()
	p.mu.Lock()
	if x := c.open[a.id]; x != nil {
		res, ok := words[a.word][x.kind]
		if !ok {
			p.mu.Unlock()
			return errAnswer
		}
		f = p.end(x, res, &a)
	}
	p.mu.Unlock()
	run([]func(){f})
	return nil
}

// broken ends a connection on which the worker broke the protocol.
func (c *conn) broken(reason string) {
	c.p.mu.Lock()
	c.p.stats.Broken++
	c.p.mu.Unlock()
	c.p.cfg.Log.Debug("connection ended", "worker", c.w.id, "reason", reason)
	c.lost()
}

// lost takes the end of the connection: what was open on it may have run, what waited for it has not.
func (c *conn) lost() {
	p := c.p
	var ends []func()
	p.mu.Lock()
	if c.dead {
		p.mu.Unlock()
		return
	}
	c.dead = true
	c.retire()
	delete(p.conns, c)
	queue := c.queue
	c.queue = nil
	for _, x := range c.open {
		ends = append(ends, p.end(x, dispatch.ConnectionReset, nil))
	}
	for _, x := range queue {
		if x.c = nil; !x.over && x.kind != note {
			ends = append(ends, p.place(x))
		}
	}
	if waiting := c.w.waiting; c.w.dialing == 0 { // those that waited for room on it
		c.w.waiting = nil
		for _, x := range waiting {
			ends = append(ends, p.place(x))
		}
	}
	p.mu.Unlock()
	run(ends)
	_ = c.nc.Close()
}

// The messages to a worker.

func execOf(r *invocation.Request, left time.Duration) []byte {
	f := make([]byte, 0, 128)
	f = append(f, "cls="...)
	f = append(f, r.Class...)
	f = append(f, ",item="...)
	f = append(f, r.Function...)
	f = append(f, ",limit="...)
	f = strconv.AppendInt(f, max(left.Milliseconds(), 1), 10)
	if r.IdempotencyKey != "" {
		f = append(f, ",nonce="...)
		f = append(f, r.IdempotencyKey...)
	}
	return resp.Append(make([]byte, 0, 256+len(r.Body)), []byte("exec"), []byte(r.ID), f, r.Body)
}

func ensureOf(tag, function string, copies int) []byte {
	return resp.Append(nil, []byte("ensure"), []byte(tag), []byte("item="+function+",slots_up="+strconv.Itoa(copies)))
}

func loadOf(tag string) []byte { return resp.Append(nil, []byte("load"), []byte(tag)) }

func dropOf(id string) []byte { return resp.Append(nil, []byte("drop"), []byte(id)) }
