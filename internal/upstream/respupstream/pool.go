// Package respupstream is the router's exit to workers that speak the platform's protocol: arrays of bulk strings, many
// requests on a connection, answers in any order. It starts attempts, load orders and probes, judges by what the
// wire shows how each ended (the table in evidence.go), and checks each again at the moment its first byte is
// written. It chooses no worker.
package respupstream

import (
	"log/slog"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/topazfront/topazfront/dispatch"
	"github.com/topazfront/topazfront/internal/endpoints"
	"github.com/topazfront/topazfront/internal/invocation"
	"github.com/topazfront/topazfront/internal/router"
)

// Config is the upstream's share of the settings.
type Config struct {
	ConnectTimeout time.Duration
	IdleClose      time.Duration // workers close connections idle for so long; this end does before; 0: never
	WriteTimeout   time.Duration // a worker must take what is written within this
	StallAfter     time.Duration // an answer that has begun must be whole within this
	MaxConns       int           // to all workers
	MaxOpen        int           // requests on one connection; above that nothing more goes on it
	MaxAnswer      int           // bytes
	Buffer         int           // bytes that the system holds of what a worker sends ahead
	Log            *slog.Logger
}

// Pool is the connections of one router to all workers. One lock guards all of it; nothing blocks under it.
type Pool struct {
	cfg    Config
	router *router.Router

	mu      sync.Mutex
	workers map[string]*worker
	conns   map[*conn]struct{} // those of workers that have left too
	dialing int
	tags    uint64
	closed  bool
	stop    chan struct{}
	stats   Stats
}

// Stats counts what went over the sockets.
type Stats struct {
	Conns, Open, Waiting                                      int
	Written, Answered, Late, Unwritten, Dials, Failed, Broken uint64
	Waited, Wire                                              time.Duration // of served attempts: until they were written, and from then on
}

// worker is one worker's life at one address. A new one at the same address, or a new process under the same id,
// is another worker.
type worker struct {
	id, addr string
	started  time.Duration
	state    dispatch.EndpointState
	left     bool // no longer in the list
	conns    []*conn
	dialing  int
	waiting  []*exchange // for a connection
}

// kind is the kind of an exchange.
type kind int

const (
	exec kind = iota
	order
	probe
	note // has no answer
)

// exchange is something to be written to a worker, and what comes of it.
type exchange struct {
	p     *Pool
	kind  kind
	id    string
	w     *worker
	until time.Time // of no use when written later
	tries int       // connections that took no byte of it
	began time.Time
	call  *router.Call // of an attempt
	form  func(left time.Duration) []byte
	done  func(dispatch.Result, *answer)

	// Under the pool's lock.
	c       *conn // on which it is queued or open
	written time.Time
	over    bool
	timer   *time.Timer // of orders and probes
}

// New returns a Pool that knows no worker. Attach must follow before it is used.
func New(cfg Config) *Pool {
	if cfg.Log == nil {
		cfg.Log = slog.New(slog.DiscardHandler)
	}
	p := &Pool{cfg: cfg, workers: map[string]*worker{}, conns: map[*conn]struct{}{}, stop: make(chan struct{})}
	go p.sweep()
	return p
}

// Attach names the router that is told how things end.
func (p *Pool) Attach(r *router.Router) { p.router = r }

// Stats tells what the pool has done and holds.
func (p *Pool) Stats() Stats {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.stats
	s.Conns = len(p.conns)
	for c := range p.conns {
		s.Open += len(c.open)
		s.Waiting += len(c.queue)
	}
	return s
}

// Workers implements router.Upstream.
func (p *Pool) SetEndpoints(list []endpoints.Worker) {
	var ends []func()
	named := make(map[string]bool, len(list))
	p.mu.Lock()
	for _, l := range list {
		named[l.ID] = true
		w := p.workers[l.ID]
		if w != nil && (w.addr != l.Address || l.StartedAt > w.started) {
			ends = append(ends, p.leave(w)...)
			w = nil
		}
		if w == nil {
			w = &worker{id: l.ID, addr: l.Address, started: l.StartedAt}
			p.workers[l.ID] = w
		}
		w.state = l.State
	}
	for id, w := range p.workers {
		if !named[id] {
			ends = append(ends, p.leave(w)...)
			delete(p.workers, id)
		}
	}
	p.mu.Unlock()
	run(ends)
}

// leave takes a worker out: what was not written ends, what is open is waited for.
func (p *Pool) leave(w *worker) (ends []func()) {
	w.left = true
	waiting := w.waiting
	w.waiting = nil
	for _, x := range waiting {
		ends = append(ends, p.end(x, dispatch.NotSent, nil))
	}
	for _, c := range append([]*conn(nil), w.conns...) {
		c.retire()
	}
	return ends
}

func run(ends []func()) {
	for _, f := range ends {
		if f != nil {
			f()
		}
	}
}

// handle is the router's hold on an attempt.
type handle struct{ x *exchange }

// Grant implements router.Attempt. Answers of this protocol come whole, so nothing is ever granted.
func (h handle) ForwardTo(router.Client) {}

// Cancel implements router.Attempt.
func (h handle) Cancel() { h.x.p.cancel(h.x) }

// Send implements router.Upstream.
func (p *Pool) StartAttempt(token router.AttemptToken, c *router.Call, id string, _ int, left time.Duration) router.UpstreamAttempt {
	req, _ := c.Request.(*invocation.Request)
	x := &exchange{p: p, kind: exec, call: c, began: time.Now()}
	x.until = x.began.Add(left)
	x.done = func(res dispatch.Result, a *answer) {
		how := router.AttemptResult{Result: res, Report: router.NoWorkerReport}
		if a != nil {
			how.Report = a.report
			if res == dispatch.OK {
				how.Body = a.body
			}
		}
		p.router.AttemptEnded(token, how)
	}
	if req == nil { // it came by another protocol
		x.over = true
		x.done(dispatch.NotSent, nil)
		return handle{x}
	}
	x.id = req.ID
	x.form = func(left time.Duration) []byte { return execOf(req, left) }
	p.start(x, id)
	return handle{x}
}

// Load implements router.Upstream. An order that can't be written soon is not written at all: ordered late it
// would come in another span of the ration.
func (p *Pool) LoadFunction(id, function string, copies int, limit time.Duration, done func(router.LoadResult)) {
	x := &exchange{p: p, kind: order, until: time.Now().Add(min(limit, p.cfg.ConnectTimeout))}
	x.done = func(res dispatch.Result, a *answer) {
		o := router.LoadResult{Result: res}
		if a != nil {
			o.Copies = a.copies
		}
		done(o)
	}
	x.form = func(time.Duration) []byte { return ensureOf(x.id, function, copies) }
	p.timed(x, id, limit)
}

// Ask implements router.Upstream.
func (p *Pool) CheckHealth(id string, limit time.Duration, done func(router.HealthResult)) {
	x := &exchange{p: p, kind: probe, until: time.Now().Add(limit)}
	x.done = func(res dispatch.Result, a *answer) {
		got := router.HealthResult{Result: res, Report: router.NoWorkerReport}
		if a != nil {
			got.Report, got.Ready = a.report, a.word == "yes"
		}
		done(got)
	}
	x.form = func(time.Duration) []byte { return loadOf(x.id) }
	p.timed(x, id, limit)
}

// timed starts an exchange that this package itself ends when its time is over.
func (p *Pool) timed(x *exchange, worker string, limit time.Duration) {
	p.mu.Lock()
	p.tags++
	x.id = "q" + strconv.FormatUint(p.tags, 10)
	x.timer = time.AfterFunc(limit, func() {
		p.mu.Lock()
		f := p.end(x, dispatch.TimedOut, nil)
		p.mu.Unlock()
		run([]func(){f})
	})
	p.mu.Unlock()
	p.start(x, worker)
}

// start sets an exchange on its way.
func (p *Pool) start(x *exchange, worker string) {
	p.mu.Lock()
	x.w = p.workers[worker]
	f := p.place(x)
	p.mu.Unlock()
	run([]func(){f})
}

// viable tells whether an exchange may be written now.
func (p *Pool) viable(x *exchange, now time.Time) bool {
	return !x.over && x.w != nil && !x.w.left && !p.closed && now.Before(x.until) &&
		(x.w.state == dispatch.EndpointActive || x.kind == probe) && (x.call == nil || x.call.ClientWaiting())
}

// place finds a connection for an exchange: one with nothing open, lately used first, else a new one while the
// bounds allow it, else the one with the least open. With few requests on each, one that breaks takes few along.
func (p *Pool) place(x *exchange) (end func()) {
	if !p.viable(x, time.Now()) {
		return p.end(x, dispatch.NotSent, nil)
	}
	w := x.w
	var best *conn
	for _, c := range w.conns {
		if c.retired || c.used[x.id] != 0 || len(c.open)+len(c.queue) >= p.cfg.MaxOpen {
			continue
		}
		if best == nil || c.load() < best.load() || c.load() == best.load() && c.lastUse.After(best.lastUse) {
			best = c
		}
	}
	if best != nil && best.load() == 0 {
		best.enqueue(x)
		return nil
	}
	share := max(p.cfg.MaxConns/max(len(p.workers), 1), 1)
	if len(p.conns)+p.dialing < p.cfg.MaxConns && len(w.conns)+w.dialing < share {
		w.waiting = append(w.waiting, x)
		w.dialing++
		p.dialing++
		p.stats.Dials++
		go p.dial(w)
		return nil
	}
	if best != nil {
		best.enqueue(x)
		return nil
	}
	w.waiting = append(w.waiting, x) // for a connection on its way, or for room: the sweep looks again
	return nil
}

// end ends an exchange, once; the returned function tells so and must be called without the lock.
func (p *Pool) end(x *exchange, res dispatch.Result, a *answer) func() {
	if x.over {
		return nil
	}
	x.over = true
	if x.timer != nil {
		x.timer.Stop()
	}
	if c := x.c; c != nil {
		c.remove(x)
	} else if x.w != nil {
		x.w.waiting = slices.DeleteFunc(x.w.waiting, func(o *exchange) bool { return o == x })
	}
	if x.written.IsZero() {
		p.stats.Unwritten++
	} else if a != nil {
		p.stats.Answered++
		if x.kind == exec && res == dispatch.OK {
			p.stats.Waited += x.written.Sub(x.began)
			p.stats.Wire += time.Since(x.written)
		}
	}
	if a != nil && a.body != nil {
		b := *a
		b.body = append([]byte(nil), a.body...)
		a = &b
	}
	return func() { x.done(res, a) }
}

// cancel gives an attempt up. What was written is taken back by a drop, which has no answer.
func (p *Pool) cancel(x *exchange) {
	p.mu.Lock()
	res := dispatch.Cancelled
	if x.written.IsZero() {
		res = dispatch.NotSent
	}
	c := x.c
	open := c != nil && !x.over && !x.written.IsZero()
	f := p.end(x, res, nil)
	if open {
		p.stats.Late++
		if c.heard.Before(x.written) {
			c.retire() // nothing has come since: it may be of no further use
		}
		id := x.id
		c.enqueue(&exchange{p: p, kind: note, w: x.w, form: func(time.Duration) []byte { return dropOf(id) }})
	}
	p.mu.Unlock()
	run([]func(){f})
}

// sweep ends connections that have been idle for long, and those on which an answer stopped within.
func (p *Pool) sweep() {
	tick := time.NewTicker(50 * time.Millisecond)
	defer tick.Stop()
	for {
		select {
		case <-p.stop:
			return
		case <-tick.C:
		}
		now := time.Now()
		var stalled, idle []*conn
		p.mu.Lock()
		for c := range p.conns {
			switch {
			case c.partial && now.Sub(c.heard) > p.cfg.StallAfter:
				stalled = append(stalled, c)
			case c.load() == 0 && !c.writing && (c.retired || p.cfg.IdleClose > 0 && now.Sub(c.lastUse) > p.cfg.IdleClose):
				c.retired = true
				idle = append(idle, c)
			}
			c.forget(now)
		}
		var ends []func()
		for _, w := range p.workers {
			if waiting := w.waiting; len(waiting) > 0 && w.dialing == 0 {
				w.waiting = nil
				for _, x := range waiting {
					ends = append(ends, p.place(x))
				}
			}
		}
		p.mu.Unlock()
		run(ends)
		for _, c := range stalled {
			c.broken("an answer stopped within")
		}
		for _, c := range idle {
			c.lost()
		}
	}
}

// Close ends all connections.
func (p *Pool) Close() {
	p.mu.Lock()
	if p.closed {
		p.mu.Unlock()
		return
	}
	p.closed = true
	close(p.stop)
	var conns []*conn
	for c := range p.conns {
		conns = append(conns, c)
	}
	var ends []func()
	for _, w := range p.workers {
		ends = append(ends, p.leave(w)...)
	}
	p.mu.Unlock()
	run(ends)
	for _, c := range conns {
		c.lost()
	}
}
