package respupstream

import (
	"errors"
	"slices"
	"syscall"
	"time"

	"github.com/topazfront/topazfront/dispatch"
	"github.com/topazfront/topazfront/internal/upstream"
)

// writablePollInterval is the pause between two checks of whether a full socket accepts bytes again.
const writablePollInterval = time.Millisecond

// maxFailedWrites is how many failed writes move an exchange to another connection. The next failure ends the
// exchange, which would otherwise move from connection to connection until its deadline.
const maxFailedWrites = 3

// errWriteAbandoned is the reason for ending a partial write that must not continue: the exchange has ended, its
// deadline or the write timeout has passed, the client has disconnected, or the connection is closed.
var errWriteAbandoned = errors.New("respupstream: message abandoned before it was written whole")

// writeLoop writes the queue until it is empty or the connection is closed. It runs on its own goroutine, at most one
// per connection.
func (c *conn) writeLoop() {
	for c.writeNext() {
	}
}

// writeNext writes the first exchange of the queue, or ends it if it may no longer be sent. It checks the exchange
// after it has polled the socket, right before the first byte is written, so that the check and the remaining deadline
// in the message are current then. It reports whether writeLoop continues.
func (c *conn) writeNext() bool {
	p := c.pool
	writable := c.writer.writable() // makes a system call, so it is called without the lock
	p.mu.Lock()
	if c.closed || len(c.queue) == 0 {
		drained := c.stopWriting()
		p.mu.Unlock()
		if drained {
			c.close()
		}
		return false
	}
	x := c.queue[0]
	now := time.Now()
	if x.kind != kindCancel && !p.mayWrite(x, now) {
		callback := p.finish(x, dispatch.NotSent, nil) // removes it from the queue
		p.mu.Unlock()
		runCallbacks(callback)
		return true
	}
	if !writable {
		p.mu.Unlock()
		return c.waitToWrite()
	}
	c.queue = c.queue[1:]
	if x.kind != kindCancel {
		c.markInFlight(x, now)
	}
	p.mu.Unlock()
	return c.writeMessage(x, x.encode(x.writeBefore.Sub(now)), now)
}

// stopWriting records that the write loop ends. It reports whether the connection has drained, so that the caller
// must close it. The lock is held.
func (c *conn) stopWriting() (drained bool) {
	c.writing = false
	return c.draining && len(c.inFlight) == 0
}

// markInFlight records that the write of an exchange starts. The lock is held.
func (c *conn) markInFlight(x *exchange, now time.Time) {
	x.writtenAt = now
	x.partlyWritten = true
	c.inFlight[x.id] = x
	c.markIDUsed(x.id, now)
	c.pool.stats.Written++
}

// markUnwritten reverts markInFlight for an exchange that was not written whole. The counter Stats.Written and the
// used ids stay. The lock is held.
func (c *conn) markUnwritten(x *exchange) {
	if c.inFlight[x.id] == x {
		delete(c.inFlight, x.id)
	}
	x.writtenAt = time.Time{}
	x.partlyWritten = false
}

// writeMessage writes the message of an exchange that is marked as in flight. It reports whether writeLoop continues.
func (c *conn) writeMessage(x *exchange, message []byte, startedAt time.Time) bool {
	for rest := message; len(rest) > 0; {
		accepted, err := c.writer.write(rest)
		rest = rest[accepted:]
		switch {
		case err == nil: // after a short write, the rest is tried at once
		case !isTransientSendError(err):
			c.writeFailed(x, err)
			return false
		case len(rest) == len(message): // no byte was accepted, so the exchange is checked again
			c.postponeWrite(x)
			return c.waitToWrite()
		case !c.mayContinueWriting(x, startedAt):
			c.writeFailed(x, errWriteAbandoned)
			return false
		default:
			time.Sleep(writablePollInterval)
		}
	}
	c.writeCompleted(x)
	return true
}

// isTransientSendError reports whether the same bytes can be written to the same connection later: a signal
// interrupted sendmsg, the socket's buffer is full, or the system had no memory (sendmsg(2)).
func isTransientSendError(err error) bool {
	for _, errno := range []syscall.Errno{syscall.EAGAIN, syscall.EINTR, syscall.ENOBUFS, syscall.ENOMEM} {
		if errors.Is(err, errno) {
			return true
		}
	}
	return false
}

// mayContinueWriting reports whether the rest of a partly written message may be written. A worker starts an attempt
// as soon as its message is complete, so the message of an exchange that has ended meanwhile must not be completed.
func (c *conn) mayContinueWriting(x *exchange, startedAt time.Time) bool {
	c.pool.mu.Lock()
	defer c.pool.mu.Unlock()
	now := time.Now()
	limit := c.pool.config.WriteTimeout
	timedOut := limit > 0 && now.Sub(startedAt) >= limit
	if c.closed || timedOut {
		return false
	}
	if x.kind == kindCancel {
		return true
	}
	return !x.ended && now.Before(x.writeBefore) && x.clientWaiting()
}

// postponeWrite reverts the start of a write if no byte was written. The exchange goes back to the head of the queue,
// where it is checked again. If the connection has been closed meanwhile, the exchange is assigned to another one.
func (c *conn) postponeWrite(x *exchange) {
	p := c.pool
	var callback func()
	p.mu.Lock()
	if x.kind != kindCancel {
		p.stats.Written--
		delete(c.usedIDs, hashID(x.id))
	}
	switch {
	case x.ended:
	case !c.closed:
		c.markUnwritten(x)
		c.queue = append([]*exchange{x}, c.queue...)
	case x.kind != kindCancel:
		callback = c.moveUnwritten(x)
	}
	p.mu.Unlock()
	runCallbacks(callback)
}

// moveUnwritten assigns an exchange that was not written whole to another connection. The lock is held; the caller
// runs the callback without it.
func (c *conn) moveUnwritten(x *exchange) (callback func()) {
	c.markUnwritten(x)
	x.conn = nil
	return c.pool.assignConn(x)
}

// waitToWrite pauses before the next check of a full socket. If only cancellations are outstanding, it closes the
// connection instead, which cancels their attempts, too. It reports whether writeLoop continues.
func (c *conn) waitToWrite() bool {
	c.pool.mu.Lock()
	onlyCancellations := c.hasOnlyCancellations()
	c.pool.mu.Unlock()
	if onlyCancellations {
		c.close()
		return false
	}
	time.Sleep(writablePollInterval)
	return true
}

// hasOnlyCancellations reports whether cancellations and nothing else are outstanding. The lock is held.
func (c *conn) hasOnlyCancellations() bool {
	isRequest := func(x *exchange) bool { return x.kind != kindCancel }
	return len(c.inFlight) == 0 && len(c.queue) > 0 && !slices.ContainsFunc(c.queue, isRequest)
}

// writeFailed closes the connection after a failed write and moves the exchange to another connection. That is safe,
// because a worker runs nothing until it has received the last byte of the message. After more than maxFailedWrites
// failures the exchange ends instead.
func (c *conn) writeFailed(x *exchange, err error) {
	p := c.pool
	var callback func()
	p.mu.Lock()
	c.drain()
	if !x.ended && x.kind != kindCancel {
		x.failedWrites++
		if x.failedWrites <= maxFailedWrites {
			callback = c.moveUnwritten(x)
		} else {
			c.markUnwritten(x)
			x.conn = nil
			callback = p.finish(x, upstream.EvidenceOf(upstream.Send, err).Result(), nil)
		}
	}
	p.mu.Unlock()
	runCallbacks(callback)
	p.config.Logger.Debug("write to worker failed", "endpoint", c.worker.id, "error", err)
	c.close()
	if !errors.Is(err, errWriteAbandoned) {
		c.reportLost()
	}
}

// writeCompleted records that the system accepted the whole message. If the connection has been closed meanwhile, the
// exchange ends as ConnectionReset, because it may have run.
func (c *conn) writeCompleted(x *exchange) {
	p := c.pool
	var callback func()
	p.mu.Lock()
	x.partlyWritten = false
	if c.closed && x.kind != kindCancel {
		callback = p.finish(x, dispatch.ConnectionReset, nil)
	}
	p.mu.Unlock()
	runCallbacks(callback)
}
