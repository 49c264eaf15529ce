package dispatch

import (
	"cmp"
	"maps"
	"slices"
)

// This file follows the endpoint list: Dispatcher.workers, activeWorkers and removedWorkers.

// updateEndpoints takes a snapshot or a change of the endpoint list.
func (d *Dispatcher) updateEndpoints(update EndpointUpdate) {
	if update.SubscriptionLost {
		d.subscribe()
	}
	d.endpointUpdates++
	for _, e := range update.Endpoints {
		d.updateEndpoint(e)
	}
	if update.Snapshot && !update.SubscriptionLost {
		d.markUnlistedRemoved()
	}
	d.updateActiveWorkers()
	d.forgetRemovedWorkers()
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
	w.Endpoint = e
	w.memoryMB = d.memoryByKind[e.Kind]
	w.listedIn = d.endpointUpdates
	d.noteStateChange(w)
	warmingUp := e.StartedAt > 0 && d.now-e.StartedAt < d.settings.SlowStartDuration
	if warmingUp != w.warmingUp {
		w.warmingUp = warmingUp
		d.resetSlowStartTokens(w)
	}
}

// markUnlistedRemoved marks the workers as removed that the snapshot under way does not list.
func (d *Dispatcher) markUnlistedRemoved() {
	for _, w := range d.workers {
		if w.listedIn != d.endpointUpdates {
			w.State = EndpointRemoved
			d.noteStateChange(w)
		}
	}
}

// noteStateChange queues a worker for updateActiveWorkers and forgetRemovedWorkers, if they have work with it.
func (d *Dispatcher) noteStateChange(w *worker) {
	if w.active != (w.State == EndpointActive) {
		d.changedWorkers = append(d.changedWorkers, w)
	}
	if w.State == EndpointRemoved {
		d.removedWorkers[w.ID] = w
	} else {
		delete(d.removedWorkers, w.ID)
	}
}

// updateActiveWorkers brings activeWorkers, all rankings and the count of suspected workers up to date with the states
// of changedWorkers.
func (d *Dispatcher) updateActiveWorkers() {
	var added, removed []*worker
	for _, w := range d.changedWorkers {
		isActive := w.State == EndpointActive
		switch {
		case isActive && !w.active:
			added = append(added, w)
		case !isActive && w.active:
			removed = append(removed, w)
		}
		w.active = isActive
	}
	d.changedWorkers = nil
	if len(removed) > 0 {
		d.activeWorkers = slices.DeleteFunc(d.activeWorkers, func(w *worker) bool { return !w.active })
	}
	for _, w := range added {
		i, _ := slices.BinarySearchFunc(d.activeWorkers, w, compareWorkerIDs)
		d.activeWorkers = slices.Insert(d.activeWorkers, i, w)
	}
	for _, f := range d.functionsInOrder {
		d.updateRanking(f, added, removed)
	}
	d.recountSuspectedWorkers()
}

func compareWorkerIDs(a, b *worker) int { return cmp.Compare(a.ID, b.ID) }

// forgetRemovedWorkers forgets the removed workers without attempts in flight, and lets go the requests that waited for
// one. It bounds the state in a fleet whose workers are replaced all day by others under new ids.
func (d *Dispatcher) forgetRemovedWorkers() {
	var forgotten []*worker
	for _, id := range slices.Sorted(maps.Keys(d.removedWorkers)) {
		if w := d.removedWorkers[id]; len(w.attempts) == 0 {
			forgotten = append(forgotten, w)
		}
	}
	d.forgetWorkers(forgotten)
}
