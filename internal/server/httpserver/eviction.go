package httpserver

import "github.com/cloudwego/netpoll"

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
