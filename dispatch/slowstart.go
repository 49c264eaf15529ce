package dispatch

// This file holds slow start: warmingUp and slowStartTokens.

// minSlowStartFraction keeps the rate of a bucket above zero where the settings give a starting worker no
// capacity.
const minSlowStartFraction = 0.01

// slowStartFraction is the fraction of its capacity that a worker has at the least.
func (d *Dispatcher) slowStartFraction(w *worker) float64 {
	if !w.warmingUp || d.settings.SlowStartDuration == 0 {
		return 1
	}
	progress := max(0, float64(d.now-w.StartedAt)/float64(d.settings.SlowStartDuration))
	fraction := d.settings.SlowStartShare + (1-d.settings.SlowStartShare)*progress
	return min(max(fraction, minSlowStartFraction), 1)
}

// slowStartAllowsAttempt reports whether slow start lets a worker have an attempt. If the worker is warming
// up, its token bucket is refilled first. The bucket holds this router's part of what such a worker can
// take: an even share of the work that this router has served, which no overload raises, times the fraction
// of its capacity that the worker has at the least.
func (d *Dispatcher) slowStartAllowsAttempt(w *worker) bool {
	if !w.warmingUp {
		return true
	}
	rate := d.slowStartFraction(w) * d.workRate / float64(max(len(d.activeWorkers), 1))
	refilled := w.slowStartTokens + rate*(d.now-w.tokensUpdatedAt).Seconds()
	w.slowStartTokens = min(refilled, rate*d.settings.OverloadWindow.Seconds())
	w.tokensUpdatedAt = d.now
	return w.slowStartTokens > 0
}

// resetSlowStartTokens empties the bucket of a worker that begins or ends its slow start. The rate of one
// router among many is far below one request, so the buckets start at random levels, or all routers would
// send their first at once.
func (d *Dispatcher) resetSlowStartTokens(w *worker) {
	meanWork := max(d.workRate/max(d.requestRate, negligible), defaultRunTime.Seconds())
	w.slowStartTokens = -d.random.Float64() * meanWork
	w.tokensUpdatedAt = d.now
}
