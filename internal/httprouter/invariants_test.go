package httprouter

import (
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/topazfront/topazfront/dispatch"
	"github.com/topazfront/topazfront/internal/fake/fakeplatform"
	"github.com/topazfront/topazfront/internal/invariants"
	"github.com/topazfront/topazfront/internal/testsupport/platformtest"
)

// TestInvariantsThroughDrainReplacementAndAddressChange has workers drain, crash, get replaced at the same address and
// send corrupt responses, and moves the discovery server. It guards against a violation of an invariant as observed by
// workers and clients. Before the first fault nearly all calls must be served.
func TestInvariantsThroughDrainReplacementAndAddressChange(t *testing.T) {
	h := newHarness(t, nil)
	resp, err := h.client.HTTPClient.Get(h.client.BaseURL + "/ping")
	if err != nil || resp.StatusCode != 200 {
		t.Fatal(resp, err)
	}
	_ = resp.Body.Close()
	if n := h.makeCalls(20); n < 55 {
		t.Errorf("%d of 60 served without a fault", n)
	}

	// a drains. Its process keeps running, so that it records anything still sent to it.
	h.updateEndpoints("a " + h.workers[0].Addr() + " leaving")
	h.recordDrain("a")
	h.makeCalls(20)

	// a is removed, and d starts at the same address.
	address := h.workers[0].Addr()
	h.workers[0].Stop()
	d := &fakeplatform.Worker{ID: "d", Records: h.records, WorkDuration: 2 * time.Millisecond, DeduplicatedClass: "keyed"}
	if err := d.Start(address); err != nil {
		t.Skip("the address was taken by another process:", err)
	}
	defer d.Stop()
	h.updateEndpoints("a "+address+" left", fmt.Sprintf("d %s active 0", address))
	h.makeCalls(30)
	if !slices.ContainsFunc(d.Received(), func(r fakeplatform.Request) bool { return r.Command == "exec" }) {
		t.Error("the new worker at the old address received no attempt")
	}

	corruptEighthResponse(h.workers[1])
	h.makeCalls(30)

	// The discovery server moves, and the new one reports that c drains.
	moved := platformtest.StartDiscovery(t, `"x":1`, `"x":2`, `"x":3`)
	cfg, err := ParseConfig([]byte(configJSON(moved.Addr(), h.discovery.AllEvents())))
	if err != nil {
		t.Fatal(err)
	}
	h.server.UpdateConfig(cfg)
	h.discovery = moved
	h.updateEndpoints("c " + h.workers[2].Addr() + " leaving")
	h.recordDrain("c")
	h.makeCalls(10)
	h.requireInvariants()
}

// corruptEighthResponse makes a worker run one request in eight and send a corrupt response.
func corruptEighthResponse(worker *fakeplatform.Worker) {
	var mu sync.Mutex
	n := 0
	worker.Handle = func(r fakeplatform.Request) {
		mu.Lock()
		n++
		corrupt := n%8 == 0 && r.Command == "exec"
		mu.Unlock()
		if !corrupt {
			go worker.HandleHealthy(r)
			return
		}
		worker.RecordExecution(r)
		r.Conn.WriteRaw("*4\r\n$16\r\nnoise")
	}
}

// violatingDispatcher violates one of the invariants on purpose. With rule 0 it only ignores drains.
type violatingDispatcher struct {
	rule    int
	workers []dispatch.Endpoint
	counter int
	overdue []dispatch.RequestID // answered after their deadlines
}

func (d *violatingDispatcher) Step(_ time.Duration, events []dispatch.Event) (actions []dispatch.Action) {
	for _, event := range events { // an update may follow the first request in the same Step
		if update, ok := event.(dispatch.EndpointUpdate); ok {
			d.updateEndpoints(update)
		}
	}
	for _, event := range events {
		switch event := event.(type) {
		case dispatch.TimerFired:
			for _, id := range d.overdue {
				actions = append(actions, dispatch.RejectRequest{ID: id})
			}
			d.overdue = nil
		case dispatch.AttemptEnded: // retries an attempt that was not sent
			if d.counter++; event.Result == dispatch.NotSent && !event.Final {
				worker := d.workers[d.counter%len(d.workers)].ID
				actions = append(actions, dispatch.StartAttempt{ID: event.ID, Worker: worker})
			}
		case dispatch.Request:
			actions = append(actions, d.startRequest(event)...)
		}
	}
	return actions
}

// updateEndpoints keeps the workers in the order in which they were first listed. These tests remove none.
func (d *violatingDispatcher) updateEndpoints(update dispatch.EndpointUpdate) {
	for _, endpoint := range update.Endpoints {
		sameID := func(known dispatch.Endpoint) bool { return known.ID == endpoint.ID }
		if i := slices.IndexFunc(d.workers, sameID); i >= 0 {
			d.workers[i] = endpoint
		} else {
			d.workers = append(d.workers, endpoint)
		}
	}
}

func (d *violatingDispatcher) startRequest(request dispatch.Request) (actions []dispatch.Action) {
	d.counter++
	worker := d.workers[d.counter%len(d.workers)].ID
	switch d.rule {
	case 1: // answers after the deadline
		d.overdue = append(d.overdue, request.ID)
		return []dispatch.Action{dispatch.SetTimer{After: request.RemainingDeadline + 300*time.Millisecond}}
	case 2: // runs twice
		return []dispatch.Action{dispatch.StartAttempt{ID: request.ID, Worker: d.workers[0].ID},
			dispatch.StartAttempt{ID: request.ID, Worker: d.workers[1].ID}}
	case 5:
		actions = append(actions, dispatch.LoadFunction{Worker: worker, Function: request.Function, Copies: 1})
	}
	return append(actions, dispatch.StartAttempt{ID: request.ID, Worker: worker})
}

// TestInvariantViolationsAreDetected guards against an invariant checker that misses violations, which would make the
// other tests worthless. It violates each invariant on purpose, by decisions of the dispatcher or by records of events
// that did not happen.
func TestInvariantViolationsAreDetected(t *testing.T) {
	for rule, name := range map[int]string{1: "an answer after the deadline", 2: "an effect twice", 3: "a drain that is ignored",
		4: "a fresh start that is ignored", 5: "load commands without a rate limit"} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			h := newHarness(t, fixedDispatcher(&violatingDispatcher{rule: rule}))
			settings := h.invariantSettings()
			switch rule {
			case 1:
				settings.ResponseGrace = 0
				h.client.Call(hexID(1<<20), "safe", hexID(1), 200*time.Millisecond)
			case 3:
				h.recordDrain("a")
				settings.DrainGrace, settings.RecordingDelay = 0, 0
			case 4:
				h.records.Add(invariants.Record{Kind: invariants.WorkerStarted, Worker: "a"})
				settings.SlowStartDuration, settings.SlowStartShare, settings.OverloadMultiple,
					settings.OverloadWindow = time.Hour, 0.2, 3, 1500*time.Millisecond
				settings.Capacity = map[string]float64{"a": 0.001}
			}
			if rule != 1 {
				h.makeCalls(20)
			}
			violations := invariants.Check(settings, h.records.Records())
			if !slices.ContainsFunc(violations, func(v invariants.Violation) bool { return v.Rule == rule }) {
				t.Errorf("rule %d was violated on purpose, the checker found %v", rule, violations)
			}
		})
	}
}

// TestDrainingWorkerReceivesNothing checks that the upstream sends nothing to a draining worker, even if the dispatcher
// starts attempts there.
func TestDrainingWorkerReceivesNothing(t *testing.T) {
	h := newHarness(t, fixedDispatcher(&violatingDispatcher{}))
	h.makeCalls(3)
	h.updateEndpoints("a " + h.workers[0].Addr() + " leaving")
	before := len(h.workers[0].Received())
	h.makeCalls(10)
	if got := len(h.workers[0].Received()); got != before {
		t.Errorf("%d messages to a draining worker", got-before)
	}
	h.updateEndpoints("a " + h.workers[0].Addr() + " active") // the drain is cancelled
	h.makeCalls(10)
	if len(h.workers[0].Received()) == before {
		t.Error("no message to a worker that is listed as active again")
	}
}
