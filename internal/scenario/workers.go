package scenario

import (
	"fmt"
	"time"

	"github.com/topazfront/topazfront/internal/config"
	"github.com/topazfront/topazfront/internal/fake/fakeworker"
)

// States of an endpoint in the routers' worker lists.
const (
	stateActive   = "on"
	stateDraining = "draining"
)

// fleetWorker is a worker with its entry in the endpoint list.
type fleetWorker struct {
	worker   *fakeworker.Worker
	entry    config.Worker
	capacity float64 // in cores of speed 1
	removed  bool    // from the endpoint list, because the worker is dead

	// Guarded by the harness's lock.
	faults     []*workerFault // active ones, oldest first
	drainCount int            // active faults that make the worker drain
}

// startWorker starts a worker. Its index determines its kind, cell and zone.
func (h *Harness) startWorker(index int, coldStart bool) error {
	fleet := h.scenario.Fleet
	kind := fleet.Kinds[index%len(fleet.Kinds)]
	cell := index / fleet.CellSize
	c := h.workerConfig(kind, cell, coldStart)
	for _, class := range h.scenario.Classes {
		if class.Idempotency == idempotentByKey {
			c.DeduplicatedClasses[class.Name] = true
			c.DeduplicationWindow = class.DeduplicationWindow.Duration()
		}
		c.MeanWorkByClass[class.Name] = class.meanWork()
	}
	worker, err := fakeworker.Start(c)
	if err != nil {
		return err
	}
	w := &fleetWorker{
		worker:   worker,
		capacity: float64(kind.Cores) * kind.Speed,
		entry: config.Worker{ID: c.ID, Address: worker.Addr(), Zone: zoneName(cell % fleet.Zones), Kind: kind.Name, Cell: cell,
			State: stateActive, Weight: 1},
	}
	if coldStart {
		at := worker.StartedAt()
		w.entry.StartedAt = &at
	}
	h.mu.Lock()
	h.workers = append(h.workers, w)
	h.mu.Unlock()
	return nil
}

// workerConfig returns the configuration of the next worker, with a new id and random seed and the deduplicator of its
// cell.
func (h *Harness) workerConfig(kind WorkerKind, cell int, coldStart bool) fakeworker.Config {
	fleet, limits := h.scenario.Fleet, h.scenario.Limits
	h.mu.Lock()
	defer h.mu.Unlock()
	h.workersStarted++
	if h.deduplicators[cell] == nil {
		h.deduplicators[cell] = fakeworker.NewDeduplicator()
	}
	return fakeworker.Config{
		ID:                  fmt.Sprintf("w%03d", h.workersStarted),
		Cores:               kind.Cores,
		Speed:               kind.Speed,
		MemoryMB:            kind.MemoryMB,
		QueueLength:         fleet.QueueLength,
		ConcurrentLoads:     fleet.ConcurrentLoads,
		IdleResidency:       fleet.IdleResidency.Duration(),
		LoadsOnCacheMiss:    fleet.OnCacheMiss == "load",
		AddsCopies:          fleet.AddsCopies,
		StopsCancelledWork:  fleet.StopsCancelledWork,
		SlowStartShare:      limits.SlowStartShare,
		SlowStartDuration:   limits.SlowStartDuration.Duration(),
		OverloadMultiple:    limits.OverloadMultiple,
		OverloadWindow:      limits.OverloadWindow.Duration(),
		DeduplicatedClasses: map[string]bool{},
		Store:               h.store,
		Deduplicator:        h.deduplicators[cell],
		Log:                 h.records,
		Seed:                h.scenario.Seed + uint64(h.workersStarted),
		ColdStart:           coldStart,
		MeanWorkByClass:     map[string]time.Duration{},
		ReportsLoad:         fleet.LoadReports != "none",
		Models:              h.models,
	}
}

func zoneName(i int) string { return fmt.Sprintf("hall-%c", 'a'+i) }

// randomWorkers draws a share of the running workers that are listed as active. It draws at least one if there is any.
func (h *Harness) randomWorkers(share float64) (drawn []*fleetWorker) {
	h.mu.Lock()
	defer h.mu.Unlock()
	var running []*fleetWorker
	for _, w := range h.workers {
		if !w.removed && w.entry.State == stateActive && !w.worker.Down() {
			running = append(running, w)
		}
	}
	n := max(int(share*float64(len(running))+0.5), 1)
	for _, i := range h.rng.Perm(len(running))[:min(n, len(running))] {
		drawn = append(drawn, running[i])
	}
	return drawn
}

// restartWorkers restarts those of the workers that are dead, cold and under their previous ids.
func (h *Harness) restartWorkers(workers []*fleetWorker) {
	for _, w := range workers {
		if !w.worker.Down() {
			continue
		}
		if err := w.worker.Restart(); err != nil {
			h.options.Logger.Error("worker not restarted", "worker", w.worker.ID(), "error", err)
			continue
		}
		at := w.worker.StartedAt()
		h.mu.Lock()
		w.entry.StartedAt, w.removed = &at, false
		h.mu.Unlock()
	}
	h.publishEndpoints()
}
