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
	IdleTimeout        time.Duration // a connection without a request is closed after this
	WriteTimeout       time.Duration // a client must take its response within this
	ReceiveBufferBytes int           // of the system, for each connection's unread input; 0: the system's default
	Logger             *slog.Logger  // nil: nothing is logged

	// RequestTimeout limits a connection's first request, from the connection's start to the request's last byte, and any
	// other request from its first byte to its last.
	RequestTimeout time.Duration
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
	s := &Server{
		cfg:            cfg,
		router:         r,
		stop:           make(chan struct{}),
		listeningSince: time.Now(),
		conns:          map[*conn]struct{}{},
		openIDs:        map[string]struct{}{},
	}
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

// setReceiveBuffer sets a listener's receive buffer. It must not call listen.Listener.Fd: Serve takes the first call of Fd as
// the sign that the event loop watches the descriptor.
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
	stats.Connections = len(s.conns)
	stats.OpenRequests = len(s.openIDs)
	return stats
}
