package dispatch

import (
	"maps"
	"slices"
)

// This file keeps Dispatcher.workers, activeWorkers and removedWorkers up to date with the endpoint list.

// updateEndpoints applies a snapshot or a change of the endpoint list.
func (d *Dispatcher) updateEndpoints(update EndpointUpdate) {
	if update.SubscriptionLost {
		d.subscribe()
	}
	d.endpointUpdateCount++
	for _, e := range update.Endpoints {
		d.updateEndpoint(e)
	}
	if update.Snapshot && !update.SubscriptionLost {
		d.markUnlistedRemoved()
	}
	d.updateActiveWorkers()
	d.deleteRemovedWorkers()
	d.fleetShare = float64(max(len(d.activeWorkers), 1)) / float64(d.settings.Routers)
	d.reassignAfterUpdate()
}

// updateEndpoint applies one entry of the endpoint list. A restarted worker holds no function and is
// warming up.
func (d *Dispatcher) updateEndpoint(e Endpoint) {
	w := d.workers[e.ID]
	if w == nil {
		w = d.newWorker()
		d.workers[e.ID] = w
	} else if e.StartedAt > w.StartedAt {
		d.resetWorker(w)
	}
	showsRestart := w.identity != nil && e.StartedAt > w.identity.endpoint.StartedAt
	d.identify(w, e)
	if e.State == EndpointRemoved {
		d.endIdentity(w)
	}
	w.proof.restartAssumed = w.proof.restartAssumed && !showsRestart
	if w.proof.restartAssumed { // the entry may be older; endAssumedRestart decides
		e.StartedAt = w.StartedAt
	}
	w.Endpoint = e
	w.memoryMB = d.memoryByKind[e.Kind]
	w.listedInUpdate = d.endpointUpdateCount
	d.queueStateChange(w)
	d.updateWarmingUp(w)
}

// markUnlistedRemoved marks the workers that the current snapshot does not list as removed.
func (d *Dispatcher) markUnlistedRemoved() {
	for _, w := range d.workers {
		if w.listedInUpdate != d.endpointUpdateCount {
			w.State = EndpointRemoved
			d.endIdentity(w)
			d.queueStateChange(w)
		}
	}
}

// deleteRemovedWorkers deletes the removed workers that have no attempt in flight and requeues the requests
// that waited for them. This bounds the state in a fleet whose workers are continually replaced by new ones
// with other ids.
func (d *Dispatcher) deleteRemovedWorkers() {
	var deleted []*worker
	for _, id := range slices.Sorted(maps.Keys(d.removedWorkers)) {
		if w := d.removedWorkers[id]; len(w.attempts) == 0 {
			deleted = append(deleted, w)
		}
	}
	d.deleteWorkers(deleted)
}

// subscribe requests endpoint updates, if the settings require a subscription.
func (d *Dispatcher) subscribe() {
	if d.settings.EndpointsBySubscription {
		d.emit(SubscribeEndpoints{})
	}
}
