package httpserver

import (
	"time"

	"golang.org/x/sys/unix"

	"github.com/topazfront/topazfront/internal/transport/http1"
)

// How a connection ends. Each way sets closed, after which no further input is served, and leads to onClosed.
//
//	cause                                        function           response
//	request timeout, a part has arrived          closeTimedOut      408, then linger
//	request timeout, nothing has arrived         closeTimedOut      none
//	idle timeout                                 closeIfIdle        none
//	evicted for a new connection                 register           none
//	accepted beyond the limit of connections     register           503, then linger; none kept: 503 by onClosed
//	request that can't be a call                 rejectRequest      400 to 409, then linger
//	input that isn't HTTP                        rejectConnection   400 to 505, then linger
//	panic, or too much input behind a request    abort              502 if submitted, else 503; then linger
//	"Connection: close"                          responseWritten    that of the request
//	closed by the client                         onClosed           none
//	Server.Close                                 onClosed           502 if submitted, else 503
//
// A request that crosses a close without a response gets 503 from onClosed, if it has arrived by then.

// Bounds on the input of a client that is discarded when its connection is closed.
const (
	discardBufferBytes = 4 << 10
	maxDiscardedBytes  = 64 << 10
)

// lingerTimeout is how long the server waits, after the last response, for the client to close the connection.
const lingerTimeout = time.Second

// recoverPanic aborts the connection after a panic in one of its goroutines. It is to be deferred.
func (c *conn) recoverPanic() {
	if p := recover(); p != nil {
		c.server.cfg.Logger.Error("panic on a client connection", "panic", p)
		c.abort()
	}
}

// abort cancels the call in flight, responds to it, and ends the connection with that response. If a response is being
// written, only further input is discarded, and responseWritten calls abort again.
func (c *conn) abort() {
	c.server.mu.Lock()
	c.discarding = true
	if c.closed || c.responding {
		c.server.mu.Unlock()
		return
	}
	c.requestInFlight = true
	c.closeAfterResponse = true
	c.server.mu.Unlock()
	submitted := c.cancelCall()
	c.respond(abortStatus(submitted), nil, nil)
}

// linger shuts down writing after the last response and leaves it to the client to close the connection. A close while the
// client still sends would reset the connection, and the client might lose the response with it (RFC 9112, section 9.6).
// The sweep ends the wait after lingerTimeout.
func (c *conn) linger() {
	c.server.mu.Lock()
	lingering := !c.ended && unix.Shutdown(descriptor(c.netConn), unix.SHUT_WR) == nil
	if lingering {
		c.lingerUntil = time.Now().Add(lingerTimeout)
	}
	c.server.mu.Unlock()
	if !lingering {
		_ = c.netConn.Close()
	}
}

// cancelCall cancels the call in flight, if there is one. It reports whether a request of the connection was submitted to
// the router and has no response yet.
func (c *conn) cancelCall() (submitted bool) {
	c.server.mu.Lock()
	cancel := c.cancel
	id := c.requestID
	c.cancel = nil
	c.server.mu.Unlock()
	if cancel != nil {
		cancel()
	}
	if id == "" {
		return false
	}
	c.releaseID(id)
	return true
}

// abortStatus returns the status for a request that the server gives up. One that was submitted to the router may have run,
// so the client must not take the response for a rejection.
func abortStatus(submitted bool) int {
	if submitted {
		return http1.StatusBadGateway
	}
	return http1.StatusServiceUnavailable
}

// closeTimedOut ends a connection whose request has not arrived in time. A request of which a part has arrived is rejected.
// If nothing has arrived, the connection is closed without a response: a request that crosses the close would take that
// response for its own, whereas without one the client sends the request again.
func (c *conn) closeTimedOut() {
	c.server.mu.Lock()
	started := c.requestStarted
	pending := c.hasPendingWork()
	c.server.mu.Unlock()
	switch {
	case pending:
	case started:
		c.rejectConnection(http1.StatusRequestTimeout, "no whole request in time")
	default:
		c.closeIfIdle()
	}
}

// closeIfIdle closes the connection, unless a request has arrived meanwhile.
func (c *conn) closeIfIdle() {
	c.server.mu.Lock()
	idle := c.isEvictable()
	if idle {
		c.closed = true
	}
	c.server.mu.Unlock()
	if idle {
		_ = c.netConn.Close()
	}
}

// onClosed is netpoll's callback when the connection was closed by either side, while the descriptor is still open and the
// event loop no longer reads. It cancels the call in flight. If the client is still there, it responds to the input that
// was not answered.
func (c *conn) onClosed() {
	c.server.mu.Lock()
	if c.ended {
		c.server.mu.Unlock()
		return
	}
	c.closed = true
	c.ended = true
	mayRespond := !c.responding
	responseOwed := c.requestInFlight || c.rejectsFirstRequest
	c.responding = true
	delete(c.server.conns, c)
	c.server.mu.Unlock()
	submitted := c.cancelCall()
	fd := openDescriptor(c.netConn)
	if closedByPeer(fd) {
		return
	}
	if mayRespond && (responseOwed || c.hasUnservedInput(fd)) {
		_, _ = unix.Write(fd, http1.AppendResponse(nil, abortStatus(submitted), nil, nil, true))
	}
	discardInput(fd)
}

// hasUnservedInput reports whether the client has sent input that was not served, in whichever buffer it is.
func (c *conn) hasUnservedInput(fd int) bool {
	c.parseMu.Lock()
	defer c.parseMu.Unlock()
	return c.reader.Partial() || c.netConn.Reader().Len() > 0 || readable(fd)
}

// discardInput shuts down writing and reads the input that the system holds. A close with unread input would reset the
// connection, and the client might lose the response with it.
func discardInput(fd int) {
	if unix.Shutdown(fd, unix.SHUT_WR) != nil {
		return
	}
	buffer := make([]byte, discardBufferBytes)
	for discarded := 0; discarded < maxDiscardedBytes; {
		n, err := unix.Read(fd, buffer)
		if n <= 0 || err != nil {
			return
		}
		discarded += n
	}
}
