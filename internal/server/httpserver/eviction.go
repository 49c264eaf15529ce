package httpserver

import "net"

// rejectionReserveDivisor divides MaxConnections; the result is the number of connections reserved for clients whose
// first request is read and rejected. Without this reserve a connection beyond the limit would be closed at once, and a
// request that arrives after the close would get no answer.
const rejectionReserveDivisor = 16

// accept serves a new connection and closes one, an older one or the new one itself, if there are too many.
func (s *Server) accept(netConn net.Conn) {
	c, err := s.newConn(netConn)
	if err != nil {
		s.cfg.Logger.Warn("client connection not served", "error", err)
		_ = netConn.Close()
		return
	}
	s.connsEnding.Add(1)
	if evicted := s.register(c); evicted != nil {
		evicted.netConn.Close()
	}
	c.netConn.Start()
}

// register adds c to the server's connections and returns the connection that the caller must close, if any. If the
// maximum number of connections is being served, register evicts one of them. If none is evictable, c's first request
// is rejected; if there are also MaxConnections already, register doesn't add c and returns c itself.
func (s *Server) register(c *conn) (evicted *conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stats.Accepted++
	maxServed := s.cfg.MaxConnections - s.cfg.MaxConnections/rejectionReserveDivisor
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

// evictionCandidate returns the connection to evict: preferably one that has had its last response, then the oldest one
// that has never had a response, then the one that has been idle longest. It returns added if no other connection is
// evictable. The caller holds the server's mutex.
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

// isEvictable reports whether the connection can be closed without losing a request. The caller holds the server's
// mutex.
func (c *conn) isEvictable() bool { return !c.closed && !c.requestStarted && !c.hasPendingWork() }

// evictedBefore reports whether c should be evicted rather than other. The caller holds the server's mutex.
func (c *conn) evictedBefore(other *conn) bool {
	if c.responded != other.responded {
		return !c.responded
	}
	return c.lastActivity.Before(other.lastActivity)
}

// hasPendingWork reports whether a request is in flight, or may have arrived without being served yet. Such a
// connection must not be closed. The caller holds the server's mutex: without it, input on its way from the socket to
// the request reader would be missed.
func (c *conn) hasPendingWork() bool {
	lingering := !c.lingerUntil.IsZero()
	return !lingering && (c.requestInFlight || c.hasUnreadInput())
}

// hasUnreadInput reports whether input waits in the socket or is being handled. The caller holds the server's mutex.
func (c *conn) hasUnreadInput() bool {
	return c.netConn.IsActive() && c.netConn.HasUnhandledInput()
}
