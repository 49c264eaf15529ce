package respupstream

import (
	"time"

	"github.com/topazfront/topazfront/dispatch"
	"github.com/topazfront/topazfront/internal/transport/resp"
	"github.com/topazfront/topazfront/internal/transport/socket"
)

// conn is one connection to a worker.
type conn struct {
	pool    *Pool
	worker  *worker
	netConn *socket.Conn
	reader  *resp.Reader // used only by Received
	writer  messageWriter

	// Guarded by the pool's mutex.
	queue           []*exchange          // not yet written, in order
	inFlight        map[string]*exchange // written without a response so far, by id
	writing         bool                 // a goroutine is running writeLoop
	partialResponse bool                 // the bytes read so far end within a response
	inputBytes      int                  // of that response
	draining        bool                 // accepts no new exchanges; closed once nothing is outstanding
	closed          bool
	openedAt        time.Time
	lastReadAt      time.Time
	lastUsedAt      time.Time                // when an exchange was last queued on it or removed from it
	usedIDs         map[usedID]time.Duration // ids written to it, with their expiry as time since openedAt
	idsExpiredAt    time.Time                // when expired ids were last removed from usedIDs
}

// enqueueWaiting queues the first exchange that waits for a connection to the worker, if nothing is outstanding on
// this connection. The lock is held, as it is for all methods below up to and including remove.
func (c *conn) enqueueWaiting() {
	for len(c.worker.waiting) > 0 && !c.draining && c.outstanding() == 0 {
		x := c.worker.waiting[0]
		if c.hasUsedID(x.id) {
			return
		}
		c.worker.waiting = c.worker.waiting[1:]
		if !x.ended {
			c.enqueue(x)
		}
	}
}

// outstanding returns the number of exchanges in flight or queued.
func (c *conn) outstanding() int { return len(c.inFlight) + len(c.queue) }

// isIdle reports whether nothing is outstanding and the write loop has ended.
func (c *conn) isIdle() bool { return c.outstanding() == 0 && !c.writing }

// idleTimeoutExceeded reports whether the connection has been unused for longer than the idle timeout.
func (c *conn) idleTimeoutExceeded(now time.Time) bool {
	limit := c.pool.config.IdleTimeout
	return limit > 0 && now.Sub(c.lastUsedAt) > limit
}

// enqueue appends an exchange to the write queue and starts writeLoop unless it is already running.
func (c *conn) enqueue(x *exchange) {
	if c.closed {
		return
	}
	x.conn = c
	c.queue = append(c.queue, x)
	c.lastUsedAt = time.Now()
	if !c.writing {
		c.writing = true
		go c.writeLoop()
	}
}

// drain makes the connection accept no new exchanges. The write loop or the sweep closes it once nothing is
// outstanding.
func (c *conn) drain() {
	c.draining = true
	for i, other := range c.worker.conns {
		if other == c {
			c.worker.conns = append(c.worker.conns[:i], c.worker.conns[i+1:]...)
			break
		}
	}
	c.pool.reportConns(c.worker)
}

// remove removes an exchange that has ended, and queues one that waits for a connection if the connection is free
// now.
func (c *conn) remove(x *exchange) {
	if c.inFlight[x.id] == x {
		delete(c.inFlight, x.id)
	}
	for i, other := range c.queue {
		if other == x {
			c.queue = append(c.queue[:i], c.queue[i+1:]...)
			break
		}
	}
	c.lastUsedAt = time.Now()
	c.enqueueWaiting()
}

// fail closes the connection after a protocol violation, a stalled response or a panic while reading. The lock is not
// held.
func (c *conn) fail(reason string) {
	c.pool.mu.Lock()
	c.pool.stats.ProtocolErrors++
	c.pool.mu.Unlock()
	c.pool.config.Logger.Debug("worker connection closed", "endpoint", c.worker.id, "reason", reason)
	c.close()
}

// Closed implements socket.Handler. If the pool has not closed the connection, the connection was lost: the worker
// closed it, its process ended, or the network failed.
func (c *conn) Closed() {
	c.writer.markClosed()
	if c.close() {
		c.reportLost()
	}
}

// reportLost reports a lost connection to the router, unless the worker was removed. The lock is not held.
func (c *conn) reportLost() {
	c.pool.mu.Lock()
	listed := !c.worker.removed
	if listed {
		c.pool.stats.Lost++
	}
	c.pool.mu.Unlock()
	if listed {
		c.pool.router.WorkerConnectionLost(c.worker.id)
	}
}

// close closes the connection and ends or reassigns its exchanges. Only the first call has an effect, and close
// reports whether this was the first. Exchanges in flight may have run, so they end as ConnectionReset. Queued ones
// have not run, so they are assigned to other connections. An exchange that is being written is left to the write
// loop, which knows how much of it the system accepted. The lock is not held.
func (c *conn) close() (first bool) {
	p := c.pool
	var callbacks []func()
	p.mu.Lock()
	if c.closed {
		p.mu.Unlock()
		return false
	}
	c.closed = true
	c.drain()
	delete(p.conns, c)
	c.accountInput(0)
	unwritten := c.queue
	c.queue = nil
	for _, x := range c.inFlight {
		if !x.partlyWritten {
			callbacks = append(callbacks, p.finish(x, dispatch.ConnectionReset, nil))
		}
	}
	callbacks = append(callbacks, p.reassignUnwritten(unwritten)...)
	if c.worker.connecting == 0 { // no connect is in progress that would take the waiting exchanges
		callbacks = append(callbacks, p.reassignWaiting(c.worker)...)
	}
	p.mu.Unlock()
	runCallbacks(callbacks...)
	c.netConn.Close()
	return true
}

// reassignUnwritten assigns the exchanges that were queued on a closed connection to other connections. Cancellations
// are dropped: closing the connection also cancels their attempts. The lock is held; the caller runs the callbacks
// without it.
func (p *Pool) reassignUnwritten(queue []*exchange) (callbacks []func()) {
	for _, x := range queue {
		x.conn = nil
		if !x.ended && x.kind != kindCancel {
			callbacks = append(callbacks, p.assignConn(x))
		}
	}
	return callbacks
}
