package grpcserver

// Drain starts a graceful shutdown: GOAWAY tells clients to open no more streams, calls in flight continue, and
// ModelStreamInfer streams without a call in flight are ended. A unary stream is left open for its one call.
func (s *Server) Drain() {
	s.http2Server.Drain()
	s.mu.Lock()
	s.draining = true
	streams := make([]*stream, 0, len(s.streams))
	for open := range s.streams {
		streams = append(streams, open)
	}
	s.mu.Unlock()
	for _, open := range streams {
		open.serveNext(nil)
	}
}

// Close closes the listener and all connections.
func (s *Server) Close() { s.http2Server.Close() }

func (s *Server) isDraining() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.draining
}
