package respupstream

import (
	"time"

	"github.com/topazfront/topazfront/dispatch"
)

// mayWrite reports whether an exchange may be written now: the pool is open, the exchange has not ended, its time
// limits have not passed, its worker accepts it, and its client is still waiting. The lock is held.
func (p *Pool) mayWrite(x *exchange, now time.Time) bool {
	if p.closed || x.ended || !now.Before(x.writeBefore) || x.sendLimits.Expired(now) {
		return false
	}
	return x.worker.accepts(x.kind) && x.clientWaiting()
}

// assignConn finds a connection for an exchange, in this order of preference:
//
//  1. an idle connection, the most recently used first;
//  2. a new connection, if the limits allow one;
//  3. the connection with the fewest exchanges outstanding;
//  4. a new connection in place of another worker's idle one, if this worker has none.
//
// Otherwise the exchange waits. Spreading exchanges over connections limits how many of them a failing connection
// affects. The lock is held; the caller runs the callback without it.
func (p *Pool) assignConn(x *exchange) (callback func()) {
	if !p.mayWrite(x, time.Now()) {
		return p.finish(x, dispatch.NotSent, nil)
	}
	w := x.worker
	best := w.leastLoadedConn(x, p.config.MaxRequestsPerConn)
	switch {
	case best == nil && !x.sendLimits.AllowsConnection(time.Now()): // a new connection would not be allowed
		return p.finish(x, dispatch.NotSent, nil)
	case best != nil && best.outstanding() == 0:
		best.enqueue(x)
		return nil
	case p.mayDial(w) && x.sendLimits.AllowsConnection(time.Now()):
		p.startDial(w, x)
		return nil
	case best != nil:
		best.enqueue(x)
		return nil
	}
	if w.connecting == 0 && len(w.conns) == 0 {
		if idle := p.evictIdle(); idle != nil {
			p.startDial(w, x)
			return func() { idle.close() }
		}
	}
	p.addWaiting(w, x) // for a connect in progress, a connection that becomes free, or the sweep
	return nil
}

// leastLoadedConn returns the connection with the fewest exchanges outstanding that an exchange may use, or nil if there
// is none. Ties go to the most recently used connection. A connection that has carried the id before
// is excluded: a late response on it could be mistaken for the response to the new exchange. The lock is held.
func (w *worker) leastLoadedConn(x *exchange, maxOutstanding int) *conn {
	var best *conn
	for _, c := range w.conns {
		isUsable := !c.draining && !c.hasUsedID(x.id) && x.sendLimits.AllowsConnection(c.openedAt)
		if !isUsable || c.outstanding() >= maxOutstanding {
			continue
		}
		if best == nil || c.isPreferredTo(best) {
			best = c
		}
	}
	return best
}

// isPreferredTo reports whether a new exchange should use c rather than other. The lock is held.
func (c *conn) isPreferredTo(other *conn) bool {
	if c.outstanding() != other.outstanding() {
		return c.outstanding() < other.outstanding()
	}
	return c.lastUsedAt.After(other.lastUsedAt)
}

// mayDial reports whether the limits allow another connection to the worker: MaxConns for all workers together, and
// an equal share of MaxConns for each worker. The lock is held.
func (p *Pool) mayDial(w *worker) bool {
	connsPerWorker := max(p.config.MaxConns/max(len(p.workers), 1), 1)
	return len(p.conns)+p.connecting < p.config.MaxConns && len(w.conns)+w.connecting < connsPerWorker
}

// addWaiting adds an exchange to those that wait for a connection to the worker. The lock is held.
func (p *Pool) addWaiting(w *worker, x *exchange) {
	w.waiting = append(w.waiting, x)
	p.waitingWorkers[w] = struct{}{}
}

// startDial starts a connect to the worker and adds the exchange to those that wait for it. The lock is held.
func (p *Pool) startDial(w *worker, x *exchange) {
	p.addWaiting(w, x)
	w.connecting++
	p.connecting++
	p.stats.Dials++
	go p.dial(w)
}

// evictIdle removes the least recently used idle connection from the pool and returns it, or nil if none is idle.
// Without eviction, requests would wait for idle connections to time out when more workers are in use than the limit
// of connections. The lock is held; the caller closes the connection without it.
func (p *Pool) evictIdle() *conn {
	oldest := p.longestIdle()
	if oldest == nil {
		return nil
	}
	p.stats.Evicted++
	oldest.drain()
	delete(p.conns, oldest)
	return oldest
}

// longestIdle returns the least recently used idle connection, or nil if none is idle. The lock is held.
func (p *Pool) longestIdle() *conn {
	var oldest *conn
	for c := range p.conns {
		if !c.isIdle() || c.closed {
			continue
		}
		if oldest == nil || c.lastUsedAt.Before(oldest.lastUsedAt) {
			oldest = c
		}
	}
	return oldest
}

// reassignWaiting calls assignConn for every exchange that waits for a connection to the worker. The lock is held;
// the caller runs the callbacks without it.
func (p *Pool) reassignWaiting(w *worker) (callbacks []func()) {
	waiting := w.waiting
	w.waiting = nil
	for _, x := range waiting {
		callbacks = append(callbacks, p.assignConn(x))
	}
	return callbacks
}
