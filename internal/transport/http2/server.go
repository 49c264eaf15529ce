package http2

import (
	"context"
	"fmt"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/cloudwego/netpoll"

	"github.com/topazfront/topazfront/internal/transport/listen"
)

// closeTimeout is the time that Server.Close waits for the event loop to stop.
const closeTimeout = time.Second

// Server accepts HTTP/2 connections on one listener.
type Server struct {
	cfg        Config
	newHandler func(*Conn) Handler
	listener   *listen.Listener
	eventLoop  netpoll.EventLoop

	mu       sync.Mutex
	conns    map[*Conn]struct{}
	draining bool
}

// connKey is the context key for the *Conn of a netpoll connection.
type connKey struct{}

// Listen opens a listener on network "tcp" or "unix" and serves it until Close. newHandler is called for each
// accepted connection before its first frame and returns the connection's Handler.
func Listen(network, addr string, cfg Config, newHandler func(*Conn) Handler) (*Server, error) {
	listener, err := listen.Open(network, addr)
	if err != nil {
		return nil, err
	}
	s := &Server{cfg: cfg, newHandler: newHandler, listener: listener, conns: map[*Conn]struct{}{}}
	s.eventLoop, err = netpoll.NewEventLoop(s.onRequest, netpoll.WithOnPrepare(s.onPrepare),
		netpoll.WithOnConnect(s.onConnect))
	if err != nil {
		_ = listener.Close()
		return nil, fmt.Errorf("http2: start the event loop of %s: %w", addr, err)
	}
	listener.Serve(s.eventLoop)
	return s, nil
}

// onPrepare is called by netpoll for an accepted connection before any other callback.
func (s *Server) onPrepare(netConn netpoll.Connection) context.Context {
	c := newConn(netConn, s.cfg, nil, false)
	c.handler = trackedHandler{s.newHandler(c), s}
	s.mu.Lock()
	s.conns[c] = struct{}{}
	s.mu.Unlock()
	return context.WithValue(context.Background(), connKey{}, c)
}

// onConnect is called by netpoll after onPrepare, before the first onRequest of the connection.
func (s *Server) onConnect(ctx context.Context, netConn netpoll.Connection) context.Context {
	c, _ := ctx.Value(connKey{}).(*Conn)
	_ = netConn.AddCloseCallback(func(netpoll.Connection) error {
		c.terminate(errClosedByPeer)
		return nil
	})
	if !netConn.IsActive() { // it was closed before the callback was registered
		c.terminate(errClosedByPeer)
		return ctx
	}
	c.flushPreface()
	s.mu.Lock()
	draining := s.draining
	s.mu.Unlock()
	if draining { // accepted after Drain was called, or too late for its list of open connections
		c.Shutdown()
	}
	return ctx
}

// onRequest is called by netpoll when a connection has bytes to read.
func (s *Server) onRequest(ctx context.Context, _ netpoll.Connection) error {
	c, _ := ctx.Value(connKey{}).(*Conn)
	return c.readFrames()
}

// trackedHandler wraps a Handler and removes the connection from its server when it closes.
type trackedHandler struct {
	Handler
	server *Server
}

// ConnClosed implements Handler.
func (t trackedHandler) ConnClosed(c *Conn, err error) {
	t.server.mu.Lock()
	delete(t.server.conns, c)
	t.server.mu.Unlock()
	t.Handler.ConnClosed(c, err)
}

// Addr returns the address that the server listens on.
func (s *Server) Addr() net.Addr { return s.listener.Addr() }

// NumConns returns the number of open connections.
func (s *Server) NumConns() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.conns)
}

// NumStreams returns the number of open streams on all connections.
func (s *Server) NumStreams() int {
	n := 0
	for _, c := range s.openConns() {
		n += c.NumStreams()
	}
	return n
}

// HasPendingWork reports whether any connection has an open stream or frames still to be written.
func (s *Server) HasPendingWork() bool {
	return slices.ContainsFunc(s.openConns(), (*Conn).hasPendingWork)
}

func (s *Server) openConns() []*Conn {
	s.mu.Lock()
	defer s.mu.Unlock()
	conns := make([]*Conn, 0, len(s.conns))
	for c := range s.conns {
		conns = append(conns, c)
	}
	return conns
}

// Drain starts a graceful shutdown of every open connection and of each one accepted later. It returns at once.
func (s *Server) Drain() {
	s.mu.Lock()
	s.draining = true
	s.mu.Unlock()
	s.DrainConns()
}

// DrainConns starts a graceful shutdown of every open connection and returns at once. Connections accepted later are
// served.
func (s *Server) DrainConns() {
	for _, c := range s.openConns() {
		c.Shutdown()
	}
}

// Close closes the listener and all connections.
func (s *Server) Close() {
	s.mu.Lock()
	s.draining = true
	s.mu.Unlock()
	for _, c := range s.openConns() {
		c.Close()
	}
	ctx, cancel := context.WithTimeout(context.Background(), closeTimeout)
	defer cancel()
	_ = s.eventLoop.Shutdown(ctx)
	_ = s.listener.Close()
}
