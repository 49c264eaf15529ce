package dispatch

// This file follows the endpoint list: Dispatcher.workers and activeWorkers.

// updateEndpoints takes a snapshot or a change of the endpoint list.
func (d *Dispatcher) updateEndpoints(update EndpointUpdate) {
	if update.SubscriptionLost {
		d.subscribe()
	}
	listed := map[string]bool{}
	for _, e := range update.Endpoints {
		listed[e.ID] = true
		d.updateEndpoint(e)
	}
	for id, w := range d.workers {
		if update.Snapshot && !update.SubscriptionLost && !listed[id] {
			w.State = EndpointRemoved
		}
	}
	d.indexActiveWorkers()
	d.removeEndpoints()
	d.endpointsVersion++
	d.fleetShare = float64(max(len(d.activeWorkers), 1)) / float64(d.settings.Routers)
	if d.started && d.lastRebalance < d.now {
		d.assignCapacity()
	}
}

// updateEndpoint takes one line of the list. A worker with a new start holds no function and is warming up.
func (d *Dispatcher) updateEndpoint(e Endpoint) {
	w := d.workers[e.ID]
	if w == nil {
		w = d.newWorker()
		d.workers[e.ID] = w
	} else if e.StartedAt > w.StartedAt {
		d.resetWorker(w)
	}
	w.Endpoint, w.memoryMB = e, d.memoryByKind[e.Kind]
	warmingUp := e.StartedAt > 0 && d.now-e.StartedAt < d.settings.SlowStartDuration
	if warmingUp != w.warmingUp {
		w.warmingUp = warmingUp
		d.resetSlowStartTokens(w)
	}
}

// removeEndpoints forgets the removed workers without attempts in flight, and lets go the requests that
// waited for one. State so stays bounded in a fleet whose workers are replaced all day by others under new
// ids.
func (d *Dispatcher) removeEndpoints() {
	removed := map[string]bool{}
	for id, w := range d.workers {
		if w.State == EndpointRemoved && len(w.attempts) == 0 {
			removed[id] = true
		}
	}
	d.forgetWorkers(removed)
}
