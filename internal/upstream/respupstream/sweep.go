package respupstream

import (
	"time"

	"github.com/topazfront/topazfront/dispatch"
)

// sweepInterval is the time between two sweeps.
const sweepInterval = 50 * time.Millisecond

// sweep periodically closes connections that have been idle for too long, have drained, or have a stalled response,
// and assigns exchanges that wait although no connect is in progress. It runs on its own goroutine from New until
// Close.
func (p *Pool) sweep() {
	ticker := time.NewTicker(sweepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-p.stop:
			return
		case <-ticker.C:
			p.sweepOnce()
		}
	}
}

// sweepOnce makes one sweep. Its cost grows with the number of connections and of workers with waiting exchanges, not
// with the number of all workers.
func (p *Pool) sweepOnce() {
	now := time.Now()
	var stalled, idle []*conn
	p.mu.Lock()
	for c := range p.conns {
		switch {
		case c.partialResponse && now.Sub(c.lastReadAt) > p.config.StallTimeout:
			stalled = append(stalled, c)
		case c.isIdle() && !c.draining && c.idleTimeoutExceeded(now) && p.keepsOpen(c):
			p.stats.Kept++
			c.enqueue(p.newKeepAlive(c))
		case c.isIdle() && (c.draining || c.idleTimeoutExceeded(now)):
			c.draining = true
			idle = append(idle, c)
		}
		c.expireUsedIDs(now)
	}
	var callbacks []func()
	for w := range p.waitingWorkers {
		switch {
		case len(w.waiting) == 0:
			delete(p.waitingWorkers, w)
		case w.connecting == 0:
			callbacks = append(callbacks, p.reassignWaiting(w)...)
		}
	}
	p.stats.IdleClosed += uint64(len(idle))
	p.mu.Unlock()
	runCallbacks(callbacks...)
	for _, c := range stalled {
		c.fail("response stalled")
	}
	for _, c := range idle {
		c.close()
	}
}

// KeepConnections implements router.Upstream. While connections are kept, the oldest connection to each active worker is
// not closed when it is idle. A health check on it keeps the worker from closing it.
func (p *Pool) KeepConnections(keep bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.keepConns = keep
}

// keepsOpen reports whether a connection is kept although it is idle. The lock is held.
func (p *Pool) keepsOpen(c *conn) bool {
	return p.keepConns && c.worker.accepts(kindAttempt) && c == c.worker.oldestConn()
}

// newKeepAlive returns a health check of which only the connection matters. The lock is held.
func (p *Pool) newKeepAlive(c *conn) *exchange {
	x := &exchange{pool: p, kind: kindHealthCheck, worker: c.worker, writeBefore: time.Now().Add(p.config.ConnectTimeout)}
	x.done = func(dispatch.Result, *response) {}
	x.encode = func(time.Duration) []byte { return encodeHealthCheck(x.id) }
	p.assignControlID(x)
	p.startTimeout(x, p.config.ConnectTimeout)
	return x
}
