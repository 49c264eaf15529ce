package dispatch

import (
	"cmp"
	"slices"
	"time"
)

// This file defines the record of a worker and keeps the indexes of workers consistent.

// worker is the state of one worker, as this router knows it.
type worker struct {
	Endpoint
	memoryMB       float64 // of its kind
	active         bool    // it is in Dispatcher.activeWorkers
	deleted        bool    // it is no longer in Dispatcher.workers
	listedInUpdate int     // the endpoint update that last listed it, see Dispatcher.endpointUpdateCount
	lastSelection  int     // the selection that it was last a candidate of, see Dispatcher.selectionCount

	lastResponseAt       time.Duration // time of the last response of any kind
	lastSuspicionCheckAt time.Duration // when the last health check because of a suspicion was sent
	suspected            bool          // it is assumed to be unresponsive
	slowness             float64       // logarithm of the ratio of its response times to the expected ones
	ejections            map[*class]ejection

	reportedAt       time.Duration // time of its last load report
	reportedInFlight float64       // requests in that report
	loadExcess       float64       // logarithm of the ratio of its reports to those of the others
	awaitingReport   requestQueue  // for its next load report

	lease workerLease
	proof workerProof

	identity           *workerIdentity
	notConnectedBefore time.Duration // no connection to it was opened before this time; 0 means unknown

	attempts          []*attempt // of this router, in flight, oldest first
	inFlight          float64    // sum of the weights of the attempts that count against the limit
	concurrencyLimit  float64    // limit of inFlight
	loadsInFlight     int        // load commands of this router without a result
	remainingCapacity float64    // in MB, during an assignment of capacity

	warmingUp       bool          // started less than Settings.SlowStartDuration ago
	slowStartTokens float64       // seconds of work that it may get while it is warming up
	tokensUpdatedAt time.Duration // when slowStartTokens was last refilled
}

// workerLease is the evidence, besides the endpoint list, that a worker does not drain.
type workerLease struct {
	knownActiveAt time.Duration // the latest time at which it is known not to have drained; 0 means none
	lostContactAt time.Duration // when a connection to it last failed or it reported that it drains
	checkedAt     time.Duration // when the last lease check was sent; 0 means none, or that it renewed the lease
	checkInFlight bool
	awaiting      requestQueue // for that health check
}

// workerProof is the evidence of the process at a worker's address.
type workerProof struct {
	connectedSince time.Duration // when the oldest open connection was opened; 0 means that there is none
	unproven       bool          // it may have been restarted unseen
	restartAssumed bool          // its slow start was begun by handlePossibleRestart, not by the list
	trialTokens    float64       // attempts that it may get while it is unproven
	trialsAt       int           // Dispatcher.acceptedCount when trialTokens was last refilled
	trialPassed    bool          // it has responded quickly to an attempt since it is unproven
	unprovenSince  time.Duration
}

// ejection stops the requests of one class to a worker until a time.
type ejection struct {
	until               time.Duration
	count               int // recent ejections, for the backoff
	consecutiveTimeouts int // overdue attempts of the class in a row, while the worker responded to others
}

// resetWorker resets the state of a worker, except for its attempts in flight.
func (d *Dispatcher) resetWorker(w *worker) {
	for _, f := range d.functionsInOrder {
		delete(f.placements, w)
	}
	fresh := d.newWorker()
	fresh.attempts = w.attempts
	fresh.inFlight = w.inFlight
	fresh.active = w.active
	fresh.lastResponseAt = d.now
	fresh.identity = w.identity
	fresh.notConnectedBefore = w.notConnectedBefore
	fresh.proof = w.proof
	fresh.proof.restartAssumed = false
	*w = *fresh
}

// deleteWorkers deletes workers and requeues the requests that wait for them.
func (d *Dispatcher) deleteWorkers(deleted []*worker) {
	if len(deleted) == 0 {
		return
	}
	for _, w := range deleted {
		d.requeueWaiting(w)
		w.deleted = true
		delete(d.workers, w.ID)
		delete(d.removedWorkers, w.ID)
	}
	for _, f := range d.functionsInOrder {
		f.assignment = slices.DeleteFunc(f.assignment, func(s workerShare) bool { return s.worker.deleted })
	}
}

// requeueWaiting moves the requests that wait for a worker to the pending requests and deletes its placements.
func (d *Dispatcher) requeueWaiting(w *worker) {
	d.pending = append(d.pending, w.awaitingReport.takeAll()...)
	d.pending = append(d.pending, w.lease.takeAwaiting()...)
	for _, f := range d.functionsInOrder {
		if p := f.placements[w]; p != nil {
			d.pending = append(d.pending, p.awaitingLoad.takeAll()...)
			delete(f.placements, w)
		}
	}
}

// removeAttempt removes an attempt from those in flight at the worker.
func (w *worker) removeAttempt(a *attempt) {
	w.attempts = slices.DeleteFunc(w.attempts, func(other *attempt) bool { return other == a })
}

// ensureEjections returns the ejections of w and creates the map if there is none.
func (w *worker) ensureEjections() map[*class]ejection {
	if w.ejections == nil {
		w.ejections = map[*class]ejection{}
	}
	return w.ejections
}

// setSuspected sets whether w is suspected and keeps suspectedCount consistent.
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

// recountSuspectedWorkers sets suspectedCount to the number of active workers that are suspected.
func (d *Dispatcher) recountSuspectedWorkers() {
	d.suspectedCount = 0
	for _, w := range d.activeWorkers {
		if w.suspected {
			d.suspectedCount++
		}
	}
}

// queueStateChange queues a worker for updateActiveWorkers and deleteRemovedWorkers, if its state requires it.
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

// updateActiveWorkers updates activeWorkers, all rankings and suspectedCount to the states of changedWorkers.
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
		d.updateUnproven(w)
		i, _ := slices.BinarySearchFunc(d.activeWorkers, w, compareWorkerIDs)
		d.activeWorkers = slices.Insert(d.activeWorkers, i, w)
	}
	for _, f := range d.functionsInOrder {
		d.updateRanking(f, added, removed)
	}
	d.recountSuspectedWorkers()
}

func compareWorkerIDs(a, b *worker) int { return cmp.Compare(a.ID, b.ID) }
