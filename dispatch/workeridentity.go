package dispatch

import "time"

// This file decides whether the process behind a worker's address is known to be the one that the endpoint
// list names, so that the list tells its zone and cell. Another process may take the address of one that has
// gone. Neither the address nor a response, to a health check or an attempt, tells the two apart.
//
// While the list shows all changes that count as notified, it is relied on. Otherwise only a connection
// identifies the process: one that was opened before the list was last confirmed, and is still open, leads to
// the process that was listed then.

// workerIdentity is a process that the endpoint list names as a worker.
type workerIdentity struct {
	endpoint    Endpoint      // with the zone and the cell of the process
	ended       bool          // the list no longer names it
	listedUntil time.Duration // if ended: when the list that named it was last confirmed
}

// identify starts a new identity of a worker if the endpoint list names another process than before: the
// first, one that started later, or one of another zone or cell. The list keeps naming the same process when
// its state changes.
func (d *Dispatcher) identify(w *worker, e Endpoint) {
	listed := w.identity
	isSame := listed != nil && !listed.ended && e.StartedAt <= listed.endpoint.StartedAt &&
		e.Zone == listed.endpoint.Zone && e.Cell == listed.endpoint.Cell
	if isSame {
		return
	}
	d.endIdentity(w)
	w.identity = &workerIdentity{endpoint: e}
}

// endIdentity records that the endpoint list no longer names the process of a worker.
func (d *Dispatcher) endIdentity(w *worker) {
	if w.identity != nil && !w.identity.ended {
		w.identity.ended = true
		w.identity.listedUntil = d.list.confirmedAt
	}
}

// identityProven reports whether an attempt, if it ran, ran in the process that the endpoint list named when
// the attempt was started.
func (d *Dispatcher) identityProven(a *attempt) bool {
	listedUntil := d.list.confirmedAt
	switch {
	case !d.list.confirmed:
		return true
	case a.identity.ended:
		listedUntil = a.identity.listedUntil
	case d.listShowsNotifiedChanges():
		return true
	}
	return a.connectedAt > 0 && a.connectedAt <= listedUntil
}

// connectedBefore returns the time before which the connection of an attempt must have been opened for the
// attempt to be allowed at a worker; 0 means any time. Only a repeat of a request that may have run has to
// reach the process that the endpoint list names.
func (d *Dispatcher) connectedBefore(r *request) time.Duration {
	if !d.mayLackIdentity(r) || !r.mayHaveRun() {
		return 0
	}
	return d.list.confirmedAt
}

// mayReachListedProcess reports whether a repeat of a request may be sent to a worker whose process may have
// to be identified by its connections. It is false if the worker is known to have no such connection.
func (d *Dispatcher) mayReachListedProcess(r *request, w *worker) bool {
	return !d.mayLackIdentity(r) || w.notConnectedBefore == 0 || w.notConnectedBefore != d.list.confirmedAt
}

// mayLackIdentity reports whether the rules for a request depend on the zone or cell of workers, while the
// endpoint list can't be relied on for them.
func (d *Dispatcher) mayLackIdentity(r *request) bool {
	isScoped := r.class.Idempotency == IdempotentByKey && r.class.DeduplicationScope != ScopeAll
	return isScoped && !d.listShowsNotifiedChanges()
}
