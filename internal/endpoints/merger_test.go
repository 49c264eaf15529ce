package endpoints

import (
	"testing"
	"time"

	"github.com/topazfront/topazfront/dispatch"
)

const checkInterval = 5 * time.Second

// listWith returns an unsorted list of worker b with the given state and start time, and an active worker a.
func listWith(state dispatch.EndpointState, startedAt time.Duration) []Worker {
	return []Worker{
		{Endpoint: dispatch.Endpoint{ID: "b", State: state, StartedAt: startedAt}},
		{Endpoint: dispatch.Endpoint{ID: "a"}},
	}
}

// trackedMerger is a Merger with the list that results from the updates that it has returned.
type trackedMerger struct {
	*Merger
	list map[string]Worker
}

func newTrackedMerger() *trackedMerger {
	return &trackedMerger{Merger: New(Settings{CheckInterval: checkInterval}), list: map[string]Worker{}}
}

// setList replaces the endpoint list by a snapshot.
func (m *trackedMerger) setList(list []Worker) { m.Update(Update{Snapshot: true, Workers: list}) }

// Step calls Merger.Step and applies the returned update to m.list.
func (m *trackedMerger) Step(now time.Duration) Actions {
	actions := m.Merger.Step(now)
	if actions.Update == nil {
		return actions
	}
	if actions.Update.Snapshot {
		clear(m.list)
	}
	for _, worker := range actions.Update.Workers {
		if worker.State == dispatch.EndpointRemoved {
			delete(m.list, worker.ID)
		} else {
			m.list[worker.ID] = worker
		}
	}
	return actions
}

// stepState calls Step and returns the state of worker b. ok is false if b is not in the list.
func stepState(t *testing.T, m *trackedMerger, now time.Duration) (state dispatch.EndpointState, ok bool) {
	t.Helper()
	m.Step(now)
	worker, ok := m.list["b"]
	return worker.State, ok
}

func TestReportedDrainOutlastsStaleList(t *testing.T) {
	m := newTrackedMerger()
	m.setList(listWith(dispatch.EndpointActive, 0))
	if state, ok := stepState(t, m, 0); !ok || state != dispatch.EndpointActive {
		t.Fatalf("after the first list: state %v, listed %t; want active", state, ok)
	}
	m.WorkerDraining(1, "b")
	if state, ok := stepState(t, m, 1); !ok || state != dispatch.EndpointDraining {
		t.Fatalf("after the worker's report: state %v, listed %t; want draining", state, ok)
	}
	m.setList(listWith(dispatch.EndpointActive, 0)) // stale: as it was before the drain
	if state, _ := stepState(t, m, 2); state != dispatch.EndpointDraining {
		t.Fatalf("after a stale list: state %v, want draining", state)
	}
	m.WorkerDraining(3, "unlisted")
	if actions := m.Step(3); actions.Update != nil || actions.Check != nil {
		t.Fatalf("after the report of an unlisted worker: %+v, want nothing", actions)
	}
}

func TestReportedDrainEnds(t *testing.T) {
	for name, endDrain := range map[string]func(t *testing.T, m *trackedMerger){
		"later start time": func(_ *testing.T, m *trackedMerger) { m.setList(listWith(dispatch.EndpointActive, 8)) },
		"draining, then active again": func(_ *testing.T, m *trackedMerger) {
			m.setList(listWith(dispatch.EndpointDraining, 0))
			m.setList(listWith(dispatch.EndpointActive, 0))
		},
		"removed, then active again": func(_ *testing.T, m *trackedMerger) {
			m.setList(nil)
			m.setList(listWith(dispatch.EndpointActive, 0))
		},
		"health check finds it ready": func(t *testing.T, m *trackedMerger) {
			if actions := m.Step(7 * time.Second); len(actions.Check) != 1 || actions.Check[0] != "b" {
				t.Fatalf("health checks of %v, want b", actions.Check)
			}
			m.HealthChecked(8*time.Second, "b", true)
		},
	} {
		t.Run(name, func(t *testing.T) {
			m := newTrackedMerger()
			m.setList(listWith(dispatch.EndpointActive, 0))
			m.WorkerDraining(1, "b")
			m.Step(1)
			endDrain(t, m)
			if state, ok := stepState(t, m, 9*time.Second); !ok || state != dispatch.EndpointActive {
				t.Errorf("state %v, listed %t; want active", state, ok)
			}
			if at, ok := m.NextCheck(); ok {
				t.Errorf("a health check is still due at %v", at)
			}
		})
	}
}

func TestHealthCheckRepeatsWhileDraining(t *testing.T) {
	m := newTrackedMerger()
	m.setList(listWith(dispatch.EndpointActive, 0))
	m.WorkerDraining(0, "b")
	if at, ok := m.NextCheck(); !ok || at != 5*time.Second {
		t.Fatalf("first check due at %v (%t), want 5s", at, ok)
	}
	if actions := m.Step(4 * time.Second); actions.Check != nil {
		t.Errorf("checked %v before the interval had passed", actions.Check)
	}
	if actions := m.Step(5 * time.Second); len(actions.Check) != 1 {
		t.Errorf("checked %v, want one worker", actions.Check)
	}
	if at, ok := m.NextCheck(); ok {
		t.Errorf("another check due at %v while one is in flight", at)
	}
	m.HealthChecked(6*time.Second, "b", false)
	if at, _ := m.NextCheck(); at != 11*time.Second {
		t.Errorf("next check due at %v, want 11s", at)
	}
	m.setList(listWith(dispatch.EndpointDraining, 0))
	if at, ok := m.NextCheck(); ok {
		t.Errorf("a check is due at %v although the list itself shows the drain", at)
	}
}
