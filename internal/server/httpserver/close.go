package httpserver

import (
	"time"

	"golang.org/x/sys/unix"

	"github.com/topazfront/topazfront/internal/transport/http1"
)

// Bounds of what is discarded of a client's input when its connection is closed.
const (
	discardBufferBytes = 4 << 10
	maxDiscardedBytes  = 64 << 10
)

// lingerTimeout is how long what a client still sends behind its last response is discarded.
const lingerTimeout = time.Second

// recoverPanic answers what the connection owes after a panic in its callback, and closes it. It is to be deferred.
func (c *conn) recoverPanic() {
	if p := recover(); p != nil {
		c.server.cfg.Logger.Error("panic on a client connection", "panic", p)
		c.abort()
	}
}

// abort cancels the call in flight, answers it and ends the connection.
func (c *conn) abort() {
	c.server.mu.Lock()
	c.discarding = true
	if c.closed || c.responding {
		c.server.mu.Unlock()
		return
	}
	c.requestInFlight, c.closeAfterResponse = true, true
	c.server.mu.Unlock()
	c.respond(c.cancelCall(), nil, nil)
}

// linger ends the response and waits for the client to close the connection: a close while it sends would reset the
// connection, and the client might lose the response with it. The sweep ends the wait after lingerTimeout.
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

// cancelCall cancels the call in flight, if there is one. It returns the status that answers a request which ends here:
// one that was submitted to the router may have run.
func (c *conn) cancelCall() (status int) {
	c.server.mu.Lock()
	cancel, id := c.cancel, c.requestID
	c.cancel = nil
	c.server.mu.Unlock()
	if cancel != nil {
		cancel()
	}
	if id == "" {
		return http1.StatusServiceUnavailable
	}
	c.releaseID(id)
	return http1.StatusBadGateway
}

// onClosed handles the close of the connection by either side: a call in flight is cancelled. Where the client is still
// there, what it has sent is answered first. The event loop no longer reads, and the descriptor is still open.
func (c *conn) onClosed() {
	c.server.mu.Lock()
	if c.ended {
		c.server.mu.Unlock()
		return
	}
	c.closed, c.ended = true, true
	mayRespond, expected := !c.responding, c.requestInFlight || c.rejecting
	c.responding = true
	delete(c.server.conns, c)
	c.server.mu.Unlock()
	status := c.cancelCall()
	fd := openDescriptor(c.netConn)
	if poll(fd, unix.POLLRDHUP)&(unix.POLLRDHUP|unix.POLLHUP|unix.POLLERR) != 0 {
		return
	}
	if mayRespond && (expected || c.hasUnservedInput(fd)) {
		_, _ = unix.Write(fd, http1.AppendResponse(nil, status, nil, nil, true))
	}
	discardInput(fd)
}

// hasUnservedInput reports whether the client has sent anything that was not served.
func (c *conn) hasUnservedInput(fd int) bool {
	c.parseMu.Lock()
	defer c.parseMu.Unlock()
	return c.reader.Partial() || c.netConn.Reader().Len() > 0 || readable(fd)
}

// discardInput ends the response and reads what the system holds of the client's input: a close with unread input resets
// the connection, and the client might lose the response with it.
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
