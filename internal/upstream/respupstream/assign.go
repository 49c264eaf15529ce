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
// allow it; else the one with the fewest exchanges outstanding. Few requests on each connection mean that a connection that
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
		w.waiting = append(w.waiting, x)
		w.connecting++
		p.connecting++
		p.stats.Dials++
		go p.dial(w)
		return nil
	}
	if best != nil {
		best.enqueue(x)
		return nil
	}
	w.waiting = append(w.waiting, x) // for a connect in progress, or until the sweep assigns it again
	return nil
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
