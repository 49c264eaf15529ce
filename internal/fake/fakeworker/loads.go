package fakeworker

import (
	"math"
	"time"
)

const (
	// loadTimeSigma is the standard deviation of the logarithm of load times. They follow a log-normal distribution
	// whose median is the model's LoadTime.
	loadTimeSigma = 0.2
	// maxPendingLoadRatio times Config.ConcurrentLoads is the maximum number of loads that wait to start.
	maxPendingLoadRatio = 2
)

// loadCommand is a load command that waits until the given number of copies of a model is loaded. done is called once,
// with w.mu held. A failed load is reported by ok false and an error, a lack of memory or of room for pending loads by
// ok false and no error.
type loadCommand struct {
	copies int
	done   func(ok bool, copies int, err error)
}

// ensureCopies loads copies of a model until it has the given number. If it has them already, or if the number is 0, it
// restarts the idle time of the idle copies and reports how many there are. w.mu is held.
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

// startLoad loads another copy of a model, at once or after other loads. It returns false if there is no memory for it
// or too many loads are waiting. w.mu is held.
func (w *Worker) startLoad(m *modelState) bool {
	if len(w.pendingLoads) >= maxPendingLoadRatio*w.config.ConcurrentLoads || !w.freeMemory(m.MemoryMB) {
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

// runLoad fetches the model from the store, unless its image is cached, and then starts the copy. The fetch takes 70%
// of the load time, the start 30%. w.mu is held.
func (w *Worker) runLoad(m *modelState, c *modelCopy) {
	w.loading++
	loadTime := m.LoadTime
	if loadTime == 0 {
		loadTime = w.config.DefaultLoadTime
	}
	loadTime = time.Duration(float64(loadTime) * math.Exp(loadTimeSigma*w.rng.NormFloat64()))
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

// endLoad ends the load of a copy, which from then on takes calls unless the load failed, and starts the next pending
// load. w.mu is held.
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

// failPending fails the calls and load commands that wait for a model, if it has no loaded or loading copy. w.mu is
// held.
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

// completeLoadCommands responds to the load commands whose copies are loaded. The worker's mu is held.
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
