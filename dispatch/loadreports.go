package dispatch

import (
	"math"
	"time"
)

// This file uses the load reports of workers: worker.loadExcess and worker.awaitingReport.

const (
	loadReportTTL      = 300 * time.Millisecond // how long a load report is current
	loadReportSpan     = 10 * time.Second       // time constant by which the weight of a report grows
	loadReportWeight   = 2.0                    // weight of a report that comes long after the last one
	maxReportDeviation = 2.0                    // limit of the deviation of one report, as a logarithm
	loadExcessDecay    = 20.0                   // load excess per unit of a constant deviation
	maxLoadExcess      = 4.0                    // limit of the load excess, as a logarithm
	maxHealthCheckCost = 0.02                   // checks before attempts pay off below this cost
)

// recordLoadReport records a worker's report of the requests that it holds. The demand that is assigned to a
// worker shrinks if it reports more than the others. This also works if a router gets a report from each
// worker only once in many seconds: the weight of a report grows with the time since the last one, and noise
// averages out over the routers. False positives: a worker with long requests reports many although it is not
// overloaded.
func (d *Dispatcher) recordLoadReport(w *worker, inFlight float64) {
	gain := loadReportWeight * (1 - math.Exp(-float64(d.now-w.reportedAt)/float64(loadReportSpan)))
	deviation := math.Log((inFlight + 1) / (d.meanReportedInFlight + 1))
	deviation = min(max(deviation, -maxReportDeviation), maxReportDeviation)
	w.reportedAt = d.now
	w.reportedInFlight = inFlight
	w.loadExcess += float64(gain * (deviation - w.loadExcess/loadExcessDecay))
	w.loadExcess = min(max(w.loadExcess, -maxLoadExcess), maxLoadExcess)
	d.meanReportedInFlight = smooth(d.meanReportedInFlight, inFlight, meanSmoothing)
}

// shouldAwaitLoadReport reports whether a request should wait for a load report of w before its attempt
// there. A request waits at most once, and only if health checks are cheap and the last report is old. The
// decision is random: the larger this router's share of the fleet, the fewer requests wait.
func (d *Dispatcher) shouldAwaitLoadReport(r *request, w *worker) bool {
	cheap := d.settings.HealthChecksAllowed && d.settings.HealthCheckCost < maxHealthCheckCost
	stale := d.settings.LoadReports != ReportsNone && d.now-w.reportedAt > loadReportTTL
	if !cheap || !stale || r.loadReportAwaited {
		return false
	}
	return d.random.Float64()*d.fleetShare < 1
}

// awaitLoadReport makes a request wait for the health check of a worker.
func (d *Dispatcher) awaitLoadReport(r *request, w *worker) {
	if w.awaitingReport.isEmpty() {
		d.emit(CheckHealth{Worker: w.ID})
	}
	r.loadReportAwaited = true
	w.awaitingReport.add(r)
	d.setRequestTimer(r, d.now+pendingBackoff)
}

// recordHealthCheck records the result of a health check and requeues the requests that waited for it.
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
	d.pending = append(d.pending, w.awaitingReport.takeAll()...)
}
