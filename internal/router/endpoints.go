package router

import (
	"time"

	"github.com/topazfront/topazfront/dispatch"
	"github.com/topazfront/topazfront/internal/endpoints"
)

// SetEndpoints replaces the endpoint list.
func (r *Router) SetEndpoints(list []endpoints.Worker) {
	r.UpdateEndpoints(endpoints.Update{Snapshot: true, Workers: list})
}

// UpdateEndpoints applies an update of the endpoint list.
func (r *Router) UpdateEndpoints(update endpoints.Update) {
	r.post(func() { r.endpoints.Update(update) })
}

// EndpointListConfirmed records that the endpoint list, with the updates passed so far, contains all changes up to a
// time on the router's clock. After its first call, the dispatcher relies on the list only while it is confirmed
// regularly.
func (r *Router) EndpointListConfirmed(at time.Duration) {
	r.post(func() {
		r.listConfirmedAt = max(r.listConfirmedAt, at)
		r.stepEndpoints() // the dispatcher must get the updates before the confirmation
		r.events = append(r.events, dispatch.EndpointListConfirmed{At: at})
	})
}

// EndpointListRequested records that the endpoint list is requested at a time on the router's clock, for the first time
// or after a failed or interrupted request.
func (r *Router) EndpointListRequested(at time.Duration) {
	r.post(func() { r.events = append(r.events, dispatch.EndpointListRequested{At: at}) })
}

// endpointListStateChanged records and logs whether the dispatcher considers the endpoint list current.
func (r *Router) endpointListStateChanged(action dispatch.EndpointListStateChanged) {
	r.stats.ListExpired = !action.Current
	attributes := []any{"age_ms", action.Age.Milliseconds()}
	if r.listAttributes != nil {
		attributes = append(attributes, r.listAttributes()...)
	}
	if action.Current {
		r.cfg.Logger.Info("endpoint list current again", attributes...)
		return
	}
	r.cfg.Logger.Warn("endpoint list out of date, workers are checked before anything new is sent to them", attributes...)
}

// SetEndpointListAttributes sets a function that returns additional attributes for log lines about the endpoint list,
// as alternating keys and values. The loop calls the function, which must not block.
func (r *Router) SetEndpointListAttributes(attributes func() []any) {
	r.post(func() { r.listAttributes = attributes })
}

// WorkerDraining records that a worker itself has reported that it is draining.
func (r *Router) WorkerDraining(worker string) {
	r.post(func() { r.endpoints.WorkerDraining(r.turnTime, worker) })
}

// WorkerConnectionLost records the end of a connection to a worker that this router did not close.
func (r *Router) WorkerConnectionLost(worker string) {
	r.post(func() { r.events = append(r.events, dispatch.ConnectionLost{Worker: worker}) })
}

// ConnectionsChanged records when the oldest open connection to a worker was opened; the zero time means that there is
// none. Calls for the same worker must be made in the order of the changes.
func (r *Router) ConnectionsChanged(worker string, oldestOpenedAt time.Time) {
	openedAt := r.timeOf(oldestOpenedAt)
	r.post(func() {
		r.events = append(r.events, dispatch.ConnectionsChanged{Worker: worker, OldestOpenedAt: openedAt})
	})
}

// stepEndpoints passes changes of the merged endpoint list to the upstream and the dispatcher, and starts the due
// health checks of draining workers.
func (r *Router) stepEndpoints() {
	actions := r.endpoints.Step(r.turnTime)
	if actions.Update != nil {
		r.applyEndpointUpdate(*actions.Update)
	}
	for _, id := range actions.Check {
		r.upstream.CheckHealth(id, r.cfg.HealthCheckTimeout, func(result HealthResult) {
			r.post(func() {
				r.logHealthCheck(id, result, false)
				r.endpoints.HealthChecked(r.turnTime, id, result.Result == dispatch.OK && result.Ready)
			})
		})
	}
}

// applyEndpointUpdate passes an update of the merged list to the upstream and the dispatcher, and deletes the state of
// removed workers.
func (r *Router) applyEndpointUpdate(update endpoints.Update) {
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
