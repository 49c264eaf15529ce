package httpserver

import (
	"log/slog"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/topazfront/topazfront/dispatch"
	"github.com/topazfront/topazfront/internal/router"
	"github.com/topazfront/topazfront/internal/transport/http1"
	"github.com/topazfront/topazfront/internal/transport/listen"
)

// Config holds the settings of a server.
type Config struct {
	Address            string
	Classes            map[string]dispatch.Idempotency
	MaxConnections     int           // open at once, including those whose first request is only rejected
	Limits             http1.Limits  // of a request
	IdleTimeout        time.Duration // a connection without a request is closed after this time
	WriteTimeout       time.Duration // for a client to accept its response
	ReceiveBufferBytes int           // socket receive buffer of each connection; 0: the system's default
	MaxInputBytes      int           // that all connections hold together: incomplete requests, and bodies in flight; 0: no limit
	Logger             *slog.Logger  // nil: nothing is logged

	// RequestTimeout limits the time until a request is complete. For the first request of a connection it starts when
	// the connection is accepted, for later requests when their first byte arrives.
	RequestTimeout time.Duration
}

// Server accepts client connections on one listener and serves their requests.
type Server struct {
	cfg         Config
	router      *router.Router
	listener    *listen.Listener
	stop        chan struct{} // closed by Close; stops the goroutine that runs sweep
	wg          sync.WaitGroup
	connsEnding sync.WaitGroup // one for each accepted connection until Closed has run

	listeningSince time.Time

	mu      sync.Mutex
	conns   map[*conn]struct{}
	openIDs map[string]struct{} // request IDs that the router has not answered
	closed  bool
	stats   Stats

	inputBytes int // held by all connections; see accountInput
}

// Stats counts connections and requests.
type Stats struct {
	Connections  int    // open now
	OpenRequests int    // that the router has not answered
	Accepted     uint64 // connections so far
	BadRequests  uint64 // rejected so far by this server
	Evicted      uint64 // connections closed or rejected so far because there were too many

	InputBytes    int    // of requests, held now
	InputRejected uint64 // times that input was rejected because all connections together held too much
}

// Listen opens the listener and serves connections in the background until Close.
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
	s.listener.SetLogger(cfg.Logger)
	if err := s.listener.Serve(s.accept); err != nil {
		_ = s.listener.Close()
		return nil, err
	}
	s.wg.Go(s.sweep)
	return s, nil
}

// setReceiveBuffer sets the receive buffer of a listener's socket. It has no effect if the listener has no descriptor
// or the system rejects the size.
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

// Addr returns the listener's address.
func (s *Server) Addr() string { return s.listener.Addr().String() }

// Stats returns the current counts.
func (s *Server) Stats() Stats {
	s.mu.Lock()
	defer s.mu.Unlock()
	stats := s.stats
	stats.Connections = len(s.conns)
	stats.OpenRequests = len(s.openIDs)
	stats.InputBytes = s.inputBytes
	return stats
}
