package router

import (
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

// WorkerDraining records a worker's own report that it drains.
func (r *Router) WorkerDraining(worker string) {
	r.post(func() { r.endpoints.WorkerDraining(r.now, worker) })
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
			r.post(func() { r.endpoints.HealthChecked(r.now, id, result.Result == dispatch.OK && result.Ready) })
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
