package dispatch

import "math"

// This file accepts new requests and decides whether a request starts an attempt now or has to wait.

// acceptRequest records a new request and routes it.
func (d *Dispatcher) acceptRequest(e Request) {
	c := d.ensureClass(e.Class)
	r := &request{
		Request:    e,
		class:      c,
		acceptedAt: d.now,
		deadline:   d.now + max(e.RemainingDeadline, 0),
		workUnit:   1,
	}
	logRunTime := math.Log(defaultRunTime.Seconds())
	if e.ExpectedWork > 0 {
		r.workUnit = e.ExpectedWork.Seconds()
		logRunTime = 0
		c.meanWork = smooth(c.meanWork, r.workUnit, workerSmoothing)
	}
	f := d.ensureFunction(e.Function, logRunTime, r.workUnit)
	r.function = f
	f.lastClass = c
	f.lastRequestAt = d.now
	f.recordRequest(e)
	f.meanWorkUnit = smooth(f.meanWorkUnit, r.workUnit, runTimeSmoothing)
	if d.settings.LoadRateWindow > 0 {
		d.requestTimes = append(d.requestTimes, d.now)
	}
	d.requests[e.ID] = r
	d.acceptedCount++
	f.openRequests++
	d.limitUnservedFunctions()
	d.setRequestTimer(r, r.deadline+d.settings.ResponseGrace/graceDivisor)
	d.routeRequest(r)
}

// routeRequest starts an attempt of a request, makes it wait for a lease check, a load, a load report or an
// available worker, or ends it.
func (d *Dispatcher) routeRequest(r *request) {
	r.needsAttempt = true
	r.stopAwaitingLease()
	if obstacle := d.attemptObstacle(r); obstacle != CauseNone {
		if r.inFlight == 0 {
			d.finishUnserved(r, obstacle)
		}
		return
	}
	w := d.selectWorker(r)
	switch {
	case w == nil && d.hasNoUsableWorker() && r.inFlight == 0:
		d.finishUnserved(r, CauseNoLease)
	case w == nil:
		if r.inFlight == 0 {
			d.pending = append(d.pending, r)
		}
	case !d.holdsLease(w):
		d.awaitLease(r, w)
	case d.loadInProgress(r.function, w):
		d.awaitLoad(r, r.function.ensurePlacement(w))
	case d.shouldAwaitLoadReport(r, w):
		d.awaitLoadReport(r, w)
	default:
		d.startAttempt(r, w)
	}
}

// awaitLoad makes a request wait for a load, or ends it if the load would end too late.
func (d *Dispatcher) awaitLoad(r *request, p *placement) {
	loadedAt := p.loadCommandedAt + d.expectedLoadTime(r.function)
	if loadedAt+r.expectedRunTime()/minRunTimeDivisor >= r.deadline {
		d.finishUnserved(r, CauseLoadTooLate)
		return
	}
	p.awaitingLoad.add(r)
	d.setRequestTimer(r, p.loadCommandedAt+d.loadOverdueAfter(r.function)+timerSlack)
}

// ensureClass returns a class. A class that the settings do not have is added as non-idempotent, without a
// latency objective.
func (d *Dispatcher) ensureClass(name string) *class {
	c := d.classes[name]
	if c == nil {
		c = &class{Class: Class{Name: name}, meanWork: defaultRunTime.Seconds()}
		d.classes[name] = c
	}
	return c
}
