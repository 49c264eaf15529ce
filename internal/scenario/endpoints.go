package scenario

import (
	"slices"
	"time"

	"github.com/topazfront/topazfront/internal/config"
	"github.com/topazfront/topazfront/internal/invariants"
)

// watchInterval is the interval at which dead workers are removed from the endpoint list and the progress is reported.
const watchInterval = 250 * time.Millisecond

// endpointList returns the current endpoint list.
func (h *Harness) endpointList() (list config.WorkerList) {
	h.mu.Lock()
	defer h.mu.Unlock()
	list.Workers = []config.Worker{}
	for _, w := range h.workers {
		if !w.removed {
			list.Workers = append(list.Workers, w.entry)
		}
	}
	return list
}

// publishEndpoints delivers the current endpoint list to every router, to each after a random delay.
func (h *Harness) publishEndpoints() {
	list := h.endpointList()
	h.mu.Lock()
	h.listVersion++
	version, delay := h.listVersion, h.scenario.EndpointList.NotificationDelay.Duration()+h.extraListDelay.value()
	h.mu.Unlock()
	for _, slot := range h.routers {
		h.mu.Lock()
		jittered := time.Duration(float64(delay) * (0.8 + 0.4*h.rng.Float64()))
		h.mu.Unlock()
		h.afterFunc(jittered, func() { h.deliverEndpoints(slot, version, list) })
	}
}

// deliverEndpoints writes a router's endpoint list and records its changes. It ignores versions older than the last one
// delivered.
func (h *Harness) deliverEndpoints(slot *routerSlot, version int, list config.WorkerList) {
	slot.mu.Lock()
	defer slot.mu.Unlock()
	if version < slot.listVersion {
		return
	}
	slot.listVersion = version
	active := map[string]bool{}
	for _, w := range list.Workers {
		active[w.ID] = w.State == stateActive
	}
	for id, wasActive := range slot.notified {
		if active[id] != wasActive {
			h.records.Add(invariants.Record{Kind: invariants.EndpointNotified, Router: slot.name, Worker: id,
				Unavailable: !active[id]})
		}
		if _, listed := active[id]; !listed {
			active[id] = false
		}
	}
	slot.notified = active
	if err := config.WriteWorkers(slot.endpointsFile, list); err != nil {
		h.options.Logger.Error("endpoint list not written", "router", slot.name, "error", err)
	}
}

// watchWorkers periodically removes dead workers from the endpoint list and reports the progress, until stop is closed.
func (h *Harness) watchWorkers(stop <-chan struct{}, startedAt time.Time) {
	ticker := time.NewTicker(watchInterval)
	defer ticker.Stop()
	for {
		select {
		case <-stop:
			return
		case <-ticker.C:
		}
		removed, stopped, progress := h.removeDeadWorkers(startedAt)
		if removed && !stopped {
			h.publishEndpoints()
		}
		if h.options.Progress != nil {
			h.statistics.addTo(&progress)
			h.options.Progress(progress)
		}
	}
}

// removeDeadWorkers removes dead workers from the endpoint list. It returns whether it removed any, whether the
// scenario has ended, and the progress without the counts of requests.
func (h *Harness) removeDeadWorkers(startedAt time.Time) (removed, stopped bool, progress Progress) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, w := range h.workers {
		if w.worker.Down() && !w.removed {
			w.removed, removed = true, true
		}
	}
	progress = Progress{Elapsed: time.Since(startedAt), Length: h.scenario.Length.Duration()}
	for kind, n := range h.activeFaults {
		if n > 0 {
			progress.ActiveFaults = append(progress.ActiveFaults, kind)
		}
	}
	slices.Sort(progress.ActiveFaults)
	return removed, h.stopped, progress
}
