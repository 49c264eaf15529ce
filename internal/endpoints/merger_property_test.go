package endpoints

import (
	"maps"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/topazfront/topazfront/dispatch"
)

// TestUpdatesReproduceList checks with random updates, drains and steps that the updates returned by Step add up to the
// list with the reported drains applied, and that no returned update is without effect.
func TestUpdatesReproduceList(t *testing.T) {
	drawWorker := func(t *rapid.T) Worker {
		return Worker{Address: rapid.SampledFrom([]string{"x", "y"}).Draw(t, "address"), Endpoint: dispatch.Endpoint{
			ID:        rapid.SampledFrom([]string{"a", "b", "c", "d"}).Draw(t, "id"),
			State:     dispatch.EndpointState(rapid.IntRange(0, 2).Draw(t, "state")),
			StartedAt: time.Duration(rapid.IntRange(0, 2).Draw(t, "start")),
		}}
	}
	rapid.Check(t, func(t *rapid.T) {
		m, list, now := newTrackedMerger(), map[string]Worker{}, time.Duration(0)
		t.Repeat(map[string]func(*rapid.T){
			"update": func(t *rapid.T) {
				workers := rapid.SliceOfNDistinct(rapid.Custom(drawWorker), 0, 4, func(w Worker) string { return w.ID }).Draw(t, "workers")
				snapshot := rapid.Bool().Draw(t, "snapshot")
				if snapshot {
					clear(list)
				}
				for _, worker := range workers {
					if list[worker.ID] = worker; worker.State == dispatch.EndpointRemoved {
						delete(list, worker.ID)
					}
				}
				m.Update(Update{Snapshot: snapshot, Workers: workers})
			},
			"drain": func(t *rapid.T) { m.WorkerDraining(now, rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "id")) },
			"step": func(t *rapid.T) {
				now += time.Second
				before := maps.Clone(m.list)
				actions := m.Step(now)
				if actions.Update != nil && !actions.Update.Snapshot && maps.Equal(before, m.list) {
					t.Fatalf("update without effect: %+v", actions.Update)
				}
				for _, id := range actions.Check {
					m.HealthChecked(now, id, rapid.Bool().Draw(t, "ready"))
				}
				m.Step(now)
				want := maps.Clone(list)
				for id, worker := range want {
					if m.draining[id] != nil && worker.State == dispatch.EndpointActive {
						worker.State = dispatch.EndpointDraining
						want[id] = worker
					}
				}
				if !maps.Equal(m.list, want) {
					t.Fatalf("list %+v, want %+v", m.list, want)
				}
			},
		})
	})
}
