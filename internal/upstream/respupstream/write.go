package respupstream

import (
	"errors"
	"syscall"
	"time"

	"github.com/topazfront/topazfront/dispatch"
	"github.com/topazfront/topazfront/internal/upstream"
)

// writablePollInterval is the pause between checks of whether a full socket accepts bytes again.
const writablePollInterval = time.Millisecond

// maxRejectedWrites is how many connections may fail to accept an exchange whole before it ends without another try.
const maxRejectedWrites = 3

// errWriteAbandoned ends a message that is partly written when its exchange is over, or takes too long.
var errWriteAbandoned = errors.New("respupstream: message abandoned before it was written whole")

// writeLoop writes the queue until it is empty or the connection is closed. It runs on a goroutine of its own, at most one
// a connection.
func (c *conn) writeLoop() {
	for c.writeNext() {
	}
}

// writeNext writes the first exchange of the queue, or ends it if it may no longer be sent. That is checked once the socket
// accepts bytes, so that the check, and the deadline that is passed on, hold when the first byte is written. writeNext
// reports whether the loop goes on.
func (c *conn) writeNext() bool {
	p := c.pool
	ready := c.socket.writable()
	p.mu.Lock()
	if c.closed || len(c.queue) == 0 {
		c.writing = false
		drained := c.draining && len(c.inFlight) == 0
		p.mu.Unlock()
		if drained {
			c.close()
		}
		return false
	}
	x, now := c.queue[0], time.Now()
	if x.kind != kindCancel && !p.mayWrite(x, now) {
		callback := p.finish(x, dispatch.NotSent, nil)
		p.mu.Unlock()
		runCallbacks([]func(){callback})
		return true
	}
	if !ready {
		p.mu.Unlock()
		return c.waitToWrite()
	}
	c.queue = c.queue[1:]
	if x.kind != kindCancel {
		x.writtenAt, x.partlyWritten = now, true
		c.inFlight[x.id] = x
		c.rememberID(x.id, now)
		p.stats.Written++
	}
	p.mu.Unlock()
	return c.writeMessage(x, x.encode(x.writeBefore.Sub(now)), now)
}

// writeMessage writes the message of an exchange, which is in flight already. It reports whether the connection can be
// written on.
func (c *conn) writeMessage(x *exchange, message []byte, startedAt time.Time) bool {
	for rest := message; len(rest) > 0; {
		accepted, err := c.socket.write(rest)
		rest = rest[accepted:]
		switch {
		case err == nil: // what a short write has left follows at once
		case !isTransientSendError(err):
			c.writeFailed(x, err)
			return false
		case len(rest) == len(message):
			c.postponeWrite(x)
			return c.waitToWrite()
		case !c.mayGoOnWriting(x, startedAt):
			c.writeFailed(x, errWriteAbandoned)
			return false
		default:
			time.Sleep(writablePollInterval)
		}
	}
	c.writeCompleted(x)
	return true
}

// isTransientSendError reports whether the connection is whole after an error of sendmsg, so that the same bytes may be
// written later: its buffer is full, or the system had no memory for it.
func isTransientSendError(err error) bool {
	for _, errno := range []syscall.Errno{syscall.EAGAIN, syscall.EINTR, syscall.ENOBUFS, syscall.ENOMEM} {
		if errors.Is(err, errno) {
			return true
		}
	}
	return false
}

// mayGoOnWriting reports whether the rest of a message that is partly written is still of use. An attempt begins at the
// worker when it has come whole, so one that is over in the meantime must not be completed.
func (c *conn) mayGoOnWriting(x *exchange, startedAt time.Time) bool {
	c.pool.mu.Lock()
	defer c.pool.mu.Unlock()
	now := time.Now()
	if c.closed || c.pool.config.WriteTimeout > 0 && now.Sub(startedAt) >= c.pool.config.WriteTimeout {
		return false
	}
	return x.kind == kindCancel || !x.ended && now.Before(x.writeBefore) && (x.call == nil || x.call.ClientWaiting())
}

// postponeWrite puts an exchange of which nothing was written back to the head of the queue, to be checked again.
func (c *conn) postponeWrite(x *exchange) {
	p := c.pool
	var callback func()
	p.mu.Lock()
	if x.kind != kindCancel {
		p.stats.Written--
		delete(c.usedIDs, x.id)
	}
	switch {
	case x.ended:
	case !c.closed:
		c.unsend(x)
		c.queue = append([]*exchange{x}, c.queue...)
	case x.kind != kindCancel:
		c.unsend(x)
		x.conn = nil
		callback = p.assignConn(x)
	}
	p.mu.Unlock()
	runCallbacks([]func(){callback})
}

// waitToWrite pauses before the next try to write. It reports whether there will be one: where nothing but cancellations is
// left, it closes the connection instead, which gives up all that is open on it just as they would.
func (c *conn) waitToWrite() bool {
	c.pool.mu.Lock()
	onlyCancellations := len(c.inFlight) == 0 && len(c.queue) > 0
	for _, x := range c.queue {
		onlyCancellations = onlyCancellations && x.kind == kindCancel
	}
	c.pool.mu.Unlock()
	if onlyCancellations {
		c.close()
		return false
	}
	time.Sleep(writablePollInterval)
	return true
}

// writeFailed moves an exchange that was not written whole to another connection, and closes this one. A message without its
// last byte is no request: nothing of it ran.
func (c *conn) writeFailed(x *exchange, err error) {
	p := c.pool
	var callback func()
	p.mu.Lock()
	c.drain()
	if !x.ended && x.kind != kindCancel {
		c.unsend(x)
		x.conn = nil
		if x.rejectedWrites++; x.rejectedWrites > maxRejectedWrites {
			callback = p.finish(x, upstream.EvidenceOf(upstream.Send, err).Result(), nil)
		} else {
			callback = p.assignConn(x)
		}
	}
	p.mu.Unlock()
	runCallbacks([]func(){callback})
	p.config.Logger.Debug("write to worker failed", "endpoint", c.worker.id, "error", err)
	c.close()
}

// unsend takes back that an exchange is in flight. The lock is held.
func (c *conn) unsend(x *exchange) {
	if c.inFlight[x.id] == x {
		delete(c.inFlight, x.id)
	}
	x.writtenAt, x.partlyWritten = time.Time{}, false
}

// writeCompleted records that the system accepted the whole message. If the connection has ended since, the exchange may
// have run.
func (c *conn) writeCompleted(x *exchange) {
	p := c.pool
	var callback func()
	p.mu.Lock()
	x.partlyWritten = false
	if c.closed && x.kind != kindCancel {
		callback = p.finish(x, dispatch.ConnectionReset, nil)
	}
	p.mu.Unlock()
	runCallbacks([]func(){callback})
}
