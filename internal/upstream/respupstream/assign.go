package respupstream

import (
	"time"

	"github.com/topazfront/topazfront/dispatch"
)

// mayWrite reports whether an exchange may be written now: its worker is listed, is active (health checks go to draining
// workers too), there is time left, and its client still waits. The lock is held.
func (p *Pool) mayWrite(x *exchange, now time.Time) bool {
	return !x.ended && x.worker != nil && !x.worker.removed && !p.closed && now.Before(x.writeBefore) &&
		(x.worker.state == dispatch.EndpointActive || x.kind == kindHealthCheck) && (x.call == nil || x.call.ClientWaiting())
}

// assignConn finds a connection for an exchange: an idle one, the most recently used first; else a new one while the limits
// allow it; else the one with the fewest exchanges outstanding; where there is none, a new one in place of another worker's
// idle one. Few requests on each connection mean that a connection that
// fails affects few. A connection that has carried the id before is not used. The lock is held; a returned callback is run
// without it.
func (p *Pool) assignConn(x *exchange) (callback func()) {
	if !p.mayWrite(x, time.Now()) {
		return p.finish(x, dispatch.NotSent, nil)
	}
	w := x.worker
	var best *conn
	for _, c := range w.conns {
		if c.draining || c.usedIDs[x.id] != 0 || c.outstanding() >= p.config.MaxRequestsPerConn {
			continue
		}
		if best == nil || c.outstanding() < best.outstanding() || c.outstanding() == best.outstanding() && c.lastUsedAt.After(best.lastUsedAt) {
			best = c
		}
	}
	if best != nil && best.outstanding() == 0 {
		best.enqueue(x)
		return nil
	}
	connsPerWorker := max(p.config.MaxConns/max(len(p.workers), 1), 1)
	if len(p.conns)+p.connecting < p.config.MaxConns && len(w.conns)+w.connecting < connsPerWorker {
		p.startDial(w, x)
		return nil
	}
	if best != nil {
		best.enqueue(x)
		return nil
	}
	if w.connecting == 0 && len(w.conns) == 0 {
		if idle := p.evictIdle(); idle != nil {
			p.startDial(w, x)
			return idle.close
		}
	}
	p.await(w, x) // for a connect in progress, or until the sweep assigns it again
	return nil
}

// await adds an exchange to those that wait for a connection to the worker. The lock is held.
func (p *Pool) await(w *worker, x *exchange) {
	w.waiting = append(w.waiting, x)
	p.waitingWorkers[w] = struct{}{}
}

// startDial starts a connect to the worker, for which an exchange waits. The lock is held.
func (p *Pool) startDial(w *worker, x *exchange) {
	p.await(w, x)
	w.connecting++
	p.connecting++
	p.stats.Dials++
	go p.dial(w)
}

// evictIdle takes the least recently used idle connection out of the pool and returns it, nil if none is idle. Without it,
// a fleet with more workers in use than there may be connections would have its requests wait for idle ones to time out.
// The lock is held; the caller closes the connection without it.
func (p *Pool) evictIdle() *conn {
	var oldest *conn
	for c := range p.conns {
		idle := c.outstanding() == 0 && !c.writing && !c.closed
		if idle && (oldest == nil || c.lastUsedAt.Before(oldest.lastUsedAt)) {
			oldest = c
		}
	}
	if oldest != nil {
		p.stats.Evicted++
		oldest.drain()
		delete(p.conns, oldest)
	}
	return oldest
}

// reassignWaiting assigns every exchange that waits for a connection to the worker. The lock is held; the returned
// callbacks are run without it.
func (p *Pool) reassignWaiting(w *worker) (callbacks []func()) {
	waiting := w.waiting
	w.waiting = nil
	for _, x := range waiting {
		callbacks = append(callbacks, p.assignConn(x))
	}
	return callbacks
}
