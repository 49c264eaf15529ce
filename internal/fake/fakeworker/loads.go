package fakeworker

import (
	"math"
	"time"
)

const (
	// loadSigma is that of the log-normal distribution of load times around a model's own.
	loadSigma = 0.2
	// pendingLoadsPerSlot times the concurrent loads may wait for their turn.
	pendingLoadsPerSlot = 2
)

// loadCommand is a command to load copies of a model that waits for them. done is called once, under w.mu; err is set
// if a load failed, and ok false without one if there is no room.
type loadCommand struct {
	copies int
	done   func(ok bool, copies int, err error)
}

// ensureCopies loads copies of a model until there are as many as wanted, and keeps those that there are from being
// unloaded soon. With copies 0 it only reports how many there are. w.mu is held.
func (w *Worker) ensureCopies(m Model, copies int, done func(ok bool, copies int, err error)) {
	state := w.modelState(m)
	loaded := state.loadedCopies()
	if copies == 0 || loaded >= copies {
		for _, c := range state.copies {
			if c.running == 0 {
				c.idleSince = time.Now()
			}
		}
		done(true, loaded, nil)
		return
	}
	for len(state.copies) < copies {
		if !w.startLoad(state) {
			done(false, loaded, nil)
			return
		}
	}
	state.loadCommands = append(state.loadCommands, &loadCommand{copies: copies, done: done})
}

// startLoad starts to load another copy, now or when its turn comes. It returns false if there is no room. w.mu is
// held.
func (w *Worker) startLoad(m *modelState) bool {
	if len(w.pendingLoads) >= pendingLoadsPerSlot*w.config.ConcurrentLoads || !w.freeMemory(m.MemoryMB) {
		return false
	}
	c := &modelCopy{}
	m.copies = append(m.copies, c)
	if w.loading >= w.config.ConcurrentLoads {
		w.pendingLoads = append(w.pendingLoads, func() { w.runLoad(m, c) })
		return true
	}
	w.runLoad(m, c)
	return true
}

// runLoad fetches the model, unless its image is cached, and starts the copy. The fetch takes seven tenths of the load
// time. w.mu is held.
func (w *Worker) runLoad(m *modelState, c *modelCopy) {
	w.loading++
	loadTime := m.LoadTime
	if loadTime == 0 {
		loadTime = w.config.DefaultLoadTime
	}
	loadTime = time.Duration(float64(loadTime) * math.Exp(loadSigma*w.rng.NormFloat64()))
	fetchTime, startTime := loadTime*7/10, loadTime*3/10
	incarnation := w.incarnation
	fails := w.faults.FailLoads
	if m.imageCached || w.config.Store == nil {
		w.after(startTime, func() { w.endLoad(m, c, fails) })
		return
	}
	w.config.Store.Fetch(fetchTime, func(err error) {
		w.mu.Lock()
		defer w.mu.Unlock()
		if w.incarnation != incarnation || w.down {
			return
		}
		if err != nil {
			w.endLoad(m, c, true)
			return
		}
		w.after(startTime, func() { w.endLoad(m, c, fails) })
	})
}

// endLoad starts the next pending load, and puts the copy into service unless its load failed. w.mu is held.
func (w *Worker) endLoad(m *modelState, c *modelCopy, failed bool) {
	w.loading--
	if len(w.pendingLoads) > 0 {
		next := w.pendingLoads[0]
		w.pendingLoads = w.pendingLoads[1:]
		next()
	}
	if failed {
		m.unload(c)
		w.failPending(m)
		return
	}
	c.loaded, c.idleSince, m.imageCached = true, time.Now(), true
	w.unloadWhenIdle(m, c)
	w.assignCopies(m)
	m.completeLoadCommands()
}

// failPending fails what waits for a load, if no copy is left. w.mu is held.
func (w *Worker) failPending(m *modelState) {
	if len(m.copies) > 0 {
		return
	}
	pending := m.pending
	m.pending = nil
	for _, j := range pending {
		j.cacheStatus = cacheLoadFailed
		w.finish(j, loadFailed)
	}
	commands := m.loadCommands
	m.loadCommands = nil
	for _, command := range commands {
		command.done(false, 0, ErrStoreFull)
	}
}

// completeLoadCommands answers the load commands whose copies are loaded.
func (m *modelState) completeLoadCommands() {
	loaded := m.loadedCopies()
	waiting := m.loadCommands[:0]
	for _, command := range m.loadCommands {
		if loaded >= command.copies {
			command.done(true, loaded, nil)
		} else {
			waiting = append(waiting, command)
		}
	}
	m.loadCommands = waiting
}
