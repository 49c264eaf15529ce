package dispatch

import (
	"math"
	"slices"
	"time"
)

// This file decides how long the endpoint list is believed after it was last confirmed: Dispatcher.list.
// Where a caller does not report on the list at all, it is always believed.

const (
	// lossNotifiedAfter is how long after the endpoint list was lost what it would have shown counts as
	// notified (the platform's protocol: 2 s after a break; its other clocks are later, or run out when the
	// list is asked for again).
	lossNotifiedAfter = 2 * time.Second
	// minPause is the shortest time without a Step that counts as a pause of the process.
	minPause = 150 * time.Millisecond
	// maxQuestions bounds the questions that are remembered. Answers are no later than some seconds, and
	// questions no more frequent than their backoff.
	maxQuestions = 16
	forever      = time.Duration(math.MaxInt64)
)

// listLeaseEnd is when the lease ends that the endpoint list gives to its active workers. What the list did
// not show counts as notified when the list has been lost for lossNotifiedAfter, or as soon as it is asked
// for again. If the process was paused, a change may have been notified at any time since the list was
// confirmed.
func (d *Dispatcher) listLeaseEnd() time.Duration {
	list := &d.list
	if !list.tracked {
		return forever
	}
	notifiedAt := list.confirmedAt + lossNotifiedAfter
	if len(list.askedAgainAt) > 0 {
		notifiedAt = min(notifiedAt, list.askedAgainAt[0])
	}
	if list.pausedUntil > list.confirmedAt {
		notifiedAt = list.confirmedAt
	}
	return notifiedAt + d.leaseDuration()
}

// listIsCurrent reports whether the endpoint list is believed.
func (d *Dispatcher) listIsCurrent() bool { return d.now < d.listLeaseEnd() }

// confirmList notes that the endpoint list was complete at a time. The questions until then are answered by
// that. Where the settings give no drain grace there is no rule on drains to keep, and the list is always
// believed.
func (d *Dispatcher) confirmList(e EndpointListConfirmed) {
	d.list.tracked = d.settings.DrainGrace > 0
	d.list.confirmedAt = max(d.list.confirmedAt, min(e.At, d.now))
	isAnswered := func(askedAt time.Duration) bool { return askedAt <= d.list.confirmedAt }
	d.list.askedAgainAt = slices.DeleteFunc(d.list.askedAgainAt, isAnswered)
}

// askListAgain notes that the endpoint list is asked for again. Answers may come late and confirm the list
// for a time before some of these questions, so the first and the newest ones are kept.
func (d *Dispatcher) askListAgain(e EndpointListRequested) {
	list := &d.list
	if len(list.askedAgainAt) == maxQuestions {
		list.askedAgainAt = slices.Delete(list.askedAgainAt, 1, 2)
	}
	list.askedAgainAt = append(list.askedAgainAt, e.At)
}

// detectPause notes when the process did not run for a while. Whatever the list has shown since it was
// confirmed may then wait to be read. Steps come often enough, see maxStepInterval.
func (d *Dispatcher) detectPause(lastStep time.Duration) {
	if d.list.tracked && d.now-lastStep > d.pauseThreshold() {
		d.list.pausedUntil = d.now
	}
}

// pauseThreshold is the time without a Step that counts as a pause of the process. A shorter one delays the
// news of a drain by less than the drain grace.
func (d *Dispatcher) pauseThreshold() time.Duration { return max(d.leaseDuration()/2, minPause) }

// maxStepInterval is the longest time between two Steps without an event.
func (d *Dispatcher) maxStepInterval() time.Duration {
	if !d.list.tracked {
		return rebalanceInterval
	}
	return d.pauseThreshold() / 2
}

// updateListState reports when the endpoint list is no longer believed, and when it is again. At the
// beginning of such a time, the workers that the router had lost contact with may have been restarted since
// the list was confirmed.
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
