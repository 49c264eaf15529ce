package respupstream

import (
	"log/slog"
	"sync"
	"time"

	"github.com/topazfront/topazfront/dispatch"
	"github.com/topazfront/topazfront/internal/endpoints"
	"github.com/topazfront/topazfront/internal/router"
)

// Config is the part of the settings that concerns connections to workers.
type Config struct {
	ConnectTimeout     time.Duration // of a connect; also the longest that a load command waits to be written
	IdleTimeout        time.Duration // idle connections are closed after it, before a worker would; 0: never
	WriteTimeout       time.Duration // a worker must accept a written message within it
	StallTimeout       time.Duration // longest pause within a response that has begun
	MaxConns           int           // connections to all workers together
	MaxRequestsPerConn int           // requests in flight or queued on one connection
	MaxResponseBytes   int           // of all items of one response together
	ReceiveBuffer      int           // bytes of the socket's receive buffer; 0: the system's default
	Logger             *slog.Logger  // nil: nothing is logged

	send sendFunc // nil: the system's; tests make it fail
}

// Pool holds the connections of one router to all workers and implements router.Upstream. One lock guards all of its
// state, that of workers, connections and exchanges included; nothing blocks while it is held, and no callback runs.
type Pool struct {
	config Config
	router *router.Router

	mu             sync.Mutex
	workers        map[string]*worker   // by id
	conns          map[*conn]struct{}   // includes those of removed workers
	waitingWorkers map[*worker]struct{} // those with waiting exchanges, and some that have none any more
	connecting     int                  // connects in progress to all workers
	lastControlID  uint64               // of the latest load command or health check
	closed         bool
	stop           chan struct{} // closed by Close; ends the sweep goroutine
	stats          Stats
}

// Stats is a snapshot of the pool, with counters since it was created.
type Stats struct {
	// Held now.
	Conns    int
	InFlight int // written and not answered
	Queued   int // on a connection, not written

	// Since the start.
	Written           uint64
	Answered          uint64
	CancelledInFlight uint64 // cancelled after they were written
	NeverWritten      uint64 // ended without a byte written
	Dials             uint64
	DialFailures      uint64
	ProtocolErrors    uint64 // connections closed for a malformed or stalled response
	Evicted           uint64 // idle connections closed to make room for one to another worker

	// Sums over the attempts that ended OK.
	QueueTime    time.Duration // from StartAttempt until the attempt was written
	ResponseTime time.Duration // from then until its response
}

// worker is one process of a worker at one address. Another address, or a later start under the same id, makes a new
// worker: nothing that was meant for the old process is written to the new one.
type worker struct {
	id, addr   string
	startedAt  time.Duration
	state      dispatch.EndpointState
	removed    bool        // no longer in the endpoint list
	conns      []*conn     // that accept new exchanges
	connecting int         // connects in progress
	waiting    []*exchange // for a connection
}

// New returns a Pool without workers and starts its sweep goroutine, which ends with Close. Attach must be called before
// the pool is used.
func New(cfg Config) *Pool {
	if cfg.Logger == nil {
		cfg.Logger = slog.New(slog.DiscardHandler)
	}
	if cfg.send == nil {
		cfg.send = sendmsg
	}
	p := &Pool{
		config:         cfg,
		workers:        map[string]*worker{},
		conns:          map[*conn]struct{}{},
		waitingWorkers: map[*worker]struct{}{},
		stop:           make(chan struct{}),
	}
	go p.sweep()
	return p
}

// Attach sets the router that is notified of how attempts end.
func (p *Pool) Attach(r *router.Router) { p.router = r }

// Stats returns a snapshot.
func (p *Pool) Stats() Stats {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.stats
	s.Conns = len(p.conns)
	for c := range p.conns {
		s.InFlight += len(c.inFlight)
		s.Queued += len(c.queue)
	}
	return s
}

// UpdateEndpoints implements router.Upstream.
func (p *Pool) UpdateEndpoints(changed []endpoints.Worker) {
	var callbacks []func()
	p.mu.Lock()
	for _, endpoint := range changed {
		callbacks = append(callbacks, p.updateWorker(endpoint)...)
	}
	p.mu.Unlock()
	runCallbacks(callbacks...)
}

// updateWorker applies a change of one worker. The lock is held. The returned callbacks are run without it.
func (p *Pool) updateWorker(endpoint endpoints.Worker) (callbacks []func()) {
	w := p.workers[endpoint.ID]
	removed := endpoint.State == dispatch.EndpointRemoved
	if w != nil && (removed || w.isReplacedBy(endpoint)) {
		callbacks = p.removeWorker(w)
		delete(p.workers, endpoint.ID)
		w = nil
	}
	if removed {
		return callbacks
	}
	if w == nil {
		w = &worker{id: endpoint.ID, addr: endpoint.Address, startedAt: endpoint.StartedAt}
		p.workers[endpoint.ID] = w
	}
	w.state = endpoint.State
	return callbacks
}

// isReplacedBy reports whether an endpoint of the worker's id is another process: at another address, or started later.
func (w *worker) isReplacedBy(endpoint endpoints.Worker) bool {
	return w.addr != endpoint.Address || endpoint.StartedAt > w.startedAt
}

// accepts reports whether an exchange of the kind may be written to the worker. nil stands for a worker that is not listed.
// Draining workers are still checked, because a health check shows when the drain is over.
func (w *worker) accepts(kind exchangeKind) bool {
	if w == nil || w.removed {
		return false
	}
	return w.state == dispatch.EndpointActive || kind == kindHealthCheck
}

// removeWorker ends the exchanges that wait for a connection to the worker. Its connections accept nothing new, and
// close when nothing is in flight on them. The lock is held. The returned callbacks are run without it.
func (p *Pool) removeWorker(w *worker) (callbacks []func()) {
	w.removed = true
	waiting := w.waiting
	w.waiting = nil
	for _, x := range waiting {
		callbacks = append(callbacks, p.finish(x, dispatch.NotSent, nil))
	}
	for _, c := range append([]*conn(nil), w.conns...) {
		c.drain()
	}
	return callbacks
}

// runCallbacks runs the completion callbacks that were collected under the lock; nil ones are skipped.
func runCallbacks(callbacks ...func()) {
	for _, f := range callbacks {
		if f != nil {
			f()
		}
	}
}

// Close ends all connections and the sweep goroutine. What is in flight ends as ConnectionReset.
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
	var callbacks []func()
	for _, w := range p.workers {
		callbacks = append(callbacks, p.removeWorker(w)...)
	}
	p.mu.Unlock()
	runCallbacks(callbacks...)
	for _, c := range conns {
		c.close()
	}
}
