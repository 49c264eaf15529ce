package dispatch

import "time"

// This file decides which workers may get attempts and load commands, by their worker.lease.
//
// A worker may get an attempt or a load command only while it holds a lease. The endpoint list gives a
// lease to all of its active workers. This lease ends when a drain that the list does not show yet might
// have been notified for longer than the drain grace. Independently of the list, a worker holds a lease for
// the drain grace after the last time at which it is known not to have drained: the start of an attempt
// that it served, or the sending of a health check that it answered as ready.

const (
	// minDrainGrace is the shortest drain grace that leases are based on. The platform tolerates 50 ms
	// beyond each of its time limits, so workers get a lease even if the settings allow less.
	minDrainGrace = 50 * time.Millisecond
	// leaseMargin is the time from the end of a lease to the end of the drain grace, for the send.
	leaseMargin = 25 * time.Millisecond
	// minSendWindow is the shortest time limit for the first byte of a send while the endpoint list is
	// current: the router may have to open a connection first.
	minSendWindow = 200 * time.Millisecond
)

// leaseDuration returns the length of a lease, from the time at which the worker was known not to drain.
func (d *Dispatcher) leaseDuration() time.Duration {
	return max(d.settings.DrainGrace, minDrainGrace) - leaseMargin
}

// leaseEnd returns the time at which the lease of a worker ends.
func (d *Dispatcher) leaseEnd(w *worker) time.Duration {
	end := d.listLeaseEnd()
	if w.lease.knownActiveAt > w.lease.lostContactAt {
		end = max(end, w.lease.knownActiveAt+d.leaseDuration())
	}
	return end
}

// holdsLease reports whether a worker may get an attempt or a load command now.
func (d *Dispatcher) holdsLease(w *worker) bool { return d.now < d.leaseEnd(w) }

// sendBefore returns the time before which the first byte of an attempt or load command that is sent to a
// worker now has to be written; 0 means no limit. If a send is delayed beyond that time, nothing is sent and
// the request is routed again, because the endpoint list may have changed.
func (d *Dispatcher) sendBefore(w *worker) time.Duration {
	if !d.list.tracked {
		return 0
	}
	return min(d.leaseEnd(w), d.now+max(d.leaseDuration(), minSendWindow))
}

// renewLease records that a worker is known not to have drained at a time.
func (d *Dispatcher) renewLease(w *worker, at time.Duration) {
	w.lease.knownActiveAt = max(w.lease.knownActiveAt, at)
	d.handlePossibleRestart(w)
}

// endLease ends the lease of a worker, unless the endpoint list is current, so that a health check has to
// renew it. It is called when the worker rejects an attempt or a load command, which may mean that it
// drains.
func (d *Dispatcher) endLease(w *worker) {
	if !d.listIsCurrent() {
		w.lease.knownActiveAt = 0
	}
}
