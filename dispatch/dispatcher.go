package dispatch

import (
	"maps"
	"slices"
	"time"
)

// This file holds the step of a Dispatcher and its timer.

const (
	rebalanceInterval = 2 * time.Second        // short enough to follow a burst
	timerSlack        = time.Millisecond       // timers are this exact
	defaultLoadTime   = 800 * time.Millisecond // before any load time is known
	defaultRunTime    = 100 * time.Millisecond // before any run time is known
)

// Step takes the events up to now and returns what to do about them.
func (d *Dispatcher) Step(now time.Duration, events []Event) []Action {
	d.now, d.actions = max(now, d.now), nil
	if !d.started {
		d.started, d.lastRebalance = true, d.now
		d.subscribe()
	}
	for _, e := range events {
		d.handle(e)
	}
	for d.timers.due(d.now) {
		if r := d.requests[d.timers.pop()]; r != nil {
			d.requestTimerFired(r)
		}
	}
	if d.now-d.lastRebalance >= rebalanceInterval {
		d.rebalance()
	}
	d.retryPending()
	d.setTimer()
	return d.actions
}

// shutDown brings the deadlines of all requests forward.
func (d *Dispatcher) shutDown(e ShutdownStarted) {
	for _, id := range slices.Sorted(maps.Keys(d.requests)) {
		r := d.requests[id]
		r.deadline = min(r.deadline, d.now+e.AnswerWithin)
		d.setRequestTimer(r, r.deadline)
	}
}

// timerFired notes that no timer is in force, if the one set is due: callers may round it down.
func (d *Dispatcher) timerFired() {
	if d.now > d.timerDue-timerSlack {
		d.timerDue = 0
	}
}

// setTimer asks for the next Step, unless the timer in force comes early enough.
func (d *Dispatcher) setTimer() {
	next := d.lastRebalance + rebalanceInterval
	if at, ok := d.timers.next(); ok {
		next = min(next, at)
	}
	if len(d.pending) > 0 {
		next = min(next, d.now+pendingBackoff)
	}
	if d.timerDue <= d.now || next < d.timerDue {
		d.timerDue = max(next, d.now+timerSlack)
		d.emit(SetTimer{After: d.timerDue - d.now})
	}
}
