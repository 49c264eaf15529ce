package dispatch

import (
	"cmp"
	"slices"
	"time"
)

// This file holds the record of a worker and keeps the indexes of workers consistent.

// worker is what this router knows of one worker.
type worker struct {
	Endpoint
	memoryMB             float64 // of its kind
	active               bool    // it stands in Dispatcher.activeWorkers
	forgotten            bool    // it is no longer in Dispatcher.workers
	listedInUpdate       int     // the endpoint update that last listed it, see Dispatcher.endpointUpdates
	candidateInSelection int     // the selection that it was last a candidate of, see Dispatcher.selections

	lastResponseAt       time.Duration // last response of any kind
	lastSuspicionCheckAt time.Duration // last health check sent because of a suspicion
	suspected            bool          // held to be unresponsive
	slowness             float64       // logarithm of its response times over the expected ones
	ejections            map[*class]ejection

	reportedAt       time.Duration // of its last load report
	reportedInFlight float64       // requests that it then held
	loadExcess       float64       // logarithm of what it reports over what the others report
	awaitingReport   []*request    // requests that wait for its next load report

	lease workerLease

	attempts          []*attempt // of this router, in flight, oldest first
	inFlight          float64    // their weights
	concurrencyLimit  float64    // for inFlight
	loadsInFlight     int        // load commands of this router without a result
	remainingCapacity float64    // in MB, while capacity is being assigned

	warmingUp       bool          // started less than Settings.SlowStartDuration ago
	slowStartTokens float64       // seconds of work that may go there while it is warming up
	tokensUpdatedAt time.Duration // when slowStartTokens was brought up to date
}

// workerLease is what shows that a worker does not drain, beside the endpoint list.
type workerLease struct {
	knownActiveAt time.Duration // the newest time at which it is known not to have drained; 0: none
	lostContactAt time.Duration // when a connection to it last failed, or it said that it drains
	checkedAt     time.Duration // when the last health check for the lease was sent; 0: none, or it was answered
	checkInFlight bool
	awaiting      []*request // requests that wait for that health check
}

// ejection keeps a class from a worker.
type ejection struct {
	until               time.Duration
	count               int // recent ejections, for the backoff
	consecutiveTimeouts int // attempts of the class without a response, while others got theirs
}

// resetWorker forgets what is known of a worker but its attempts in flight.
func (d *Dispatcher) resetWorker(w *worker) {
	for _, f := range d.functionsInOrder {
		delete(f.placements, w)
	}
	fresh := d.newWorker()
	fresh.attempts = w.attempts
	fresh.inFlight = w.inFlight
	fresh.active = w.active
	fresh.lastResponseAt = d.now
	*w = *fresh
}

// forgetWorkers drops what is known of workers, and moves the requests that wait for one to the pending ones.
func (d *Dispatcher) forgetWorkers(forgotten []*worker) {
	if len(forgotten) == 0 {
		return
	}
	for _, w := range forgotten {
		d.requeueWaiting(w)
		w.forgotten = true
		delete(d.workers, w.ID)
		delete(d.removedWorkers, w.ID)
	}
	for _, f := range d.functionsInOrder {
		f.assignment = slices.DeleteFunc(f.assignment, func(s workerShare) bool { return s.worker.forgotten })
	}
}

// requeueWaiting moves the requests that wait for a worker to the pending ones, and drops its placements.
func (d *Dispatcher) requeueWaiting(w *worker) {
	d.pending = append(d.pending, w.awaitingReport...)
	d.pending = append(d.pending, w.lease.awaiting...)
	w.awaitingReport = nil
	w.lease.awaiting = nil
	for _, f := range d.functionsInOrder {
		if p := f.placements[w]; p != nil {
			d.pending = append(d.pending, p.awaitingLoad...)
			delete(f.placements, w)
		}
	}
}

// removeAttempt takes a out of the attempts in flight at its worker.
func (w *worker) removeAttempt(a *attempt) {
	w.attempts = slices.DeleteFunc(w.attempts, func(other *attempt) bool { return other == a })
}

// ensureEjections returns the ejections of w and makes the map if there is none.
func (w *worker) ensureEjections() map[*class]ejection {
	if w.ejections == nil {
		w.ejections = map[*class]ejection{}
	}
	return w.ejections
}

// setSuspected sets whether w is suspected.
func (d *Dispatcher) setSuspected(w *worker, suspected bool) {
	if w.active && w.suspected != suspected {
		if suspected {
			d.suspectedCount++
		} else {
			d.suspectedCount--
		}
	}
	w.suspected = suspected
}

// recountSuspectedWorkers counts the active workers that are suspected.
func (d *Dispatcher) recountSuspectedWorkers() {
	d.suspectedCount = 0
	for _, w := range d.activeWorkers {
		if w.suspected {
			d.suspectedCount++
		}
	}
}

// queueStateChange queues a worker for updateActiveWorkers and forgetRemovedWorkers, if they have work with it.
func (d *Dispatcher) queueStateChange(w *worker) {
	if w.active != (w.State == EndpointActive) {
		d.changedWorkers = append(d.changedWorkers, w)
	}
	if w.State == EndpointRemoved {
		d.removedWorkers[w.ID] = w
	} else {
		delete(d.removedWorkers, w.ID)
	}
}

// updateActiveWorkers brings activeWorkers, all rankings and the count of suspected workers up to date with the states
// of changedWorkers.
func (d *Dispatcher) updateActiveWorkers() {
	var added, removed []*worker
	for _, w := range d.changedWorkers {
		isActive := w.State == EndpointActive
		switch {
		case isActive && !w.active:
			added = append(added, w)
		case !isActive && w.active:
			removed = append(removed, w)
		}
		w.active = isActive
	}
	d.changedWorkers = nil
	if len(removed) > 0 {
		d.activeWorkers = slices.DeleteFunc(d.activeWorkers, func(w *worker) bool { return !w.active })
	}
	for _, w := range added {
		i, _ := slices.BinarySearchFunc(d.activeWorkers, w, compareWorkerIDs)
		d.activeWorkers = slices.Insert(d.activeWorkers, i, w)
	}
	for _, f := range d.functionsInOrder {
		d.updateRanking(f, added, removed)
	}
	d.recountSuspectedWorkers()
}

func compareWorkerIDs(a, b *worker) int { return cmp.Compare(a.ID, b.ID) }
