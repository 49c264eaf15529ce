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
	cfg     Config
	handler func(*Conn) Handler
	ln      *listen.Listener
	loop    netpoll.EventLoop

	mu    sync.Mutex
	conns map[*Conn]struct{}
	done  bool
}

type connKey struct{}

// Listen opens a listener, on "tcp" or "unix", and serves it until Close. handler is asked for each
// connection's Handler before its first frame.
func Listen(network, addr string, cfg Config, handler func(*Conn) Handler) (*Server, error) {
	ln, err := listen.Open(network, addr)
	if err != nil {
		return nil, err
	}
	s := &Server{cfg: cfg, handler: handler, ln: ln, conns: map[*Conn]struct{}{}}
	s.loop, err = netpoll.NewEventLoop(
		func(ctx context.Context, _ netpoll.Connection) error {
			c, _ := ctx.Value(connKey{}).(*Conn)
			return c.read()
		},
		netpoll.WithOnPrepare(func(nc netpoll.Connection) context.Context {
			c := newConn(nc, s.cfg, nil, false)
			c.handler = tracked{s.handler(c), s}
			s.mu.Lock()
			s.conns[c] = struct{}{}
			s.mu.Unlock()
			return context.WithValue(context.Background(), connKey{}, c)
		}),
		netpoll.WithOnConnect(func(ctx context.Context, nc netpoll.Connection) context.Context {
			c, _ := ctx.Value(connKey{}).(*Conn)
			_ = nc.AddCloseCallback(func(netpoll.Connection) error {
				c.lost(errors.New("connection closed by peer"))
				return nil
			})
			if !nc.IsActive() { // it was closed before the callback stood
				c.lost(errors.New("connection closed by peer"))
				return ctx
			}
			c.start()
			s.mu.Lock()
			draining := s.done
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
	ln.Serve(s.loop)
	return s, nil
}

// tracked takes a lost connection out of its server's book.
type tracked struct {
	Handler
	s *Server
}

func (t tracked) Lost(c *Conn, err error) {
	t.s.mu.Lock()
	delete(t.s.conns, c)
	t.s.mu.Unlock()
	t.Handler.Lost(c, err)
}

// Addr is the address that the server listens on.
func (s *Server) Addr() net.Addr { return s.ln.Addr() }

// Conns tells how many connections are open.
func (s *Server) Conns() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.conns)
}

// Streams tells how many streams are open on all connections.
func (s *Server) Streams() int {
	n := 0
	for _, c := range s.all() {
		n += c.Streams()
	}
	return n
}

func (s *Server) all() []*Conn {
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
	s.done = true
	s.mu.Unlock()
	s.Warn()
}

// Warn tells every connection's peer that no further streams are taken, as Drain does, but goes on accepting
// connections.
func (s *Server) Warn() {
	for _, c := range s.all() {
		c.Shutdown()
	}
}

// Close ends the listener and all connections.
func (s *Server) Close() {
	s.mu.Lock()
	s.done = true
	s.mu.Unlock()
	for _, c := range s.all() {
		c.Close()
	}
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	_ = s.loop.Shutdown(ctx)
	_ = s.ln.Close()
}
