package httpserver

import (
	"time"

	"golang.org/x/sys/unix"

	"github.com/topazfront/topazfront/internal/transport/http1"
)

// How a connection ends. Each way sets conn.closed, after which no further input is served, and leads to onClosed.
//
//	cause                                        function           response
//	request timeout, a part has arrived          closeTimedOut      408, then linger
//	request timeout, nothing has arrived         closeTimedOut      none
//	idle timeout                                 closeIfIdle        none
//	evicted for a new connection                 register           none
//	accepted beyond the limit, and registered    register           503, then linger
//	accepted beyond the limit, not registered    register           503 by onClosed
//	request that isn't a valid call              rejectRequest      400 to 409, then linger
//	input that isn't valid HTTP                  rejectConnection   400 to 505, then linger
//	panic, or too much input after a request     abort              502 if submitted, else 503; then linger
//	"Connection: close"                          responseWritten    that of the request
//	closed by the client                         onClosed           none
//	Server.Close                                 onClosed           502 if submitted, else 503
//
// If a way sends no response and a request arrives while the connection is being closed, onClosed responds with 503.

// Limits on the input of a client that is discarded when its connection is closed.
const (
	discardBufferBytes = 4 << 10
	maxDiscardedBytes  = 64 << 10
)

// lingerTimeout is how long the server waits after the last response for the client to close the connection.
const lingerTimeout = time.Second

// recoverPanic aborts the connection after a panic in one of its goroutines. It must be deferred.
func (c *conn) recoverPanic() {
	if p := recover(); p != nil {
		c.server.cfg.Logger.Error("panic on a client connection", "panic", p)
		c.abort()
	}
}

// abort cancels the call in flight, writes an error response and ends the connection. If a response is being written,
// abort only sets discarding, so that further input is discarded, and responseWritten calls it again.
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

// linger shuts down writing after the last response and waits for the client to close the connection. If the server
// closed it while the client still sends, TCP would reset the connection, and the client might lose the response (RFC
// 9112, section 9.6). The sweep closes the connection after lingerTimeout.
func (c *conn) linger() {
	c.server.mu.Lock()
	lingering := !c.ended && unix.Shutdown(descriptor(c.netConn), unix.SHUT_WR) == nil
	if lingering {
		c.lingerUntil = time.Now().Add(lingerTimeout)
	}
	c.server.mu.Unlock()
	if !lingering {
		c.netConn.Close()
	}
}

// cancelCall cancels the call in flight, if there is one. submitted reports whether a request of the connection was
// submitted to the router and has no response yet.
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

// abortStatus returns the status of the response to an aborted request. A request that was submitted to the router may
// have run, so its response must not be 503, which means a rejection.
func abortStatus(submitted bool) int {
	if submitted {
		return http1.StatusBadGateway
	}
	return http1.StatusServiceUnavailable
}

// closeTimedOut ends a connection whose request has not arrived in time. If a part of the request has arrived, it is
// rejected. If nothing has arrived, the connection is closed without a response: a client that sends a request at the
// same moment would take the response for that of its request, whereas without a response it sends the request again.
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

// closeIfIdle closes the connection, unless a request has arrived in the meantime.
func (c *conn) closeIfIdle() {
	c.server.mu.Lock()
	idle := c.isEvictable()
	if idle {
		c.closed = true
	}
	c.server.mu.Unlock()
	if idle {
		c.netConn.Close()
	}
}

// Closed implements socket.Handler.
func (c *conn) Closed() {
	defer c.server.connsEnding.Done()
	defer c.recoverPanic()
	c.onClosed()
}

// onClosed ends the connection after either side has closed it. The descriptor is still open, and nothing is read from
// it any more. onClosed cancels the call in flight. If the client has not closed the connection, it responds to
// unanswered input.
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
	leftInput := c.leftInput
	c.releaseInput()
	delete(c.server.conns, c)
	c.server.mu.Unlock()
	submitted := c.cancelCall()
	fd := c.netConn.Fd()
	if closedByPeer(fd) {
		return
	}
	if mayRespond && (responseOwed || leftInput || c.hasUnservedInput(fd)) {
		_, _ = unix.Write(fd, http1.AppendResponse(nil, abortStatus(submitted), nil, nil, true))
	}
	discardInput(fd)
}

// hasUnservedInput reports whether input that was not served waits in the request reader or the socket.
func (c *conn) hasUnservedInput(fd int) bool {
	c.parseMu.Lock()
	defer c.parseMu.Unlock()
	return c.reader.Partial() || readable(fd)
}

// discardInput shuts down writing and discards the input in the socket. A close with unread input would reset the
// connection, and the client might lose the response.
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
