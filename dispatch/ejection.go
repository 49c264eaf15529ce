package dispatch

import (
	"slices"
	"time"
)

// This file ejects classes from workers that fail them: worker.ejections. An ejected class is not sent to the
// worker for a while.

const (
	ejectionBase    = 3 * time.Second // first ejection of a class from a worker
	timeoutsToEject = 8               // overdue attempts of a class in a row that eject it
	slowRejection   = 20              // a rejection is slow after the latency objective divided by this
)

// isClassFault reports whether the end of an attempt counts as a failure of its class at the worker: an
// error, or a slow rejection by a worker that reports fewer requests than the mean. Neither counts if the
// function may not have been loaded there.
func (d *Dispatcher) isClassFault(a *attempt, e AttemptEnded) bool {
	shouldBeLoaded := a.expectedResident || !d.settings.WorkersLoadOnMiss
	hasCapacity := e.LoadReport.InFlight >= 0 && e.LoadReport.InFlight < d.meanReportedInFlight
	slowly := e.Duration > a.request.class.LatencyObjective/slowRejection
	return shouldBeLoaded && (e.Result == Errored || e.Result == Rejected && hasCapacity && slowly)
}

// ejectClass ejects a class from a worker that fails it, with exponential backoff. Attempts and
// assignCapacity then pass the worker over for the class, but other classes are still served there. False
// positives: an error that the request itself caused ejects its class.
func (d *Dispatcher) ejectClass(w *worker, c *class) {
	count := w.ejections[c].count
	w.ensureEjections()[c] = ejection{
		until: d.now + d.backoffWithJitter(ejectionBase, count),
		count: count + 1,
	}
	d.reportSuspicion(ReportSuspicion{Worker: w.ID, Class: c.Name})
}

// recordClassServed resets the consecutive timeouts of a class at a worker after a response, and shortens its
// next ejection.
func (d *Dispatcher) recordClassServed(w *worker, c *class) {
	if e, known := w.ejections[c]; known {
		w.ejections[c] = ejection{until: e.until, count: max(e.count-1, 0)}
	}
}

// countTimeout counts an overdue attempt at a worker that has responded to other attempts since its start, or
// sets a timer for the time at which it is overdue. Several such attempts in a row eject their class: the
// worker hangs for this class only, which updateSuspicion does not detect. False positives: a class whose
// requests run far longer than their expected work is ejected too early.
func (d *Dispatcher) countTimeout(a *attempt) {
	w := a.worker
	r := a.request
	e := w.ejections[r.class]
	if !a.awaitsResponse() || a.countedAsTimeout || d.now < e.until {
		return
	}
	if at := d.overdueAt(a); at > d.now {
		d.setRequestTimer(r, at)
		return
	}
	respondsToOthers := w.lastResponseAt > a.startedAt
	if !respondsToOthers {
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

// retryOverdue retries the overdue attempts of a class at a worker on other workers, if the rules and the
// retry budget allow it.
func (d *Dispatcher) retryOverdue(w *worker, c *class) {
	for _, a := range slices.Clone(w.attempts) {
		r := a.request
		isOnlyAttempt := !r.done && r.inFlight == 1
		overdue := d.now >= d.overdueAt(a)
		if r.class == c && isOnlyAttempt && overdue && d.retryBudget >= 1 {
			before := len(r.attempts)
			d.routeRequest(r)
			d.retryBudget -= float64(len(r.attempts) - before)
		}
	}
}
