package dispatch

import "time"

// This file detects unresponsive workers: suspected.

const (
	phiThreshold         = 6                      // expected responses overdue at a suspicion
	minSilence           = 400 * time.Millisecond // before a suspicion: longer than a usual stall
	minExpectedSeconds   = 0.02                   // of an attempt, for phi
	suspectCheckInterval = time.Second            // between health checks of a suspected worker
)

// updateSuspicion suspects a worker that is silent for longer than chance explains. A suspected worker is
// health-checked from time to time, and any response ends the suspicion.
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

// phi is how unlikely the silence of a worker is, as in an accrual failure detector: the time that each of
// its attempts has waited since it was last heard, in units of the attempt's expected time. A silence that
// a usual stall explains counts as 0.
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

// majoritySuspected reports whether more than half of the fleet looks unresponsive. The fault is then in
// the store, the endpoint list or this router's own network, and passing these workers over would only
// overload the others.
func (d *Dispatcher) majoritySuspected() bool {
	return 2*d.suspectedCount > len(d.activeWorkers)
}

// markResponsive notes a response of w, which ends its suspicion.
func (d *Dispatcher) markResponsive(w *worker) {
	w.lastResponseAt = d.now
	d.setSuspected(w, false)
}

// suspect marks w as unresponsive, until its next response.
func (d *Dispatcher) suspect(w *worker) {
	d.setSuspected(w, true)
	w.lastSuspicionCheckAt = d.now
	d.reportSuspicion(ReportSuspicion{Worker: w.ID})
}

// provesResponsive reports whether an attempt that ended so shows that its worker, or the worker's host,
// responds.
func (r Result) provesResponsive() bool {
	return r != TimedOut && r != NotSent && r != Cancelled
}
