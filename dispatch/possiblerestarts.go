package dispatch

import (
	"cmp"
	"slices"
	"time"
)

// This file decides which workers may have been restarted unseen, and limits the requests that they get:
// worker.proof.
//
// The endpoint list tells when a worker was started, while it shows all changes that count as notified.
// Otherwise only a connection tells: one that was opened before the list was last confirmed, and is still
// open, leads to the process that was listed then. One that was opened later only shows since when its
// process is running. A connection that this router has closed, because it was idle or had to make room,
// shows nothing: a restart after that goes unseen. Neither does a response, which names no process.
//
// If contact with a worker was lost, a restart is likely, and the worker goes through slow start. A worker
// that is merely unproven gets trials: as many requests as a restarted worker can take from all routers
// together. Once it has responded to one about as quickly as workers usually do, it gets its whole share
// again. The other requests go to other workers. Only if there is none to wait for, because no unproven
// worker has passed a trial yet, a request goes to one that has no attempt of this router in flight. If a
// full worker has rejected the request, it waits for the attempts in flight first.

const (
	// maxTrialRatio is how much longer than usual, at all workers, a trial may take. A worker that has just
	// been started takes longer by the reciprocal of its fraction of capacity, but no longer for a load.
	maxTrialRatio      = 1.5
	timeRatioSmoothing = 0.2 // weight of one response in the mean of all
)

// recordConnections records when the oldest open connection to a worker was opened.
func (d *Dispatcher) recordConnections(e ConnectionsChanged) {
	d.connectionsReported = true
	w := d.workers[e.Worker]
	if w == nil {
		return
	}
	before := w.proof.connectedSince
	w.proof.connectedSince = e.OldestOpenedAt
	isBroken := before > 0 && (e.OldestOpenedAt == 0 || e.OldestOpenedAt > before)
	if isBroken && w.proof.unproven {
		d.beginTrials(w) // a trial that it passed before says nothing of the process after a restart
	}
	d.updateUnproven(w)
}

// connectionsNeeded reports whether connections have to prove that workers were not restarted: the list may
// not show all restarts that count as notified, and the settings have a slow start.
func (d *Dispatcher) connectionsNeeded() bool {
	hasSlowStart := d.settings.SlowStartDuration > 0 && d.settings.OverloadMultiple > 0
	return d.connectionsReported && hasSlowStart && !d.listShowsNotifiedChanges()
}

// updateProofs updates which workers are unproven, whenever the list was confirmed, goes out of date or is
// current again. While connections are needed, the caller keeps those that there are.
func (d *Dispatcher) updateProofs() {
	needed := d.connectionsNeeded()
	if needed == d.proofsNeeded && d.list.confirmedAt == d.proofsUpdatedFor {
		return
	}
	if needed != d.proofsNeeded {
		d.emit(KeepConnections{Keep: needed && d.settings.HealthChecksAllowed})
	}
	d.proofsNeeded = needed
	d.proofsUpdatedFor = d.list.confirmedAt
	for _, w := range d.activeWorkers {
		d.endAssumedRestart(w)
		d.updateUnproven(w)
	}
}

// updateUnproven updates whether a worker may have been restarted unseen.
func (d *Dispatcher) updateUnproven(w *worker) {
	connected := w.proof.connectedSince > 0 && w.proof.connectedSince <= d.list.confirmedAt
	unproven := d.connectionsNeeded() && !connected
	if unproven == w.proof.unproven {
		return
	}
	w.proof.unproven = unproven
	if unproven {
		d.beginTrials(w)
	}
}

// beginTrials resets the trials of a worker. Some of the routers may send their first trial at once: about as
// many as a new worker has requests in flight from all routers together. At the others it comes at a random
// time, because otherwise all routers would send theirs at the same time.
func (d *Dispatcher) beginTrials(w *worker) {
	chance := min(initialLimit/float64(d.settings.Routers), d.trialRate(w))
	w.proof.trialTokens = chance - float64(d.random.Float64())
	w.proof.trialsAt = d.acceptedCount
	w.proof.trialPassed = false
	w.proof.unprovenSince = d.now
}

// admitTrial reports whether an attempt may be started at a worker as far as it may have been restarted
// unseen. It refills the tokens of an unproven worker: a part of an even share of the requests that this
// router has accepted since.
func (d *Dispatcher) admitTrial(w *worker) bool {
	if !w.proof.unproven || w.proof.trialPassed {
		return true
	}
	if d.fractionIfRestarted(w) == 1 {
		return true
	}
	share := float64(d.acceptedCount-w.proof.trialsAt) / float64(max(len(d.activeWorkers), 1))
	refill := float64(d.trialRate(w) * share)
	w.proof.trialTokens = min(w.proof.trialTokens+refill, 1)
	w.proof.trialsAt = d.acceptedCount
	return w.proof.trialTokens > 0
}

// trialRate returns which part of an even share of this router's requests an unproven worker may get: what it
// can take if it was restarted, relative to its whole capacity.
func (d *Dispatcher) trialRate(w *worker) float64 {
	return d.settings.OverloadMultiple * d.fractionIfRestarted(w)
}

// fractionIfRestarted returns the fraction of its capacity that an unproven worker has at least: its process
// has been running since its oldest open connection was opened.
func (d *Dispatcher) fractionIfRestarted(w *worker) float64 {
	startedAt := d.now
	if w.proof.connectedSince > 0 {
		startedAt = w.proof.connectedSince
	}
	return d.fractionAfter(d.now - startedAt)
}

// recordTimeRatio compares the time of a response, or until its first message, with the expected one. An
// unproven worker passes its trial if the ratio is about the mean at all workers, which also grows while all
// of them are busier than before.
func (d *Dispatcher) recordTimeRatio(a *attempt, took time.Duration) {
	ratio := took.Seconds() / max(a.expectedSeconds, minExpectedSeconds)
	if d.meanTimeRatio == 0 {
		d.meanTimeRatio = ratio
	}
	limit := float64(maxTrialRatio * d.meanTimeRatio)
	if ratio <= limit {
		a.passTrial()
	}
	d.meanTimeRatio = smooth(d.meanTimeRatio, min(ratio, limit), timeRatioSmoothing)
}

// passTrial records that an unproven worker has responded quickly, if the attempt was started since it is so.
func (a *attempt) passTrial() {
	proof := &a.worker.proof
	proof.trialPassed = proof.trialPassed || proof.unproven && a.startedAt >= proof.unprovenSince
}

// evaluateUnproven stores an unproven worker without a trial left in the selection, if it may take the
// request and is preferable to those before it.
func (d *Dispatcher) evaluateUnproven(s *selection, w *worker) {
	d.updateSuspicion(w)
	leased := d.holdsLease(w)
	if len(w.attempts) > 0 || d.isUnfit(s.request, w) || !leased && !d.mayCheckLease(s.request, w) {
		return
	}
	if s.unproven == nil || d.compareUnproven(s.request.function, w, s.unproven) > 0 {
		s.unproven = w
	}
}

// unprovenWithoutTrial returns the unproven worker without a trial left that a request goes to as there is no
// other to wait for, or nil. A rejected request waits while attempts are in flight. Otherwise those of all
// routers would go to a restarted worker in an overload, as it is the only one that is not full.
func (d *Dispatcher) unprovenWithoutTrial(s *selection) *worker {
	awaitsResponse := func(w *worker) bool { return len(w.attempts) > 0 && !w.suspected }
	if s.request.wasRejected() && slices.ContainsFunc(d.activeWorkers, awaitsResponse) {
		return nil
	}
	return s.unproven
}

// compareUnproven returns a positive number if a is preferable to b for a function: it needs no health check,
// holds the function, or has more trial tokens. These are random at first, so that the routers, which rank
// workers alike, choose different ones.
func (d *Dispatcher) compareUnproven(f *function, a, b *worker) int {
	isResident := func(w *worker) bool { return d.now < f.placementOn(w).residentUntil }
	return cmp.Or(
		compareBools(d.holdsLease(a), d.holdsLease(b)),
		compareBools(isResident(a), isResident(b)),
		cmp.Compare(a.proof.trialTokens, b.proof.trialTokens),
	)
}

// compareBools orders false before true.
func compareBools(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return 1
	default:
		return -1
	}
}

// recordContactLoss records that a worker may have stopped: a connection to it failed, or it reported that
// it drains.
func (d *Dispatcher) recordContactLoss(w *worker) {
	w.lease.lostContactAt = d.now
}

// handlePossibleRestart resets a worker that responds again after a loss of contact and starts its slow
// start, if the endpoint list is too old to show whether the worker was restarted. The slow start ends early
// when the list is current again and shows no restart. False positives: a worker that only lost its
// connections, or ended a drain without a restart, gets less work until then.
func (d *Dispatcher) handlePossibleRestart(w *worker) {
	isBack := w.lease.knownActiveAt > w.lease.lostContactAt
	lostSinceConfirmed := w.lease.lostContactAt > d.list.confirmedAt
	if d.listIsCurrent() || !isBack || !lostSinceConfirmed {
		return
	}
	d.requeueWaiting(w)
	knownActiveAt := w.lease.knownActiveAt
	endpoint := w.Endpoint
	endpoint.StartedAt = d.now
	memoryMB := w.memoryMB
	listedInUpdate := w.listedInUpdate
	d.resetWorker(w)
	w.Endpoint = endpoint
	w.memoryMB = memoryMB
	w.listedInUpdate = listedInUpdate
	w.lease.knownActiveAt = knownActiveAt
	w.proof.restartAssumed = true
	w.warmingUp = d.settings.SlowStartDuration > 0
	d.resetSlowStartTokens(w)
	d.recountSuspectedWorkers()
	d.emit(RestartAssumed{Worker: w.ID})
}

// endAssumedRestart ends the slow start of a worker that was assumed to have been restarted, once the list is
// confirmed for a later time: it would show the restart.
func (d *Dispatcher) endAssumedRestart(w *worker) {
	if !w.proof.restartAssumed || !d.listShowsNotifiedChanges() || w.StartedAt > d.list.confirmedAt {
		return
	}
	w.proof.restartAssumed = false
	w.StartedAt = w.identity.endpoint.StartedAt
	d.updateWarmingUp(w)
}
