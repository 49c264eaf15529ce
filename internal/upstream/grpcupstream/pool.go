// Package grpcupstream sends requests to workers over gRPC. It keeps a pool of connections, sends attempts, load
// commands and health checks on them, and derives the result of each from what happened on the connection (see the
// table in evidence.go). It does not select workers.
package grpcupstream

import (
	"log/slog"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/topazfront/topazfront/dispatch"
	"github.com/topazfront/topazfront/internal/endpoints"
	"github.com/topazfront/topazfront/internal/router"
	"github.com/topazfront/topazfront/internal/transport/grpc"
	"github.com/topazfront/topazfront/internal/transport/hpack"
	"github.com/topazfront/topazfront/internal/transport/http2"
)

// Config is the part of the settings that concerns connections to workers.
type Config struct {
	RouterName        string // sent to workers in RouterField
	ConnectTimeout    time.Duration
	MaxConnsPerWorker int
	IdleTimeout       time.Duration // time without a stream after which a connection is closed; 0 means never
	MaxMessageBytes   int           // size limit of a response message that is buffered until it is complete
	HTTP2             http2.Config
	Logger            *slog.Logger // nil disables logging
}

// RouterField is the metadata key under which a worker receives the name of the router that made the call.
const RouterField = "topazfront-router"

// Pool holds the connections of one router to all workers and implements router.Upstream.
type Pool struct {
	config Config
	router *router.Router
	dialer dialFunc // http2.Dial, except in tests

	mu      sync.Mutex               // guards the fields below and those of the workers
	workers map[string]*worker       // by ID
	open    map[*http2.Conn]struct{} // connections that are not closed, including draining ones
	keep    bool                     // idle connections are kept
	closed  bool                     // Close was called
	stop    chan struct{}            // closed by Close
}

// dialFunc opens a connection, as http2.Dial does.
type dialFunc func(network, addr string, timeout time.Duration, cfg http2.Config, h http2.Handler) (*http2.Conn, error)

// worker is a worker with its connections.
type worker struct {
	id, addr   string
	conns      []*http2.Conn             // connections that may accept new streams
	idleSince  map[*http2.Conn]time.Time // idle connections, with the time of the first sweep that found them idle
	connecting int                       // number of connects in progress, at most 1
	waiting    []outgoingCall            // calls that wait for the connect in progress

	reportedOldest time.Time // what reportConns last reported
}

func newWorker(id, addr string) *worker {
	return &worker{id: id, addr: addr, idleSince: map[*http2.Conn]time.Time{}}
}

// New returns a Pool without workers. Attach must be called before the pool is used, and Close at the end.
func New(cfg Config) *Pool {
	if cfg.Logger == nil {
		cfg.Logger = slog.New(slog.DiscardHandler)
	}
	p := &Pool{
		config:  cfg,
		dialer:  http2.Dial,
		workers: map[string]*worker{},
		open:    map[*http2.Conn]struct{}{},
		stop:    make(chan struct{}),
	}
	if cfg.IdleTimeout > 0 {
		go p.closeIdle()
	}
	return p
}

// Attach sets the router to which the pool reports the results of attempts and draining workers.
func (p *Pool) Attach(r *router.Router) { p.router = r }

// UpdateEndpoints implements router.Upstream. Connections to a removed worker or to a worker's former address get no
// new streams, and close when their open streams have ended.
func (p *Pool) UpdateEndpoints(changed []endpoints.Worker) {
	var stale []*http2.Conn
	p.mu.Lock()
	for _, endpoint := range changed {
		id, addr := endpoint.ID, endpoint.Address
		w := p.workers[id]
		switch {
		case endpoint.State == dispatch.EndpointRemoved:
			if w != nil {
				stale = append(stale, w.conns...)
				w.conns = nil
				p.reportConns(w)
				delete(p.workers, id)
			}
		case w == nil:
			p.workers[id] = newWorker(id, addr)
		case w.addr != addr:
			stale = append(stale, w.conns...)
			w.addr, w.conns = addr, nil
			clear(w.idleSince)
			p.reportConns(w)
		}
	}
	p.mu.Unlock()
	for _, c := range stale {
		c.Shutdown()
	}
}

// reportConns reports to the router when the oldest connection to a worker was opened that may carry new streams. The
// caller holds the pool's lock, so that the reports keep their order.
func (p *Pool) reportConns(w *worker) {
	if p.workers[w.id] != w {
		return // the id may stand for another process
	}
	var oldest time.Time
	for _, c := range w.conns {
		if oldest.IsZero() || c.OpenedAt().Before(oldest) {
			oldest = c.OpenedAt()
		}
	}
	if !oldest.Equal(w.reportedOldest) {
		w.reportedOldest = oldest
		p.router.ConnectionsChanged(w.id, oldest)
	}
}

// Close closes all connections, which ends their streams.
func (p *Pool) Close() {
	p.mu.Lock()
	if !p.closed {
		close(p.stop)
	}
	p.closed = true
	conns := slices.Collect(maps.Keys(p.open))
	p.mu.Unlock()
	for _, c := range conns {
		c.Close()
	}
}

// Conns returns the number of connections that may accept new streams.
func (p *Pool) Conns() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := 0
	for _, w := range p.workers {
		n += len(w.conns)
	}
	return n
}

// requestHeaders returns the headers that every request to a worker begins with. remaining is the time until its
// deadline.
func (p *Pool) requestHeaders(path string, remaining time.Duration) []hpack.Field {
	return append(grpc.RequestHeaders("worker", path, remaining),
		hpack.Field{Name: RouterField, Value: p.config.RouterName})
}
