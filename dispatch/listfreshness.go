package dispatch

import (
	"math"
	"slices"
	"time"
)

// This file decides how long the endpoint list counts as current after its last confirmation, in
// Dispatcher.list. If the caller never confirms the list, it is always current.

const (
	// lossNotificationDelay is the time after the loss of the endpoint list at which the platform regards
	// the router as notified of a change that it did not receive. The platform's protocol sets it to 2 s
	// after a broken connection. Its other deadlines are later, or expire when the list is requested again.
	lossNotificationDelay = 2 * time.Second
	// maxConfirmationDelay is how late a confirmation may come for the list to count as current again, if the
	// drain grace is shorter. It covers the usual delay of a response of discovery.
	maxConfirmationDelay = 200 * time.Millisecond
	// minPause is the shortest time without a Step that counts as a pause of the process.
	minPause = 150 * time.Millisecond
	// maxListRequests bounds the stored times of unanswered list requests. Answers take a few seconds at
	// most, and requests are no more frequent than their backoff.
	maxListRequests = 16
	forever         = time.Duration(math.MaxInt64)
)

// listLeaseEnd returns the end of the lease that the endpoint list gives to its active workers: the drain
// grace after the router may count as notified of a change that the list does not show.
func (d *Dispatcher) listLeaseEnd() time.Duration {
	if !d.list.tracked {
		return forever
	}
	return d.nextNotificationAt() + d.leaseDuration()
}

// nextNotificationAt returns when the router may count as notified of a change that the list does not show.
// If the list is lost, the platform regards the router as notified of all changes after
// lossNotificationDelay, or as soon as the list is requested again. If the process was paused, or the list
// is out of date and each confirmation comes late, a change may have been notified at any time since the
// list was confirmed.
func (d *Dispatcher) nextNotificationAt() time.Duration {
	list := &d.list
	notifiedAt := list.confirmedAt + lossNotificationDelay
	if len(list.requestedAt) > 0 {
		notifiedAt = min(notifiedAt, list.requestedAt[0])
	}
	staysOutOfDate := list.expired && !list.confirmedInTime
	if list.pausedUntil > list.confirmedAt || staysOutOfDate {
		notifiedAt = list.confirmedAt
	}
	return notifiedAt
}

// listShowsNotifiedChanges reports whether the list shows all changes that the router may count as notified
// of.
func (d *Dispatcher) listShowsNotifiedChanges() bool {
	return !d.list.confirmed || d.now < d.nextNotificationAt()
}

// listIsCurrent reports whether the endpoint list is recent enough to rely on.
func (d *Dispatcher) listIsCurrent() bool { return d.now < d.listLeaseEnd() }

// confirmList records that the endpoint list was complete at a time, which answers all requests for the
// list up to that time. If the settings have no drain grace, no rule on drains applies and the list is
// always current.
func (d *Dispatcher) confirmList(e EndpointListConfirmed) {
	d.list.confirmed = true
	d.list.tracked = d.settings.DrainGrace > 0
	d.list.confirmedInTime = d.now-e.At <= max(d.leaseDuration(), maxConfirmationDelay)
	d.list.confirmedAt = max(d.list.confirmedAt, min(e.At, d.now))
	isAnswered := func(at time.Duration) bool { return at <= d.list.confirmedAt }
	d.list.requestedAt = slices.DeleteFunc(d.list.requestedAt, isAnswered)
}

// recordListRequest records a request for the endpoint list. A late answer may confirm the list for a time
// before some of the requests, so the first request and the newest ones are kept.
func (d *Dispatcher) recordListRequest(e EndpointListRequested) {
	list := &d.list
	if len(list.requestedAt) == maxListRequests {
		list.requestedAt = slices.Delete(list.requestedAt, 1, 2)
	}
	list.requestedAt = append(list.requestedAt, e.At)
}

// detectPause records that the process was paused. Changes of the endpoint list since its last confirmation
// may then still be unread. Without a pause, Step is called at least every maxStepInterval.
func (d *Dispatcher) detectPause(lastStep time.Duration) {
	if d.list.tracked && d.now-lastStep > d.pauseThreshold() {
		d.list.pausedUntil = d.now
	}
}

// pauseThreshold returns the time without a Step that counts as a pause of the process. A shorter pause
// delays the notification of a drain by less than the drain grace.
func (d *Dispatcher) pauseThreshold() time.Duration { return max(d.leaseDuration()/2, minPause) }

// maxStepInterval returns the longest time between two Steps without an event.
func (d *Dispatcher) maxStepInterval() time.Duration {
	if !d.list.tracked {
		return rebalanceInterval
	}
	return d.pauseThreshold() / 2
}

// updateListState reports when the endpoint list goes out of date and when it is current again. When it
// goes out of date, workers that the router had lost contact with may have been restarted since the list
// was confirmed.
func (d *Dispatcher) updateListState() {
	current := d.listIsCurrent()
	if current != d.list.expired {
		return
	}
	d.list.expired = !current
	d.emit(EndpointListStateChanged{Current: current, Age: d.now - d.list.confirmedAt})
	for _, w := range d.activeWorkers {
		d.handlePossibleRestart(w)
	}
}
