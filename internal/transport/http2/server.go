package http2

import (
	"fmt"
	"net"
	"slices"
	"sync"

	"github.com/topazfront/topazfront/internal/transport/listen"
)

// Server accepts HTTP/2 connections on one listener.
type Server struct {
	cfg        Config
	newHandler func(*Conn) Handler
	listener   *listen.Listener

	mu       sync.Mutex
	conns    map[*Conn]struct{}
	draining bool
}

// Listen opens a listener on network "tcp" or "unix" and serves it until Close. newHandler is called for each
// accepted connection before its first frame and returns the connection's Handler.
func Listen(network, addr string, cfg Config, newHandler func(*Conn) Handler) (*Server, error) {
	listener, err := listen.Open(network, addr)
	if err != nil {
		return nil, err
	}
	s := &Server{cfg: cfg, newHandler: newHandler, listener: listener, conns: map[*Conn]struct{}{}}
	if err := listener.Serve(s.accept); err != nil {
		_ = listener.Close()
		return nil, fmt.Errorf("http2: accept connections on %s: %w", addr, err)
	}
	return s, nil
}

// accept serves a new connection.
func (s *Server) accept(netConn net.Conn) {
	c := newConn(netConn, s.cfg, nil, false)
	c.handler = trackedHandler{s.newHandler(c), s}
	s.mu.Lock()
	s.conns[c] = struct{}{}
	draining := s.draining
	s.mu.Unlock()
	c.flushPreface()
	if draining { // accepted after Drain was called
		c.Shutdown()
	}
	go c.readLoop()
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
	_ = s.listener.Close()
	for _, c := range s.openConns() {
		c.Close()
	}
}
