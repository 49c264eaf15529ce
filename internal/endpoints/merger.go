// Package endpoints merges the endpoint list with what workers report of themselves. It does no I/O and reads
// no clock: the caller passes in events with the time, and Step returns what to do.
//
// The endpoint list may lag behind. A worker that has reported that it drains (by GOAWAY, or by a rejection
// that says so) stays draining for this router although the list still has it active, until one of these shows
// that the drain is over: the list has a later start time for the worker, or shows it as not active and then
// as active again, or a health check of the worker itself finds it ready. The health check is not made before
// Settings.CheckInterval has passed; it is there for workers that close connections for other reasons than a
// drain, such as the connection's age.
package endpoints

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/topazfront/topazfront/dispatch"
)

// Worker is one worker of the endpoint list, with the address to connect to.
type Worker struct {
	dispatch.Endpoint
	Address string
}

// Settings are the settings of a Merger.
type Settings struct {
	// CheckInterval is the time from a worker's report that it drains to the first health check of it, and from
	// the end of one health check to the next.
	CheckInterval time.Duration
}

// Merger holds one router's view of the endpoints. It isn't safe for concurrent use.
type Merger struct {
	settings Settings
	list     []Worker // the last list, sorted by ID
	draining map[string]*reportedDrain
	changed  bool // the merged list is not the one that Step returned last
}

// reportedDrain is the state of a worker that has reported that it drains.
type reportedDrain struct {
	startedAt     time.Duration // the worker's start time in the list when it reported
	leftActive    bool          // the list has shown the worker as not active, or not at all, since
	nextCheckAt   time.Duration
	checkInFlight bool
}

// New returns a Merger that knows no worker.
func New(settings Settings) *Merger {
	return &Merger{settings: settings, draining: map[string]*reportedDrain{}}
}

// SetList replaces the endpoint list by a complete new one, in any order. The Merger copies it.
func (m *Merger) SetList(list []Worker) {
	m.list = slices.Clone(list)
	slices.SortFunc(m.list, func(a, b Worker) int { return cmp.Compare(a.ID, b.ID) })
	m.changed = true
	active := map[string]Worker{}
	for _, worker := range m.list {
		if worker.State == dispatch.EndpointActive {
			active[worker.ID] = worker
		}
	}
	for id, drain := range m.draining {
		worker, isActive := active[id]
		switch {
		case !isActive: // the list has caught up: it shows the drain, or the worker has been removed
			drain.leftActive = true
		case drain.leftActive || worker.StartedAt > drain.startedAt:
			delete(m.draining, id)
		}
	}
}

// WorkerDraining records a worker's own report that it drains. A worker that is not in the list is ignored.
func (m *Merger) WorkerDraining(now time.Duration, id string) {
	nextCheckAt := now + m.settings.CheckInterval
	if drain := m.draining[id]; drain != nil {
		drain.nextCheckAt = nextCheckAt
		return
	}
	for _, worker := range m.list {
		if worker.ID == id {
			m.draining[id] = &reportedDrain{
				startedAt:   worker.StartedAt,
				leftActive:  worker.State != dispatch.EndpointActive,
				nextCheckAt: nextCheckAt,
			}
			m.changed = true
		}
	}
}

// HealthChecked records the result of a health check that Step requested. ready is false also where the worker
// did not answer.
func (m *Merger) HealthChecked(now time.Duration, id string, ready bool) {
	drain := m.draining[id]
	if drain == nil || !drain.checkInFlight {
		return
	}
	drain.checkInFlight = false
	if ready {
		delete(m.draining, id)
		m.changed = true
		return
	}
	drain.nextCheckAt = now + m.settings.CheckInterval
}

// NextCheck returns when the next health check is due, which is when Step has something to do without a further
// event. ok is false if none is.
func (m *Merger) NextCheck() (at time.Duration, ok bool) {
	for _, drain := range m.draining {
		if drain.needsCheck() && (!ok || drain.nextCheckAt < at) {
			at, ok = drain.nextCheckAt, true
		}
	}
	return at, ok
}

// needsCheck reports whether a health check of the worker is to be made when nextCheckAt has come. Once the list
// itself shows the drain, only the list ends it.
func (d *reportedDrain) needsCheck() bool { return !d.checkInFlight && !d.leftActive }

// Actions is what the caller of Step is to do.
type Actions struct {
	List  []Worker // the complete merged list, sorted by ID; nil: unchanged
	Check []string // the IDs of workers to health-check; each check ends by one HealthChecked
}

// Step returns what follows from the events so far and from the time.
func (m *Merger) Step(now time.Duration) Actions {
	var actions Actions
	if m.changed {
		m.changed = false
		actions.List = m.mergedList()
	}
	for _, id := range slices.Sorted(maps.Keys(m.draining)) {
		if drain := m.draining[id]; drain.needsCheck() && now >= drain.nextCheckAt {
			drain.checkInFlight = true
			actions.Check = append(actions.Check, id)
		}
	}
	return actions
}

// mergedList returns a copy of the list, never nil, in which the workers that have reported a drain are draining.
func (m *Merger) mergedList() []Worker {
	merged := slices.Clone(m.list)
	if merged == nil {
		merged = []Worker{}
	}
	for i := range merged {
		worker := &merged[i]
		if m.draining[worker.ID] != nil && worker.State == dispatch.EndpointActive {
			worker.State = dispatch.EndpointDraining
		}
	}
	return merged
}
