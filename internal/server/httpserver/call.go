package httpserver

import (
	"strconv"
	"time"

	"github.com/topazfront/topazfront/dispatch"
	"github.com/topazfront/topazfront/internal/router"
	"github.com/topazfront/topazfront/internal/transport/http1"
)

// retryAfterField is the header field of a rejection with the time in milliseconds after which the client may retry.
const retryAfterField = "X-Pushback-Ms"

// serveRequest answers a ping, and submits any other valid request to the router.
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
	if !c.setCancel(cancel, number) { // if the call has ended already, its cancellation has no effect
		cancel()
		c.releaseID(request.ID)
	}
}

// reserveID registers the ID of the request in flight as open and returns the number of the request on the connection.
// ok is false if another open request has the same ID.
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

// setCancel stores the function that cancels the call of a request. kept is false, and the function is not stored, if
// the call has been answered or the connection has been closed since the call was submitted.
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

// releaseID removes a request's ID from the open ones, so that another request may use it.
func (c *conn) releaseID(id string) {
	c.server.mu.Lock()
	defer c.server.mu.Unlock()
	if c.requestID == id {
		delete(c.server.openIDs, id)
		c.requestID = ""
	}
}

// Start implements router.Client. It does nothing, because this protocol doesn't stream responses.
func (c *conn) Start(any) {}

// WriteBody implements router.Client. It does nothing: Finish writes the complete response.
func (c *conn) WriteBody(p []byte, _ func(int)) int { return len(p) }

// Finish implements router.Client. It writes the response for the final answer.
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

// completeRequest responds to the call in flight and releases its ID.
func (c *conn) completeRequest(status int, fields []http1.Field, body []byte) {
	c.server.mu.Lock()
	id := c.requestID
	c.cancel = nil
	c.server.mu.Unlock()
	c.releaseID(id)
	c.respond(status, fields, body)
}
