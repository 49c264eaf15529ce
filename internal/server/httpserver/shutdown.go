package httpserver

import (
	"context"
	"time"
)

const (
	drainPollInterval        = 5 * time.Millisecond
	eventLoopShutdownTimeout = time.Second
)

// WaitForDrain waits until no client waits for a response, and reports whether that happened within limit. A client
// waits if its request is in flight, or received and not read yet, if its connection has not been accepted yet, or if
// the system has not accepted all bytes of its response. The router must have stopped, so that requests that still
// arrive are rejected.
func (s *Server) WaitForDrain(limit time.Duration) (drained bool) {
	deadline := time.Now().Add(limit)
	for {
		drained = !s.hasPendingWork()
		if drained || time.Now().After(deadline) {
			return drained
		}
		time.Sleep(drainPollInterval)
	}
}

// hasPendingWork reports whether a connection has pending work or waits to be accepted.
func (s *Server) hasPendingWork() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	pending := readable(s.listener.Fd())
	for c := range s.conns {
		pending = pending || c.hasPendingWork()
	}
	return pending
}

// Close closes the listener and all connections. Further calls have no effect.
func (s *Server) Close() {
	s.mu.Lock()
	if s.closed {
		s.mu.Unlock()
		return
	}
	s.closed = true
	conns := make([]*conn, 0, len(s.conns))
	for c := range s.conns {
		conns = append(conns, c)
	}
	s.mu.Unlock()
	close(s.stop)
	s.wg.Wait()
	for _, c := range conns {
		_ = c.netConn.Close()
	}
	ctx, cancel := context.WithTimeout(context.Background(), eventLoopShutdownTimeout)
	defer cancel()
	_ = s.eventLoop.Shutdown(ctx)
	_ = s.listener.Close()
}
