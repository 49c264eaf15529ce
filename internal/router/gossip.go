package router

import (
	"time"

	"github.com/topazfront/topazfront/dispatch"
	"github.com/topazfront/topazfront/internal/gossip"
)

// Gossip reports this router's suspicions of workers to other routers, and withdraws them. Only the loop calls its
// methods, which must not block.
type Gossip interface {
	ReportSuspicion(suspicion dispatch.ReportSuspicion)
	ReportAlive(worker string)
}

// SetGossip sets the receiver of suspicions. The dispatcher returns suspicions only if
// dispatch.Settings.SuspicionsReported is set.
func (r *Router) SetGossip(reporter Gossip) { r.post(func() { r.gossip = reporter }) }

// ApplyGossip passes reports of other routers to the dispatcher.
func (r *Router) ApplyGossip(update dispatch.GossipUpdate) {
	r.post(func() { r.events = append(r.events, update) })
}

// VerifyWorker checks whether a worker that other routers suspect is alive, and calls done from the loop. If there was
// evidence within maxAge that the worker is alive, no health check is made and done gets gossip.CheckSkipped. The
// result is not passed to the dispatcher, so that gossip can't improve the dispatcher's assessment of a worker.
func (r *Router) VerifyWorker(worker string, maxAge, timeout time.Duration, done func(gossip.CheckResult)) {
	r.post(func() {
		if at, ok := r.lastAlive[worker]; ok && r.turnTime-at < maxAge {
			done(gossip.CheckSkipped)
			return
		}
		r.stats.Verifications++
		r.upstream.CheckHealth(worker, timeout, func(result HealthResult) {
			r.post(func() {
				r.recordAlive(worker, result.Result)
				done(checkResultOf(result))
			})
		})
	})
}

// checkResultOf returns whether a health check found the worker alive or silent.
func checkResultOf(result HealthResult) gossip.CheckResult {
	if provesAlive(result.Result) {
		return gossip.CheckFoundAlive
	}
	return gossip.CheckFoundSilent
}

// reportSuspicion passes a suspicion of the dispatcher to gossip.
func (r *Router) reportSuspicion(suspicion dispatch.ReportSuspicion) {
	if r.gossip == nil {
		return
	}
	if unresponsive := !suspicion.Slow && suspicion.Class == ""; unresponsive {
		r.reportedUnresponsive[suspicion.Worker] = true
	}
	r.gossip.ReportSuspicion(suspicion)
}

// recordAlive records that a worker is alive if the result proves it, and withdraws a reported suspicion that the
// worker is unresponsive. Without gossip it does nothing, as nothing else uses the record.
func (r *Router) recordAlive(worker string, result dispatch.Result) {
	if r.gossip == nil || !provesAlive(result) {
		return
	}
	r.lastAlive[worker] = r.turnTime
	if r.reportedUnresponsive[worker] {
		delete(r.reportedUnresponsive, worker)
		r.gossip.ReportAlive(worker)
	}
}

// provesAlive reports whether a result proves that the worker is alive.
func provesAlive(result dispatch.Result) bool {
	switch result {
	case dispatch.OK, dispatch.Errored, dispatch.Rejected, dispatch.NotResident:
		return true
	case dispatch.TimedOut, dispatch.ConnectFailed, dispatch.ConnectionReset, dispatch.Cancelled, dispatch.NotSent:
		return false // no response from the worker
	}
	return false
}
