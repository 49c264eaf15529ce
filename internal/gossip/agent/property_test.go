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

// dispatcherPair plays the same events to two dispatchers, one of them behind a quorum of suspicions, and compares
// their actions.
type dispatcherPair struct {
	t             *rapid.T
	without, with *dispatch.Dispatcher
	quorum        *gossip.SuspicionQuorum
	now           time.Duration
	lastRequest   dispatch.RequestID
	attempts      map[dispatch.RequestID][]dispatch.StartAttempt // of open requests
	started       map[string]uint64                              // start times of the workers, for the quorum
}

func (p *dispatcherPair) play(event dispatch.Event) {
	events := []dispatch.Event{event}
	without := p.without.Step(p.now, events)
	with := p.with.Step(p.now, events)
	if !reflect.DeepEqual(without, with) {
		p.t.Fatalf("at %v: %v became %v", p.now, without, with)
	}
	for _, action := range without {
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
	p.play(dispatch.EndpointUpdate{Endpoints: []dispatch.Endpoint{e}})
	p.quorum.Step(p.now, []gossip.QuorumEvent{gossip.WorkerList{Started: p.started}})
}

// endOldestRequest ends the latest attempt of the oldest open request.
func (p *dispatcherPair) endOldestRequest() {
	for id := dispatch.RequestID(1); id <= p.lastRequest; id++ {
		last := len(p.attempts[id]) - 1
		if last < 0 {
			continue
		}
		p.play(dispatch.AttemptEnded{ID: id, Attempt: last, Worker: p.attempts[id][last].Worker, Result: dispatch.OK, Final: true,
			FunctionInFlight: -1, Duration: 20 * time.Millisecond, LoadReport: dispatch.NoLoadReport})
		delete(p.attempts, id)
		return
	}
}

// claim has a liar claim something of a worker, and passes what the quorum confirms to one of the dispatchers.
func (p *dispatcherPair) claim(worker string) {
	claim := gossip.Claim{Worker: worker, Started: p.started[worker], Signer: "liar",
		Kind: gossip.StatementKind(rapid.IntRange(int(gossip.WorkerSilent), int(gossip.ClaimWithdrawn)).Draw(p.t, "kind"))}
	for _, action := range p.quorum.Step(p.now, []gossip.QuorumEvent{claim, gossip.WorkerChecked{Worker: worker, Result: gossip.CheckFoundSilent}}) {
		if confirmed, ok := action.(gossip.SilenceConfirmed); ok {
			p.with.Step(p.now, []dispatch.Event{dispatch.GossipUpdate{SuspectedWorkers: []string{confirmed.Worker}}})
		}
	}
}

// TestClaimsBelowThresholdChangeNoAction is a property of quorum and dispatcher together: two dispatchers are played the
// same events, one of them behind a quorum to which liars below the threshold claim whatever they like of all workers,
// also of draining and fresh ones. Every action is the same.
func TestClaimsBelowThresholdChangeNoAction(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := &dispatcherPair{
			t:        t,
			without:  newDispatcher(t),
			with:     newDispatcher(t),
			quorum:   gossip.NewSuspicionQuorum(gossip.LocalSuspicionQuorumConfig),
			now:      time.Hour,
			attempts: map[dispatch.RequestID][]dispatch.StartAttempt{},
			started:  map[string]uint64{},
		}
		for i := range rapid.IntRange(5, 60).Draw(t, "steps") {
			p.now += time.Duration(rapid.IntRange(0, 300).Draw(t, "ms")) * time.Millisecond
			worker := fmt.Sprintf("w%d", rapid.IntRange(0, 3).Draw(t, "worker"))
			switch op := rapid.IntRange(0, 5).Draw(t, "op"); {
			case op == 0 || i == 0:
				p.updateEndpoint(worker)
			case op == 1 || op == 2:
				p.lastRequest++
				p.play(dispatch.Request{ID: p.lastRequest, Function: worker, Class: "c", MemoryMB: 10, ConcurrencyPerInstance: 2,
					RemainingDeadline: 3 * time.Second})
			case op == 3:
				p.endOldestRequest()
			default:
				p.claim(worker)
			}
			p.play(dispatch.TimerFired{})
		}
	})
}
