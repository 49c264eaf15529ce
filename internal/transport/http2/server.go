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

// closeTimeout is how long Server.Close waits for the event loop to end.
const closeTimeout = time.Second

// Server accepts connections on one listener.
type Server struct {
	cfg        Config
	newHandler func(*Conn) Handler
	listener   *listen.Listener
	eventLoop  netpoll.EventLoop

	mu       sync.Mutex
	conns    map[*Conn]struct{}
	draining bool
}

// connKey is the context key of a netpoll connection's *Conn.
type connKey struct{}

// Listen opens a listener, on "tcp" or "unix", and serves it until Close. newHandler returns the Handler of a
// connection before its first frame.
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

// onConnect is called by netpoll before the first bytes of a connection are handled.
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
	if draining { // it was accepted before the drain began, or while the other connections were notified
		c.Shutdown()
	}
	return ctx
}

// onRequest is called by netpoll when bytes of a connection wait.
func (s *Server) onRequest(ctx context.Context, _ netpoll.Connection) error {
	c, _ := ctx.Value(connKey{}).(*Conn)
	return c.readFrames()
}

// trackedHandler removes a closed connection from its server.
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

// NumConns returns how many connections are open.
func (s *Server) NumConns() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.conns)
}

// NumStreams returns how many streams are open on all connections.
func (s *Server) NumStreams() int {
	n := 0
	for _, c := range s.openConns() {
		n += c.NumStreams()
	}
	return n
}

// HasPendingWork reports whether a connection has an open stream or something that is yet to be written.
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

// Drain starts a graceful shutdown of every connection, and of each that is accepted from now on. It returns
// at once.
func (s *Server) Drain() {
	s.mu.Lock()
	s.draining = true
	s.mu.Unlock()
	s.DrainConns()
}

// DrainConns starts a graceful shutdown of every open connection. Connections accepted later are served.
func (s *Server) DrainConns() {
	for _, c := range s.openConns() {
		c.Shutdown()
	}
}

// Close ends the listener and all connections.
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
