package respupstream

import "time"

// read processes the bytes that have arrived. netpoll does not call it concurrently for one connection. A panic
// closes only this connection.
func (c *conn) read() {
	defer func() {
		if panicValue := recover(); panicValue != nil {
			c.pool.config.Logger.Error("panic while reading from worker", "endpoint", c.worker.id, "panic", panicValue)
			c.fail("panic")
		}
	}()
	r := c.netConn.Reader()
	for available := r.Len(); available > 0; available = r.Len() {
		if available > c.pool.config.MaxResponseBytes {
			available = c.pool.config.MaxResponseBytes
		}
		chunk, err := r.Next(available)
		if err == nil {
			err = c.reader.Feed(chunk, c.handleResponse)
		}
		_ = r.Release()
		c.pool.mu.Lock()
		c.lastReadAt = time.Now()
		c.partialResponse = c.reader.Partial()
		closed := c.closed
		c.pool.mu.Unlock()
		if err != nil {
			c.fail(err.Error())
			return
		}
		if closed {
			_ = r.Skip(r.Len())
			_ = r.Release()
			_ = c.netConn.Close()
			return
		}
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
