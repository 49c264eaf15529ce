package dispatch

import (
	"math"
	"time"
)

// This file sends load commands within their rate limit: placement, requestTimes and loadCommandTimes.

const (
	defaultLoadTime   = 800 * time.Millisecond // before any load time is known
	maxLoadsInFlight  = 4                      // load commands of this router in flight at one worker
	loadBackoff       = 500 * time.Millisecond // first backoff after a failed load
	extraCopyFraction = 0.5                    // of the load rate limit, for loads while the copies are busy
	minMeasuredLoad   = 20 * time.Millisecond  // a quicker result means that a copy was already loaded
)

// expectedLoadTime returns how long a load of f should take.
func (d *Dispatcher) expectedLoadTime(f *function) time.Duration {
	if f.loadTime > 0 {
		return f.loadTime
	}
	return seconds(math.Exp(d.logLoadTime))
}

// loadOverdueAfter returns how long a load command may take. It allows for an overloaded store.
func (d *Dispatcher) loadOverdueAfter(f *function) time.Duration {
	return overdueMultiple*d.expectedLoadTime(f) + 2*overdueMargin
}

// loadOverdue reports whether the load command in flight has taken longer than loadOverdueAfter.
func (d *Dispatcher) loadOverdue(f *function, p placement) bool {
	return p.loadCommandedAt > 0 && d.now-p.loadCommandedAt > d.loadOverdueAfter(f)
}

// loadInProgress reports whether w does not hold f yet, but a load command in flight should change that.
func (d *Dispatcher) loadInProgress(f *function, w *worker) bool {
	p := f.placementOn(w)
	return p.loadCommandedAt > 0 && d.now >= p.residentUntil && !d.loadOverdue(f, p)
}

// commandLoad sends a load command, unless one is in flight, and reports whether a load is in progress. It
// respects the backoff after a failed load, the limit of loads in flight and the given fraction of the rate
// limit. It sends nothing to a worker that is not active or holds no lease. All load commands are sent
// here.
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

// takeLoadPermit reports whether another load command is within the given fraction of the rate limit, and
// counts it if so.
func (d *Dispatcher) takeLoadPermit(limitFraction float64) bool {
	if d.settings.LoadRateWindow == 0 {
		return true
	}
	d.expireRateWindow()
	limit := d.settings.LoadRateBurst + float64(d.settings.LoadRateRatio*float64(len(d.requestTimes)))
	if float64(len(d.loadCommandTimes)+1) > limitFraction*limit {
		return false
	}
	d.loadCommandTimes = append(d.loadCommandTimes, d.now)
	return true
}

// expireRateWindow drops the times that lie before the sliding window of the rate limit.
func (d *Dispatcher) expireRateWindow() {
	from := d.now - d.settings.LoadRateWindow
	for len(d.requestTimes) > 0 && d.requestTimes[0] <= from {
		d.requestTimes = d.requestTimes[1:]
	}
	for len(d.loadCommandTimes) > 0 && d.loadCommandTimes[0] < from {
		d.loadCommandTimes = d.loadCommandTimes[1:]
	}
}

// handleFunctionLoaded records the result of a load command and requeues the requests that waited for it.
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
		return // the worker or function was deleted, or the worker was restarted after the command
	}
	p := f.ensurePlacement(w)
	w.loadsInFlight = max(w.loadsInFlight-1, 0)
	p.loadCommandedAt = 0
	if e.Result == OK || e.Copies > 0 {
		if e.Duration > minMeasuredLoad {
			d.logLoadTime = smooth(d.logLoadTime, math.Log(e.Duration.Seconds()), runTimeSmoothing)
		}
		p.residentUntil = d.now + d.settings.IdleResidency
		p.loadFailures = 0
	} else {
		d.backOffLoads(p)
	}
	d.pending = append(d.pending, p.awaitingLoad.takeAll()...)
}

// backOffLoads stops load commands for a placement for a while after a failed load, to protect an
// overloaded store or worker.
func (d *Dispatcher) backOffLoads(p *placement) {
	p.residentUntil = 0
	p.loadBackoffUntil = d.now + d.backoffWithJitter(loadBackoff, p.loadFailures)
	p.loadFailures++
}
