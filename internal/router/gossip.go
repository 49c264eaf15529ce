package router

import (
	"time"

	"github.com/topazfront/topazfront/dispatch"
	"github.com/topazfront/topazfront/internal/gossip"
)

// Gossip reports to other routers what this one suspects of workers, and takes it back. Only the loop calls its
// methods, and they don't block.
type Gossip interface {
	ReportSuspicion(suspicion dispatch.ReportSuspicion)
	ReportAlive(worker string)
}

// SetGossip sets where suspicions are reported from now on. The dispatcher returns them only with
// dispatch.Settings.SuspicionsReported.
func (r *Router) SetGossip(reporter Gossip) { r.post(func() { r.gossip = reporter }) }

// ApplyGossip passes what other routers reported to the dispatcher.
func (r *Router) ApplyGossip(update dispatch.GossipUpdate) {
	r.post(func() { r.events = append(r.events, update) })
}

// VerifyWorker checks whether a worker that other routers suspect is alive, and calls done from the loop. If the
// worker gave a sign of life within maxAge, there is no health check, and done gets gossip.CheckSkipped. The dispatcher
// isn't notified of the result, so that gossip can't improve what it holds of a worker.
func (r *Router) VerifyWorker(worker string, maxAge, limit time.Duration, done func(gossip.CheckResult)) {
	r.post(func() {
		if at, ok := r.lastAlive[worker]; ok && r.now-at < maxAge {
			done(gossip.CheckSkipped)
			return
		}
		r.stats.Verifications++
		r.upstream.CheckHealth(worker, limit, func(result HealthResult) {
			r.post(func() {
				r.recordAlive(worker, result.Result)
				done(checkResultOf(result))
			})
		})
	})
}

// checkResultOf returns what the result of a health check tells of the worker.
func checkResultOf(result HealthResult) gossip.CheckResult {
	if provesAlive(result.Result) {
		return gossip.CheckFoundAlive
	}
	return gossip.CheckFoundSilent
}

// reportSuspicion reports a suspicion of the dispatcher to gossip.
func (r *Router) reportSuspicion(suspicion dispatch.ReportSuspicion) {
	if r.gossip == nil {
		return
	}
	if unresponsive := !suspicion.Slow && suspicion.Class == ""; unresponsive {
		r.reportedUnresponsive[suspicion.Worker] = true
	}
	r.gossip.ReportSuspicion(suspicion)
}

// recordAlive records a sign of life, if the result is one, and takes back the reported suspicion that the worker is
// unresponsive. Without gossip nobody needs either.
func (r *Router) recordAlive(worker string, result dispatch.Result) {
	if r.gossip == nil || !provesAlive(result) {
		return
	}
	r.lastAlive[worker] = r.now
	if r.reportedUnresponsive[worker] {
		delete(r.reportedUnresponsive, worker)
		r.gossip.ReportAlive(worker)
	}
}

// provesAlive reports whether only a worker that is alive can have given the result.
func provesAlive(result dispatch.Result) bool {
	switch result {
	case dispatch.OK, dispatch.Errored, dispatch.Rejected, dispatch.NotResident:
		return true
	case dispatch.TimedOut, dispatch.ConnectFailed, dispatch.ConnectionReset, dispatch.Cancelled, dispatch.NotSent:
		return false // the worker answered nothing
	}
	return false
}
