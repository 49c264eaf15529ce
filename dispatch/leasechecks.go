package dispatch

import (
	"slices"
	"time"
)

// This file sends health checks to workers without a lease. The requests that could go to a worker wait for
// its check in workerLease.awaiting.

const (
	// leaseCheckInterval is the time between health checks of a worker if the first did not renew its
	// lease.
	leaseCheckInterval = 100 * time.Millisecond
	// leaseCheckTimeoutDivisor limits how long a request waits for the health check of one worker: at most
	// the time from its arrival to its deadline, divided by this. Then another worker is checked.
	leaseCheckTimeoutDivisor = 4
)

// mayCheckLease reports whether a request may wait for a health check that renews the lease of a worker: a
// new check, or one in flight that is not overdue for the request. Workers that are unlikely to serve the
// request are not checked for it.
func (d *Dispatcher) mayCheckLease(r *request, w *worker) bool {
	if !d.settings.HealthChecksAllowed || r.inFlight > 0 || d.isUnfit(r, w) {
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

// isUnfit reports whether a worker would probably not serve a request: it is suspected, has failed the
// request, or its class is ejected.
func (d *Dispatcher) isUnfit(r *request, w *worker) bool {
	unresponsive := w.suspected && !d.majoritySuspected()
	return unresponsive || r.failedOn(w) || d.now < w.ejections[r.class].until
}

// leaseCheckTimeout returns how long a request waits for the health check of one worker.
func (d *Dispatcher) leaseCheckTimeout(r *request) time.Duration {
	return min(pendingBackoff, (r.deadline-r.acceptedAt)/leaseCheckTimeoutDivisor)
}

// awaitLease makes a request wait for a health check that renews the lease of a worker. All requests that
// wait for the same worker share one check.
func (d *Dispatcher) awaitLease(r *request, w *worker) {
	if !w.lease.checkInFlight {
		w.lease.checkInFlight = true
		w.lease.checkedAt = d.now
		d.emit(CheckHealth{Worker: w.ID, ForLease: true})
	}
	w.lease.awaiting.add(r)
	r.awaitedLease = &w.lease
	d.setRequestTimer(r, d.now+d.leaseCheckTimeout(r))
}

// stopAwaitingLease removes a request from those that wait for the health check of a worker. A request waits
// for one check at a time: otherwise the end of each would route it again, and make it wait for another one.
func (r *request) stopAwaitingLease() {
	if r.awaitedLease == nil {
		return
	}
	r.awaitedLease.awaiting.remove(r)
	r.awaitedLease = nil
}

// takeAwaiting removes and returns the requests that wait for a health check.
func (l *workerLease) takeAwaiting() []*request {
	taken := l.awaiting.takeAll()
	for _, r := range taken {
		r.awaitedLease = nil
	}
	return taken
}

// recordLeaseCheck applies the result of a health check to the lease of a worker and requeues the requests
// that waited for it. A renewed lease starts when the check was sent.
func (d *Dispatcher) recordLeaseCheck(w *worker, e HealthChecked) {
	d.pending = append(d.pending, w.lease.takeAwaiting()...)
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
// current. In that case the results of its attempts show whether it responds.
func (d *Dispatcher) suspectIfListOutdated(w *worker) {
	if !d.listIsCurrent() {
		d.suspect(w)
	}
}

// hasNoUsableWorker reports whether no worker may get an attempt until the endpoint list is current again:
// it is out of date, no worker holds a lease, and health checks are not allowed.
func (d *Dispatcher) hasNoUsableWorker() bool {
	if d.settings.HealthChecksAllowed || d.listIsCurrent() {
		return false
	}
	return !slices.ContainsFunc(d.activeWorkers, d.holdsLease)
}
