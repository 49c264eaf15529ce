package httpserver

import "time"

// sweepInterval is the time between two checks for late and idle connections.
const sweepInterval = 100 * time.Millisecond

// sweep periodically closes late and idle connections until the server stops.
func (s *Server) sweep() {
	ticker := time.NewTicker(sweepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-s.stop:
			return
		case <-ticker.C:
		}
		s.closeExpired(time.Now())
	}
}

// closeExpired ends the connections that have exceeded the request timeout, the idle timeout or the linger timeout.
func (s *Server) closeExpired(now time.Time) {
	var late, idle, lingered []*conn
	s.mu.Lock()
	for c := range s.conns {
		switch {
		case c.lingerExceeded(now):
			lingered = append(lingered, c)
		case c.closed:
		case c.requestTimeoutExceeded(now):
			late = append(late, c)
		case now.Sub(c.lastActivity) > s.cfg.IdleTimeout:
			idle = append(idle, c)
		}
	}
	s.mu.Unlock()
	for _, c := range late {
		c.closeTimedOut()
	}
	for _, c := range idle {
		c.closeIfIdle()
	}
	for _, c := range lingered {
		c.netConn.Close()
	}
}

// lingerExceeded reports whether the wait for the client to close the connection is over. The caller holds the server's
// mutex.
func (c *conn) lingerExceeded(now time.Time) bool {
	return !c.lingerUntil.IsZero() && now.After(c.lingerUntil)
}

// requestTimeoutExceeded reports whether the connection's first request, or one that has begun, should have been
// complete by now. The caller holds the server's mutex.
func (c *conn) requestTimeoutExceeded(now time.Time) bool {
	awaitsRequest := !c.responded || c.requestStarted
	return awaitsRequest && now.Sub(c.lastActivity) > c.server.cfg.RequestTimeout
}
