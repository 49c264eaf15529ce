package agent_test

import (
	"crypto/ed25519"
	"slices"
	"testing"
	"time"

	"github.com/topazfront/topazfront/internal/fake/fakepeer"
	"github.com/topazfront/topazfront/internal/gossip"
	"github.com/topazfront/topazfront/internal/gossip/agent"
)

// TestForgedPacketsAreDropped: every packet that is forged under names of others is dropped, whatever is wrong with it; at
// line rate the signature checks stay bounded and the members lose nobody.
func TestForgedPacketsAreDropped(t *testing.T) {
	c := newCluster(t, 4)
	f := startForger(t, c.ids)
	dropped := func() (n uint64) {
		for _, a := range c.agents {
			n += a.Status().Dropped.TotalPackets()
		}
		return n
	}
	for range 20 {
		f.Send(c.addrs, 2)
		time.Sleep(5 * time.Millisecond) // paced, so that the sockets hold them all
	}
	c.waitFor("all forgeries to be dropped", func() bool { return dropped() >= uint64(f.Sent) })
	if d := dropped(); d != uint64(f.Sent) {
		t.Errorf("%d forged, %d dropped", f.Sent, d)
	}
	began := time.Now()
	c.waitFor("the flood to be rate limited", func() bool { // however much of it the sockets hold
		f.Flood(c.addrs, 500)
		return !slices.ContainsFunc(c.agents, func(a *agent.Agent) bool { return a.Status().Dropped.RateLimited < 1000 })
	})
	for i, a := range c.agents {
		s := a.Status()
		if s.Live != 4 || s.Quorum.Claims > 0 {
			t.Errorf("after a flood agent %d has %d live and %d claims", i, s.Live, s.Quorum.Claims)
		}
		most := gossip.LocalPacketLimiterConfig.ChecksOfUnknown*(time.Since(began).Seconds()+2) + 100 // with those of before
		if checked := s.Dropped.BadSignature + s.Dropped.UnknownKey; float64(checked) > most {
			t.Errorf("agent %d checked %d of the flood's signatures, %.0f are allowed", i, checked, most)
		}
		if _, _, _, over := c.meters[i].Totals(); over > 0 {
			t.Errorf("agent %d sent more than its cap %d times", i, over)
		}
	}
}

// TestPacketsWithStolenKeysAreAccepted shows that the test before can fail: with the members' own keys the same packets
// are accepted.
func TestPacketsWithStolenKeysAreAccepted(t *testing.T) {
	c := newCluster(t, 3)
	f := startForger(t, c.ids[:1])
	f.StolenKey = func(name string) ed25519.PrivateKey { return privateKey(name, "k1") }
	before := c.agents[2].Status()
	f.Send(c.addrs[2:], 60)
	c.waitFor("them to be read", func() bool { // a third of them are whole
		s := c.agents[2].Status()
		return s.Received-before.Received >= 10 && s.Quorum.Claims > 0
	})
}

// TestReplayedPacketsAreDropped: a packet that arrives a second time is dropped.
func TestReplayedPacketsAreDropped(t *testing.T) {
	c := newCluster(t, 2)
	c.net.SetFaults(fakepeer.Faults{DuplicationRate: 1, MaxDelay: 5 * time.Millisecond})
	c.waitFor("duplicates to be dropped", func() bool { return c.agents[0].Status().Dropped.Replayed > 5 })
	if n := c.agents[0].Status().Live; n != 2 {
		t.Errorf("%d live", n)
	}
}

// TestReplacedKeyIsRejected: the key of each agent is replaced while all run; nobody is lost, and the old key opens nothing
// afterwards.
func TestReplacedKeyIsRejected(t *testing.T) {
	c := newCluster(t, 4)
	c.net.SetFaults(fakepeer.Faults{LossRate: 0.1, MaxDelay: 3 * time.Millisecond})
	both, next := admittedKeys(c.ids, "k1", "k2"), admittedKeys(c.ids, "k2")
	for _, a := range c.agents {
		a.SetMembers(both)
	}
	for i, a := range c.agents {
		a.SetKey(agent.Key{Name: "k2", Private: privateKey(c.ids[i], "k2")})
	}
	for _, a := range c.agents {
		a.SetMembers(next)
	}
	before := c.agents[0].Status().Received
	c.waitFor("packets under the new key", func() bool { return c.agents[0].Status().Received > before+50 })
	for i, a := range c.agents {
		if k := a.Keys(); k.Own != "k2" || !slices.Equal(k.Members["r1"], []string{"k2"}) {
			t.Errorf("agent %d: %+v", i, k)
		}
		if s := a.Status(); s.Live != 4 {
			t.Errorf("agent %d has %d live", i, s.Live)
		}
	}
	cfg := c.config(1)
	cfg.Listen, cfg.Hooks.WrapPacketConn = "127.0.0.1:0", nil
	cfg.Seeds = c.addrs[:1]
	old, err := agent.Start(cfg, &fakeRouter{notify: make(chan struct{}, 1)}) // it still signs with the old key
	if err != nil {
		t.Fatal(err)
	}
	defer old.Close()
	c.waitFor("the old key to be rejected", func() bool { return c.agents[0].Status().Dropped.UnknownKey > 0 })
	if n := old.Status().Live; n > 1 {
		t.Errorf("the old key found %d", n)
	}
}
