package httpserver

import (
	"time"

	"github.com/cloudwego/netpoll"

	"github.com/topazfront/topazfront/internal/transport/http1"
)

// sweepInterval is the time between two looks for connections that are late or idle.
const sweepInterval = 100 * time.Millisecond

// rejectingShare is the share of MaxConnections, as a divisor, that is kept for connections whose first request is only
// rejected: a close would leave the request of a new connection without an answer.
const rejectingShare = 16

// addConnection registers a new connection. Where there are as many as may be served, one is evicted; where none may be,
// the new one only has its first request rejected. At MaxConnections it is rejected before that has come.
func (s *Server) addConnection(netConn netpoll.Connection) *conn {
	_ = netConn.SetWriteTimeout(s.cfg.WriteTimeout)
	c := s.newConn(netConn)
	_ = netConn.AddCloseCallback(func(netpoll.Connection) error { c.onClosed(); return nil })
	s.mu.Lock()
	s.stats.Accepted++
	var evicted *conn
	if len(s.conns) >= s.cfg.MaxConnections-s.cfg.MaxConnections/rejectingShare {
		evicted = s.evictionCandidate(c)
		c.rejecting = evicted == c
		if c.rejecting && len(s.conns) < s.cfg.MaxConnections {
			evicted = nil
		}
		s.stats.Evicted++
	}
	if evicted != c {
		s.conns[c] = struct{}{}
	}
	if evicted != nil {
		evicted.closed = true
		delete(s.conns, evicted)
	}
	s.mu.Unlock()
	if evicted != nil {
		_ = evicted.netConn.Close()
	}
	return c
}

// evictionCandidate returns the least useful connection: one that has had its last response, one that has never had a response, the oldest first, then the
// one idle longest. It is the added one where all others have a request in flight, or one that has come in part or is
// not read yet. The server's lock is held.
func (s *Server) evictionCandidate(added *conn) *conn {
	candidate := added
	for c := range s.conns {
		if !c.lingerUntil.IsZero() {
			return c
		}
		if (candidate == added || c.evictedBefore(candidate)) && !c.closed && !c.requestStarted && !c.hasPendingWork() {
			candidate = c
		}
	}
	return candidate
}

// evictedBefore reports whether c is to be evicted rather than other. The server's lock is held.
func (c *conn) evictedBefore(other *conn) bool {
	if c.responded != other.responded {
		return !c.responded
	}
	return c.lastActivity.Before(other.lastActivity)
}

// hasPendingWork reports whether a request is in flight, or may have come and was not looked at: then the connection is
// not closed. The server's lock is held, without which nothing that has come is read.
func (c *conn) hasPendingWork() bool {
	return c.lingerUntil.IsZero() &&
		(c.requestInFlight || c.reading || readable(descriptor(c.netConn)) || c.netConn.Reader().Len() > 0)
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

// closeExpired closes the connections that by now are late with a request or have been idle for too long.
func (s *Server) closeExpired(now time.Time) {
	var late, idle, lingered []*conn
	s.mu.Lock()
	for c := range s.conns {
		switch wait := now.Sub(c.lastActivity); {
		case !c.lingerUntil.IsZero() && now.After(c.lingerUntil):
			lingered = append(lingered, c)
		case c.closed:
		case (!c.responded || c.requestStarted) && wait > s.cfg.RequestTimeout:
			late = append(late, c)
		case wait > s.cfg.IdleTimeout:
			idle = append(idle, c)
		}
	}
	s.mu.Unlock()
	for _, c := range late {
		c.closeLate()
	}
	for _, c := range idle {
		c.closeIfIdle()
	}
	for _, c := range lingered {
		_ = c.netConn.Close()
	}
}

// closeLate rejects a request that has come in part, and closes a connection on which nothing has come: a response to
// nothing would answer a request that crosses the close, which the client sends again otherwise.
func (c *conn) closeLate() {
	c.server.mu.Lock()
	started, pending := c.requestStarted, c.hasPendingWork()
	c.server.mu.Unlock()
	switch {
	case pending:
	case started:
		c.rejectConnection(http1.StatusRequestTimeout, "no whole request in time")
	default:
		c.closeIfIdle()
	}
}

// closeIfIdle closes the connection, unless a request has come meanwhile.
func (c *conn) closeIfIdle() {
	c.server.mu.Lock()
	if c.closed || c.requestStarted || c.hasPendingWork() {
		c.server.mu.Unlock()
		return
	}
	c.closed = true
	c.server.mu.Unlock()
	_ = c.netConn.Close()
}
