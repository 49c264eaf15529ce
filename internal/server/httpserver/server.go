// Package httpserver is the server of the platform's HTTP/1.1: a POST names the function by its path and the rest of a
// call by header fields. A client has one request at a time on a connection, so the state of this server is bounded by
// its connections, and those by the settings. Every request that is accepted gets one response; what can't be a call is
// rejected, and a connection whose framing is in doubt is closed.
package httpserver

import (
	"context"
	"log/slog"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/cloudwego/netpoll"

	"github.com/topazfront/topazfront/dispatch"
	"github.com/topazfront/topazfront/internal/router"
	"github.com/topazfront/topazfront/internal/transport/http1"
	"github.com/topazfront/topazfront/internal/transport/listen"
)

// Config holds the settings of a server.
type Config struct {
	Address            string
	Classes            map[string]dispatch.Idempotency
	MaxConnections     int           // clients connected at once, those included whose first request is only rejected
	Limits             http1.Limits  // of a request
	RequestTimeout     time.Duration // from a connection's start to its first complete request, and from any other's first byte to its last
	IdleTimeout        time.Duration // a connection without a request is closed after this
	WriteTimeout       time.Duration // a client must take its response within this
	ReceiveBufferBytes int           // that the system holds of what a client sends ahead; 0: the system's default
	Logger             *slog.Logger  // nil: nothing is logged
}

// Server serves one listener.
type Server struct {
	cfg       Config
	router    *router.Router
	listener  *listen.Listener
	eventLoop netpoll.EventLoop
	stop      chan struct{} // closed by Close; ends the sweep
	wg        sync.WaitGroup

	listeningSince time.Time

	mu      sync.Mutex
	conns   map[*conn]struct{}
	openIDs map[string]struct{} // of the requests that the router has not answered
	closed  bool
	stats   Stats
}

// Stats counts connections and requests.
type Stats struct {
	Connections  int    // open now
	OpenRequests int    // that the router has not answered
	Accepted     uint64 // connections so far
	BadRequests  uint64 // rejected so far by this server
	Evicted      uint64 // connections closed or rejected so far because there were too many
}

// connContextKey is the key of a connection's *conn in netpoll's contexts.
type connContextKey struct{}

// Listen opens the listener and serves it until Close.
func Listen(cfg Config, r *router.Router) (*Server, error) {
	if cfg.Logger == nil {
		cfg.Logger = slog.New(slog.DiscardHandler)
	}
	s := &Server{cfg: cfg, router: r, conns: map[*conn]struct{}{}, openIDs: map[string]struct{}{}, stop: make(chan struct{}),
		listeningSince: time.Now()}
	var err error
	if s.listener, err = listen.Open("tcp", cfg.Address); err != nil {
		return nil, err
	}
	if cfg.ReceiveBufferBytes > 0 { // accepted connections inherit it
		setReceiveBuffer(s.listener.Listener, cfg.ReceiveBufferBytes)
	}
	if s.eventLoop, err = s.newEventLoop(); err != nil {
		_ = s.listener.Close()
		return nil, err
	}
	s.listener.SetLogger(cfg.Logger)
	s.listener.Serve(s.eventLoop)
	s.wg.Go(s.sweep)
	return s, nil
}

// setReceiveBuffer sets a listener's receive buffer. It does not ask a listen.Listener for its descriptor: the event loop
// does, and Serve takes the first who asks for the event loop.
func setReceiveBuffer(listener net.Listener, size int) {
	withDescriptor, ok := listener.(syscall.Conn)
	if !ok {
		return
	}
	if rawConn, err := withDescriptor.SyscallConn(); err == nil {
		_ = rawConn.Control(func(fd uintptr) {
			_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, size)
		})
	}
}

func (s *Server) newEventLoop() (netpoll.EventLoop, error) {
	return netpoll.NewEventLoop(
		func(ctx context.Context, _ netpoll.Connection) error {
			connFromContext(ctx).onReadable()
			return nil
		},
		netpoll.WithOnPrepare(func(netConn netpoll.Connection) context.Context {
			return context.WithValue(context.Background(), connContextKey{}, s.addConnection(netConn))
		}))
}

func connFromContext(ctx context.Context) *conn {
	c, _ := ctx.Value(connContextKey{}).(*conn)
	return c
}

// Addr returns the address that the server listens on.
func (s *Server) Addr() string { return s.listener.Addr().String() }

// Stats returns the server's counts.
func (s *Server) Stats() Stats {
	s.mu.Lock()
	defer s.mu.Unlock()
	stats := s.stats
	stats.Connections, stats.OpenRequests = len(s.conns), len(s.openIDs)
	return stats
}
