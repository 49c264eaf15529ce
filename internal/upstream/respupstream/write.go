package respupstream

import (
	"errors"
	"slices"
	"syscall"
	"time"

	"github.com/topazfront/topazfront/dispatch"
	"github.com/topazfront/topazfront/internal/upstream"
)

// writablePollInterval is the pause between checks of whether a full socket accepts bytes again.
const writablePollInterval = time.Millisecond

// maxRejectedWrites is how many connections may fail to accept a whole message and the exchange still moves to another. One
// failure more ends the exchange: without a bound it would move from connection to connection until its deadline.
const maxRejectedWrites = 3

// errWriteAbandoned ends the write of a message whose exchange has ended meanwhile, or that takes too long.
var errWriteAbandoned = errors.New("respupstream: message abandoned before it was written whole")

// writeLoop writes the queue until it is empty or the connection is closed. It runs on a goroutine of its own, at most one
// a connection.
func (c *conn) writeLoop() {
	for c.writeNext() {
	}
}

// writeNext writes the first exchange of the queue, or ends it if it may no longer be sent. The check is made once the
// socket accepts bytes, so that it and the remaining deadline in the message hold when the first byte is written. writeNext
// reports whether the loop goes on.
func (c *conn) writeNext() bool {
	p := c.pool
	writable := c.socket.writable() // a system call: made without the lock
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

// stopWriting records that the write loop ends. It reports whether the connection has drained, and is to be closed. The lock
// is held.
func (c *conn) stopWriting() (drained bool) {
	c.writing = false
	return c.draining && len(c.inFlight) == 0
}

// markInFlight records that the write of an exchange starts. The lock is held.
func (c *conn) markInFlight(x *exchange, now time.Time) {
	x.writtenAt = now
	x.partlyWritten = true
	c.inFlight[x.id] = x
	c.rememberID(x.id, now)
	c.pool.stats.Written++
}

// markUnwritten takes back that an exchange is in flight. The lock is held.
func (c *conn) markUnwritten(x *exchange) {
	if c.inFlight[x.id] == x {
		delete(c.inFlight, x.id)
	}
	x.writtenAt = time.Time{}
	x.partlyWritten = false
}

// writeMessage writes the message of an exchange that is marked as in flight. It reports whether the write loop goes on.
func (c *conn) writeMessage(x *exchange, message []byte, startedAt time.Time) bool {
	for rest := message; len(rest) > 0; {
		accepted, err := c.socket.write(rest)
		rest = rest[accepted:]
		switch {
		case err == nil: // after a short write, the rest is written at once
		case !isTransientSendError(err):
			c.writeFailed(x, err)
			return false
		case len(rest) == len(message): // nothing is written yet: the exchange can be checked again before its first byte
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

// isTransientSendError reports whether the same bytes may be written later on the same connection after an error of
// sendmsg: a signal came, the socket's buffer is full, or the system had no memory (sendmsg(2)).
func isTransientSendError(err error) bool {
	for _, errno := range []syscall.Errno{syscall.EAGAIN, syscall.EINTR, syscall.ENOBUFS, syscall.ENOMEM} {
		if errors.Is(err, errno) {
			return true
		}
	}
	return false
}

// mayGoOnWriting reports whether the rest of a message that is partly written may be written. A worker starts an attempt
// when the message is complete, so one that has ended meanwhile must not be completed.
func (c *conn) mayGoOnWriting(x *exchange, startedAt time.Time) bool {
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

// postponeWrite takes back the write of an exchange of which no byte was written. The exchange goes back to the head of the
// queue, where it is checked again. If the connection has closed meanwhile, it is assigned to another one.
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
		c.markUnwritten(x)
		c.queue = append([]*exchange{x}, c.queue...)
	case x.kind != kindCancel:
		callback = c.moveUnwritten(x)
	}
	p.mu.Unlock()
	runCallbacks(callback)
}

// moveUnwritten assigns an exchange that was not completely written to another connection. The lock is held; the returned
// callback is run without it.
func (c *conn) moveUnwritten(x *exchange) (callback func()) {
	c.markUnwritten(x)
	x.conn = nil
	return c.pool.assignConn(x)
}

// waitToWrite pauses until the socket is checked again. It reports whether the write loop goes on. If only cancellations are
// left, it closes the connection instead: the close gives up everything open on the connection, as the cancellations would.
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

// hasOnlyCancellations reports whether cancellations are queued and nothing else is outstanding. The lock is held.
func (c *conn) hasOnlyCancellations() bool {
	isRequest := func(x *exchange) bool { return x.kind != kindCancel }
	return len(c.inFlight) == 0 && len(c.queue) > 0 && !slices.ContainsFunc(c.queue, isRequest)
}

// writeFailed closes the connection after a failed write and moves the exchange to another one. That is safe: a worker runs
// nothing of a message without its last byte. After more than maxRejectedWrites failures the exchange ends instead.
func (c *conn) writeFailed(x *exchange, err error) {
	p := c.pool
	var callback func()
	p.mu.Lock()
	c.drain()
	if !x.ended && x.kind != kindCancel {
		x.rejectedWrites++
		if x.rejectedWrites <= maxRejectedWrites {
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

// writeCompleted records that the system accepted the whole message. If the connection has closed meanwhile, the exchange
// may have run, and ends as ConnectionReset.
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
