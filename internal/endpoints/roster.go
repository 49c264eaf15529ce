// Package endpoints is the core that joins what the list of workers says with what workers say of themselves.
// It holds no I/O and reads no clock: the caller hands it events with the time, and Step returns what to do.
//
// A list comes late. A worker that has said it drains (GOAWAY, or a refusal that says so) stays draining
// for this router though the list still has it on, until one of these shows that it is over: the list shows
// a fresh start, or shows it as leaving and then on again, or the worker itself says that it is ready, asked
// not before a while. The last is for workers that end connections for other reasons, such as their age.
package endpoints

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/topazfront/topazfront/dispatch"
)

// Worker is one line of the list.
type Worker struct {
	dispatch.Endpoint
	Address string
}

// Settings are the core's.
type Settings struct {
	CheckInterval time.Duration // a worker that said it drains is asked no sooner than this, and so often
}

// Core is the state for one router.
type Merger struct {
	set      Settings
	list     []Worker
	draining map[string]*drain
	changed  bool
}

// drain is what is known of a worker that said it drains.
type drain struct {
	started time.Duration // the start time that the list had for it
	left    bool          // the list has shown it leaving since
	ask     time.Duration // when to ask it
	asking  bool
}

// New returns a Core that knows no worker.
func New(s Settings) *Merger { return &Merger{set: s, draining: map[string]*drain{}} }

// List takes a whole list.
func (c *Merger) SetList(now time.Duration, list []Worker) {
	c.list = slices.Clone(list)
	slices.SortFunc(c.list, func(a, b Worker) int { return cmp.Compare(a.ID, b.ID) })
	c.changed = true
	on := map[string]Worker{}
	for _, w := range c.list {
		if w.State == dispatch.EndpointActive {
			on[w.ID] = w
		}
	}
	for id, d := range c.draining {
		w, is := on[id]
		switch {
		case !is: // the list says itself that it leaves, or that it is gone
			d.left = true
		case d.left || w.StartedAt > d.started:
			delete(c.draining, id)
		}
	}
}

// Drains takes a worker's own word that it takes nothing new.
func (c *Merger) WorkerDraining(now time.Duration, id string) {
	if d := c.draining[id]; d != nil {
		d.ask = now + c.set.CheckInterval
		return
	}
	for _, w := range c.list {
		if w.ID == id {
			c.draining[id] = &drain{started: w.StartedAt, left: w.State != dispatch.EndpointActive, ask: now + c.set.CheckInterval}
			c.changed = true
		}
	}
}

// Asked takes a worker's answer: ready is false too where there was none.
func (c *Merger) HealthChecked(now time.Duration, id string, ready bool) {
	d := c.draining[id]
	if d == nil || !d.asking {
		return
	}
	d.asking = false
	if ready {
		delete(c.draining, id)
		c.changed = true
		return
	}
	d.ask = now + c.set.CheckInterval
}

// Due tells when Step has something to do without a further event.
func (c *Merger) NextCheck() (at time.Duration, ok bool) {
	for _, d := range c.draining {
		if !d.asking && !d.left && (!ok || d.ask < at) {
			at, ok = d.ask, true
		}
	}
	return at, ok
}

// Actions is what Step decides.
type Actions struct {
	List  []Worker // the whole list as it now holds; nil: unchanged
	Check []string // workers to be asked whether they are ready
}

// Step tells what follows from the events so far.
func (c *Merger) Step(now time.Duration) Actions {
	var a Actions
	if c.changed {
		c.changed = false
		a.List = slices.Clone(c.list)
		if a.List == nil {
			a.List = []Worker{}
		}
		for i := range a.List {
			if w := &a.List[i]; c.draining[w.ID] != nil && w.State == dispatch.EndpointActive {
				w.State = dispatch.EndpointDraining
			}
		}
	}
	for _, id := range slices.Sorted(maps.Keys(c.draining)) {
		if d := c.draining[id]; !d.asking && !d.left && now >= d.ask {
			d.asking = true
			a.Check = append(a.Check, id)
		}
	}
	return a
}
