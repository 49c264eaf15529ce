package router

import (
	"maps"
	"time"

	"github.com/topazfront/topazfront/dispatch"
	"github.com/topazfront/topazfront/internal/endpoints"
)

// SetEndpoints replaces the endpoint list by a complete new one.
func (r *Router) SetEndpoints(list []endpoints.Worker) {
	r.post(func() { r.endpoints.SetList(list) })
}

// WorkerDraining reports that a worker itself has said that it takes nothing new.
func (r *Router) WorkerDraining(worker string) {
	r.post(func() { r.endpoints.WorkerDraining(r.now, worker) })
}

// updateEndpoints passes a changed endpoint list to the upstream and the dispatcher, and makes the health checks of
// draining workers that are due.
func (r *Router) updateEndpoints() {
	actions := r.endpoints.Step(r.now)
	if actions.List != nil {
		r.useEndpoints(actions.List)
	}
	for _, id := range actions.Check {
		r.upstream.CheckHealth(id, r.cfg.HealthCheckTimeout, func(result HealthResult) {
			r.post(func() { r.endpoints.HealthChecked(r.now, id, result.Result == dispatch.OK && result.Ready) })
		})
	}
}

func (r *Router) useEndpoints(list []endpoints.Worker) {
	members := make([]dispatch.Endpoint, 0, len(list))
	listed := map[string]bool{}
	for _, worker := range list {
		members = append(members, worker.Endpoint)
		listed[worker.ID] = true
	}
	r.upstream.SetEndpoints(list)
	maps.DeleteFunc(r.lastAlive, func(id string, _ time.Duration) bool { return !listed[id] })
	maps.DeleteFunc(r.reportedUnresponsive, func(id string, _ bool) bool { return !listed[id] })
	r.events = append(r.events, dispatch.EndpointUpdate{Snapshot: true, Endpoints: members})
}
