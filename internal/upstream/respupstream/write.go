package respupstream

import (
	"errors"
	"syscall"
	"time"

	"github.com/cloudwego/netpoll"
	"golang.org/x/sys/unix"

	"github.com/topazfront/topazfront/dispatch"
	"github.com/topazfront/topazfront/internal/transport/listen"
)

// writablePollInterval is the pause between checks of whether a full socket accepts bytes again.
const writablePollInterval = time.Millisecond

// maxRejectedWrites is how many connections may accept no byte of an exchange before it ends as NotSent.
const maxRejectedWrites = 3

// writeLoop writes the queue until it is empty or the connection is closed. It runs on a goroutine of its own, at most one
// a connection. Whether an exchange may still be sent is checked once the socket accepts bytes, so that the check holds
// when its first byte is written.
func (c *conn) writeLoop() {
	p := c.pool
	for {
		ready := writable(c.netConn)
		var callback func()
		p.mu.Lock()
		if c.closed || len(c.queue) == 0 {
			c.writing = false
			drained := c.draining && len(c.inFlight) == 0
			p.mu.Unlock()
			if drained {
				c.close()
			}
			return
		}
		x, now := c.queue[0], time.Now()
		if x.kind != kindCancel && !p.mayWrite(x, now) {
			callback = p.finish(x, dispatch.NotSent, nil)
			p.mu.Unlock()
			runCallbacks([]func(){callback})
			continue
		}
		if !ready {
			p.mu.Unlock()
			time.Sleep(writablePollInterval)
			continue
		}
		c.queue = c.queue[1:]
		if x.kind != kindCancel {
			x.writtenAt = now
			c.inFlight[x.id] = x
			c.rememberID(x.id, now)
			p.stats.Written++
		}
		p.mu.Unlock()
		message := x.encode(x.writeBefore.Sub(now))
		active := c.netConn.IsActive()
		var err error
		if active {
			_, err = c.netConn.Write(message)
		}
		nothingWritten := !active || errors.Is(err, syscall.EPIPE) || errors.Is(err, syscall.ECONNRESET)
		if nothingWritten {
			c.reassignUnwritten(x)
			c.close()
			return
		}
		if err != nil {
			c.close()
			return
		}
	}
}

// reassignUnwritten moves an exchange of which the system accepted no byte to another connection.
func (c *conn) reassignUnwritten(x *exchange) {
	p := c.pool
	var callback func()
	p.mu.Lock()
	if !x.ended && x.kind != kindCancel {
		delete(c.inFlight, x.id)
		c.drain()
		x.writtenAt, x.conn = time.Time{}, nil
		if x.rejectedWrites++; x.rejectedWrites > maxRejectedWrites {
			callback = p.finish(x, dispatch.NotSent, nil)
		} else {
			callback = p.assignConn(x)
		}
	}
	p.mu.Unlock()
	runCallbacks([]func(){callback})
}

// writable reports whether the socket accepts bytes now.
func writable(nc netpoll.Connection) bool {
	fd, ok := nc.(netpoll.Conn)
	if !ok || !nc.IsActive() {
		return true // the write returns the error
	}
	ready, err := listen.Poll(fd.Fd(), unix.POLLOUT)
	return err != nil || ready != 0
}
