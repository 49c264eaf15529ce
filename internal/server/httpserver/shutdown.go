package httpserver

import (
	"maps"
	"slices"
	"time"
)

const (
	drainPollInterval = 5 * time.Millisecond
	closeTimeout      = time.Second // for connections whose input is being handled when the server is closed
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
	s.mu.Unlock()
	close(s.stop)
	s.wg.Wait()
	_ = s.listener.Close()
	s.closeConnections()
}

// closeConnections closes all connections and waits for their end, for closeTimeout at most.
func (s *Server) closeConnections() {
	s.mu.Lock()
	conns := slices.Collect(maps.Keys(s.conns))
	s.mu.Unlock()
	for _, c := range conns {
		c.netConn.Close()
	}
	ended := make(chan struct{})
	go func() {
		s.connsEnding.Wait()
		close(ended)
	}()
	select {
	case <-ended:
	case <-time.After(closeTimeout):
		s.cfg.Logger.Warn("closed before all client connections had ended")
	}
}
