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

// TestInvariantsThroughDrainReplacementAndAddressChange has workers drain, crash, be replaced at their address and
// corrupt responses, and moves the discovery server. The invariants hold by what workers and clients observe, and
// nearly all calls are served.
func TestInvariantsThroughDrainReplacementAndAddressChange(t *testing.T) {
	h := newHarness(t, nil)
	resp, err := h.client.HTTPClient.Get(h.client.BaseURL + "/ping")
	if err != nil || resp.StatusCode != 200 {
		t.Fatal(resp, err)
	}
	_ = resp.Body.Close()
	if n := h.calls(20); n < 55 {
		t.Errorf("%d of 60 served with nothing wrong", n)
	}

	// a drains. Its process goes on, so that anything still sent there is recorded.
	h.updateEndpoints("a " + h.workers[0].Addr() + " leaving")
	h.recordDrain("a")
	h.calls(20)

	// a is removed, and d takes its address.
	address := h.workers[0].Addr()
	h.workers[0].Stop()
	d := &fakeplatform.Worker{ID: "d", Records: h.records, WorkDuration: 2 * time.Millisecond, DeduplicatedClass: "keyed"}
	if err := d.Start(address); err != nil {
		t.Skip("the address was taken by another process:", err)
	}
	defer d.Stop()
	h.updateEndpoints("a "+address+" left", fmt.Sprintf("d %s active 0", address))
	h.calls(30)
	if !slices.ContainsFunc(d.Received(), func(r fakeplatform.Request) bool { return r.Command == "exec" }) {
		t.Error("the new worker at the old address got nothing")
	}

	corruptEighthResponse(h.workers[1])
	h.calls(30)

	// The discovery server moves, and c drains by the new one.
	moved := platformtest.StartDiscovery(t, `"x":1`, `"x":2`, `"x":3`)
	cfg, err := ParseConfig([]byte(configJSON(moved.Addr(), h.discovery.AllEvents())))
	if err != nil {
		t.Fatal(err)
	}
	h.server.UpdateConfig(cfg)
	h.discovery = moved
	h.updateEndpoints("c " + h.workers[2].Addr() + " leaving")
	h.recordDrain("c")
	h.calls(10)
	h.requireInvariants()
}

// corruptEighthResponse has a worker send noise in place of one response in eight, after the request has run.
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

// violatingDispatcher violates one of the invariants on purpose; with rule 0 it only ignores drains.
type violatingDispatcher struct {
	rule    int
	workers []dispatch.Endpoint
	counter int
	overdue []dispatch.RequestID // answered after their deadlines
}

func (d *violatingDispatcher) Step(_ time.Duration, events []dispatch.Event) (actions []dispatch.Action) {
	for _, event := range events { // an update may come behind the first request, in the same Step
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
		case dispatch.AttemptEnded: // the next worker is tried where nothing ran
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

// updateEndpoints keeps the list in the order in which its workers were first listed. None is ever removed in these tests.
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

// TestInvariantViolationsAreDetected violates each invariant on purpose, by the dispatcher's decisions or by records of
// what the router should know, and requires the checker to find it.
func TestInvariantViolationsAreDetected(t *testing.T) {
	for rule, name := range map[int]string{1: "an answer after the deadline", 2: "an effect twice", 3: "a drain that is ignored",
		4: "a fresh start that is ignored", 5: "load commands without a rate limit"} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			h := newHarness(t, fixedDispatcher(&violatingDispatcher{rule: rule}))
			site := h.invariantSettings()
			switch rule {
			case 1:
				site.ResponseGrace = 0
				h.client.Call(hexID(1<<20), "safe", hexID(1), 200*time.Millisecond)
			case 3:
				h.recordDrain("a")
				site.DrainGrace, site.RecordingDelay = 0, 0
			case 4:
				h.records.Add(invariants.Record{Kind: invariants.WorkerStarted, Worker: "a"})
				site.SlowStartDuration, site.SlowStartShare, site.OverloadMultiple, site.OverloadWindow = time.Hour, 0.2, 3, 1500*time.Millisecond
				site.Capacity = map[string]float64{"a": 0.001}
			}
			if rule != 1 {
				h.calls(20)
			}
			violations := invariants.Check(site, h.records.Records())
			if !slices.ContainsFunc(violations, func(v invariants.Violation) bool { return v.Rule == rule }) {
				t.Errorf("rule %d violated on purpose, and found %v", rule, violations)
			}
		})
	}
}

// TestDrainingWorkerReceivesNothing checks, with a dispatcher that ignores drains, that the upstream sends a draining
// worker nothing on its own account.
func TestDrainingWorkerReceivesNothing(t *testing.T) {
	h := newHarness(t, fixedDispatcher(&violatingDispatcher{}))
	h.calls(3)
	h.updateEndpoints("a " + h.workers[0].Addr() + " leaving")
	before := len(h.workers[0].Received())
	h.calls(10)
	if got := len(h.workers[0].Received()); got != before {
		t.Errorf("%d messages to a worker that drains", got-before)
	}
	h.updateEndpoints("a " + h.workers[0].Addr() + " active") // it stays after all
	h.calls(10)
	if len(h.workers[0].Received()) == before {
		t.Error("nothing to a worker that is listed as active again")
	}
}
