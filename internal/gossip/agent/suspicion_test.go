package agent_test

import (
	"slices"
	"testing"

	"github.com/topazfront/topazfront/dispatch"
	"github.com/topazfront/topazfront/internal/fake/fakepeer"
	"github.com/topazfront/topazfront/internal/gossip"
	"github.com/topazfront/topazfront/internal/gossip/agent"
)

func TestSuspicionOfSilentWorkerSpreads(t *testing.T) {
	c := newCluster(t, 6)
	for _, r := range c.routers {
		r.mu.Lock()
		r.deadWorkers["w1"] = true
		r.mu.Unlock()
	}
	c.agents[0].ReportSuspicion(dispatch.ReportSuspicion{Worker: "w1"})
	c.agents[1].ReportSuspicion(dispatch.ReportSuspicion{Worker: "w1"})
	c.agents[1].ReportSuspicion(dispatch.ReportSuspicion{Worker: "w2", Class: "renew"})
	c.waitFor("the others to confirm it as silent", func() bool {
		return !slices.ContainsFunc(c.routers[2:], func(r *fakeRouter) bool { return !r.notifiedOf("w1") })
	})
	c.waitFor("the operators to see the failing class", func() bool {
		return slices.ContainsFunc(c.agents[4].Suspicions(), func(s gossip.Suspicion) bool {
			return s.Worker == "w2" && s.Kind == "failing" && s.Class == "renew" && slices.Equal(s.Signers, []string{"r1"})
		})
	})
	for i, r := range c.routers {
		if r.notifiedOf("w2") {
			t.Errorf("router %d was notified of a worker that nobody claimed to be silent", i)
		}
	}
}

// TestLiarsCauseOnlyChecks checks that one admitted liar causes no check of a worker, and that two cause only checks,
// which contradict them and reduce their weight; no dispatcher is notified.
func TestLiarsCauseOnlyChecks(t *testing.T) {
	c := newCluster(t, 5)
	for _, i := range []int{3, 4} {
		c.agents[i].Close()
	}
	lie := func(i int) *fakepeer.Liar {
		cfg := c.config(i)
		cfg.Listen, cfg.Hooks = "127.0.0.1:0", agent.Hooks{}
		l, err := fakepeer.NewLiar(cfg)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(l.Close)
		l.ReportSilent(map[string]uint64{"w1": 5, "w2": 6})
		return l
	}
	claims := func() (n uint64) {
		for _, a := range c.agents[:3] {
			n += a.Status().Quorum.Claims
		}
		return n
	}
	lie(3)
	c.waitFor("one liar to be heard", func() bool { return claims() >= 6 })
	for i, r := range c.routers[:3] {
		if r.mu.Lock(); r.checks > 0 {
			t.Errorf("one liar caused router %d to check a worker", i)
		}
		r.mu.Unlock()
	}
	lie(4)
	c.waitFor("two liars to be contradicted", func() bool {
		return !slices.ContainsFunc(c.agents[:3], func(a *agent.Agent) bool {
			return !slices.ContainsFunc(a.Peers(), func(p agent.Peer) bool { return p.ID == "r4" && p.Weight < 0.6 })
		})
	})
	for i, r := range c.routers[:3] {
		if r.notifiedOf("w1") || r.notifiedOf("w2") {
			t.Errorf("router %d's dispatcher was notified of a lie", i)
		}
		r.mu.Lock()
		if r.checks > 4 {
			t.Errorf("two liars caused router %d to make %d checks", i, r.checks)
		}
		r.mu.Unlock()
	}
}
