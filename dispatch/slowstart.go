package dispatch

import "time"

// This file implements slow start: worker.warmingUp and worker.slowStartTokens.

// minSlowStartFraction keeps the rate of a token bucket above zero if the settings give a starting worker no
// capacity.
const minSlowStartFraction = 0.01

// slowStartFraction returns the minimum fraction of its capacity that a worker has at present.
func (d *Dispatcher) slowStartFraction(w *worker) float64 {
	if !w.warmingUp || d.settings.SlowStartDuration == 0 {
		return 1
	}
	return d.fractionAfter(d.now - w.StartedAt)
}

// fractionAfter returns the minimum fraction of its capacity that a worker has some time after its start.
func (d *Dispatcher) fractionAfter(age time.Duration) float64 {
	progress := max(0, float64(age)/float64(d.settings.SlowStartDuration))
	fraction := d.settings.SlowStartShare + float64((1-d.settings.SlowStartShare)*progress)
	return min(max(fraction, minSlowStartFraction), 1)
}

// updateWarmingUp updates whether a worker is in slow start.
func (d *Dispatcher) updateWarmingUp(w *worker) {
	warmingUp := w.StartedAt > 0 && d.now-w.StartedAt < d.settings.SlowStartDuration
	if warmingUp != w.warmingUp {
		w.warmingUp = warmingUp
		d.resetSlowStartTokens(w)
	}
}

// slowStartAllowsAttempt reports whether slow start allows an attempt at a worker. If the worker is warming
// up, its token bucket is refilled first. The refill rate is this router's part of the work that the worker
// can take: an even share of the work that this router has served, times the minimum fraction of its capacity
// that the worker has. As only served work counts, an overload does not raise the rate.
func (d *Dispatcher) slowStartAllowsAttempt(w *worker) bool {
	if !w.warmingUp {
		return true
	}
	rate := d.slowStartFraction(w) * d.workRate / float64(max(len(d.activeWorkers), 1))
	refilled := w.slowStartTokens + float64(rate*(d.now-w.tokensUpdatedAt).Seconds())
	w.slowStartTokens = min(refilled, rate*d.settings.OverloadWindow.Seconds())
	w.tokensUpdatedAt = d.now
	return w.slowStartTokens > 0
}

// resetSlowStartTokens resets the token bucket of a worker at the start or end of its slow start. With many
// routers, the rate of each is far below one request in the window, so the buckets start at random negative
// levels. Otherwise all routers would send their first request at the same time.
func (d *Dispatcher) resetSlowStartTokens(w *worker) {
	meanWork := max(d.workRate/max(d.requestRate, negligible), defaultRunTime.Seconds())
	w.slowStartTokens = -d.random.Float64() * meanWork
	w.tokensUpdatedAt = d.now
}
