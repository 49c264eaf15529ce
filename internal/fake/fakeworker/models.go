package fakeworker

import (
	"slices"
	"time"
)

// Model is a model as the worker's settings, or else the first call of it, describe it.
type Model struct {
	Name                   string
	Class                  string
	MemoryMB               float64 // of each copy
	ConcurrencyPerInstance int     // calls that one copy runs at a time
	LoadTime               time.Duration
}

// modelCopy is one copy of a model, loaded or loading.
type modelCopy struct {
	loaded    bool
	running   int
	idleSince time.Time
	outdated  bool // by a release: takes no new calls, and is unloaded once it is idle
}

// modelState is what a worker has of a model.
type modelState struct {
	Model
	copies       []*modelCopy
	pending      []*job // wait for a copy
	loadCommands []*loadCommand
	imageCached  bool // on the worker's disk: a load needs no fetch from the store
}

// loadedCopies counts the copies that may take calls.
func (m *modelState) loadedCopies() (n int) {
	for _, c := range m.copies {
		if c.loaded && !c.outdated {
			n++
		}
	}
	return n
}

// freeCopy returns the least busy copy that can take a call, or nil, and whether a copy is loading.
func (m *modelState) freeCopy() (free *modelCopy, loading bool) {
	for _, c := range m.copies {
		if c.loaded && !c.outdated && c.running < max(m.ConcurrencyPerInstance, 1) &&
			(free == nil || c.running < free.running) {
			free = c
		}
		loading = loading || !c.loaded
	}
	return free, loading
}

func (m *modelState) unload(c *modelCopy) {
	if i := slices.Index(m.copies, c); i >= 0 {
		m.copies = slices.Delete(m.copies, i, i+1)
	}
}

// modelState finds or makes the state of a model. The worker's settings take precedence over m. w.mu is held.
func (w *Worker) modelState(m Model) *modelState {
	state := w.models[m.Name]
	if state == nil {
		if known, ok := w.config.Models[m.Name]; ok {
			m = known
		}
		state = &modelState{Model: m}
		w.models[m.Name] = state
	}
	return state
}

// freeMemory unloads idle copies, the one that is idle longest first, until need fits. It returns false if it doesn't.
// w.mu is held.
func (w *Worker) freeMemory(need float64) bool {
	for {
		used := 0.0
		var oldest *modelCopy
		var oldestModel *modelState
		for _, m := range w.models {
			used += float64(len(m.copies)) * m.MemoryMB
			for _, c := range m.copies {
				if c.loaded && c.running == 0 && (oldest == nil || c.idleSince.Before(oldest.idleSince)) {
					oldest, oldestModel = c, m
				}
			}
		}
		if used+need <= w.config.MemoryMB {
			return true
		}
		if oldest == nil {
			return false
		}
		oldestModel.unload(oldest)
	}
}

// unloadWhenIdle unloads a copy once it has been idle for the idle residency. w.mu is held.
func (w *Worker) unloadWhenIdle(m *modelState, c *modelCopy) {
	w.after(w.config.IdleResidency, func() {
		if c.running > 0 || time.Since(c.idleSince) < w.config.IdleResidency-time.Millisecond {
			w.unloadWhenIdle(m, c)
			return
		}
		m.unload(c)
	})
}

// Invalidate makes copies and cached images of some models outdated, as a release does. Busy copies complete their
// calls first; copies that are loading are taken for new.
func (w *Worker) Invalidate(released func(model string) bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for name, m := range w.models {
		if !released(name) {
			continue
		}
		m.imageCached = false
		remaining := m.copies[:0]
		for _, c := range m.copies {
			if c.running > 0 || !c.loaded {
				c.outdated = c.loaded
				remaining = append(remaining, c)
			}
		}
		m.copies = remaining
	}
}
