// Package grpcupstream holds the connections to workers. It starts attempts, load orders and probes there, and
// judges by what the wire shows how each ended (the table in evidence.go). It chooses no worker.
package grpcupstream

import (
	"errors"
	"log/slog"
	"sync"
	"time"

	"github.com/topazfront/topazfront/internal/endpoints"
	"github.com/topazfront/topazfront/internal/oip"
	"github.com/topazfront/topazfront/internal/router"
	"github.com/topazfront/topazfront/internal/transport/grpc"
	"github.com/topazfront/topazfront/internal/transport/hpack"
	"github.com/topazfront/topazfront/internal/transport/http2"
)

// Config is the upstream's share of the settings.
type Config struct {
	Router         string // name of this router, told to workers
	ConnectTimeout time.Duration
	MaxConns       int // connections to one worker
	MaxMessage     int // bytes of a message of an answer that is held whole
	HTTP2          http2.Config
	Log            *slog.Logger
}

// RouterField tells a worker which router a call comes from.
const RouterField = "topazfront-router"

// Pool is the connections of one router to all workers.
type Pool struct {
	cfg    Config
	router *router.Router

	mu      sync.Mutex
	workers map[string]*worker
	closed  bool
}

// worker is one worker's connections.
type worker struct {
	id, addr string
	conns    []*http2.Conn
	dialing  int
	waiting  []exchange // for a connection
}

// exchange is something to be sent on a stream.
type exchange interface {
	open(*http2.Conn) error
	fail(reason string)
}

// New returns a Pool that knows no worker. Attach must follow before it is used.
func New(cfg Config) *Pool {
	if cfg.Log == nil {
		cfg.Log = slog.New(slog.DiscardHandler)
	}
	return &Pool{cfg: cfg, workers: map[string]*worker{}}
}

// Attach names the router that is told how things end.
func (p *Pool) Attach(r *router.Router) { p.router = r }

// Workers implements router.Upstream.
func (p *Pool) SetEndpoints(list []endpoints.Worker) {
	var leave []*http2.Conn
	addresses := make(map[string]string, len(list))
	p.mu.Lock()
	for _, l := range list {
		id, addr := l.ID, l.Address
		addresses[id] = addr
		w := p.workers[id]
		if w == nil {
			p.workers[id] = &worker{id: id, addr: addr}
		} else if w.addr != addr {
			leave = append(leave, w.conns...)
			w.addr, w.conns = addr, nil
		}
	}
	for id, w := range p.workers {
		if _, ok := addresses[id]; !ok {
			leave = append(leave, w.conns...)
			delete(p.workers, id)
		}
	}
	p.mu.Unlock()
	for _, c := range leave {
		c.Shutdown()
	}
}

// Send implements router.Upstream.
func (p *Pool) StartAttempt(token router.AttemptToken, c *router.Call, worker string, n int, left time.Duration) router.UpstreamAttempt {
	req, _ := c.Request.(*oip.Request)
	a := &attempt{p: p, token: token, req: req, streamed: c.Streamed, worker: worker, n: n, until: time.Now().Add(left)}
	a.drain = a.drained
	if req == nil {
		a.fail("the call came by another protocol")
		return a
	}
	p.do(worker, a)
	return a
}

// do finds a connection for x, or opens one.
func (p *Pool) do(id string, x exchange) {
	p.mu.Lock()
	w := p.workers[id]
	if w == nil || p.closed {
		p.mu.Unlock()
		x.fail("worker is not listed")
		return
	}
	var best *http2.Conn
	room := 0
	for _, c := range w.conns {
		if r := c.AvailableStreams(); r > room {
			best, room = c, r
		}
	}
	if best == nil {
		switch {
		case w.dialing == 0 && len(w.conns) < p.cfg.MaxConns:
			w.waiting = append(w.waiting, x)
			w.dialing++
			go p.dial(w, w.addr)
		case w.dialing > 0:
			w.waiting = append(w.waiting, x)
		default:
			p.mu.Unlock()
			x.fail("no stream is free")
			return
		}
		p.mu.Unlock()
		return
	}
	p.mu.Unlock()
	if err := x.open(best); err != nil {
		p.again(id, x, err)
	}
}

// again takes an exchange that lost its connection, or the last free stream, before anything was sent.
func (p *Pool) again(id string, x exchange, err error) {
	p.mu.Lock()
	w := p.workers[id]
	if w == nil || p.closed || w.dialing == 0 && len(w.conns) >= p.cfg.MaxConns {
		p.mu.Unlock()
		x.fail(err.Error())
		return
	}
	w.waiting = append(w.waiting, x)
	if w.dialing == 0 {
		w.dialing++
		go p.dial(w, w.addr)
	}
	p.mu.Unlock()
}

// dial opens one connection for those that wait.
func (p *Pool) dial(w *worker, addr string) {
	h := &link{p: p, w: w}
	c, err := http2.Dial("tcp", addr, p.cfg.ConnectTimeout, p.cfg.HTTP2, h)
	p.mu.Lock()
	w.dialing--
	waiting := w.waiting
	w.waiting = nil
	stale := p.closed || p.workers[w.id] != w || w.addr != addr
	if err == nil && !stale && !h.over {
		w.conns = append(w.conns, c)
	}
	p.mu.Unlock()
	if err == nil && stale {
		c.Shutdown()
	}
	for _, x := range waiting {
		switch {
		case err != nil:
			x.fail(err.Error())
		case stale:
			p.do(w.id, x)
		default:
			switch err := x.open(c); {
			case errors.Is(err, http2.ErrTooManyStreams):
				p.again(w.id, x, err)
			case err != nil: // a worker that accepts and closes at once is not dialled over and over
				x.fail(err.Error())
			}
		}
	}
}

// link is one connection's handler.
type link struct {
	p    *Pool
	w    *worker
	over bool // no more streams; guarded by p.mu
}

// Open implements http2.Handler. A client is never opened a stream to.
func (l *link) Open(*http2.Stream) http2.Receiver { return nil }

// GoAway implements http2.Handler. Without an error it is a worker's word that it takes nothing new.
func (l *link) GoAway(c *http2.Conn, code http2.ErrCode) {
	l.leave(c)
	if code == http2.NoError {
		l.p.router.WorkerDraining(l.w.id)
	} else {
		l.p.cfg.Log.Warn("worker ended the connection", "worker", l.w.id, "code", code.String())
	}
}

// ConnClosed implements http2.Handler.
func (l *link) ConnClosed(c *http2.Conn, err error) { l.leave(c) }

func (l *link) leave(c *http2.Conn) {
	l.p.mu.Lock()
	defer l.p.mu.Unlock()
	l.over = true
	for i, o := range l.w.conns {
		if o == c {
			l.w.conns = append(l.w.conns[:i], l.w.conns[i+1:]...)
			return
		}
	}
}

// Close ends all connections.
func (p *Pool) Close() {
	p.mu.Lock()
	p.closed = true
	var conns []*http2.Conn
	for _, w := range p.workers {
		conns = append(conns, w.conns...)
	}
	p.mu.Unlock()
	for _, c := range conns {
		c.Close()
	}
}

// Conns tells how many connections are open.
func (p *Pool) Conns() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := 0
	for _, w := range p.workers {
		n += len(w.conns)
	}
	return n
}

// head is what every request to a worker begins with.
func (p *Pool) head(path string, left time.Duration) []hpack.Field {
	return append(grpc.RequestHeaders("worker", path, left), hpack.Field{Name: RouterField, Value: p.cfg.Router})
}
