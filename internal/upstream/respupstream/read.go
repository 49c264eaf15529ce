package respupstream

import (
	"errors"
	"time"
)

// errInputBudget is the reason for closing a connection with which all incomplete responses together exceed
// Config.MaxInputBytes.
var errInputBudget = errors.New("respupstream: the incomplete responses of all workers exceed their limit")

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
	if !c.accountInput(c.reader.Buffered()) && err == nil {
		err = errInputBudget
	}
	c.pool.mu.Unlock()
	if err != nil {
		c.fail(err.Error())
	}
}

// accountInput updates how much input the connection holds, and reports whether all connections together stay within
// their limit. The lock is held.
func (c *conn) accountInput(held int) (withinLimit bool) {
	if c.closed {
		held = 0
	}
	p := c.pool
	grows := held > c.inputBytes
	p.inputBytes += held - c.inputBytes
	c.inputBytes = held
	return !grows || p.config.MaxInputBytes == 0 || p.inputBytes <= p.config.MaxInputBytes
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
