package httpserver

import (
	"strconv"
	"time"

	"github.com/topazfront/topazfront/dispatch"
	"github.com/topazfront/topazfront/internal/router"
	"github.com/topazfront/topazfront/internal/transport/http1"
)

// retryAfterField is the header field of a rejection: how many milliseconds the client should stay away.
const retryAfterField = "X-Pushback-Ms"

// serveRequest acts on one complete request.
func (c *conn) serveRequest(m *http1.Message, arrived time.Time) {
	if c.rejecting {
		c.abort()
		return
	}
	if m.Method == "GET" && m.Target == "/ping" {
		c.respond(http1.StatusOK, nil, nil)
		return
	}
	call, request, err := c.server.parseCall(m, arrived)
	if err != nil {
		c.rejectRequest(err)
		return
	}
	call.Client, call.ClientLeft = c, c.disconnected
	c.server.mu.Lock()
	if _, open := c.server.openIDs[request.ID]; open {
		c.server.mu.Unlock()
		c.rejectRequest(&requestError{http1.StatusConflict, "a request of this id is open"})
		return
	}
	c.server.openIDs[request.ID] = struct{}{}
	c.requestID = request.ID
	number := c.requestCount
	c.server.mu.Unlock()
	cancel, ok := c.server.router.Submit(call)
	if !ok {
		c.completeRequest(http1.StatusServiceUnavailable, nil, nil)
		return
	}
	c.server.mu.Lock()
	open := !c.closed && c.requestCount == number && c.requestID == request.ID
	if open {
		c.cancel = cancel
	}
	c.server.mu.Unlock()
	if !open { // the client left meanwhile; a call that has ended is not affected by its cancellation
		cancel()
		c.releaseID(request.ID)
	}
}

// releaseID allows a request's id to be used again.
func (c *conn) releaseID(id string) {
	c.server.mu.Lock()
	defer c.server.mu.Unlock()
	if c.requestID == id {
		delete(c.server.openIDs, id)
		c.requestID = ""
	}
}

// Start implements router.Client.
func (c *conn) Start(any) {}

// Message implements router.Client. A response of this protocol comes whole, with the final answer.
func (c *conn) Message(p []byte, _ func(int)) int { return len(p) }

// Finish implements router.Client.
func (c *conn) Finish(answer router.FinalAnswer) {
	switch answer.Kind {
	case router.FinalAnswered:
		if answer.Attempt != nil && answer.Attempt.Result == dispatch.OK {
			c.completeRequest(http1.StatusOK, nil, answer.Attempt.Body)
			return
		}
		c.completeRequest(http1.StatusBadGateway, nil, nil)
	case router.FinalRejected:
		var fields []http1.Field
		if ms := answer.RetryAfter.Milliseconds(); ms > 0 {
			fields = []http1.Field{{Name: retryAfterField, Value: strconv.FormatInt(ms, 10)}}
		}
		c.completeRequest(http1.StatusServiceUnavailable, fields, nil)
	case router.FinalFailed:
		status := http1.StatusBadGateway
		if answer.DeadlineExceeded {
			status = http1.StatusGatewayTimeout
		}
		c.completeRequest(status, nil, nil)
	}
}

// completeRequest responds to the call in flight.
func (c *conn) completeRequest(status int, fields []http1.Field, body []byte) {
	c.server.mu.Lock()
	id := c.requestID
	c.cancel = nil
	c.server.mu.Unlock()
	c.releaseID(id)
	c.respond(status, fields, body)
}
