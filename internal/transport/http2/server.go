package http2

import (
	"context"
	"errors"
	"net"
	"sync"
	"time"

	"github.com/cloudwego/netpoll"

	"github.com/topazfront/topazfront/internal/transport/listen"
)

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

type connKey struct{}

// Listen opens a listener, on "tcp" or "unix", and serves it until Close. handler is asked for each
// connection's Handler before its first frame.
func Listen(network, addr string, cfg Config, handler func(*Conn) Handler) (*Server, error) {
	ln, err := listen.On(network, addr)
	if err != nil {
		return nil, err
	}
	s := &Server{cfg: cfg, newHandler: handler, listener: ln, conns: map[*Conn]struct{}{}}
	s.eventLoop, err = netpoll.NewEventLoop(
		func(ctx context.Context, _ netpoll.Connection) error {
			c, _ := ctx.Value(connKey{}).(*Conn)
			return c.readFrames()
		},
		netpoll.WithOnPrepare(func(nc netpoll.Connection) context.Context {
			c := newConn(nc, s.cfg, nil, false)
			c.handler = trackedHandler{s.newHandler(c), s}
			s.mu.Lock()
			s.conns[c] = struct{}{}
			s.mu.Unlock()
			return context.WithValue(context.Background(), connKey{}, c)
		}),
		netpoll.WithOnConnect(func(ctx context.Context, nc netpoll.Connection) context.Context {
			c, _ := ctx.Value(connKey{}).(*Conn)
			_ = nc.AddCloseCallback(func(netpoll.Connection) error {
				c.terminate(errors.New("connection closed by peer"))
				return nil
			})
			if !nc.IsActive() { // it was closed before the callback stood
				c.terminate(errors.New("connection closed by peer"))
				return ctx
			}
			c.flushPreface()
			s.mu.Lock()
			draining := s.draining
			s.mu.Unlock()
			if draining { // it was accepted before the drain began, or while it was told
				c.Shutdown()
			}
			return ctx
		}),
	)
	if err != nil {
		_ = ln.Close()
		return nil, err
	}
	ln.Serve(s.eventLoop)
	return s, nil
}

// tracked takes a lost connection out of its server's book.
type trackedHandler struct {
	Handler
	server *Server
}

func (t trackedHandler) ConnClosed(c *Conn, err error) {
	t.server.mu.Lock()
	delete(t.server.conns, c)
	t.server.mu.Unlock()
	t.Handler.ConnClosed(c, err)
}

// Addr is the address that the server listens on.
func (s *Server) Addr() net.Addr { return s.listener.Addr() }

// Conns tells how many connections are open.
func (s *Server) NumConns() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.conns)
}

// Streams tells how many streams are open on all connections.
func (s *Server) NumStreams() int {
	n := 0
	for _, c := range s.openConns() {
		n += c.NumStreams()
	}
	return n
}

func (s *Server) openConns() []*Conn {
	s.mu.Lock()
	defer s.mu.Unlock()
	list := make([]*Conn, 0, len(s.conns))
	for c := range s.conns {
		list = append(list, c)
	}
	return list
}

// Drain stops accepting and asks every connection to end when its streams have. It returns at once.
func (s *Server) Drain() {
	s.mu.Lock()
	s.draining = true
	s.mu.Unlock()
	s.DrainConns()
}

// Warn tells every connection's peer that no further streams are taken, as Drain does, but goes on accepting
// connections.
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
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	_ = s.eventLoop.Shutdown(ctx)
	_ = s.listener.Close()
}
