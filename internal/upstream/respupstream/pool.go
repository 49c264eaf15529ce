package respupstream

import (
	"log/slog"
	"sync"
	"time"

	"github.com/topazfront/topazfront/dispatch"
	"github.com/topazfront/topazfront/internal/endpoints"
	"github.com/topazfront/topazfront/internal/router"
)

// Config holds the settings for connections to workers.
type Config struct {
	ConnectTimeout     time.Duration // also the longest time that a load command waits to be written
	IdleTimeout        time.Duration // an idle connection is closed after it, before its worker would; 0 means never
	WriteTimeout       time.Duration // from the first byte of a message to its last; 0 means no limit
	StallTimeout       time.Duration // longest pause between two reads of an incomplete response
	MaxConns           int           // to all workers together
	MaxRequestsPerConn int           // in flight or queued
	MaxResponseBytes   int           // total size of all items of a response
	MaxInputBytes      int           // of incomplete responses, that all connections hold together; 0 means no limit
	ReceiveBuffer      int           // size of the socket's receive buffer in bytes; 0 means the system's default
	Logger             *slog.Logger  // nil disables logging

	send sendFunc // replaced by tests that inject errors; nil means sendmsg
}

// Pool holds the connections of one router to all workers and implements router.Upstream. Its mutex also guards the
// state of workers, connections and exchanges. Nothing blocks and no callback runs while it is held, except that changes of
// connections are queued for the router.
type Pool struct {
	config Config
	router *router.Router

	mu             sync.Mutex
	workers        map[string]*worker   // by id
	conns          map[*conn]struct{}   // including those of removed workers
	waitingWorkers map[*worker]struct{} // all workers with waiting exchanges; the sweep removes the others
	connecting     int                  // connects in progress, to all workers
	lastControlID  uint64               // number in the id of the latest load command or health check
	inputBytes     int                  // of incomplete responses, held by all connections
	keepConns      bool                 // the oldest connection to each worker is kept open although it is idle
	closed         bool
	stop           chan struct{} // closed by Close; ends the sweep goroutine
	stats          Stats
}

// Stats is a snapshot of the pool, with counters since it was created.
type Stats struct {
	// Current values.
	Conns    int
	InFlight int // exchanges written without a response so far
	Queued   int // exchanges queued on a connection and not yet written

	InputBytes int // of incomplete responses, held now

	// Counters since the pool was created.
	Written           uint64 // exchanges whose write has started
	Answered          uint64 // exchanges that received a response
	CancelledInFlight uint64 // attempts cancelled after they were written
	NeverWritten      uint64 // exchanges that ended before their write started, or by a failed write
	Dials             uint64 // connects started
	DialFailures      uint64
	ProtocolErrors    uint64 // connections closed because of a malformed or stalled response, or a panic while reading
	IdleClosed        uint64 // connections closed because they were idle or had drained
	Kept              uint64 // health checks that kept an idle connection open
	Lost              uint64 // connections to listed workers that ended, and not by this pool
	Evicted           uint64 // idle connections closed to make room for a connection to another worker

	// Sums over the attempts that ended as OK.
	QueueTime    time.Duration // from StartAttempt until the first byte was written
	ResponseTime time.Duration // from the first byte written until the response
}

// worker is one process of a worker at one address. If the address changes, or a process with the same id starts
// later, a new worker replaces this one, so that nothing queued for the old process is written to the new one.
type worker struct {
	id, addr   string
	startedAt  time.Duration
	state      dispatch.EndpointState
	removed    bool        // no longer in the endpoint list
	conns      []*conn     // those that accept new exchanges
	connecting int         // connects in progress
	waiting    []*exchange // exchanges that wait for a connection

	reportedOldest time.Time // what reportConns last reported
}

// New returns a Pool without workers and starts its sweep goroutine, which Close ends. Attach must be called before
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

// Attach sets the router to which the pool reports the ends of attempts and lost connections.
func (p *Pool) Attach(r *router.Router) { p.router = r }

// Stats returns the current statistics.
func (p *Pool) Stats() Stats {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.stats
	s.Conns = len(p.conns)
	s.InputBytes = p.inputBytes
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

// updateWorker applies a change of one worker. The lock is held; the caller runs the callbacks without it.
func (p *Pool) updateWorker(endpoint endpoints.Worker) (callbacks []func()) {
	w := p.workers[endpoint.ID]
	removed := endpoint.State == dispatch.EndpointRemoved
	if w != nil && (removed || w.isReplacedBy(endpoint)) {
		callbacks = p.removeWorker(w)
		delete(p.workers, endpoint.ID)
		p.router.ConnectionsChanged(w.id, time.Time{})
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

// isReplacedBy reports whether an endpoint with the worker's id is another process: at another address, or started
// later.
func (w *worker) isReplacedBy(endpoint endpoints.Worker) bool {
	return w.addr != endpoint.Address || endpoint.StartedAt > w.startedAt
}

// accepts reports whether an exchange of the kind may be written to the worker. A nil worker, which is not in the
// endpoint list, accepts nothing. A draining worker accepts health checks, because they show when the drain is over.
func (w *worker) accepts(kind exchangeKind) bool {
	if w == nil || w.removed {
		return false
	}
	return w.state == dispatch.EndpointActive || kind == kindHealthCheck
}

// reportConns reports to the router when the oldest connection to a worker was opened that may carry new exchanges. The
// lock is held, so that the reports keep their order.
func (p *Pool) reportConns(w *worker) {
	if w.removed {
		return // the id may stand for another process
	}
	var openedAt time.Time
	if oldest := w.oldestConn(); oldest != nil {
		openedAt = oldest.openedAt
	}
	if !openedAt.Equal(w.reportedOldest) {
		w.reportedOldest = openedAt
		p.router.ConnectionsChanged(w.id, openedAt)
	}
}

// oldestConn returns the connection that was opened first of those that accept new exchanges, or nil if there is none. The
// lock is held.
func (w *worker) oldestConn() *conn {
	var oldest *conn
	for _, c := range w.conns {
		if oldest == nil || c.openedAt.Before(oldest.openedAt) {
			oldest = c
		}
	}
	return oldest
}

// removeWorker ends the exchanges that wait for a connection to the worker. Its connections accept no new exchanges
// and are closed once nothing is in flight on them. The lock is held; the caller runs the callbacks without it.
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

// runCallbacks runs the callbacks that were collected under the lock and skips nil ones. The lock is not held.
func runCallbacks(callbacks ...func()) {
	for _, f := range callbacks {
		if f != nil {
			f()
		}
	}
}

// Close closes all connections and ends the sweep goroutine. Exchanges in flight end as ConnectionReset.
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
