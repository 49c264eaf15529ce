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

func newDispatcher(t *rapid.T) *dispatch.Dispatcher {
	d, err := dispatch.New(dispatch.Settings{Routers: 4, MaxAttempts: 3, CancelAllowed: true, HealthChecksAllowed: true, LoadCommandsAllowed: true,
		IdleResidency: 10 * time.Second, SlowStartShare: 0.2, SlowStartDuration: 8 * time.Second, OverloadMultiple: 3, OverloadWindow: time.Second,
		WorkerKinds: []dispatch.WorkerKind{{Name: "k", MemoryMB: 1000}},
		Classes:     []dispatch.Class{{Name: "c", LatencyObjective: time.Second, Deadline: 3 * time.Second, PriorityWeight: 1, Idempotency: dispatch.Idempotent}}}, 7)
	if err != nil {
		t.Fatal(err)
	}
	return d
}

// dispatcherPair passes the same events to two dispatchers and compares their actions. One of the dispatchers also
// receives what a suspicion quorum confirms.
type dispatcherPair struct {
	t                         *rapid.T
	withoutGossip, withGossip *dispatch.Dispatcher
	quorum                    *gossip.SuspicionQuorum
	now                       time.Duration
	lastRequest               dispatch.RequestID
	attempts                  map[dispatch.RequestID][]dispatch.StartAttempt // attempts of open requests
	started                   map[string]uint64                              // start times of workers
}

func (p *dispatcherPair) applyToBoth(event dispatch.Event) {
	events := []dispatch.Event{event}
	withoutGossip := p.withoutGossip.Step(p.now, events)
	withGossip := p.withGossip.Step(p.now, events)
	if !reflect.DeepEqual(withoutGossip, withGossip) {
		p.t.Fatalf("at %v: actions without gossip %v, with gossip %v", p.now, withoutGossip, withGossip)
	}
	for _, action := range withoutGossip {
		if a, ok := action.(dispatch.StartAttempt); ok {
			p.attempts[a.ID] = append(p.attempts[a.ID], a)
		}
	}
}

func (p *dispatcherPair) updateEndpoint(worker string) {
	e := dispatch.Endpoint{ID: worker, Kind: "k", State: dispatch.EndpointState(rapid.IntRange(0, 2).Draw(p.t, "state"))}
	if rapid.Bool().Draw(p.t, "fresh") {
		e.StartedAt = p.now
	}
	p.started[worker] = uint64(e.StartedAt / time.Millisecond)
	p.applyToBoth(dispatch.EndpointUpdate{Endpoints: []dispatch.Endpoint{e}})
	p.quorum.Step(p.now, []gossip.QuorumEvent{gossip.WorkerList{Started: p.started}})
}

// endOldestRequest ends the latest attempt of the oldest open request.
func (p *dispatcherPair) endOldestRequest() {
	for id := dispatch.RequestID(1); id <= p.lastRequest; id++ {
		last := len(p.attempts[id]) - 1
		if last < 0 {
			continue
		}
		p.applyToBoth(dispatch.AttemptEnded{ID: id, Attempt: last, Worker: p.attempts[id][last].Worker,
			Result: dispatch.OK, Final: true, FunctionInFlight: -1, Duration: 20 * time.Millisecond, LoadReport: dispatch.NoLoadReport})
		delete(p.attempts, id)
		return
	}
}

// claim passes a random claim of a liar about a worker to the quorum, and what the quorum confirms to the dispatcher
// with gossip.
func (p *dispatcherPair) claim(worker string) {
	claim := gossip.Claim{Worker: worker, Started: p.started[worker], Signer: "liar",
		Kind: gossip.StatementKind(rapid.IntRange(int(gossip.WorkerSilent), int(gossip.ClaimWithdrawn)).Draw(p.t, "kind"))}
	for _, action := range p.quorum.Step(p.now, []gossip.QuorumEvent{claim, gossip.WorkerChecked{Worker: worker, Result: gossip.CheckFoundSilent}}) {
		if confirmed, ok := action.(gossip.SilenceConfirmed); ok {
			p.withGossip.Step(p.now, []dispatch.Event{
				dispatch.GossipUpdate{SuspectedWorkers: []string{confirmed.Worker}},
			})
		}
	}
}

// TestClaimsBelowThresholdChangeNoAction checks a property of the quorum and the dispatcher together: claims of a liar
// below the threshold, about any workers including draining and recently started ones, change no action of the
// dispatcher.
func TestClaimsBelowThresholdChangeNoAction(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := &dispatcherPair{
			t:             t,
			withoutGossip: newDispatcher(t),
			withGossip:    newDispatcher(t),
			quorum:        gossip.NewSuspicionQuorum(gossip.LocalSuspicionQuorumConfig),
			now:           time.Hour,
			attempts:      map[dispatch.RequestID][]dispatch.StartAttempt{},
			started:       map[string]uint64{},
		}
		for i := range rapid.IntRange(5, 60).Draw(t, "steps") {
			p.now += time.Duration(rapid.IntRange(0, 300).Draw(t, "ms")) * time.Millisecond
			worker := fmt.Sprintf("w%d", rapid.IntRange(0, 3).Draw(t, "worker"))
			switch op := rapid.IntRange(0, 5).Draw(t, "op"); {
			case op == 0 || i == 0:
				p.updateEndpoint(worker)
			case op == 1 || op == 2:
				p.lastRequest++
				p.applyToBoth(dispatch.Request{ID: p.lastRequest, Function: worker, Class: "c", MemoryMB: 10,
					ConcurrencyPerInstance: 2, RemainingDeadline: 3 * time.Second})
			case op == 3:
				p.endOldestRequest()
			default:
				p.claim(worker)
			}
			p.applyToBoth(dispatch.TimerFired{})
		}
	})
}
