package dispatch

import "time"

// This file detects unresponsive workers: worker.suspected.

const (
	phiThreshold         = 6                      // suspected above this phi, in overdue responses
	minSilence           = 400 * time.Millisecond // before a suspicion: longer than a usual stall
	minExpectedSeconds   = 0.02                   // minimum expected time of an attempt, for phi
	suspectCheckInterval = time.Second            // between health checks of a suspected worker
)

// updateSuspicion suspects a worker that has been silent for longer than chance explains. It sends health
// checks to a suspected worker at intervals; any response ends the suspicion.
func (d *Dispatcher) updateSuspicion(w *worker) {
	if !w.suspected && d.phi(w) > phiThreshold {
		d.suspect(w)
	}
	checkDue := w.suspected && d.now-w.lastSuspicionCheckAt >= suspectCheckInterval
	if checkDue && d.settings.HealthChecksAllowed {
		w.lastSuspicionCheckAt = d.now
		d.emit(CheckHealth{Worker: w.ID})
	}
}

// phi returns how unlikely a worker's silence is, as in an accrual failure detector. It adds up, over the
// attempts in flight, the time since the start of the attempt or the last response of the worker, whichever
// is later, divided by the expected time of the attempt. It returns 0 for a silence that a usual stall
// explains.
func (d *Dispatcher) phi(w *worker) float64 {
	if len(w.attempts) == 0 || d.now-max(w.lastResponseAt, w.attempts[0].startedAt) <= minSilence {
		return 0
	}
	phi := 0.0
	for _, a := range w.attempts {
		silence := d.now - max(a.startedAt, w.lastResponseAt)
		phi += silence.Seconds() / max(a.expectedSeconds, minExpectedSeconds)
	}
	return phi
}

// majoritySuspected reports whether more than half of the active workers are suspected. The fault is then
// likely in the store, in the endpoint list or in this router's own network, and passing these workers over
// would only overload the others.
func (d *Dispatcher) majoritySuspected() bool {
	return 2*d.suspectedCount > len(d.activeWorkers)
}

// markResponsive records a response of w, which ends a suspicion.
func (d *Dispatcher) markResponsive(w *worker) {
	w.lastResponseAt = d.now
	d.setSuspected(w, false)
}

// suspect marks w as unresponsive until its next response.
func (d *Dispatcher) suspect(w *worker) {
	d.setSuspected(w, true)
	w.lastSuspicionCheckAt = d.now
	d.reportSuspicion(ReportSuspicion{Worker: w.ID})
}

// provesResponsive reports whether the result of an attempt shows that the worker, or at least its host,
// responds.
func (r Result) provesResponsive() bool {
	return r != TimedOut && r != NotSent && r != Cancelled
}
