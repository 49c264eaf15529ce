package respupstream

import "time"

// Received implements socket.Handler. It handles the complete responses in the input. A panic closes only this
// connection.
func (c *conn) Received(input []byte) {
	defer func() {
		if panicValue := recover(); panicValue != nil {
			c.pool.config.Logger.Error("panic while reading from worker", "endpoint", c.worker.id, "panic", panicValue)
			c.fail("panic")
		}
	}()
	err := c.reader.Feed(input, c.handleResponse)
	c.pool.mu.Lock()
	c.lastReadAt = time.Now()
	c.partialResponse = c.reader.Partial()
	c.pool.mu.Unlock()
	if err != nil {
		c.fail(err.Error())
	}
}

// handleResponse ends the exchange that a complete response belongs to. A response with an id that is not in flight
// on this connection is ignored: it is late, a duplicate, or for an unknown id.
func (c *conn) handleResponse(items [][]byte) error {
	received, err := parseResponse(items)
	if err != nil {
		return err
	}
	p := c.pool
	var callback func()
	p.mu.Lock()
	if x := c.inFlight[received.id]; x != nil {
		result, ok := statusResults[received.status][x.kind]
		if !ok {
			p.mu.Unlock()
			return errMalformedResponse
		}
		callback = p.finish(x, result, &received)
	}
	p.mu.Unlock()
	runCallbacks(callback)
	return nil
}
