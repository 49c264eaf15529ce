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

// shortScenario returns the demo scenario with less traffic and without faults.
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

// mutation deliberately breaks one part of a router, so that a rule is violated in a scenario that otherwise
// satisfies it.
type mutation struct {
	rule     int
	scenario func(*Scenario)
	settings func(*dispatch.Settings)
	event    func(dispatch.Event) dispatch.Event
	action   func(dispatch.Action) bool // returns false for actions to drop
}

var mutations = []mutation{
	{rule: invariants.RuleFinalAnswer, scenario: func(s *Scenario) {
		s.Faults = []Fault{{Kind: "hang", Start: 0.5, Length: 5, Share: 0.34}}
	}, action: func(a dispatch.Action) bool { // drop failures and rejections
		_, failed := a.(dispatch.FailRequest)
		_, rejected := a.(dispatch.RejectRequest)
		return !failed && !rejected
	}},
	{rule: invariants.RuleSideEffect, scenario: func(s *Scenario) {
		s.Classes[2].StreamedShare, s.Classes[2].TrafficShare = 1, 1
		s.Faults = []Fault{{Kind: "mid_stream", Start: 0.5, Length: 1, Share: 0.5, Class: "points"}}
	}, settings: func(s *dispatch.Settings) { // retry requests that may have run
		for i := range s.Classes {
			s.Classes[i].Idempotency = dispatch.Idempotent
		}
	}},
	{rule: invariants.RuleDrain, scenario: func(s *Scenario) {
		s.Faults = []Fault{{Kind: "preempt", Start: 0.3, Length: 1, Share: 0.5, Magnitude: 2.5}}
	}, event: func(e dispatch.Event) dispatch.Event { // hide drains
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
	}, event: onlyColdWorkers},
	{rule: invariants.RuleLoadRate, scenario: func(s *Scenario) {
		s.Fleet.OnCacheMiss, s.Limits.LoadRateBurst, s.Limits.LoadRateRatio = "refuse", 1, 0.02
	}, settings: func(s *dispatch.Settings) { s.LoadRateWindow = 0 }}, // no rate limit
}

// onlyColdWorkers changes an update so that cold workers look warm and all other workers look removed.
func onlyColdWorkers(e dispatch.Event) dispatch.Event {
	update, ok := e.(dispatch.EndpointUpdate)
	cold := slices.DeleteFunc(slices.Clone(update.Endpoints), func(e dispatch.Endpoint) bool { return e.StartedAt == 0 })
	if !ok || len(cold) == 0 {
		return e
	}
	for i := range cold {
		cold[i].StartedAt = 0
	}
	update.Snapshot, update.Endpoints = true, cold // a snapshot removes all others
	return update
}

// newDispatcher returns a dispatcher with the mutation.
func (m mutation) newDispatcher(settings dispatch.Settings, seed uint64) (router.Dispatcher, error) {
	if m.settings != nil {
		m.settings(&settings)
	}
	d, err := dispatch.New(settings, seed)
	return mutant{d, m}, err
}

// mutant is a dispatcher whose events and actions are mutated.
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

// TestCheckerFindsEachViolation runs the same short scenario with the unchanged dispatcher, which satisfies all
// rules, and with each mutation, whose violation the checker must find in the records made at the sockets.
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
				t.Errorf("the checker did not find the violation of rule %d; violations by rule %v", m.rule, r.ViolationsByRule)
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

// TestGossipWithAttackers runs gossip with liars that report every worker as silent, forgers, muted routers, packet
// loss and a key rotation, while workers hang, drain, and restart cold. The rules must be satisfied, no router may
// exceed its limit, forged packets must be dropped, and the liars must have lost weight.
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
	// Besides forged packets, routers drop duplicates of valid packets, packets signed with an old key and packets over
	// the rate limit of their source. The network of this test duplicates no packets.
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
	t.Logf("service %.3f, %+v, %+v", r.ServedValueFraction, *g, r.Hangs)
}
