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
	if c.rejectsFirstRequest {
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
	call.Client = c
	call.ClientCancelled = c.disconnected
	number, ok := c.reserveID(request.ID)
	if !ok {
		c.rejectRequest(&requestError{http1.StatusConflict, "a request of this id is open"})
		return
	}
	cancel, ok := c.server.router.Submit(call)
	if !ok {
		c.completeRequest(http1.StatusServiceUnavailable, nil, nil)
		return
	}
	if !c.setCancel(cancel, number) { // a call that has ended is not affected by its cancellation
		cancel()
		c.releaseID(request.ID)
	}
}

// reserveID registers the id of the request in flight as open and returns the request's number on the connection. ok is
// false if another open request has the id.
func (c *conn) reserveID(id string) (number uint64, ok bool) {
	c.server.mu.Lock()
	defer c.server.mu.Unlock()
	if _, open := c.server.openIDs[id]; open {
		return 0, false
	}
	c.server.openIDs[id] = struct{}{}
	c.requestID = id
	return c.requestCount, true
}

// setCancel keeps the function that cancels the call of a request. It does not if the call has been answered or the client
// has left since the call was submitted, and reports whether it does.
func (c *conn) setCancel(cancel func(), requestNumber uint64) (kept bool) {
	c.server.mu.Lock()
	defer c.server.mu.Unlock()
	answered := c.requestCount != requestNumber || c.requestID == ""
	if c.closed || answered {
		return false
	}
	c.cancel = cancel
	return true
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

// Start implements router.Client. It does nothing, as responses of this protocol are not streamed.
func (c *conn) Start(any) {}

// WriteBody implements router.Client. It does nothing: Finish writes the complete response.
func (c *conn) WriteBody(p []byte, _ func(int)) int { return len(p) }

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
