package agent_test

import (
	"fmt"
	"reflect"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/topazfront/topazfront/dispatch"
	"github.com/topazfront/topazfront/internal/gossip"
)

func module(t *rapid.T) *dispatch.Dispatcher {
	d, err := dispatch.New(dispatch.Settings{Routers: 4, MaxAttempts: 3, CancelAllowed: true, HealthChecksAllowed: true, LoadCommandsAllowed: true,
		IdleResidency: 10 * time.Second, SlowStartShare: 0.2, SlowStartDuration: 8 * time.Second, OverloadMultiple: 3, OverloadWindow: time.Second,
		WorkerKinds: []dispatch.WorkerKind{{Name: "k", MemoryMB: 1000}},
		Classes:     []dispatch.Class{{Name: "c", LatencyObjective: time.Second, Deadline: 3 * time.Second, PriorityWeight: 1, Idempotency: dispatch.Idempotent}}}, 7)
	if err != nil {
		t.Fatal(err)
	}
	return d
}

// TestWordBelowTheQuorumChangesNoSend is a property of judge and module together: two modules are played the same
// events, one of them behind a judge to which liars below the quorum say whatever they like of all workers, also
// of drained and fresh ones. Every action is the same.
func TestWordBelowTheQuorumChangesNoSend(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		alone, told := module(t), module(t)
		judge := gossip.NewSuspicionQuorum(gossip.LocalSuspicionQuorumConfig)
		now, next := time.Hour, dispatch.RequestID(0)
		open := map[dispatch.RequestID][]dispatch.StartAttempt{}
		starts := map[string]uint64{}
		play := func(events ...dispatch.Event) {
			a := alone.Step(now, events)
			b := told.Step(now, events)
			if !reflect.DeepEqual(a, b) {
				t.Fatalf("at %v: %v became %v", now, a, b)
			}
			for _, x := range a {
				if s, ok := x.(dispatch.StartAttempt); ok {
					open[s.ID] = append(open[s.ID], s)
				}
			}
		}
		for i := range rapid.IntRange(5, 60).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 300).Draw(t, "ms")) * time.Millisecond
			w := fmt.Sprintf("w%d", rapid.IntRange(0, 3).Draw(t, "worker"))
			switch op := rapid.IntRange(0, 5).Draw(t, "op"); {
			case op == 0 || i == 0:
				m := dispatch.Endpoint{ID: w, Kind: "k", State: dispatch.EndpointState(rapid.IntRange(0, 2).Draw(t, "state"))}
				if rapid.Bool().Draw(t, "fresh") {
					m.StartedAt = now
				}
				starts[w] = uint64(m.StartedAt / time.Millisecond)
				play(dispatch.EndpointUpdate{Endpoints: []dispatch.Endpoint{m}})
				judge.Step(now, []gossip.QuorumEvent{gossip.WorkerList{Started: starts}})
			case op == 1 || op == 2:
				next++
				play(dispatch.Request{ID: next, Function: w, Class: "c", MemoryMB: 10, ConcurrencyPerInstance: 2, RemainingDeadline: 3 * time.Second})
			case op == 3:
				for id := dispatch.RequestID(1); id <= next; id++ { // the oldest that is open
					n := len(open[id]) - 1
					if n < 0 {
						continue
					}
					play(dispatch.AttemptEnded{ID: id, Attempt: n, Worker: open[id][n].Worker, Result: dispatch.OK, Final: true, FunctionInFlight: -1,
						Duration: 20 * time.Millisecond, LoadReport: dispatch.NoLoadReport})
					delete(open, id)
					break
				}
			default:
				c := gossip.Claim{Worker: w, Started: starts[w], Signer: "liar",
					Kind: gossip.StatementKind(rapid.IntRange(int(gossip.WorkerSilent), int(gossip.ClaimWithdrawn)).Draw(t, "about"))}
				for _, o := range judge.Step(now, []gossip.QuorumEvent{c, gossip.WorkerChecked{Worker: w}}) {
					if s, ok := o.(gossip.SilenceConfirmed); ok {
						told.Step(now, []dispatch.Event{dispatch.GossipUpdate{SuspectedWorkers: []string{s.Worker}}})
					}
				}
			}
			play(dispatch.TimerFired{})
		}
	})
}
