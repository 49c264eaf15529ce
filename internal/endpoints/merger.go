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

// Update is the endpoint list, or the workers that have changed in it. It contains each worker at most once, in any
// order.
type Update struct {
	Snapshot bool // Workers is the complete list: workers not in it have been removed
	Workers  []Worker
}

// Settings are the settings of a Merger.
type Settings struct {
	// CheckInterval is the time from a worker's report that it is draining to its first health check, and from the end
	// of one health check to the next.
	CheckInterval time.Duration
}

// maxWorkers limits the length of the list. Further workers are ignored, so that a faulty source can't exhaust the
// memory.
const maxWorkers = 1 << 16

// Merger holds one router's view of the endpoints. It isn't safe for concurrent use. The cost of an update that is not
// a snapshot is proportional to its workers and the reported drains, not to the length of the list.
type Merger struct {
	settings     Settings
	list         map[string]Worker         // the current list, by worker ID
	draining     map[string]*reportedDrain // by worker ID
	lastReturned map[string]listing        // what Step last returned of the workers that may have changed, by worker ID
	listReturned bool                      // Step has returned the complete list
	listReceived bool                      // at least one update was applied

	checkScheduled bool          // a health check is due at nextCheckAt
	nextCheckAt    time.Duration // the earliest nextCheckAt of the drains that need a check
}

// listing is a worker as Step returns it. worker is the zero value if it is not listed.
type listing struct {
	worker Worker
	listed bool
}

// reportedDrain is the state of a worker that has reported that it is draining.
type reportedDrain struct {
	startedAt      time.Duration // the worker's start time in the list at the time of the report
	listedInactive bool          // the list has shown the worker as not active since the report
	nextCheckAt    time.Duration
	checkInFlight  bool
}

// New returns a Merger with an empty list.
func New(settings Settings) *Merger {
	return &Merger{
		settings:     settings,
		list:         map[string]Worker{},
		draining:     map[string]*reportedDrain{},
		lastReturned: map[string]listing{},
	}
}

// Update applies an update of the endpoint list. The Merger does not retain update.Workers.
func (m *Merger) Update(update Update) {
	m.listReceived = true
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
	m.scheduleNextCheck()
}

// removeUnlisted removes the workers that are not in a snapshot.
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

// remove removes a worker from the list, and its reported drain, as the list is now up to date.
func (m *Merger) remove(id string) {
	m.saveReturned(id)
	delete(m.list, id)
	delete(m.draining, id)
}

// set adds a worker to the list or replaces it.
func (m *Merger) set(worker Worker) {
	if _, listed := m.list[worker.ID]; !listed && len(m.list) >= maxWorkers {
		return
	}
	m.saveReturned(worker.ID)
	m.list[worker.ID] = worker
	drain := m.draining[worker.ID]
	switch {
	case drain == nil:
	case worker.State != dispatch.EndpointActive: // the list is up to date and shows the drain
		drain.listedInactive = true
	case drain.listedInactive || worker.StartedAt > drain.startedAt:
		delete(m.draining, worker.ID)
	}
}

// saveReturned saves a worker as Step last returned it. It must be called before the worker changes.
func (m *Merger) saveReturned(id string) {
	if _, saved := m.lastReturned[id]; !saved {
		m.lastReturned[id] = m.merged(id)
	}
}

// merged returns a worker of the list, as draining if it is active in the list but has reported that it is draining.
func (m *Merger) merged(id string) listing {
	worker, listed := m.list[id]
	if m.draining[id] != nil && worker.State == dispatch.EndpointActive {
		worker.State = dispatch.EndpointDraining
	}
	return listing{worker: worker, listed: listed}
}

// WorkerDraining records a worker's report that it is draining. A worker that is not in the list is ignored.
func (m *Merger) WorkerDraining(now time.Duration, id string) {
	worker, listed := m.list[id]
	if !listed {
		return
	}
	m.saveReturned(id)
	drain := m.draining[id]
	if drain == nil {
		drain = &reportedDrain{startedAt: worker.StartedAt, listedInactive: worker.State != dispatch.EndpointActive}
		m.draining[id] = drain
	}
	drain.nextCheckAt = now + m.settings.CheckInterval
	m.scheduleNextCheck()
}

// HealthChecked records the result of a health check that Step requested. ready must also be false if the worker did
// not answer.
func (m *Merger) HealthChecked(now time.Duration, id string, ready bool) {
	drain := m.draining[id]
	if drain == nil || !drain.checkInFlight {
		return
	}
	drain.checkInFlight = false
	drain.nextCheckAt = now + m.settings.CheckInterval
	if ready {
		m.saveReturned(id)
		delete(m.draining, id)
	}
	m.scheduleNextCheck()
}

// scheduleNextCheck updates the time of the next health check.
func (m *Merger) scheduleNextCheck() {
	m.checkScheduled = false
	for _, drain := range m.draining {
		if !drain.needsCheck() {
			continue
		}
		if !m.checkScheduled || drain.nextCheckAt < m.nextCheckAt {
			m.checkScheduled = true
			m.nextCheckAt = drain.nextCheckAt
		}
	}
}

// NextCheck returns when the next health check is due. The caller must call Step at that time even if there is no
// further event. ok is false if no check is scheduled.
func (m *Merger) NextCheck() (at time.Duration, ok bool) { return m.nextCheckAt, m.checkScheduled }

// needsCheck reports whether a health check of the worker must be made at nextCheckAt. Once the list itself has shown
// the drain, only the list ends it.
func (d *reportedDrain) needsCheck() bool { return !d.checkInFlight && !d.listedInactive }

// Actions holds the actions that the caller of Step must execute.
type Actions struct {
	// Update is the complete merged list the first time, and later the workers that have changed in it, sorted by ID.
	// It is nil if nothing has changed. A removed worker is as last returned, except for its state.
	Update *Update
	Check  []string // IDs of the workers whose health to check; the result must be passed to HealthChecked once
}

// Step returns the actions that result from the events so far and the time. Each action is returned once.
func (m *Merger) Step(now time.Duration) Actions {
	return Actions{Update: m.takeUpdate(), Check: m.startDueChecks(now)}
}

// takeUpdate returns the changes since its last call, or nil if there are none.
func (m *Merger) takeUpdate() *Update {
	first := m.listReceived && !m.listReturned
	if len(m.lastReturned) == 0 && !first {
		return nil
	}
	update := &Update{Snapshot: first, Workers: []Worker{}}
	for _, id := range slices.Sorted(maps.Keys(m.lastReturned)) {
		before := m.lastReturned[id]
		now := m.merged(id)
		switch {
		case now.listed && now != before:
			update.Workers = append(update.Workers, now.worker)
		case !now.listed && before.listed:
			removed := before.worker
			removed.State = dispatch.EndpointRemoved
			update.Workers = append(update.Workers, removed)
		}
	}
	m.lastReturned = map[string]listing{}
	m.listReturned = m.listReturned || first
	if len(update.Workers) == 0 && !first {
		return nil
	}
	return update
}

// startDueChecks returns the IDs of the workers whose health check is due, and marks the checks as in flight.
func (m *Merger) startDueChecks(now time.Duration) (due []string) {
	if !m.checkScheduled || now < m.nextCheckAt {
		return nil
	}
	for _, id := range slices.Sorted(maps.Keys(m.draining)) {
		if drain := m.draining[id]; drain.needsCheck() && now >= drain.nextCheckAt {
			drain.checkInFlight = true
			due = append(due, id)
		}
	}
	m.scheduleNextCheck()
	return due
}
