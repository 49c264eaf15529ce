package respupstream

import (
	"time"

	"github.com/cloudwego/netpoll"

	"github.com/topazfront/topazfront/dispatch"
	"github.com/topazfront/topazfront/internal/transport/resp"
)

// conn is one connection to a worker.
type conn struct {
	pool    *Pool
	worker  *worker
	netConn netpoll.Connection
	reader  *resp.Reader // used by netpoll's goroutine for this connection only
	socket  socket

	// Under the pool's lock.
	queue           []*exchange          // to be written, in order
	inFlight        map[string]*exchange // written and not answered, by id
	writing         bool                 // a goroutine runs writeLoop
	partialResponse bool                 // a response has begun and is not complete
	draining        bool                 // accepts no new exchange; closed once nothing is in flight
	closed          bool
	openedAt        time.Time
	lastReadAt      time.Time
	lastUsedAt      time.Time                // when an exchange was last queued on it or removed from it
	usedIDs         map[string]time.Duration // by id that was written to it: until when it counts, since openedAt
	idsExpiredAt    time.Time                // when usedIDs was last cleaned
}

// takeWaiting queues the first exchange that waits for a connection to the worker, if nothing is outstanding on this
// connection. The lock is held, as by all methods below up to remove.
func (c *conn) takeWaiting() {
	for len(c.worker.waiting) > 0 && !c.draining && c.outstanding() == 0 {
		x := c.worker.waiting[0]
		if c.usedIDs[x.id] != 0 {
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

// idleTimeoutExceeded reports whether the connection was last used longer ago than the idle timeout.
func (c *conn) idleTimeoutExceeded(now time.Time) bool {
	limit := c.pool.config.IdleTimeout
	return limit > 0 && now.Sub(c.lastUsedAt) > limit
}

// enqueue appends an exchange to the write queue and starts writeLoop unless it runs.
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

// drain makes the connection accept no new exchange. The sweep closes it when nothing is outstanding.
func (c *conn) drain() {
	c.draining = true
	for i, other := range c.worker.conns {
		if other == c {
			c.worker.conns = append(c.worker.conns[:i], c.worker.conns[i+1:]...)
			break
		}
	}
}

// remove removes an exchange that has ended. The place is given to an exchange that waits for a connection.
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
	c.takeWaiting()
}

// fail closes a connection on which the worker violated the protocol.
func (c *conn) fail(reason string) {
	c.pool.mu.Lock()
	c.pool.stats.ProtocolErrors++
	c.pool.mu.Unlock()
	c.pool.config.Logger.Debug("worker connection closed", "endpoint", c.worker.id, "reason", reason)
	c.close()
}

// onClosed is netpoll's callback before it closes the descriptor. If the pool has not closed the connection, the worker did or
// its process has ended.
func (c *conn) onClosed() {
	c.socket.markClosed()
	if c.close() {
		c.reportLost()
	}
}

// reportLost reports to the router that a connection to the worker was lost. The lock is not held.
func (c *conn) reportLost() {
	c.pool.mu.Lock()
	listed := !c.worker.removed
	c.pool.mu.Unlock()
	if listed {
		c.pool.router.WorkerConnectionLost(c.worker.id)
	}
}

// close closes the connection and ends or reassigns its exchanges. Only the first call has an effect. Exchanges in flight
// may have run, so they end as ConnectionReset. Queued ones have not, so they are assigned to other connections. An exchange
// that is being written is left to the write loop, which knows how much of it the system accepted. It reports whether this was
// the first call. The lock is not held.
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
	unwritten := c.queue
	c.queue = nil
	for _, x := range c.inFlight {
		if !x.partlyWritten {
			callbacks = append(callbacks, p.finish(x, dispatch.ConnectionReset, nil))
		}
	}
	callbacks = append(callbacks, p.reassignUnwritten(unwritten)...)
	if c.worker.connecting == 0 { // no connect will serve those that waited for a place on this connection
		callbacks = append(callbacks, p.reassignWaiting(c.worker)...)
	}
	p.mu.Unlock()
	runCallbacks(callbacks...)
	_ = c.netConn.Close()
	return true
}

// reassignUnwritten assigns the exchanges that were queued on a closed connection to other connections. Cancellations are
// dropped: the close has given up what they cancel. The lock is held; the returned callbacks are run without it.
func (p *Pool) reassignUnwritten(queue []*exchange) (callbacks []func()) {
	for _, x := range queue {
		x.conn = nil
		if !x.ended && x.kind != kindCancel {
			callbacks = append(callbacks, p.assignConn(x))
		}
	}
	return callbacks
}
