package dispatch

import (
	"math"
	"slices"
	"time"
)

// This file detects unhealthy workers: suspected, loadExcess and ejections; and takes in gossip.

const (
	loadReportSpan      = 10 * time.Second       // time in which load reports change a worker's load excess,
	loadReportWeight    = 2.0                    // by this much of the log ratio to the others' reports
	maxReportDeviation  = 2.0                    // most that one report may be off, in logs
	loadExcessDecay     = 20.0                   // a lasting deviation settles at this multiple of it
	maxLoadExcess       = 4.0                    // in logs
	meanSmoothing       = 0.05                   // weight of one report or response in the mean of all
	phiThreshold        = 6                      // expected responses overdue at a suspicion
	minSilence          = 400 * time.Millisecond // before a suspicion: longer than a usual stall
	minExpectedSeconds  = 0.02                   // of an attempt, for phi
	healthCheckInterval = time.Second            // between health checks of a suspected worker
	maxHealthCheckCost  = 0.02                   // a health check before each attempt may earn this much
	ejectionBase        = 3 * time.Second        // first ejection of a class from a worker
	timeoutsToEject     = 8                      // attempts of a class in a row without a response
	maxBackoffExponent  = 4
	slowRejection       = 20 // a rejection is slow after the latency objective divided by this
)

// recordLoadReport takes a worker's report of the requests that it holds. It guards against workers that get
// too much while this router hears from each once in many seconds: a report counts by the time since the last
// one, and chance in it averages out in what all routers start. It hurts where requests are held for long
// anyway.
func (d *Dispatcher) recordLoadReport(w *worker, inFlight float64) {
	gain := loadReportWeight * (1 - math.Exp(-float64(d.now-w.reportedAt)/float64(loadReportSpan)))
	deviation := math.Log((inFlight + 1) / (d.meanReportedInFlight + 1))
	deviation = min(max(deviation, -maxReportDeviation), maxReportDeviation)
	w.reportedAt, w.reportedInFlight = d.now, inFlight
	w.loadExcess += gain * (deviation - w.loadExcess/loadExcessDecay)
	w.loadExcess = min(max(w.loadExcess, -maxLoadExcess), maxLoadExcess)
	d.meanReportedInFlight += meanSmoothing * (inFlight - d.meanReportedInFlight)
}

// wantsLoadReport reports whether a request should wait for a load report of w before its attempt goes there.
// It does so once, where reports are cheap, and as often as this router's share of the fleet allows.
func (d *Dispatcher) wantsLoadReport(r *request, w *worker) bool {
	cheap := d.settings.HealthChecksAllowed && d.settings.HealthCheckCost < maxHealthCheckCost
	stale := d.settings.LoadReports != ReportsNone && d.now-w.reportedAt > loadReportTTL
	return cheap && stale && !r.healthChecked && d.random.Float64()*d.fleetShare < 1
}

// awaitLoadReport has a request wait for the health check of a worker.
func (d *Dispatcher) awaitLoadReport(r *request, w *worker) {
	if len(w.awaitingReport) == 0 {
		d.emit(CheckHealth{Worker: w.ID})
	}
	r.healthChecked, w.awaitingReport = true, append(w.awaitingReport, r)
	d.setRequestTimer(r, d.now+pendingBackoff)
}

// healthChecked takes the result of a health check and lets go the requests that waited for it.
func (d *Dispatcher) healthChecked(e HealthChecked) {
	w := d.workers[e.Worker]
	if w == nil {
		return
	}
	if e.Result == OK {
		d.heard(w)
		if e.LoadReport.InFlight >= 0 {
			d.recordLoadReport(w, e.LoadReport.InFlight)
		}
	}
	d.pending, w.awaitingReport = append(d.pending, w.awaitingReport...), nil
}

// detectSilence reports whether a worker is suspected. It becomes so when it is silent for longer than chance
// explains: the responses overdue are summed in units of their expected time since it was last heard (an
// accrual failure detector). A suspected worker is health-checked from time to time; any response ends the
// suspicion.
func (d *Dispatcher) detectSilence(w *worker) bool {
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
	return w.suspected
}

// majoritySuspected reports whether half of the fleet looks unresponsive: then the fault is in the store, the
// endpoint list or this router's own view, and passing workers over would only overload the others.
func (d *Dispatcher) majoritySuspected() bool {
	return 2*d.suspectedCount > len(d.activeWorkers)
}

// applyGossip takes what other routers reported. It ends no suspicion and raises no share: the routers that
// share the fleet are those of the settings, or more where more were seen, and stay so when they vanish, as
// they may only be cut off. A worker reported as unresponsive is suspected, unless this router has heard it
// since.
func (d *Dispatcher) applyGossip(e GossipUpdate) {
	if e.Routers > d.settings.Routers {
		factor := float64(d.settings.Routers) / float64(e.Routers)
		d.fleetShare, d.settings.Routers = d.fleetShare*factor, e.Routers
		for _, w := range d.workers {
			w.concurrencyLimit *= factor
		}
	}
	for _, id := range e.SuspectedWorkers {
		w := d.workers[id]
		if w != nil && w.State == EndpointActive && d.now-w.lastHeard > minSilence && !w.suspected {
			d.suspect(w)
		}
	}
}

// isClassFault reports whether an attempt's end is the worker's fault for the class: an error, or a slow
// rejection by a worker that holds fewer requests than the mean, at a copy that should be loaded.
func (d *Dispatcher) isClassFault(a *attempt, e AttemptEnded) bool {
	shouldBeLoaded := a.expectedResident || !d.settings.WorkersLoadOnMiss
	hasCapacity := e.LoadReport.InFlight >= 0 && e.LoadReport.InFlight < d.meanReportedInFlight
	slowly := e.Duration > a.request.class.LatencyObjective/slowRejection
	return shouldBeLoaded && (e.Result == Errored || e.Result == Rejected && hasCapacity && slowly)
}

// ejectClass stops sending a class to a worker that fails it, with exponential backoff, and assignCapacity
// passes the worker over for it. Other classes are still served there. It hurts where an error was the
// request's own.
func (d *Dispatcher) ejectClass(w *worker, c *class) {
	count := w.ejections[c].count
	w.ensureEjections()[c] = ejection{until: d.now + d.backoffWithJitter(ejectionBase, count), count: count + 1}
	d.reportSuspicion(ReportSuspicion{Worker: w.ID, Class: c.Name})
}

// forgiveClass shortens the next ejection of a class, and ends a row of timeouts, after a response.
func (d *Dispatcher) forgiveClass(w *worker, c *class) {
	if e, known := w.ejections[c]; known {
		w.ejections[c] = ejection{until: e.until, count: max(e.count-1, 0)}
	}
}

// overdueAt is when an attempt is overdue.
func (d *Dispatcher) overdueAt(a *attempt) time.Duration {
	return a.startedAt + seconds(a.expectedSeconds+overdueMultiple*d.meanResponseTime)
}

// detectTimeout ejects a class from a worker that responds to others and leaves several attempts of this
// class in a row without a response; detectSilence never sees these, as the worker is heard. It hurts where a
// class's requests take far longer than their expected work.
func (d *Dispatcher) detectTimeout(a *attempt) {
	w, r := a.worker, a.request
	e := w.ejections[r.class]
	if a.ended || a.countedAsTimeout || r.done || r.streaming != nil || d.now < e.until {
		return
	}
	if at := d.overdueAt(a); at > d.now {
		d.setRequestTimer(r, at)
		return
	}
	if w.lastHeard <= a.startedAt {
		return
	}
	a.countedAsTimeout = true
	e.consecutiveTimeouts++
	w.ensureEjections()[r.class] = e
	if e.consecutiveTimeouts >= timeoutsToEject {
		d.ejectClass(w, r.class)
		d.retryOverdue(w, r.class)
	}
}

// retryOverdue retries the overdue attempts of a class at a worker elsewhere, where the rules and the retry
// budget allow it.
func (d *Dispatcher) retryOverdue(w *worker, c *class) {
	for _, a := range slices.Clone(w.attempts) {
		r := a.request
		if r.class == c && !r.done && r.inFlight == 1 && d.now >= d.overdueAt(a) && d.retryBudget >= 1 {
			before := len(r.attempts)
			d.routeRequest(r)
			d.retryBudget -= float64(len(r.attempts) - before)
		}
	}
}

// backoffWithJitter doubles with each time, and is hardly ever the same at two routers.
func (d *Dispatcher) backoffWithJitter(base time.Duration, times int) time.Duration {
	factor := math.Exp2(float64(min(times, maxBackoffExponent)))
	return time.Duration(float64(base) * factor * (0.75 + d.random.Float64()/2))
}
