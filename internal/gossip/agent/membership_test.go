package agent_test

import (
	"slices"
	"testing"
	"time"

	"github.com/topazfront/topazfront/internal/fake/fakepeer"
	"github.com/topazfront/topazfront/internal/gossip/agent"
	"github.com/topazfront/topazfront/internal/testsupport"
	"github.com/topazfront/topazfront/internal/wallclock"
)

// TestLiveCountNeverFallsInPartition checks that during a partition the routers on both sides keep the highest live
// count seen so far.
func TestLiveCountNeverFallsInPartition(t *testing.T) {
	c := newCluster(t, 6)
	side := map[string]bool{}
	for _, a := range c.addrs[:3] {
		side[a] = true
	}
	c.net.SetFaults(fakepeer.Faults{Partitioned: func(from, to string) bool { return side[from] != side[to] }})
	c.waitFor("the sides to lose each other", func() bool {
		return !slices.ContainsFunc(c.agents, func(a *agent.Agent) bool { return a.Status().Live > 3 })
	})
	for i, r := range c.routers {
		r.mu.Lock()
		last := 0
		for _, e := range r.updates {
			if e.Routers > 0 && e.Routers < last {
				t.Errorf("router %d was notified of %d routers after %d", i, e.Routers, last)
			}
			last = max(last, e.Routers)
		}
		if last != 6 {
			t.Errorf("router %d was notified of %d routers at most", i, last)
		}
		r.mu.Unlock()
	}
	c.net.SetFaults(fakepeer.Faults{})
	c.waitForLive("the partition to heal", 6)
}

// TestRestartAfterWallClockStepIsKnownAgain checks that a member that restarts after a step of its wall clock, even
// back to 1970, is known again with a higher incarnation. If its new incarnation is lower, the others notify it of the
// earlier one.
func TestRestartAfterWallClockStepIsKnownAgain(t *testing.T) {
	toStartOf1970 := wallclock.FromUnixMilli(0).Sub(wallclock.System.Now())
	for _, step := range append(slices.Clone(testsupport.WallClockSteps), toStartOf1970) {
		t.Run(step.Round(time.Second).String(), func(t *testing.T) { restartAfterWallClockStep(t, step) })
	}
}

func restartAfterWallClockStep(t *testing.T, step time.Duration) {
	c := newCluster(t, 3)
	incarnation := func() (n uint64) {
		for _, p := range c.agents[0].Peers() {
			if p.ID == "r2" && p.State == "alive" {
				n = p.Incarnation
			}
		}
		return n
	}
	before := incarnation()
	c.agents[2].Close()
	cfg := c.config(2)
	var clock testsupport.WallClock
	clock.Step(step)
	cfg.Listen, cfg.WallClock = c.addrs[2], &clock
	a, err := agent.Start(cfg, c.routers[2])
	if err != nil {
		t.Fatal(err)
	}
	defer a.Close()
	c.agents[2] = a
	c.waitFor("all members to know it again", func() bool {
		return a.Status().Live == 3 && incarnation() > before
	})
}
