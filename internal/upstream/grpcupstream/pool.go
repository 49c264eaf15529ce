// Package grpcupstream sends requests to workers over gRPC. It holds the connections, starts attempts, load commands and
// health checks on them, and classifies how each ended by what was seen on the connection (the table in evidence.go). It does
// not choose workers.
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
	IdleTimeout       time.Duration // a connection without a stream for so long is closed; 0: never
	MaxMessageBytes   int           // of a response message that is buffered until it is complete
	HTTP2             http2.Config
	Logger            *slog.Logger // nil: nothing is logged
}

// RouterField is the metadata in which a worker receives the name of the router that a call comes from.
const RouterField = "topazfront-router"

// Pool holds the connections of one router to all workers and implements router.Upstream.
type Pool struct {
	config Config
	router *router.Router
	dialer dialFunc // http2.Dial

	mu      sync.Mutex               // guards all below, the workers' fields included
	workers map[string]*worker       // by id
	open    map[*http2.Conn]struct{} // that have not ended, those that drain included
	closed  bool
	stop    chan struct{} // closed by Close
}

// dialFunc opens a connection.
type dialFunc func(network, addr string, timeout time.Duration, cfg http2.Config, h http2.Handler) (*http2.Conn, error)

// worker is a worker with its connections.
type worker struct {
	id, addr   string
	conns      []*http2.Conn             // that may accept new streams
	idleSince  map[*http2.Conn]time.Time // those of conns that were seen without a stream, and not used since
	connecting int                       // connects in progress, at most 1
	waiting    []outgoingCall            // for the connect in progress
}

func newWorker(id, addr string) *worker {
	return &worker{id: id, addr: addr, idleSince: map[*http2.Conn]time.Time{}}
}

// New returns a Pool without workers. Attach must be called before it is used, and Close in the end.
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

// Attach sets the router that is notified of how attempts end.
func (p *Pool) Attach(r *router.Router) { p.router = r }

// UpdateEndpoints implements router.Upstream. Connections to a worker that was removed, or to its former address, accept no
// new streams and close when those they have are done.
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
				delete(p.workers, id)
			}
		case w == nil:
			p.workers[id] = newWorker(id, addr)
		case w.addr != addr:
			stale = append(stale, w.conns...)
			w.addr, w.conns = addr, nil
			clear(w.idleSince)
		}
	}
	p.mu.Unlock()
	for _, c := range stale {
		c.Shutdown()
	}
}

// Close closes all connections, and with them the streams that they have.
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

// requestHeaders returns the headers that every request to a worker begins with; left is what remains of its deadline.
func (p *Pool) requestHeaders(path string, left time.Duration) []hpack.Field {
	return append(grpc.RequestHeaders("worker", path, left), hpack.Field{Name: RouterField, Value: p.config.RouterName})
}
