package fakeworker

import (
	"slices"
	"time"
)

// Model describes a model. A worker takes the description from its settings, or otherwise from the first call or load
// command for the model.
type Model struct {
	Name                   string
	Class                  string        // of calls that name none
	MemoryMB               float64       // of each copy
	ConcurrencyPerInstance int           // maximum number of calls that one copy runs at a time
	LoadTime               time.Duration // 0 means Config.DefaultLoadTime
}

// modelCopy is one copy of a model, loaded or loading.
type modelCopy struct {
	loaded    bool
	running   int // calls assigned to it
	idleSince time.Time
	outdated  bool // since a new release of the model: takes no new calls, and is unloaded once it is idle
}

// modelState is the state of a model at a worker.
type modelState struct {
	Model
	copies       []*modelCopy
	pending      []*job // calls that wait for a copy
	loadCommands []*loadCommand
	imageCached  bool // on the worker's disk, so that a load needs no fetch from the store
}

// loadedCopies returns the number of copies that accept calls.
func (m *modelState) loadedCopies() (n int) {
	for _, c := range m.copies {
		if c.loaded && !c.outdated {
			n++
		}
	}
	return n
}

// freeCopy returns the least busy copy that can take another call, or nil, and reports whether a copy is loading.
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

// modelState returns the state of a model, and creates it if there is none. The description in the worker's settings
// takes precedence over m. w.mu is held.
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

// freeMemory unloads idle copies, the longest idle one first, until neededMB of memory are free. It returns false if
// the memory does not suffice. w.mu is held.
func (w *Worker) freeMemory(neededMB float64) bool {
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
		if used+neededMB <= w.config.MemoryMB {
			return true
		}
		if oldest == nil {
			return false
		}
		oldestModel.unload(oldest)
	}
}

// unloadWhenIdle unloads a copy once it has been idle for Config.IdleResidency. w.mu is held.
func (w *Worker) unloadWhenIdle(m *modelState, c *modelCopy) {
	w.after(w.config.IdleResidency, func() {
		if c.running > 0 || time.Since(c.idleSince) < w.config.IdleResidency-time.Millisecond {
			w.unloadWhenIdle(m, c)
			return
		}
		m.unload(c)
	})
}

// Invalidate simulates the release of new versions of some models: it drops their cached images and unloads their
// copies. Busy copies complete their calls first. Copies that are loading are assumed to be of the new version.
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
