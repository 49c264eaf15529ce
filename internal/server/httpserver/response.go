package httpserver

import (
	"errors"
	"time"

	"github.com/topazfront/topazfront/internal/transport/http1"
)

// responseHeadCapacity is the initial buffer capacity in bytes for the head of a response.
const responseHeadCapacity = 256

// rejectRequest responds to a request that isn't a valid call, and closes the connection. Well-behaved clients send no
// such requests, so the close doesn't cost them a connection.
func (c *conn) rejectRequest(err error) {
	status := http1.StatusBadRequest
	var requestErr *requestError
	if errors.As(err, &requestErr) {
		status = requestErr.status
	}
	c.server.mu.Lock()
	c.server.stats.BadRequests++
	c.closeAfterResponse = true
	c.discarding = true
	c.server.mu.Unlock()
	c.server.cfg.Logger.Debug("request rejected", "client", c.netConn.RemoteAddr(), "reason", err)
	c.respond(status, nil, []byte(err.Error()+"\n"))
}

// rejectConnection responds to input that isn't a complete, valid HTTP request, and closes the connection.
func (c *conn) rejectConnection(status int, reason string) {
	c.server.mu.Lock()
	if c.closed || c.requestInFlight {
		c.server.mu.Unlock()
		return
	}
	c.requestInFlight = true
	c.closeAfterResponse = true
	c.discarding = true
	c.server.stats.BadRequests++
	c.server.mu.Unlock()
	c.server.cfg.Logger.Debug("client connection rejected", "client", c.netConn.RemoteAddr(), "reason", reason)
	c.respond(status, nil, []byte(reason+"\n"))
}

// respond writes a response in the background, unless one is being written already, and then calls responseWritten. It
// does not block: a client that doesn't read delays only its own connection, for at most WriteTimeout.
func (c *conn) respond(status int, fields []http1.Field, body []byte) {
	c.server.mu.Lock()
	if c.closed || c.responding {
		c.server.mu.Unlock()
		return
	}
	c.responding = true
	closing := c.closeAfterResponse
	c.server.mu.Unlock()
	go func() {
		defer c.recoverPanic()
		response := make([]byte, 0, responseHeadCapacity+len(body))
		_, err := c.netConn.Write(http1.AppendResponse(response, status, fields, body, closing))
		c.responseWritten(err, closing)
	}()
}

// responseWritten runs after the write of a response. It serves the next request or ends the connection.
func (c *conn) responseWritten(err error, closing bool) {
	c.server.mu.Lock()
	c.requestInFlight = false
	c.server.inputBytes -= c.bodyBytes
	c.inputBytes -= c.bodyBytes
	c.bodyBytes = 0
	c.responded = true
	c.lastActivity = time.Now()
	if err != nil || closing {
		c.closed = true
	} else {
		c.responding = false
	}
	discarding := c.discarding
	c.server.mu.Unlock()
	switch {
	case err == nil && closing && discarding:
		c.linger()
	case err != nil || closing:
		c.netConn.Close()
	case discarding: // abort was called while the response was being written
		c.abort()
	default:
		c.serveNext() // the next request may have arrived already
	}
}
