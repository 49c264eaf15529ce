package scenario

import (
	"fmt"
	"log/slog"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/topazfront/topazfront/dispatch"
	"github.com/topazfront/topazfront/internal/invariants"
	"github.com/topazfront/topazfront/internal/router"
)

// shortScenario is the demo's fleet with less traffic and without faults.
func shortScenario(t *testing.T, length Seconds) *Scenario {
	t.Helper()
	s, err := Load("demo")
	if err != nil {
		t.Fatal(err)
	}
	s.Length, s.Faults = length, nil
	s.Traffic.CallsPerSecond = 80
	return s
}

// testWriter writes a log to the test that runs the scenario.
type testWriter struct{ t *testing.T }

func (w testWriter) Write(p []byte) (int, error) {
	w.t.Log(strings.TrimSpace(string(p)))
	return len(p), nil
}

func testLogger(t *testing.T, level slog.Level) *slog.Logger {
	return slog.New(slog.NewTextHandler(testWriter{t}, &slog.HandlerOptions{Level: level}))
}

// mutation breaks one part of a router on purpose, so that a rule is violated under a scenario that satisfies it
// otherwise.
type mutation struct {
	rule     int
	scenario func(*Scenario)
	settings func(*dispatch.Settings)
	event    func(dispatch.Event) dispatch.Event
	action   func(dispatch.Action) bool // false: the action is dropped
}

var mutations = []mutation{
	{rule: invariants.RuleFinalAnswer, scenario: func(s *Scenario) {
		s.Faults = []Fault{{Kind: "hang", Start: 0.5, Length: 5, Share: 0.34}}
	}, action: func(a dispatch.Action) bool { // no failure reaches its client
		_, failed := a.(dispatch.FailRequest)
		_, rejected := a.(dispatch.RejectRequest)
		return !failed && !rejected
	}},
	{rule: invariants.RuleSideEffect, scenario: func(s *Scenario) {
		s.Classes[2].StreamedShare, s.Classes[2].TrafficShare = 1, 1
		s.Faults = []Fault{{Kind: "mid_stream", Start: 0.5, Length: 1, Share: 0.5, Class: "points"}}
	}, settings: func(s *dispatch.Settings) { // what may have run is retried
		for i := range s.Classes {
			s.Classes[i].Idempotency = dispatch.Idempotent
		}
	}},
	{rule: invariants.RuleDrain, scenario: func(s *Scenario) {
		s.Faults = []Fault{{Kind: "preempt", Start: 0.3, Length: 1, Share: 0.5, Magnitude: 2.5}}
	}, event: func(e dispatch.Event) dispatch.Event { // drains are not noticed
		if update, ok := e.(dispatch.EndpointUpdate); ok {
			for i := range update.Endpoints {
				if update.Endpoints[i].State == dispatch.EndpointDraining {
					update.Endpoints[i].State = dispatch.EndpointActive
				}
			}
		}
		return e
	}},
	{rule: invariants.RuleSlowStart, scenario: func(s *Scenario) {
		s.Fleet.Workers, s.Limits.SlowStartShare, s.Limits.OverloadMultiple, s.Limits.SlowStartDuration = 3, 0.05, 1.1, 8
		s.Traffic.CallsPerSecond, s.Store.FetchesPerSecond = 150, 100
		s.Faults = []Fault{{Kind: "vanish", Start: 0.3, Length: 0.5, Share: 0.34}}
	}, event: onlyFreshWorkers},
	{rule: invariants.RuleLoadRate, scenario: func(s *Scenario) {
		s.Fleet.OnCacheMiss, s.Limits.LoadRateBurst, s.Limits.LoadRateRatio = "refuse", 1, 0.02
	}, settings: func(s *dispatch.Settings) { s.LoadRateWindow = 0 }}, // no rate limit
}

// onlyFreshWorkers makes workers that have just started look warm, and like the only ones.
func onlyFreshWorkers(e dispatch.Event) dispatch.Event {
	update, ok := e.(dispatch.EndpointUpdate)
	fresh := slices.DeleteFunc(slices.Clone(update.Endpoints), func(e dispatch.Endpoint) bool { return e.StartedAt == 0 })
	if !ok || len(fresh) == 0 {
		return e
	}
	for i := range fresh {
		fresh[i].StartedAt = 0
	}
	update.Snapshot, update.Endpoints = true, fresh // the others are gone
	return update
}

// newDispatcher returns the module with the mutation.
func (m mutation) newDispatcher(settings dispatch.Settings, seed uint64) (router.Dispatcher, error) {
	if m.settings != nil {
		m.settings(&settings)
	}
	d, err := dispatch.New(settings, seed)
	return mutant{d, m}, err
}

// mutant is a module with a mutation of its events and actions.
type mutant struct {
	router.Dispatcher
	mutation mutation
}

func (m mutant) Step(now time.Duration, events []dispatch.Event) []dispatch.Action {
	if m.mutation.event != nil {
		for i := range events {
			events[i] = m.mutation.event(events[i])
		}
	}
	actions := m.Dispatcher.Step(now, events)
	if m.mutation.action == nil {
		return actions
	}
	remaining := actions[:0]
	for _, a := range actions {
		if m.mutation.action(a) {
			remaining = append(remaining, a)
		}
	}
	return remaining
}

// TestCheckerFindsEachViolation runs the same short scenario with the module as it is, which satisfies all rules, and
// with one part of the router broken on purpose, which the checker must see at the sockets.
func TestCheckerFindsEachViolation(t *testing.T) {
	for _, m := range mutations {
		t.Run(fmt.Sprintf("rule %d satisfied", m.rule), func(t *testing.T) {
			t.Parallel()
			if r := m.run(t, Options{}); !r.RulesSatisfied() {
				t.Errorf("violations: %v", r.Violations)
			}
		})
		t.Run(fmt.Sprintf("rule %d violated", m.rule), func(t *testing.T) {
			t.Parallel()
			if r := m.run(t, Options{NewDispatcher: m.newDispatcher}); r.ViolationsByRule[m.rule-1] == 0 {
				t.Errorf("rule %d was violated on purpose and the checker saw nothing; violations by rule %v", m.rule, r.ViolationsByRule)
			}
		})
	}
}

func (m mutation) run(t *testing.T, o Options) *Report {
	t.Helper()
	s := shortScenario(t, 4)
	m.scenario(s)
	o.Logger = testLogger(t, slog.LevelWarn)
	r, err := Run(s, o)
	if err != nil {
		t.Fatal(err)
	}
	return r
}

// TestGossipWithAttackers has liars that report every worker as silent, forgers, muted routers, packet loss and a key
// rotation, while workers hang, drain, and come back cold. The rules are satisfied, nobody sends more than its limit,
// what was forged was dropped, and the liars have lost weight.
func TestGossipWithAttackers(t *testing.T) {
	s := shortScenario(t, 9)
	s.Routers, s.Fleet.Workers, s.Traffic.CallsPerSecond = 8, 8, 100
	s.Gossip = &Gossip{Forgers: 2, ForgedPerSecond: 50, Liars: 3, MutedRouters: 1, MutedAt: 2, KeyRotationAt: 2, PacketLoss: 0.02}
	s.Faults = []Fault{
		{Kind: "hang", Start: 2, Length: 3, Share: 0.13},
		{Kind: "preempt", Start: 3, Length: 2, Share: 0.13, Magnitude: 0.6},
		{Kind: "vanish", Start: 4, Length: 1, Share: 0.13},
	}
	r, err := Run(s, Options{Logger: testLogger(t, slog.LevelError)})
	if err != nil {
		t.Fatal(err)
	}
	g := r.Gossip
	if !r.RulesSatisfied() {
		t.Errorf("violations: %v", r.Violations)
	}
	if g.TimesOverCap > 0 {
		t.Errorf("the limit was exceeded %d times", g.TimesOverCap)
	}
	// Beyond the forged packets, copies of honest ones are dropped, none of which arrives twice here, and those with
	// the old key.
	dropped, forged := g.Dropped.TotalPackets(), uint64(g.ForgedSent)
	if dropped < forged || dropped-g.Dropped.UnknownKey-g.Dropped.RateLimited > forged {
		t.Errorf("%d forged, dropped %+v", forged, g.Dropped)
	}
	if g.MeanLiarWeight > 0.8 {
		t.Errorf("a liar has weight %.2f after %d verifications that contradicted it", g.MeanLiarWeight, g.Contradicted)
	}
	if !slices.Equal(g.KeysInUse, []string{secondKey}) {
		t.Errorf("keys in use: %v", g.KeysInUse)
	}
	if g.Claims == 0 || g.Verifications == 0 {
		t.Error("no claim was made, or none was verified")
	}
	t.Logf("service %.3f, %+v, %+v", r.Service, *g, r.Hangs)
}
