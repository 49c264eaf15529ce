package httpserver

import (
	"time"

	"github.com/cloudwego/netpoll"
)

// sweepInterval is the time between two sweeps of late and idle connections.
const sweepInterval = 100 * time.Millisecond

// rejectingShare is the share of MaxConnections, as a divisor, that is kept for connections whose first request is read and
// rejected. Without it a connection at the limit would be closed, and its request would get no answer if it arrived after.
const rejectingShare = 16

// addConnection registers a new connection, and closes one if there are too many.
func (s *Server) addConnection(netConn netpoll.Connection) *conn {
	_ = netConn.SetWriteTimeout(s.cfg.WriteTimeout)
	c := s.newConn(netConn)
	_ = netConn.AddCloseCallback(func(netpoll.Connection) error { c.onClosed(); return nil })
	if evicted := s.register(c); evicted != nil {
		_ = evicted.netConn.Close()
	}
	return c
}

// register adds a connection to the server's and returns the connection to close for it, if any. If as many are served as
// may be, one of them is evicted. If none can be, the first request on the new connection is rejected; at MaxConnections,
// the new connection itself is returned.
func (s *Server) register(c *conn) (evicted *conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stats.Accepted++
	maxServed := s.cfg.MaxConnections - s.cfg.MaxConnections/rejectingShare
	if len(s.conns) >= maxServed {
		s.stats.Evicted++
		evicted = s.evictionCandidate(c)
		c.rejectsFirstRequest = evicted == c
		if c.rejectsFirstRequest && len(s.conns) < s.cfg.MaxConnections {
			evicted = nil
		}
	}
	if evicted != c {
		s.conns[c] = struct{}{}
	}
	if evicted != nil {
		evicted.closed = true
		delete(s.conns, evicted)
	}
	return evicted
}

// evictionCandidate returns the least useful connection. One that has had its last response comes first, then those that
// have never had a response, the oldest first, then the one idle longest. It is the added one if no other is evictable. The
// server's lock is held.
func (s *Server) evictionCandidate(added *conn) *conn {
	candidate := added
	for c := range s.conns {
		if !c.lingerUntil.IsZero() {
			return c
		}
		preferred := candidate == added || c.evictedBefore(candidate)
		if preferred && c.isEvictable() {
			candidate = c
		}
	}
	return candidate
}

// isEvictable reports whether the connection can be closed without losing a request. The server's lock is held.
func (c *conn) isEvictable() bool { return !c.closed && !c.requestStarted && !c.hasPendingWork() }

// evictedBefore reports whether c is to be evicted rather than other. The server's lock is held.
func (c *conn) evictedBefore(other *conn) bool {
	if c.responded != other.responded {
		return !c.responded
	}
	return c.lastActivity.Before(other.lastActivity)
}

// hasPendingWork reports whether a request is in flight, or may have arrived without being served yet. Such a connection is
// not closed. The server's lock is held, because without it input may be on its way from the socket to the reader.
func (c *conn) hasPendingWork() bool {
	lingering := !c.lingerUntil.IsZero()
	return !lingering && (c.requestInFlight || c.hasUnreadInput())
}

// hasUnreadInput reports whether input is being read, or waits in the socket or in netpoll's buffer. The server's lock is
// held.
func (c *conn) hasUnreadInput() bool {
	return c.reading || readable(descriptor(c.netConn)) || c.netConn.Reader().Len() > 0
}

// sweep closes late and idle connections until the server stops.
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

// closeExpired ends the connections that are late with a request, have been idle for too long, or have lingered.
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
		_ = c.netConn.Close()
	}
}

// lingerExceeded reports whether the wait for the client's close is over. The server's lock is held.
func (c *conn) lingerExceeded(now time.Time) bool {
	return !c.lingerUntil.IsZero() && now.After(c.lingerUntil)
}

// requestTimeoutExceeded reports whether a request should have been complete by now: the connection's first, or one that has
// begun. The server's lock is held.
func (c *conn) requestTimeoutExceeded(now time.Time) bool {
	awaitsRequest := !c.responded || c.requestStarted
	return awaitsRequest && now.Sub(c.lastActivity) > c.server.cfg.RequestTimeout
}
