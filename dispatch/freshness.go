package dispatch

import (
	"math"
	"slices"
	"time"
)

// This file decides how long this router believes that a worker does not drain: Dispatcher.list and worker.lease.
//
// A worker may get an attempt or a load command only while it holds a lease. The endpoint list gives a lease to all of its
// active workers, for as long as a drain that it does not show yet can't have been notified for longer than the drain
// grace. Beyond that, a worker holds a lease for the drain grace after the newest moment at which it is known not to have
// drained: that of an attempt which it served, or of a health check that it answered as ready. Where a caller does not
// report on the list at all, the list is always believed.

const (
	// lossNotifiedAfter is how long after the endpoint list was lost what it would have shown counts as notified (the
	// platform's protocol: 2 s after a break; its other clocks are later, or run out when the list is asked for again).
	lossNotifiedAfter = 2 * time.Second
	// minDrainGrace and leaseMargin: a lease ends so much before the drain grace does, which leaves time for the send, and
	// where the settings give hardly any grace there is a lease nevertheless, within the 50 ms of allowance that the
	// platform has for each time limit.
	minDrainGrace = 50 * time.Millisecond
	leaseMargin   = 25 * time.Millisecond
	// minSendWindow is the least time that a send has for its first byte while the endpoint list is believed: a connection may
	// have to be made first.
	minSendWindow = 200 * time.Millisecond
	// minPause is the shortest time without a Step that counts as a pause of the process.
	minPause = 150 * time.Millisecond
	// checkInterval is the time between health checks of a worker for its lease, if the first was not answered.
	checkInterval = 100 * time.Millisecond
	// patienceDivisor: a request waits for this part of its remaining time for one worker's health check, then another is
	// checked.
	patienceDivisor = 4
	forever         = time.Duration(math.MaxInt64)
)

// leaseDuration is how long a worker may get something new after it was known not to drain.
func (d *Dispatcher) leaseDuration() time.Duration {
	return max(d.settings.DrainGrace, minDrainGrace) - leaseMargin
}

// listLeaseEnd is when the lease ends that the endpoint list gives to its active workers. What the list did not show
// counts as notified when the list has been lost for lossNotifiedAfter, or as soon as it is asked for again. If the process
// was paused, a change may have been notified at any time since the list was confirmed.
func (d *Dispatcher) listLeaseEnd() time.Duration {
	list := &d.list
	if !list.tracked {
		return forever
	}
	notifiedAt := list.confirmedAt + lossNotifiedAfter
	if list.askedAgainAt > list.confirmedAt {
		notifiedAt = min(notifiedAt, list.askedAgainAt)
	}
	if list.pausedUntil > list.confirmedAt {
		notifiedAt = list.confirmedAt
	}
	return notifiedAt + d.leaseDuration()
}

// listIsCurrent reports whether the endpoint list is believed.
func (d *Dispatcher) listIsCurrent() bool { return d.now < d.listLeaseEnd() }

// leaseEnd is when the lease of a worker ends.
func (d *Dispatcher) leaseEnd(w *worker) time.Duration {
	end := d.listLeaseEnd()
	if w.lease.activeAt > w.lease.lostContactAt {
		end = max(end, w.lease.activeAt+d.leaseDuration())
	}
	return end
}

// holdsLease reports whether a worker may get something new now.
func (d *Dispatcher) holdsLease(w *worker) bool { return d.now < d.leaseEnd(w) }

// sendBefore is the time before which the first byte of what is sent to a worker now has to be written; 0: there is none.
// A send that is delayed beyond the drain grace is decided anew: the list may have changed meanwhile.
func (d *Dispatcher) sendBefore(w *worker) time.Duration {
	if !d.list.tracked {
		return 0
	}
	return min(d.leaseEnd(w), d.now+max(d.leaseDuration(), minSendWindow))
}

// confirmList notes that the endpoint list was complete at a time.
func (d *Dispatcher) confirmList(e EndpointListConfirmed) {
	d.list.tracked = true
	d.list.confirmedAt = max(d.list.confirmedAt, min(e.At, d.now))
}

// askListAgain notes that the endpoint list is asked for again. Only the first time since it was confirmed counts: what had
// changed by then is notified.
func (d *Dispatcher) askListAgain(e EndpointListAskedAgain) {
	if d.list.askedAgainAt <= d.list.confirmedAt {
		d.list.askedAgainAt = e.At
	}
}

// detectPause notes when the process did not run for a while. Whatever the list has shown since it was confirmed may then
// wait to be read. Steps come often enough, see maxStepInterval.
func (d *Dispatcher) detectPause(lastStep time.Duration) {
	if d.list.tracked && d.now-lastStep > d.pauseThreshold() {
		d.list.pausedUntil = d.now
	}
}

// pauseThreshold is the time without a Step that counts as a pause of the process. A shorter one delays the news of a drain
// by less than the drain grace.
func (d *Dispatcher) pauseThreshold() time.Duration { return max(d.leaseDuration()/2, minPause) }

// maxStepInterval is the longest time between two Steps without an event.
func (d *Dispatcher) maxStepInterval() time.Duration {
	if !d.list.tracked {
		return rebalanceInterval
	}
	return d.pauseThreshold() / 2
}

// updateListState reports when the endpoint list is no longer believed, and when it is again. At the beginning of such a
// time, the workers that the router had lost contact with may have been restarted since the list was confirmed.
func (d *Dispatcher) updateListState() {
	current := d.listIsCurrent()
	if current != d.list.expired {
		return
	}
	d.list.expired = !current
	d.emit(EndpointListStateChanged{Current: current, Age: d.now - d.list.confirmedAt})
	for _, w := range d.activeWorkers {
		d.noteRestart(w)
	}
}

// renewLease notes that a worker is known not to have drained at a time.
func (d *Dispatcher) renewLease(w *worker, at time.Duration) {
	w.lease.activeAt = max(w.lease.activeAt, at)
	d.noteRestart(w)
}

// endLease has a worker checked before it gets anything new, unless the endpoint list is believed. It is called when the
// worker rejects something, which may mean that it drains.
func (d *Dispatcher) endLease(w *worker) {
	if !d.listIsCurrent() {
		w.lease.activeAt = 0
	}
}

// loseContact notes that a worker may have ended: a connection to it failed, or it said that it drains.
func (d *Dispatcher) loseContact(w *worker) {
	w.lease.lostContactAt = d.now
}

// noteRestart has a worker go through slow start if the router lost contact with it, it is back, and the endpoint list
// can't tell whether it was restarted meanwhile. The list corrects the start when it changes. False positives: a worker
// that only lost its connections, or ended a drain without a restart, gets less for a while.
func (d *Dispatcher) noteRestart(w *worker) {
	isBack := w.lease.activeAt > w.lease.lostContactAt
	lostSinceConfirmed := w.lease.lostContactAt > d.list.confirmedAt
	if d.listIsCurrent() || !isBack || !lostSinceConfirmed {
		return
	}
	d.releaseWaiting(w)
	activeAt := w.lease.activeAt
	endpoint := w.Endpoint
	endpoint.StartedAt = d.now
	memoryMB := w.memoryMB
	listedIn := w.listedIn
	d.resetWorker(w)
	w.Endpoint = endpoint
	w.memoryMB = memoryMB
	w.listedIn = listedIn
	w.lease.activeAt = activeAt
	w.warmingUp = d.settings.SlowStartDuration > 0
	d.resetSlowStartTokens(w)
	d.recountSuspectedWorkers()
}

// mayCheckLease reports whether a health check may renew the lease of a worker for a request now, or one is under way that
// is not overdue for the request. Workers that are unlikely to serve the request are not checked for it.
func (d *Dispatcher) mayCheckLease(r *request, w *worker) bool {
	if !d.settings.HealthChecksAllowed || r.inFlight > 0 || r.failedOn(w) {
		return false
	}
	d.updateSuspicion(w)
	silent := w.suspected && !d.majoritySuspected()
	if silent || d.now < w.ejections[r.class].until {
		return false
	}
	waited := d.now - w.lease.checkedAt
	switch {
	case w.lease.checkedAt == 0:
		return true
	case w.lease.checkInFlight:
		return waited < d.leasePatience(r)
	default:
		return waited >= checkInterval
	}
}

// leasePatience is how long a request waits for the health check of one worker.
func (d *Dispatcher) leasePatience(r *request) time.Duration {
	return min(pendingBackoff, (r.deadline-r.acceptedAt)/patienceDivisor)
}

// awaitLease has a request wait until a health check has renewed the lease of a worker. One check serves all requests that
// wait for it.
func (d *Dispatcher) awaitLease(r *request, w *worker) {
	if !w.lease.checkInFlight {
		w.lease.checkInFlight = true
		w.lease.checkedAt = d.now
		d.emit(CheckHealth{Worker: w.ID, ForLease: true})
	}
	w.lease.awaiting = append(w.lease.awaiting, r)
	d.setRequestTimer(r, d.now+d.leasePatience(r))
}

// leaseChecked takes the result of a health check of a worker and lets go the requests that waited for it. A check counts
// from when it was sent.
func (d *Dispatcher) leaseChecked(w *worker, e HealthChecked) {
	d.pending = append(d.pending, w.lease.awaiting...)
	w.lease.awaiting = nil
	w.lease.checkInFlight = false
	switch {
	case e.Result == OK && e.Draining:
		d.loseContact(w)
	case e.Result == OK:
		w.lease.checkedAt = 0
		d.renewLease(w, d.now-e.Duration)
	case e.Result == ConnectFailed || e.Result == ConnectionReset:
		d.loseContact(w)
		d.suspectUnlessListed(w)
	case e.Result == TimedOut:
		d.suspectUnlessListed(w)
	}
}

// suspectUnlessListed suspects a worker that did not answer a health check, unless the endpoint list is believed: then
// the ends of its attempts tell.
func (d *Dispatcher) suspectUnlessListed(w *worker) {
	if !d.listIsCurrent() {
		d.suspect(w)
	}
}

// isUnservable reports whether nothing can be sent to any worker until the endpoint list is back: it is not believed, no
// worker holds a lease, and health checks are not allowed.
func (d *Dispatcher) isUnservable() bool {
	if d.settings.HealthChecksAllowed || d.listIsCurrent() {
		return false
	}
	return !slices.ContainsFunc(d.activeWorkers, d.holdsLease)
}
