package dispatch

import (
	"slices"
	"time"
)

// This file has workers without a lease checked for the requests that could go there: workerLease.awaiting.

const (
	// leaseCheckInterval is the time between health checks of a worker for its lease, if the first was not
	// answered.
	leaseCheckInterval = 100 * time.Millisecond
	// leaseCheckTimeoutDivisor: a request waits for this part of its remaining time for one worker's health check,
	// then another is checked.
	leaseCheckTimeoutDivisor = 4
)

// mayCheckLease reports whether a health check may renew the lease of a worker for a request now, or one is
// under way that is not overdue for the request. Workers that are unlikely to serve the request are not
// checked for it.
func (d *Dispatcher) mayCheckLease(r *request, w *worker) bool {
	unresponsive := w.suspected && !d.majoritySuspected()
	unlikelyToServe := unresponsive || r.failedOn(w) || d.now < w.ejections[r.class].until
	if !d.settings.HealthChecksAllowed || r.inFlight > 0 || unlikelyToServe {
		return false
	}
	waited := d.now - w.lease.checkedAt
	switch {
	case w.lease.checkedAt == 0:
		return true
	case w.lease.checkInFlight:
		return waited < d.leaseCheckTimeout(r)
	default:
		return waited >= leaseCheckInterval
	}
}

// leaseCheckTimeout is how long a request waits for the health check of one worker.
func (d *Dispatcher) leaseCheckTimeout(r *request) time.Duration {
	return min(pendingBackoff, (r.deadline-r.acceptedAt)/leaseCheckTimeoutDivisor)
}

// awaitLease has a request wait until a health check has renewed the lease of a worker. One check serves
// all requests that wait for it.
func (d *Dispatcher) awaitLease(r *request, w *worker) {
	if !w.lease.checkInFlight {
		w.lease.checkInFlight = true
		w.lease.checkedAt = d.now
		d.emit(CheckHealth{Worker: w.ID, ForLease: true})
	}
	w.lease.awaiting = append(w.lease.awaiting, r)
	d.setRequestTimer(r, d.now+d.leaseCheckTimeout(r))
}

// recordLeaseCheck takes the result of a health check of a worker and lets go the requests that waited for it.
// A check counts from when it was sent.
func (d *Dispatcher) recordLeaseCheck(w *worker, e HealthChecked) {
	d.pending = append(d.pending, w.lease.awaiting...)
	w.lease.awaiting = nil
	w.lease.checkInFlight = false
	switch {
	case e.Result == OK && e.Draining:
		d.recordContactLoss(w)
	case e.Result == OK:
		w.lease.checkedAt = 0
		d.renewLease(w, d.now-e.Duration)
	case e.Result == ConnectFailed || e.Result == ConnectionReset:
		d.recordContactLoss(w)
		d.suspectIfListOutdated(w)
	case e.Result == TimedOut:
		d.suspectIfListOutdated(w)
	}
}

// suspectIfListOutdated suspects a worker that did not answer a health check, unless the endpoint list is
// believed: then the ends of its attempts tell.
func (d *Dispatcher) suspectIfListOutdated(w *worker) {
	if !d.listIsCurrent() {
		d.suspect(w)
	}
}

// hasNoUsableWorker reports whether nothing can be sent to any worker until the endpoint list is back: it is not
// believed, no worker holds a lease, and health checks are not allowed.
func (d *Dispatcher) hasNoUsableWorker() bool {
	if d.settings.HealthChecksAllowed || d.listIsCurrent() {
		return false
	}
	return !slices.ContainsFunc(d.activeWorkers, d.holdsLease)
}
