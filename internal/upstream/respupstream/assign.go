package respupstream

import (
	"time"

	"github.com/topazfront/topazfront/dispatch"
)

// mayWrite reports whether an exchange may be written now. It must be wanted still, its time limits
// must allow it, its worker
// must accept it, and its client must still wait. The lock is held.
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
// Otherwise the exchange waits. Spreading requests over connections limits how many a failing connection affects. The
// lock is held; a returned callback is run without it.
func (p *Pool) assignConn(x *exchange) (callback func()) {
	if !p.mayWrite(x, time.Now()) {
		return p.finish(x, dispatch.NotSent, nil)
	}
	w := x.worker
	best := w.leastLoadedConn(x.id, p.config.MaxRequestsPerConn)
	switch {
	case best != nil && best.outstanding() == 0:
		best.enqueue(x)
		return nil
	case p.mayDial(w):
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
	p.await(w, x) // for a connect in progress, or until the sweep assigns it again
	return nil
}

// leastLoadedConn returns the connection with the fewest exchanges outstanding that an exchange with the id may use, nil if
// there is none. Of several it is the most recently used. A connection that has carried the id before is excluded: a late
// response on it could be taken for the new exchange's. The lock is held.
func (w *worker) leastLoadedConn(id string, maxOutstanding int) *conn {
	var best *conn
	for _, c := range w.conns {
		if c.draining || c.usedIDs[id] != 0 || c.outstanding() >= maxOutstanding {
			continue
		}
		if best == nil || c.isPreferredTo(best) {
			best = c
		}
	}
	return best
}

// isPreferredTo reports whether a new exchange uses c rather than other. The lock is held.
func (c *conn) isPreferredTo(other *conn) bool {
	if c.outstanding() != other.outstanding() {
		return c.outstanding() < other.outstanding()
	}
	return c.lastUsedAt.After(other.lastUsedAt)
}

// mayDial reports whether the limits allow another connection to the worker: MaxConns for all workers together, and an equal
// share of it for each. The lock is held.
func (p *Pool) mayDial(w *worker) bool {
	connsPerWorker := max(p.config.MaxConns/max(len(p.workers), 1), 1)
	return len(p.conns)+p.connecting < p.config.MaxConns && len(w.conns)+w.connecting < connsPerWorker
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

// evictIdle takes the least recently used idle connection out of the pool and returns it, nil if none is idle. It guards
// against requests that wait for idle connections to time out, where more workers are in use than there may be connections.
// The lock is held; the caller closes the connection without it.
func (p *Pool) evictIdle() *conn {
	oldest := p.oldestIdle()
	if oldest == nil {
		return nil
	}
	p.stats.Evicted++
	oldest.drain()
	delete(p.conns, oldest)
	return oldest
}

// oldestIdle returns the least recently used idle connection, nil if none is idle. The lock is held.
func (p *Pool) oldestIdle() *conn {
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
