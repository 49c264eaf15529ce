package scenario

import (
	"errors"
	"fmt"
	"log/slog"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/topazfront/topazfront/dispatch"
	"github.com/topazfront/topazfront/internal/router"
)

func TestBuiltInDaysAreSound(t *testing.T) {
	if len(Names()) < 4 {
		t.Fatalf("only %v", Names())
	}
	for _, n := range Names() {
		if _, err := Load(n); err != nil {
			t.Error(err)
		}
	}
	s, err := Load("bad-day")
	if err != nil {
		t.Fatal(err)
	}
	kinds := map[string]bool{}
	for _, x := range s.Trouble {
		kinds[x.Kind] = true
	}
	if len(kinds) < 8 {
		t.Errorf("the bad day has %d kinds of trouble", len(kinds))
	}
}

func TestBadScriptsAreNamed(t *testing.T) {
	good, err := built.ReadFile("scenarios/demo.json")
	if err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct{ from, to, want string }{
		{`"length_s": 12`, `"length_s": -1`, "length_s"},
		{`"kind": "hang"`, `"kind": "hung"`, `troubles[0].kind: "hung"`},
		{`"routers": 2`, `"routes": 2`, "routes"},
		{`"class": "points"`, `"class": "point"`, "troubles[2].class"},
		{`"seed": 7,`, `"seed": 7`, "line 5"},
	} {
		_, err := Parse("x.json", []byte(strings.Replace(string(good), c.from, c.to, 1)))
		if err == nil || !strings.Contains(err.Error(), c.want) || !strings.HasPrefix(err.Error(), "x.json") {
			t.Errorf("%s: %v, want it to name %s", c.to, err, c.want)
		}
	}
	if _, err := Load(filepath.Join(t.TempDir(), "none.json")); !errors.Is(err, os.ErrNotExist) {
		t.Errorf("no file: %v", err)
	}
}

// small is a short day for the tests, without troubles.
func small(seconds Seconds) *Script {
	s, err := Load("demo")
	if err != nil {
		panic(err)
	}
	s.Length, s.Trouble = seconds, nil
	s.Traffic.Rate = 80
	return s
}

// mutant changes what the module is told and what becomes of its actions.
type mutant struct {
	router.Dispatcher
	event  func(dispatch.Event) dispatch.Event
	action func(dispatch.Action) bool // false: swallowed
}

func (m mutant) Step(now time.Duration, events []dispatch.Event) []dispatch.Action {
	if m.event != nil {
		for i := range events {
			events[i] = m.event(events[i])
		}
	}
	out := m.Dispatcher.Step(now, events)
	if m.action == nil {
		return out
	}
	kept := out[:0]
	for _, a := range out {
		if m.action(a) {
			kept = append(kept, a)
		}
	}
	return kept
}

// TestCheckerCatchesEachRuleBroken plays the same short day with the module as it is, which keeps all rules,
// and with one part of the router broken on purpose, which the checker must see at the sockets.
func TestCheckerCatchesEachRuleBroken(t *testing.T) {
	cases := []struct {
		rule     int
		script   func(*Script)
		settings func(*dispatch.Settings)
		event    func(dispatch.Event) dispatch.Event
		action   func(dispatch.Action) bool
	}{
		{rule: 1, script: func(s *Script) {
			s.Trouble = []Trouble{{Kind: "hang", At: 0.5, For: 5, Part: 0.34}}
		}, action: func(a dispatch.Action) bool { // no failure reaches its client
			_, fail := a.(dispatch.FailRequest)
			_, refuse := a.(dispatch.RejectRequest)
			return !fail && !refuse
		}},
		{rule: 2, script: func(s *Script) {
			s.Classes[2].Streamed, s.Classes[2].Share = 1, 1
			s.Trouble = []Trouble{{Kind: "mid_stream", At: 0.5, For: 1, Part: 0.5, Class: "points"}}
		}, settings: func(s *dispatch.Settings) { // what may have run is sent again
			for i := range s.Classes {
				s.Classes[i].Idempotency = dispatch.Idempotent
			}
		}},
		{rule: 3, script: func(s *Script) {
			s.Trouble = []Trouble{{Kind: "preempt", At: 0.3, For: 1, Part: 0.5, Size: 2.5}}
		}, event: func(e dispatch.Event) dispatch.Event { // drains are not heard
			if l, ok := e.(dispatch.EndpointUpdate); ok {
				for i := range l.Endpoints {
					l.Endpoints[i].State = dispatch.EndpointActive
				}
			}
			return e
		}},
		{rule: 4, script: func(s *Script) {
			s.Fleet.Workers, s.Rules.ColdShare, s.Rules.FallMultiple, s.Rules.ColdFor = 3, 0.05, 1.1, 8
			s.Traffic.Rate, s.Store.Rate = 150, 100
			s.Trouble = []Trouble{{Kind: "vanish", At: 0.3, For: 0.5, Part: 0.34}}
		}, event: func(e dispatch.Event) dispatch.Event { // a fresh worker is taken for warm, and for the only one
			l, ok := e.(dispatch.EndpointUpdate)
			fresh := slices.DeleteFunc(slices.Clone(l.Endpoints), func(m dispatch.Endpoint) bool { return m.StartedAt == 0 })
			if !ok || len(fresh) == 0 {
				return e
			}
			for i := range fresh {
				fresh[i].StartedAt = 0
			}
			l.Endpoints = fresh
			return l
		}},
		{rule: 5, script: func(s *Script) {
			s.Fleet.OnMiss, s.Rules.LoadFree, s.Rules.LoadShare = "refuse", 1, 0.02
		}, settings: func(s *dispatch.Settings) { s.LoadRateWindow = 0 }}, // no ration
	}
	for _, c := range cases {
		for _, broken := range []bool{false, true} {
			t.Run(fmt.Sprintf("rule %d, broken %v", c.rule, broken), func(t *testing.T) {
				t.Parallel()
				s := small(4)
				c.script(s)
				o := Options{Log: slog.New(slog.NewTextHandler(testLog{t}, &slog.HandlerOptions{Level: slog.LevelWarn}))}
				if broken {
					o.Decider = func(set dispatch.Settings, seed uint64) (router.Dispatcher, error) {
						if c.settings != nil {
							c.settings(&set)
						}
						d, err := dispatch.New(set, seed)
						return mutant{d, c.event, c.action}, err
					}
				}
				r, err := Play(s, o)
				if err != nil {
					t.Fatal(err)
				}
				if broken && r.Rules[c.rule-1] == 0 {
					t.Errorf("rule %d was broken on purpose and the checker saw nothing; breaches by rule %v", c.rule, r.Rules)
				}
				if !broken && !r.Kept() {
					t.Errorf("rules broken: %v", r.Breaches)
				}
			})
		}
	}
}

// testLog writes a day's warnings to the test that plays it.
type testLog struct{ t *testing.T }

func (l testLog) Write(p []byte) (int, error) {
	l.t.Log(strings.TrimSpace(string(p)))
	return len(p), nil
}

// TestDayWithLyingPeers: liars that call every worker silent, forgers, mute routers, loss and a key exchange, while
// workers fall silent, drain, and come back cold. The rules are kept, nobody sends more than its cap, what was
// forged was dropped, and the liars have lost weight.
func TestDayWithLyingPeers(t *testing.T) {
	s := small(9)
	s.Routers, s.Fleet.Workers, s.Traffic.Rate = 8, 8, 100
	s.Gossip = &Gossip{Forgers: 2, Forged: 50, Liars: 3, Mute: 1, MuteAt: 2, ExchKey: 2, Loss: 0.02}
	s.Trouble = []Trouble{{Kind: "hang", At: 2, For: 3, Part: 0.13}, {Kind: "preempt", At: 3, For: 2, Part: 0.13, Size: 0.6},
		{Kind: "vanish", At: 4, For: 1, Part: 0.13}}
	r, err := Play(s, Options{Log: slog.New(slog.NewTextHandler(testLog{t}, &slog.HandlerOptions{Level: slog.LevelError}))})
	if err != nil {
		t.Fatal(err)
	}
	g := r.Gossip
	if !r.Kept() {
		t.Errorf("rules broken: %v", r.Breaches)
	}
	if g.Over > 0 {
		t.Errorf("the cap was exceeded %d times", g.Over)
	}
	// What is above the forgeries are copies of honest packets, none of which comes twice here, and the old key's.
	if g.Dropped.TotalPackets() < uint64(g.Forged) || g.Dropped.TotalPackets()-g.Dropped.UnknownKey-g.Dropped.RateLimited > uint64(g.Forged) {
		t.Errorf("%d forged, dropped %+v", g.Forged, g.Dropped)
	}
	if g.LiarMean > 0.8 {
		t.Errorf("a liar weighs %.2f after %d looks that contradicted it", g.LiarMean, g.WellFound)
	}
	if !slices.Equal(g.Keys, []string{"k2"}) {
		t.Errorf("keys in use: %v", g.Keys)
	}
	if g.Claims == 0 || g.Looks == 0 {
		t.Error("nothing was said, or nobody looked")
	}
	t.Logf("service %.3f, %+v, %+v", r.Service, *g, r.Silence)
}
