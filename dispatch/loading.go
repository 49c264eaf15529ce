package dispatch

import (
	"math"
	"time"
)

// This file sends load commands under their rate limit: placement, requestTimes, loadCommandTimes.

const (
	defaultLoadTime  = 800 * time.Millisecond // before any load time is known
	maxLoadsInFlight = 4                      // own load commands in flight at one worker
	loadBackoff      = 500 * time.Millisecond // first backoff after a failed load
	prefetchRatio    = 0.5                    // of the rate limit, for loads that nobody waits for
	minMeasuredLoad  = 20 * time.Millisecond  // a quicker result came from a copy that was loaded already
)

// expectedLoadTime is how long a load of f should take.
func (d *Dispatcher) expectedLoadTime(f *function) time.Duration {
	if f.loadTime > 0 {
		return f.loadTime
	}
	return seconds(math.Exp(d.logLoadTime))
}

// loadOverdueAfter is how long a load command may take, also from an overloaded store.
func (d *Dispatcher) loadOverdueAfter(f *function) time.Duration {
	return overdueMultiple*d.expectedLoadTime(f) + 2*overdueMargin
}

// loadOverdue reports whether a load command should long have had its result.
func (d *Dispatcher) loadOverdue(f *function, p placement) bool {
	return p.loadCommandedAt > 0 && d.now-p.loadCommandedAt > d.loadOverdueAfter(f)
}

// loadInProgress reports whether w will hold f when its load command in flight has its result.
func (d *Dispatcher) loadInProgress(f *function, w *worker) bool {
	p := f.placementOn(w)
	return p.loadCommandedAt > 0 && d.now >= p.residentUntil && !d.loadOverdue(f, p)
}

// commandLoad sends a load command, unless one is in flight, and reports whether a load is in progress. It
// keeps to the backoff after a failed load, to the bound of commands in flight and to the given fraction of
// the rate limit, and sends none to a worker that is not active or holds no lease. There is no other way to
// send a load command.
func (d *Dispatcher) commandLoad(f *function, w *worker, limitFraction float64, cause LoadCause) bool {
	if f.placementOn(w).loadCommandedAt > 0 {
		return true
	}
	if !d.settings.LoadCommandsAllowed || w.State != EndpointActive || !d.holdsLease(w) {
		return false
	}
	backingOff := d.now < f.placementOn(w).loadBackoffUntil
	if w.loadsInFlight >= maxLoadsInFlight || backingOff || !d.takeLoadPermit(limitFraction) {
		return false
	}
	f.ensurePlacement(w).loadCommandedAt = d.now
	w.loadsInFlight++
	d.emit(LoadFunction{Worker: w.ID, Function: f.key, Copies: 1, SendBefore: d.sendBefore(w), Cause: cause})
	return true
}

// takeLoadPermit counts a load command against the rate limit and reports whether it is within the fraction
// given.
func (d *Dispatcher) takeLoadPermit(limitFraction float64) bool {
	if d.settings.LoadRateWindow == 0 {
		return true
	}
	d.expireRateWindow()
	limit := d.settings.LoadRateBurst + d.settings.LoadRateRatio*float64(len(d.requestTimes))
	if float64(len(d.loadCommandTimes)+1) > limitFraction*limit {
		return false
	}
	d.loadCommandTimes = append(d.loadCommandTimes, d.now)
	return true
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

// handleFunctionLoaded takes the result of a load command and lets go the requests that waited for it.
func (d *Dispatcher) handleFunctionLoaded(e FunctionLoaded) {
	w := d.workers[e.Worker]
	f := d.functions[e.Function]
	if w != nil && (e.Result == OK || e.Result == Rejected || e.Result == Errored) {
		d.markResponsive(w)
	}
	if w != nil && e.Result == Rejected {
		d.endLease(w)
	}
	if w == nil || f == nil || f.placementOn(w).loadCommandedAt == 0 {
		return // forgotten, or commanded before the worker was restarted
	}
	p := f.ensurePlacement(w)
	w.loadsInFlight = max(w.loadsInFlight-1, 0)
	p.loadCommandedAt = 0
	if e.Result == OK || e.Copies > 0 {
		if e.Duration > minMeasuredLoad {
			d.logLoadTime += runTimeSmoothing * (math.Log(e.Duration.Seconds()) - d.logLoadTime)
		}
		p.residentUntil = d.now + d.settings.IdleResidency
		p.loadFailures = 0
	} else {
		d.backOffLoads(p)
	}
	d.pending = append(d.pending, p.awaitingLoad...)
	p.awaitingLoad = nil
}

// backOffLoads holds back load commands from a placement after a failed load, so that an overloaded store or
// worker is not flooded.
func (d *Dispatcher) backOffLoads(p *placement) {
	p.residentUntil = 0
	p.loadBackoffUntil = d.now + d.backoffWithJitter(loadBackoff, p.loadFailures)
	p.loadFailures++
}
