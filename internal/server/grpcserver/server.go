// Package grpcserver is the server of the Open Inference Protocol's gRPC service, over HTTP/2. It answers the calls that
// concern the gateway itself and submits inference calls to the router. A gRPC stream is one call, or, for
// ModelStreamInfer, one call for each request message, in order, each submitted when the one before has been served. A
// stream ends at its first call that is not served; the requests behind that one are not submitted.
package grpcserver

import (
	"log/slog"
	"sync"

	"github.com/topazfront/topazfront/internal/router"
	"github.com/topazfront/topazfront/internal/server"
	"github.com/topazfront/topazfront/internal/transport/grpc"
	"github.com/topazfront/topazfront/internal/transport/http2"
)

// Config holds the settings of a server.
type Config struct {
	Address     string
	HTTP2       http2.Config
	CallBuilder *server.CallBuilder
	Version     string       // of the gateway, as ServerMetadata reports it
	Logger      *slog.Logger // nil: nothing is logged
}

// Server serves one listener.
type Server struct {
	cfg         Config
	router      *router.Router
	http2Server *http2.Server

	mu       sync.Mutex
	streams  map[*stream]struct{} // whose header has been received and that have not ended
	draining bool
}

// Listen opens the listener and serves it until Close.
func Listen(cfg Config, r *router.Router) (*Server, error) {
	if cfg.Logger == nil {
		cfg.Logger = slog.New(slog.DiscardHandler)
	}
	s := &Server{cfg: cfg, router: r, streams: map[*stream]struct{}{}}
	newHandler := func(*http2.Conn) http2.Handler { return connHandler{s} }
	var err error
	s.http2Server, err = http2.Listen("tcp", cfg.Address, cfg.HTTP2, newHandler)
	if err != nil {
		return nil, err
	}
	return s, nil
}

// Addr returns the address that the server listens on.
func (s *Server) Addr() string { return s.http2Server.Addr().String() }

// Connections returns how many clients are connected.
func (s *Server) Connections() int { return s.http2Server.NumConns() }

// Streams returns how many streams are open, those included whose last response bytes are still to be sent.
func (s *Server) Streams() int { return s.http2Server.NumStreams() }

// HasPendingWork reports whether a stream is open, or the last frames of one are yet to be written.
func (s *Server) HasPendingWork() bool { return s.http2Server.HasPendingWork() }

// addStream adds a stream that Drain is to end, and reports whether the drain has begun and so has missed it.
func (s *Server) addStream(added *stream) (draining bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.streams[added] = struct{}{}
	return s.draining
}

func (s *Server) removeStream(removed *stream) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.streams, removed)
}

// connHandler handles the events of one client connection.
type connHandler struct{ server *Server }

// StreamOpened implements http2.Handler.
func (h connHandler) StreamOpened(http2Stream *http2.Stream) http2.Receiver {
	return &stream{server: h.server, http2Stream: http2Stream,
		messageReader: grpc.MessageReader{MaxSize: h.server.cfg.CallBuilder.MaxMessageBytes}}
}

// GoAway implements http2.Handler.
func (h connHandler) GoAway(*http2.Conn, http2.ErrCode) {}

// ConnClosed implements http2.Handler.
func (h connHandler) ConnClosed(c *http2.Conn, err error) {
	h.server.cfg.Logger.Debug("client connection ended", "client", c.RemoteAddr(), "reason", err)
}
