package dispatch

import "time"

// This file decides which workers may get something new: worker.lease.
//
// A worker may get an attempt or a load command only while it holds a lease. The endpoint list gives a
// lease to all of its active workers, for as long as a drain that it does not show yet can't have been
// notified for longer than the drain grace. Beyond that, a worker holds a lease for the drain grace after
// the newest moment at which it is known not to have drained: that of an attempt which it served, or of a
// health check that it answered as ready.

const (
	// minDrainGrace and leaseMargin: a lease ends so much before the drain grace does, which leaves time
	// for the send, and where the settings give hardly any grace there is a lease nevertheless, within the
	// 50 ms of allowance that the platform has for each time limit.
	minDrainGrace = 50 * time.Millisecond
	leaseMargin   = 25 * time.Millisecond
	// minSendWindow is the least time that a send has for its first byte while the endpoint list is
	// believed: a connection may have to be made first.
	minSendWindow = 200 * time.Millisecond
)

// leaseDuration is how long a worker may get something new after it was known not to drain.
func (d *Dispatcher) leaseDuration() time.Duration {
	return max(d.settings.DrainGrace, minDrainGrace) - leaseMargin
}

// leaseEnd is when the lease of a worker ends.
func (d *Dispatcher) leaseEnd(w *worker) time.Duration {
	end := d.listLeaseEnd()
	if w.lease.knownActiveAt > w.lease.lostContactAt {
		end = max(end, w.lease.knownActiveAt+d.leaseDuration())
	}
	return end
}

// holdsLease reports whether a worker may get something new now.
func (d *Dispatcher) holdsLease(w *worker) bool { return d.now < d.leaseEnd(w) }

// sendBefore is the time before which the first byte of what is sent to a worker now has to be written; 0:
// there is none. A send that is delayed beyond the drain grace is decided anew: the list may have changed
// meanwhile.
func (d *Dispatcher) sendBefore(w *worker) time.Duration {
	if !d.list.tracked {
		return 0
	}
	return min(d.leaseEnd(w), d.now+max(d.leaseDuration(), minSendWindow))
}

// renewLease notes that a worker is known not to have drained at a time.
func (d *Dispatcher) renewLease(w *worker, at time.Duration) {
	w.lease.knownActiveAt = max(w.lease.knownActiveAt, at)
	d.handlePossibleRestart(w)
}

// endLease has a worker checked before it gets anything new, unless the endpoint list is believed. It is
// called when the worker rejects something, which may mean that it drains.
func (d *Dispatcher) endLease(w *worker) {
	if !d.listIsCurrent() {
		w.lease.knownActiveAt = 0
	}
}

// recordContactLoss notes that a worker may have ended: a connection to it failed, or it said that it drains.
func (d *Dispatcher) recordContactLoss(w *worker) {
	w.lease.lostContactAt = d.now
}

// handlePossibleRestart has a worker go through slow start if the router lost contact with it, it is back, and the
// endpoint list can't tell whether it was restarted meanwhile. The list corrects the start when it changes.
// False positives: a worker that only lost its connections, or ended a drain without a restart, gets less
// for a while.
func (d *Dispatcher) handlePossibleRestart(w *worker) {
	isBack := w.lease.knownActiveAt > w.lease.lostContactAt
	lostSinceConfirmed := w.lease.lostContactAt > d.list.confirmedAt
	if d.listIsCurrent() || !isBack || !lostSinceConfirmed {
		return
	}
	d.requeueWaiting(w)
	activeAt := w.lease.knownActiveAt
	endpoint := w.Endpoint
	endpoint.StartedAt = d.now
	memoryMB := w.memoryMB
	listedIn := w.listedInUpdate
	d.resetWorker(w)
	w.Endpoint = endpoint
	w.memoryMB = memoryMB
	w.listedInUpdate = listedIn
	w.lease.knownActiveAt = activeAt
	w.warmingUp = d.settings.SlowStartDuration > 0
	d.resetSlowStartTokens(w)
	d.recountSuspectedWorkers()
}
