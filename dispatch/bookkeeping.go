package dispatch

import (
	"math"
	"slices"
	"time"
)

// This file holds the plumbing of the Dispatcher: the dispatch of events, lookups, and operations that keep its state
// consistent. It takes no decision and has no tuned value.

// handle passes an event to the method that decides on it.
func (d *Dispatcher) handle(e Event) {
	switch e := e.(type) {
	case EndpointUpdate:
		d.updateEndpoints(e)
	case Request:
		d.acceptRequest(e)
	case AttemptEnded:
		d.attemptEnded(e)
	case ResponseStarted:
		d.responseStarted(e)
	case RequestCancelled:
		if r := d.requests[e.ID]; r != nil {
			d.closeRequest(r)
		}
	case FunctionLoaded:
		d.functionLoaded(e)
	case HealthChecked:
		d.healthChecked(e)
	case GossipUpdate:
		d.applyGossip(e)
	case ShutdownStarted:
		d.shutDown(e)
	case TimerFired:
		d.timerFired()
	}
}

// emit adds an action to those of the Step under way.
func (d *Dispatcher) emit(a Action) { d.actions = append(d.actions, a) }

// setRequestTimer has requestTimerFired called for a request, at the earliest in the next moment.
func (d *Dispatcher) setRequestTimer(r *request, at time.Duration) {
	d.timers.set(max(at, d.now+1), r.ID)
}

// failedOn reports whether an attempt of r failed at w or is in flight there.
func (r *request) failedOn(w *worker) bool {
	return slices.ContainsFunc(r.attempts, func(a *attempt) bool { return a.worker == w && (a.failed || !a.ended) })
}

// mayHaveRun reports whether an attempt of r may have run or may be running.
func (r *request) mayHaveRun() bool {
	return slices.ContainsFunc(r.attempts, func(a *attempt) bool { return !a.ended || a.mayHaveRun })
}

// placementOn returns what is known of f on w, which may be nothing.
func (f *function) placementOn(w *worker) placement {
	if p := f.placements[w]; p != nil {
		return *p
	}
	return placement{}
}

// ensurePlacement returns the placement of f on w and makes it if there is none.
func (f *function) ensurePlacement(w *worker) *placement {
	p := f.placements[w]
	if p == nil {
		p = &placement{}
		f.placements[w] = p
	}
	return p
}

// expirePlacements drops the placements of f that no longer tell anything.
func (d *Dispatcher) expirePlacements(f *function) {
	for w, p := range f.placements {
		if d.isExpired(p) {
			delete(f.placements, w)
		}
	}
}

// isExpired reports whether a placement tells no more than none would.
func (d *Dispatcher) isExpired(p *placement) bool {
	inUse := p.inFlight > 0 || p.loadCommandedAt > 0 || len(p.awaitingLoad) > 0
	backingOff := p.loadFailures > 0 && d.now < p.loadBackoffUntil+idleFunctionTTL
	return !inUse && !backingOff && d.now >= p.residentUntil
}

// classNamed returns a class of the settings, or one of which nothing may be assumed.
func (d *Dispatcher) classNamed(name string) *class {
	c := d.classes[name]
	if c == nil {
		c = &class{Class: Class{Name: name}, meanWork: defaultRunTime.Seconds()}
		d.classes[name] = c
	}
	return c
}

// functionNamed returns a function, made with these run time and work unit if it isn't known.
func (d *Dispatcher) functionNamed(key string, logRunTime, workUnit float64) *function {
	f := d.functions[key]
	if f == nil {
		f = &function{key: key, logRunTime: logRunTime, meanWorkUnit: workUnit, placements: map[*worker]*placement{}}
		d.functions[key] = f
		d.functionsInOrder = append(d.functionsInOrder, f)
	}
	return f
}

// recordRequest counts a request and notes what it says of the function.
func (f *function) recordRequest(e Request) {
	f.requestCount++
	f.memoryMB, f.loadTime = max(e.MemoryMB, 1), e.LoadTime
	f.concurrency = float64(max(e.ConcurrencyPerInstance, 1))
}

// openAttempt returns an attempt that has not ended, or nil.
func (d *Dispatcher) openAttempt(id RequestID, number int) *attempt {
	r := d.requests[id]
	if r == nil || number < 0 || number >= len(r.attempts) || r.attempts[number].ended {
		return nil
	}
	return r.attempts[number]
}

// recountSuspectedWorkers counts the active workers that are suspected.
func (d *Dispatcher) recountSuspectedWorkers() {
	d.suspectedCount = 0
	for _, w := range d.activeWorkers {
		if w.suspected {
			d.suspectedCount++
		}
	}
}

// setSuspected sets whether w is suspected.
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

// reportSuspicion emits a suspicion where the settings want it.
func (d *Dispatcher) reportSuspicion(a ReportSuspicion) {
	if d.settings.SuspicionsReported {
		d.emit(a)
	}
}

// newWorker returns a worker of which nothing is known.
func (d *Dispatcher) newWorker() *worker {
	limit := initialLimit / float64(d.settings.Routers)
	return &worker{concurrencyLimit: limit}
}

// ensureEjections returns the ejections of w and makes the map if there is none.
func (w *worker) ensureEjections() map[*class]ejection {
	if w.ejections == nil {
		w.ejections = map[*class]ejection{}
	}
	return w.ejections
}

// forgetWorkers drops what is known of workers, and moves the requests that wait for one to the pending ones.
func (d *Dispatcher) forgetWorkers(forgotten []*worker) {
	if len(forgotten) == 0 {
		return
	}
	for _, w := range forgotten {
		d.pending = append(d.pending, w.awaitingReport...)
		for _, f := range d.functionsInOrder {
			if p := f.placements[w]; p != nil {
				d.pending = append(d.pending, p.awaitingLoad...)
				delete(f.placements, w)
			}
		}
		w.forgotten = true
		delete(d.workers, w.ID)
		delete(d.removedWorkers, w.ID)
	}
	for _, f := range d.functionsInOrder {
		f.assignment = slices.DeleteFunc(f.assignment, func(s workerShare) bool { return s.worker.forgotten })
	}
}

// expireRateWindow drops what lies before the sliding window of the rate limit.
func (d *Dispatcher) expireRateWindow() {
	from := d.now - d.settings.LoadRateWindow
	for len(d.requestTimes) > 0 && d.requestTimes[0] <= from {
		d.requestTimes = d.requestTimes[1:]
	}
	for len(d.loadCommandTimes) > 0 && d.loadCommandTimes[0] < from {
		d.loadCommandTimes = d.loadCommandTimes[1:]
	}
}

// addAttempt counts a started attempt as in flight.
func (d *Dispatcher) addAttempt(a *attempt) {
	a.request.attempts = append(a.request.attempts, a)
	a.request.needsAttempt = false
	a.request.inFlight++
	a.request.function.ensurePlacement(a.worker).inFlight++
	a.worker.attempts = append(a.worker.attempts, a)
	a.worker.inFlight += a.weight
	d.inFlight += a.weight
}

// removeAttempt counts an ended attempt as no longer in flight, but for its weight.
func (d *Dispatcher) removeAttempt(a *attempt) {
	p := a.request.function.ensurePlacement(a.worker)
	a.request.inFlight, p.inFlight = a.request.inFlight-1, max(p.inFlight-1, 0)
	a.worker.removeAttempt(a)
}

// removeWeight takes an attempt out of the concurrency limits.
func (d *Dispatcher) removeWeight(a *attempt) {
	a.worker.inFlight -= a.weight
	d.inFlight -= a.weight
	a.weight = 0
}

// resetWorker forgets what is known of a worker but its attempts in flight.
func (d *Dispatcher) resetWorker(w *worker) {
	for _, f := range d.functionsInOrder {
		delete(f.placements, w)
	}
	fresh := d.newWorker()
	fresh.attempts = w.attempts
	fresh.inFlight = w.inFlight
	fresh.active = w.active
	fresh.lastHeard = d.now
	*w = *fresh
}

// suspect holds w to be unresponsive until it is heard.
func (d *Dispatcher) suspect(w *worker) {
	d.setSuspected(w, true)
	w.lastChecked = d.now
	d.reportSuspicion(ReportSuspicion{Worker: w.ID})
}

// expectedRunTime is how long a request should take to run.
func (r *request) expectedRunTime() time.Duration {
	return seconds(math.Exp(r.function.logRunTime) * r.workUnit)
}

// expectedLoadTime is how long a load of f should take.
func (d *Dispatcher) expectedLoadTime(f *function) time.Duration {
	if f.loadTime > 0 {
		return f.loadTime
	}
	return seconds(math.Exp(d.logLoadTime))
}

// missesObjective reports whether a request can no longer be served within its latency objective.
func (d *Dispatcher) missesObjective(r *request) bool {
	return d.now-r.acceptedAt+r.expectedRunTime() > r.class.LatencyObjective
}

// subscribe asks for endpoint updates where they don't come by themselves.
func (d *Dispatcher) subscribe() {
	if d.settings.EndpointsBySubscription {
		d.emit(SubscribeEndpoints{})
	}
}

// heard notes that w has responded.
func (d *Dispatcher) heard(w *worker) {
	w.lastHeard = d.now
	d.setSuspected(w, false)
}

// removeAttempt takes a out of the attempts in flight at its worker.
func (w *worker) removeAttempt(a *attempt) {
	w.attempts = slices.DeleteFunc(w.attempts, func(other *attempt) bool { return other == a })
}

// seconds converts to a duration.
func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
