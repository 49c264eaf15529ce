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

// TestForgedPacketsAreDropped checks that every kind of packet forged in the name of a member is dropped, and that a
// flood of them neither exceeds the rate limit of signature verifications nor makes members consider each other dead.
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
		time.Sleep(5 * time.Millisecond) // paced, so that no socket buffer overflows
	}
	c.waitFor("all forgeries to be dropped", func() bool { return dropped() >= uint64(f.Sent) })
	if d := dropped(); d != uint64(f.Sent) {
		t.Errorf("%d packets forged, %d dropped", f.Sent, d)
	}
	began := time.Now()
	c.waitFor("the flood to be rate limited", func() bool { // repeated, as the socket buffers may drop part of it
		f.Flood(c.addrs, 500)
		return !slices.ContainsFunc(c.agents, func(a *agent.Agent) bool { return a.Status().Dropped.RateLimited < 1000 })
	})
	for i, a := range c.agents {
		s := a.Status()
		if s.Live != 4 || s.Quorum.Claims > 0 {
			t.Errorf("after a flood agent %d has %d live and %d claims", i, s.Live, s.Quorum.Claims)
		}
		// The 100 are verifications before the flood.
		most := gossip.LocalPacketLimiterConfig.VerificationsOfUnknown*(time.Since(began).Seconds()+2) + 100
		if checked := s.Dropped.BadSignature + s.Dropped.UnknownKey; float64(checked) > most {
			t.Errorf("agent %d checked %d of the flood's signatures, %.0f are allowed", i, checked, most)
		}
		if _, _, _, over := c.meters[i].Totals(); over > 0 {
			t.Errorf("agent %d sent more than its cap %d times", i, over)
		}
	}
}

// TestPacketsWithStolenKeysAreAccepted checks that the forged packets of TestForgedPacketsAreDropped are accepted when
// signed with the members' own keys, which shows that the other test can fail.
func TestPacketsWithStolenKeysAreAccepted(t *testing.T) {
	c := newCluster(t, 3)
	f := startForger(t, c.ids[:1])
	f.StolenKey = func(name string) ed25519.PrivateKey { return privateKey(name, "k1") }
	before := c.agents[2].Status()
	f.Send(c.addrs[2:], 60)
	c.waitFor("them to be read", func() bool { // a third of them are well-formed
		s := c.agents[2].Status()
		return s.Received-before.Received >= 10 && s.Quorum.Claims > 0
	})
}

// TestReplayedPacketsAreDropped checks that a packet that arrives a second time is dropped.
func TestReplayedPacketsAreDropped(t *testing.T) {
	c := newCluster(t, 2)
	c.net.SetFaults(fakepeer.Faults{DuplicationRate: 1, MaxDelay: 5 * time.Millisecond})
	c.waitFor("duplicates to be dropped", func() bool { return c.agents[0].Status().Dropped.Replayed > 5 })
	if n := c.agents[0].Status().Live; n != 2 {
		t.Errorf("%d live", n)
	}
}

// TestReplacedKeyIsRejected checks that the keys of all agents can be rotated while they run without losing a member,
// and that packets signed with an old key are rejected afterwards.
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
	old, err := agent.Start(cfg, &fakeRouter{notify: make(chan struct{}, 1)}) // signs with the old key
	if err != nil {
		t.Fatal(err)
	}
	defer old.Close()
	c.waitFor("the old key to be rejected", func() bool { return c.agents[0].Status().Dropped.UnknownKey > 0 })
	if n := old.Status().Live; n > 1 {
		t.Errorf("an agent with the old key has %d live", n)
	}
}
