package respupstream

import "time"

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
