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

// Update is the endpoint list, or what has changed in it. No worker is in it twice, and their order is of no importance.
type Update struct {
	Snapshot bool // the list is complete: a worker that is absent has been removed
	Workers  []Worker
}

// Settings are the settings of a Merger.
type Settings struct {
	// CheckInterval is the time from a worker's report that it drains to the first health check of it, and from
	// the end of one health check to the next.
	CheckInterval time.Duration
}

// maxWorkers bounds the list: further workers are ignored, so that a faulty source can't exhaust the memory.
const maxWorkers = 1 << 16

// Merger holds one router's view of the endpoints. It isn't safe for concurrent use. What it does for an update costs in
// proportion to the workers in the update.
type Merger struct {
	settings Settings
	list     map[string]Worker // the list as it was last updated, by ID
	draining map[string]*reportedDrain
	changed  map[string]listing // what Step last returned of the workers that may have changed since, by ID
	returned bool               // Step has returned the list
	updated  bool               // there has been an update
	nextAt   time.Duration      // when the next health check is due, if checkDue
	checkDue bool               // a health check is to be made at nextAt
}

// listing is a worker as Step returns it, if it is listed.
type listing struct {
	worker Worker
	listed bool
}

// reportedDrain is the state of a worker that has reported that it drains.
type reportedDrain struct {
	startedAt     time.Duration // the worker's start time in the list when it reported
	leftActive    bool          // the list has shown the worker as not active since
	nextCheckAt   time.Duration
	checkInFlight bool
}

// New returns a Merger that knows no worker.
func New(settings Settings) *Merger {
	return &Merger{settings: settings, list: map[string]Worker{}, draining: map[string]*reportedDrain{},
		changed: map[string]listing{}}
}

// Update takes an update of the endpoint list. The Merger keeps no part of the slice.
func (m *Merger) Update(update Update) {
	m.updated = true
	if update.Snapshot {
		m.removeUnlisted(update.Workers)
	}
	for _, worker := range update.Workers {
		if worker.State == dispatch.EndpointRemoved {
			m.remove(worker.ID)
		} else {
			m.set(worker)
		}
	}
	m.findNextCheck()
}

// removeUnlisted removes the workers that a snapshot leaves out.
func (m *Merger) removeUnlisted(snapshot []Worker) {
	listed := make(map[string]bool, len(snapshot))
	for _, worker := range snapshot {
		listed[worker.ID] = true
	}
	for id := range m.list {
		if !listed[id] {
			m.remove(id)
		}
	}
}

// remove removes a worker from the list. A drain that it has reported ends: the list has caught up.
func (m *Merger) remove(id string) {
	m.noteChange(id)
	delete(m.list, id)
	delete(m.draining, id)
}

// set adds a worker to the list or replaces it.
func (m *Merger) set(worker Worker) {
	if _, listed := m.list[worker.ID]; !listed && len(m.list) >= maxWorkers {
		return
	}
	m.noteChange(worker.ID)
	m.list[worker.ID] = worker
	drain := m.draining[worker.ID]
	switch {
	case drain == nil:
	case worker.State != dispatch.EndpointActive: // the list has caught up and shows the drain
		drain.leftActive = true
	case drain.leftActive || worker.StartedAt > drain.startedAt:
		delete(m.draining, worker.ID)
	}
}

// noteChange notes what Step last returned of a worker that is about to change.
func (m *Merger) noteChange(id string) {
	if _, noted := m.changed[id]; !noted {
		m.changed[id] = m.merged(id)
	}
}

// merged returns a worker as the list has it, draining if it has reported that.
func (m *Merger) merged(id string) listing {
	worker, listed := m.list[id]
	if m.draining[id] != nil && worker.State == dispatch.EndpointActive {
		worker.State = dispatch.EndpointDraining
	}
	return listing{worker: worker, listed: listed}
}

// WorkerDraining records a worker's own report that it drains. A worker that is not in the list is ignored.
func (m *Merger) WorkerDraining(now time.Duration, id string) {
	worker, listed := m.list[id]
	if !listed {
		return
	}
	m.noteChange(id)
	drain := m.draining[id]
	if drain == nil {
		drain = &reportedDrain{startedAt: worker.StartedAt, leftActive: worker.State != dispatch.EndpointActive}
		m.draining[id] = drain
	}
	drain.nextCheckAt = now + m.settings.CheckInterval
	m.findNextCheck()
}

// HealthChecked records the result of a health check that Step requested. ready is false also where the worker
// did not answer.
func (m *Merger) HealthChecked(now time.Duration, id string, ready bool) {
	drain := m.draining[id]
	if drain == nil || !drain.checkInFlight {
		return
	}
	drain.checkInFlight = false
	drain.nextCheckAt = now + m.settings.CheckInterval
	if ready {
		m.noteChange(id)
		delete(m.draining, id)
	}
	m.findNextCheck()
}

// findNextCheck finds when the next health check is due.
func (m *Merger) findNextCheck() {
	m.checkDue = false
	for _, drain := range m.draining {
		if drain.needsCheck() && (!m.checkDue || drain.nextCheckAt < m.nextAt) {
			m.nextAt, m.checkDue = drain.nextCheckAt, true
		}
	}
}

// NextCheck returns when the next health check is due, which is when Step has something to do without a further
// event. ok is false if none is.
func (m *Merger) NextCheck() (at time.Duration, ok bool) { return m.nextAt, m.checkDue }

// needsCheck reports whether a health check of the worker is to be made when nextCheckAt has come. Once the list
// itself shows the drain, only the list ends it.
func (d *reportedDrain) needsCheck() bool { return !d.checkInFlight && !d.leftActive }

// Actions is what the caller of Step is to do.
type Actions struct {
	// Update is the merged list at the first time, and later what has changed in it, sorted by ID; nil: unchanged. A
	// removed worker is as it was last, but for its state.
	Update *Update
	Check  []string // the IDs of workers to health-check; each check ends by one HealthChecked
}

// Step returns what follows from the events so far and from the time.
func (m *Merger) Step(now time.Duration) Actions {
	return Actions{Update: m.takeUpdate(), Check: m.dueChecks(now)}
}

// takeUpdate returns what has changed since it was last called, nil for nothing.
func (m *Merger) takeUpdate() *Update {
	first := m.updated && !m.returned
	if len(m.changed) == 0 && !first {
		return nil
	}
	update := &Update{Snapshot: first, Workers: []Worker{}}
	for _, id := range slices.Sorted(maps.Keys(m.changed)) {
		before, now := m.changed[id], m.merged(id)
		switch {
		case now.listed && now != before:
			update.Workers = append(update.Workers, now.worker)
		case !now.listed && before.listed:
			removed := before.worker
			removed.State = dispatch.EndpointRemoved
			update.Workers = append(update.Workers, removed)
		}
	}
	m.changed = map[string]listing{}
	m.returned = m.returned || first
	if len(update.Workers) == 0 && !first {
		return nil
	}
	return update
}

// dueChecks returns the workers whose health check is due, which are then in flight.
func (m *Merger) dueChecks(now time.Duration) (due []string) {
	if !m.checkDue || now < m.nextAt {
		return nil
	}
	for _, id := range slices.Sorted(maps.Keys(m.draining)) {
		if drain := m.draining[id]; drain.needsCheck() && now >= drain.nextCheckAt {
			drain.checkInFlight = true
			due = append(due, id)
		}
	}
	m.findNextCheck()
	return due
}
