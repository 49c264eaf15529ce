package router

import (
	"time"

	"github.com/topazfront/topazfront/dispatch"
	"github.com/topazfront/topazfront/internal/endpoints"
)

// SetEndpoints replaces the endpoint list by a complete new one.
func (r *Router) SetEndpoints(list []endpoints.Worker) {
	r.UpdateEndpoints(endpoints.Update{Snapshot: true, Workers: list})
}

// UpdateEndpoints takes an update of the endpoint list.
func (r *Router) UpdateEndpoints(update endpoints.Update) {
	r.post(func() { r.endpoints.Update(update) })
}

// EndpointListConfirmed records that the endpoint list, with the updates before, held all changes up to a time on the
// router's clock. Once it has been called, the list is believed only as long as it is confirmed.
func (r *Router) EndpointListConfirmed(at time.Duration) {
	r.post(func() {
		r.listConfirmedAt = max(r.listConfirmedAt, at)
		r.updateEndpoints() // the updates before come first
		r.events = append(r.events, dispatch.EndpointListConfirmed{At: at})
	})
}

// EndpointListRequested records that the endpoint list is asked for again, after a failure or a start, at a time on the
// router's clock.
func (r *Router) EndpointListRequested(at time.Duration) {
	r.post(func() { r.events = append(r.events, dispatch.EndpointListRequested{At: at}) })
}

// endpointListStateChanged logs whether the endpoint list is believed.
func (r *Router) endpointListStateChanged(action dispatch.EndpointListStateChanged) {
	r.stats.ListExpired = !action.Current
	attributes := []any{"age_ms", action.Age.Milliseconds()}
	if r.describeList != nil {
		attributes = append(attributes, r.describeList()...)
	}
	if action.Current {
		r.cfg.Logger.Info("endpoint list current again", attributes...)
		return
	}
	r.cfg.Logger.Warn("endpoint list out of date, workers are checked before anything new is sent to them", attributes...)
}

// SetEndpointListAttributes sets what log lines about the endpoint list have in addition, as alternating keys and values. The loop
// calls the function, which must not block.
func (r *Router) SetEndpointListAttributes(describe func() []any) {
	r.post(func() { r.describeList = describe })
}

// WorkerDraining records a worker's own report that it drains.
func (r *Router) WorkerDraining(worker string) {
	r.post(func() { r.endpoints.WorkerDraining(r.now, worker) })
}

// WorkerConnectionLost records that a connection to a worker ended without this router's doing.
func (r *Router) WorkerConnectionLost(worker string) {
	r.post(func() { r.events = append(r.events, dispatch.ConnectionLost{Worker: worker}) })
}

// updateEndpoints passes changes of the endpoint list to the upstream and the dispatcher, and starts the health checks of
// draining workers that are due.
func (r *Router) updateEndpoints() {
	actions := r.endpoints.Step(r.now)
	if actions.Update != nil {
		r.useEndpoints(*actions.Update)
	}
	for _, id := range actions.Check {
		r.upstream.CheckHealth(id, r.cfg.HealthCheckTimeout, func(result HealthResult) {
			r.post(func() {
				r.logHealthCheck(id, result, false)
				r.endpoints.HealthChecked(r.now, id, result.Result == dispatch.OK && result.Ready)
			})
		})
	}
}

// useEndpoints passes an update of the merged list to the upstream and the dispatcher, and forgets removed workers.
func (r *Router) useEndpoints(update endpoints.Update) {
	changed := make([]dispatch.Endpoint, 0, len(update.Workers))
	for _, worker := range update.Workers {
		changed = append(changed, worker.Endpoint)
		if worker.State == dispatch.EndpointRemoved {
			delete(r.lastAlive, worker.ID)
			delete(r.reportedUnresponsive, worker.ID)
		}
	}
	r.upstream.UpdateEndpoints(update.Workers)
	r.events = append(r.events, dispatch.EndpointUpdate{Snapshot: update.Snapshot, Endpoints: changed})
}
