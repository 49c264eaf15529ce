package dispatch

import (
	"math"
	"time"
)

// This file uses the load that workers report of themselves: loadExcess, awaitingReport.

const (
	loadReportTTL      = 300 * time.Millisecond // a load report is current for so long
	loadReportSpan     = 10 * time.Second       // time in which load reports change a worker's load excess,
	loadReportWeight   = 2.0                    // by this much of the log ratio to the others' reports
	maxReportDeviation = 2.0                    // most that one report may be off, in logs
	loadExcessDecay    = 20.0                   // a lasting deviation settles at this multiple of it
	maxLoadExcess      = 4.0                    // in logs
	maxHealthCheckCost = 0.02                   // a health check before each attempt may earn this much
)

// recordLoadReport takes a worker's report of the requests that it holds. It lowers the share of a worker
// that reports more than the others, also where this router hears from each only once in many seconds: a
// report counts by the time since the last one, and its noise averages out over the routers. False
// positives: a worker whose requests run long reports many although it is not overloaded.
func (d *Dispatcher) recordLoadReport(w *worker, inFlight float64) {
	gain := loadReportWeight * (1 - math.Exp(-float64(d.now-w.reportedAt)/float64(loadReportSpan)))
	deviation := math.Log((inFlight + 1) / (d.meanReportedInFlight + 1))
	deviation = min(max(deviation, -maxReportDeviation), maxReportDeviation)
	w.reportedAt = d.now
	w.reportedInFlight = inFlight
	w.loadExcess += gain * (deviation - w.loadExcess/loadExcessDecay)
	w.loadExcess = min(max(w.loadExcess, -maxLoadExcess), maxLoadExcess)
	d.meanReportedInFlight += meanSmoothing * (inFlight - d.meanReportedInFlight)
}

// shouldAwaitLoadReport draws whether a request should wait for a load report of w before its attempt goes
// there. It waits at most once, where reports are cheap, and as often as this router's share of the fleet
// allows.
func (d *Dispatcher) shouldAwaitLoadReport(r *request, w *worker) bool {
	cheap := d.settings.HealthChecksAllowed && d.settings.HealthCheckCost < maxHealthCheckCost
	stale := d.settings.LoadReports != ReportsNone && d.now-w.reportedAt > loadReportTTL
	if !cheap || !stale || r.loadReportAwaited {
		return false
	}
	return d.random.Float64()*d.fleetShare < 1
}

// awaitLoadReport has a request wait for the health check of a worker.
func (d *Dispatcher) awaitLoadReport(r *request, w *worker) {
	if len(w.awaitingReport) == 0 {
		d.emit(CheckHealth{Worker: w.ID})
	}
	r.loadReportAwaited = true
	w.awaitingReport = append(w.awaitingReport, r)
	d.setRequestTimer(r, d.now+pendingBackoff)
}

// recordHealthCheck takes the result of a health check and lets go the requests that waited for it.
func (d *Dispatcher) recordHealthCheck(e HealthChecked) {
	w := d.workers[e.Worker]
	if w == nil {
		return
	}
	d.recordLeaseCheck(w, e)
	if e.Result == OK {
		d.markResponsive(w)
		if e.LoadReport.InFlight >= 0 {
			d.recordLoadReport(w, e.LoadReport.InFlight)
		}
	}
	d.pending = append(d.pending, w.awaitingReport...)
	w.awaitingReport = nil
}
