package httpserver

import "github.com/topazfront/topazfront/internal/transport/http1"

// errInputBudget rejects the input of a connection with which the input that all connections hold would exceed
// Config.MaxInputBytes. Nothing of it was forwarded, so the client may retry.
var errInputBudget = &http1.Error{
	Status: http1.StatusServiceUnavailable,
	Reason: "the requests of all clients together exceed their limit",
}

// accountInput updates how much input the connection holds: incomplete and pending requests, and the body of the request
// in flight, if bodyBytes is its size. It returns errInputBudget if all connections together hold too much. The caller
// holds parseMu and the server's mutex.
func (c *conn) accountInput(bodyBytes int) error {
	s := c.server
	held := c.reader.Buffered() + bodyBytes
	if c.ended {
		held = 0
	}
	grows := held > c.inputBytes
	s.inputBytes += held - c.inputBytes
	c.inputBytes = held
	c.bodyBytes = bodyBytes
	if grows && s.cfg.MaxInputBytes > 0 && s.inputBytes > s.cfg.MaxInputBytes {
		s.stats.InputRejected++
		return errInputBudget
	}
	return nil
}

// releaseInput records that an ended connection holds no input. The caller holds the server's mutex.
func (c *conn) releaseInput() {
	c.server.inputBytes -= c.inputBytes
	c.inputBytes = 0
	c.bodyBytes = 0
}
