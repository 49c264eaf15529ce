package dispatch

import "time"

// This file detects unresponsive workers: suspected.

const (
	phiThreshold        = 6                      // expected responses overdue at a suspicion
	minSilence          = 400 * time.Millisecond // before a suspicion: longer than a usual stall
	minExpectedSeconds  = 0.02                   // of an attempt, for phi
	healthCheckInterval = time.Second            // between health checks of a suspected worker
)

// updateSuspicion suspects a worker when it is silent for longer than chance
// explains: the responses overdue are summed in units of their expected time since it was last heard (an
// accrual failure detector). A suspected worker is health-checked from time to time; any response ends the
// suspicion.
func (d *Dispatcher) updateSuspicion(w *worker) {
	if !w.suspected && len(w.attempts) > 0 && d.now-max(w.lastHeard, w.attempts[0].startedAt) > minSilence {
		phi := 0.0
		for _, a := range w.attempts {
			silence := d.now - max(a.startedAt, w.lastHeard)
			phi += silence.Seconds() / max(a.expectedSeconds, minExpectedSeconds)
		}
		if phi > phiThreshold {
			d.suspect(w)
		}
	}
	if w.suspected && d.now-w.lastChecked >= healthCheckInterval && d.settings.HealthChecksAllowed {
		w.lastChecked = d.now
		d.emit(CheckHealth{Worker: w.ID})
	}
}

// majoritySuspected reports whether half of the fleet looks unresponsive: then the fault is in the store, the
// endpoint list or this router's own view, and passing workers over would only overload the others.
func (d *Dispatcher) majoritySuspected() bool {
	return 2*d.suspectedCount > len(d.activeWorkers)
}

// markResponsive notes a response of w, which ends its suspicion.
func (d *Dispatcher) markResponsive(w *worker) {
	w.lastHeard = d.now
	d.setSuspected(w, false)
}

// suspect holds w to be unresponsive until it is heard.
func (d *Dispatcher) suspect(w *worker) {
	d.setSuspected(w, true)
	w.lastChecked = d.now
	d.reportSuspicion(ReportSuspicion{Worker: w.ID})
}
