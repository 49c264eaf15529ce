package agent_test

import (
	"bytes"
	"crypto/ed25519"
	"fmt"
	"net"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/topazfront/topazfront/dispatch"
	"github.com/topazfront/topazfront/internal/fake/fakepeer"
	"github.com/topazfront/topazfront/internal/gossip"
	"github.com/topazfront/topazfront/internal/gossip/agent"
)

// script is a router by script: workers in dead give no sign of life.
type script struct {
	mu     sync.Mutex
	dead   map[string]bool
	looks  int
	told   []dispatch.GossipUpdate
	notify chan struct{}
}

func (s *script) VerifyWorker(worker string, _, _ time.Duration, done func(alive, void bool)) {
	s.mu.Lock()
	s.looks++
	dead := s.dead[worker]
	s.mu.Unlock()
	done(!dead, false)
}

func (s *script) ApplyGossip(e dispatch.GossipUpdate) {
	s.mu.Lock()
	s.told = append(s.told, e)
	s.mu.Unlock()
	select {
	case s.notify <- struct{}{}:
	default:
	}
}

func (s *script) silent(worker string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.ContainsFunc(s.told, func(e dispatch.GossipUpdate) bool { return slices.Contains(e.SuspectedWorkers, worker) })
}

func keyOf(id, name string) ed25519.PrivateKey {
	seed := bytes.Repeat([]byte(id+"/"+name+"................................"), 2)[:32]
	return ed25519.NewKeyFromSeed(seed)
}

func admit(ids []string, names ...string) agent.Members {
	m := agent.Members{}
	for _, id := range ids {
		m[id] = map[string]ed25519.PublicKey{}
		for _, n := range names {
			m[id][n], _ = keyOf(id, n).Public().(ed25519.PublicKey)
		}
	}
	return m
}

// group is agents over real sockets, a network with faults between them.
type group struct {
	t       *testing.T
	net     *fakepeer.Net
	ids     []string
	agents  []*agent.Agent
	routers []*script
	meters  []*fakepeer.Meter
	addrs   []string
}

// quick is a protocol that tests needn't wait for.
func quick() gossip.Config {
	c := gossip.LocalConfig
	c.ProbeInterval, c.ProbeTimeout, c.SyncInterval, c.DeadMemberRetention = 100*time.Millisecond, 40*time.Millisecond, time.Second, 3*time.Second
	c.PushInterval, c.BytesPerSecond, c.BurstBytes, c.MessagesPerSecond, c.BurstMessages = 20*time.Millisecond, 40000, 40000, 400, 400
	return c
}

func (g *group) config(i int) agent.Config {
	c := agent.Config{ID: g.ids[i], Listen: "127.0.0.1:0", Gossip: quick(), Quorum: gossip.LocalSuspicionQuorumConfig, Limiter: gossip.LocalPacketLimiterConfig,
		Collector: gossip.LocalEvidenceCollectorConfig, CheckTimeout: time.Second, Seed: uint64(i), Members: admit(g.ids, "k1"),
		Key: agent.Key{Name: "k1", Private: keyOf(g.ids[i], "k1")}}
	c.Seeds = g.addrs[:min(2, len(g.addrs))]
	m := g.meters[i]
	own := ""
	c.Hooks = agent.Hooks{WrapPacketConn: func(pc net.PacketConn) net.PacketConn {
		own = pc.LocalAddr().String()
		return g.net.Wrap(pc, m)
	}, AllowStream: func(to string, n int) bool { m.Add(n); return g.net.Open(own, to) }} // a partition cuts streams too
	return c
}

func newGroup(t *testing.T, n int) *group {
	t.Helper()
	g := &group{t: t, net: fakepeer.NewNet(1)}
	c := quick()
	for i := range n {
		g.ids = append(g.ids, fmt.Sprintf("r%d", i))
		g.meters = append(g.meters, &fakepeer.Meter{Rate: c.BytesPerSecond, Burst: c.BurstBytes, PerSec: c.MessagesPerSecond, Count: c.BurstMessages})
	}
	for i := range n {
		r := &script{dead: map[string]bool{}, notify: make(chan struct{}, 1)}
		a, err := agent.Start(g.config(i), r)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(a.Close)
		a.SetWorkers(map[string]uint64{"w1": 5, "w2": 6})
		g.agents, g.routers, g.addrs = append(g.agents, a), append(g.routers, r), append(g.addrs, a.Addr())
	}
	g.until("all to find all", func() bool {
		return !slices.ContainsFunc(g.agents, func(a *agent.Agent) bool { return a.Status().Live < n })
	})
	return g
}

// until waits for a state to come about; it is asked for often.
func (g *group) until(what string, is func() bool) {
	g.t.Helper()
	for end := time.Now().Add(60 * time.Second); !is(); {
		if time.Now().After(end) {
			for _, a := range g.agents {
				g.t.Logf("%+v", a.Status())
			}
			g.t.Fatalf("waited in vain for %s", what)
		}
		time.Sleep(5 * time.Millisecond)
	}
}

func TestWordOfASilentWorkerSpreads(t *testing.T) {
	g := newGroup(t, 6)
	for _, r := range g.routers {
		r.mu.Lock()
		r.dead["w1"] = true
		r.mu.Unlock()
	}
	g.agents[0].ReportSuspicion(dispatch.ReportSuspicion{Worker: "w1"})
	g.agents[1].ReportSuspicion(dispatch.ReportSuspicion{Worker: "w1"})
	g.agents[1].ReportSuspicion(dispatch.ReportSuspicion{Worker: "w2", Class: "renew"})
	g.until("the others to find it silent", func() bool {
		return g.routers[2].silent("w1") && g.routers[3].silent("w1") && g.routers[4].silent("w1") && g.routers[5].silent("w1")
	})
	g.until("the operators to see the failing class", func() bool {
		return slices.ContainsFunc(g.agents[4].Suspicions(), func(s gossip.Suspicion) bool {
			return s.Worker == "w2" && s.Kind == "failing" && s.Class == "renew" && slices.Equal(s.Signers, []string{"r1"})
		})
	})
	for i, r := range g.routers {
		if r.silent("w2") {
			t.Errorf("router %d was told of a worker that nobody called silent", i)
		}
	}
}

// TestLiars: an admitted liar alone causes no look; two of them cause looks that contradict them, and nothing is
// told to a module; at the quorum they weigh less afterwards.
func TestLiars(t *testing.T) {
	g := newGroup(t, 5)
	for _, i := range []int{3, 4} {
		g.agents[i].Close()
	}
	lie := func(i int) *fakepeer.Liar {
		c := g.config(i)
		c.Listen, c.Hooks = "127.0.0.1:0", agent.Hooks{}
		l, err := fakepeer.NewLiar(c)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(l.Close)
		l.Accuse(map[string]uint64{"w1": 5, "w2": 6})
		return l
	}
	claims := func() (n uint64) {
		for _, a := range g.agents[:3] {
			n += a.Status().Quorum.Claims
		}
		return n
	}
	lie(3)
	g.until("one liar to be heard", func() bool { return claims() >= 6 })
	for i, r := range g.routers[:3] {
		if r.mu.Lock(); r.looks > 0 {
			t.Errorf("one liar had router %d look", i)
		}
		r.mu.Unlock()
	}
	lie(4)
	g.until("two liars to be contradicted", func() bool {
		return !slices.ContainsFunc(g.agents[:3], func(a *agent.Agent) bool {
			return !slices.ContainsFunc(a.Peers(), func(p agent.Peer) bool { return p.ID == "r4" && p.Weight < 0.6 })
		})
	})
	for i, r := range g.routers[:3] {
		if r.silent("w1") || r.silent("w2") {
			t.Errorf("router %d's module was told of a lie", i)
		}
		r.mu.Lock()
		if r.looks > 4 {
			t.Errorf("two liars had router %d look %d times", i, r.looks)
		}
		r.mu.Unlock()
	}
}

// TestForgeriesAreDropped: every one that was sent, under names of others, whatever is wrong with it; at line
// rate the checks stay bounded and the members lose nobody.
func TestForgeriesAreDropped(t *testing.T) {
	g := newGroup(t, 4)
	f, err := fakepeer.NewForger(1, g.ids, []string{"k1", "k1", "k1", "k1"})
	if err != nil {
		t.Fatal(err)
	}
	defer f.Close()
	f.Worker, f.Of = "w1", 5
	dropped := func() (n uint64) {
		for _, a := range g.agents {
			n += a.Status().Dropped.TotalPackets()
		}
		return n
	}
	for range 20 {
		f.Send(g.addrs, 2)
		time.Sleep(5 * time.Millisecond) // paced, so that the sockets hold them all
	}
	g.until("all forgeries to be dropped", func() bool { return dropped() >= uint64(f.Sent) })
	if d := dropped(); d != uint64(f.Sent) {
		t.Errorf("%d forged, %d dropped", f.Sent, d)
	}
	began := time.Now()
	g.until("the flood to be left unread", func() bool { // however much of it the sockets hold
		f.Flood(g.addrs, 500)
		return !slices.ContainsFunc(g.agents, func(a *agent.Agent) bool { return a.Status().Dropped.RateLimited < 1000 })
	})
	for i, a := range g.agents {
		s := a.Status()
		if s.Live != 4 || s.Quorum.Claims > 0 {
			t.Errorf("after a flood agent %d has %d live and %d claims", i, s.Live, s.Quorum.Claims)
		}
		most := gossip.LocalPacketLimiterConfig.ChecksOfUnknown*(time.Since(began).Seconds()+2) + 100 // with those of before
		if checked := s.Dropped.BadSignature + s.Dropped.UnknownKey; float64(checked) > most {
			t.Errorf("agent %d checked %d of the flood's signatures, %.0f are allowed", i, checked, most)
		}
		if _, _, _, over := g.meters[i].Totals(); over > 0 {
			t.Errorf("agent %d sent more than its cap %d times", i, over)
		}
	}
}

// TestStolenKeysAreNoForgeries shows that the count of the test before can fail: with the members' own keys the
// same packets are taken.
func TestStolenKeysAreNoForgeries(t *testing.T) {
	g := newGroup(t, 3)
	f, err := fakepeer.NewForger(1, g.ids[:1], []string{"k1"})
	if err != nil {
		t.Fatal(err)
	}
	defer f.Close()
	f.Worker, f.Of, f.Stolen = "w1", 5, func(name string) ed25519.PrivateKey { return keyOf(name, "k1") }
	before := g.agents[2].Status()
	f.Send(g.addrs[2:], 60)
	g.until("them to be read", func() bool { // a third of them are whole
		s := g.agents[2].Status()
		return s.Received-before.Received >= 10 && s.Quorum.Claims > 0
	})
}

// TestReplayedAndTwice: what comes twice, or is sent again by somebody else, is dropped.
func TestReplayedAndTwice(t *testing.T) {
	g := newGroup(t, 2)
	g.net.Set(fakepeer.Faults{Twice: 1, Most: 5 * time.Millisecond})
	g.until("doubles to be dropped", func() bool { return g.agents[0].Status().Dropped.Replayed > 5 })
	if n := g.agents[0].Status().Live; n != 2 {
		t.Errorf("%d live", n)
	}
}

// TestKeyExchangedInService: each agent's key is replaced while all run; nobody is lost, and the old key opens
// nothing afterwards.
func TestKeyExchangedInService(t *testing.T) {
	g := newGroup(t, 4)
	g.net.Set(fakepeer.Faults{Loss: 0.1, Most: 3 * time.Millisecond})
	both, next := admit(g.ids, "k1", "k2"), admit(g.ids, "k2")
	for _, a := range g.agents {
		a.SetMembers(both)
	}
	for i, a := range g.agents {
		a.SetKey(agent.Key{Name: "k2", Private: keyOf(g.ids[i], "k2")})
	}
	for _, a := range g.agents {
		a.SetMembers(next)
	}
	before := g.agents[0].Status().Received
	g.until("words under the new key", func() bool { return g.agents[0].Status().Received > before+50 })
	for i, a := range g.agents {
		if k := a.Keys(); k.Own != "k2" || !slices.Equal(k.Members["r1"], []string{"k2"}) {
			t.Errorf("agent %d: %+v", i, k)
		}
		if s := a.Status(); s.Live != 4 {
			t.Errorf("agent %d has %d live", i, s.Live)
		}
	}
	c := g.config(1)
	c.Listen, c.Hooks.WrapPacketConn = "127.0.0.1:0", nil
	c.Seeds = g.addrs[:1]
	old, err := agent.Start(c, &script{notify: make(chan struct{}, 1)}) // one that still signs with the old key
	if err != nil {
		t.Fatal(err)
	}
	defer old.Close()
	g.until("the old key to be refused", func() bool { return g.agents[0].Status().Dropped.UnknownKey > 0 })
	if n := old.Status().Live; n > 1 {
		t.Errorf("the old key found %d", n)
	}
}

// TestCountNeverFalls, on both sides of a partition: the most ever seen live is what the module is told.
func TestCountNeverFalls(t *testing.T) {
	g := newGroup(t, 6)
	side := map[string]bool{}
	for _, a := range g.addrs[:3] {
		side[a] = true
	}
	g.net.Set(fakepeer.Faults{Cut: func(from, to string) bool { return side[from] != side[to] }})
	g.until("the sides to lose each other", func() bool {
		return !slices.ContainsFunc(g.agents, func(a *agent.Agent) bool { return a.Status().Live > 3 })
	})
	for i, r := range g.routers {
		r.mu.Lock()
		last := 0
		for _, e := range r.told {
			if e.Routers > 0 && e.Routers < last {
				t.Errorf("router %d was told of %d routers after %d", i, e.Routers, last)
			}
			last = max(last, e.Routers)
		}
		if last != 6 {
			t.Errorf("router %d was told of %d routers at most", i, last)
		}
		r.mu.Unlock()
	}
	g.net.Set(fakepeer.Faults{})
	g.until("the partition to heal", func() bool {
		return !slices.ContainsFunc(g.agents, func(a *agent.Agent) bool { return a.Status().Live < 6 })
	})
}

// TestRestartWithItsClockSetBack: a life with a lower number is told of the earlier one and taken back.
func TestRestartWithItsClockSetBack(t *testing.T) {
	g := newGroup(t, 3)
	life := func() (n uint64) {
		for _, p := range g.agents[0].Peers() {
			if p.ID == "r2" && p.State == "alive" {
				n = p.Incarnation
			}
		}
		return n
	}
	before := life()
	g.agents[2].Close()
	c := g.config(2)
	c.Listen, c.Incarnation = g.addrs[2], 1000
	a, err := agent.Start(c, g.routers[2])
	if err != nil {
		t.Fatal(err)
	}
	defer a.Close()
	g.agents[2] = a
	g.until("all to take it back", func() bool {
		return a.Status().Live == 3 && life() > before
	})
}

// TestBadAddressesAndPortsInUse are named.
func TestBadAddressesAndPortsInUse(t *testing.T) {
	g := newGroup(t, 1)
	c := g.config(0)
	c.Listen = g.addrs[0]
	if a, err := agent.Start(c, g.routers[0]); err == nil {
		a.Close()
		t.Error("two agents on one port")
	}
	c.Listen, c.Gossip.MaxPacketBytes = "127.0.0.1:0", 9000
	if a, err := agent.Start(c, g.routers[0]); err == nil {
		a.Close()
		t.Error("packets of 9000 bytes")
	}
	c = g.config(0)
	c.Seeds = []string{"nonsense", "127.0.0.1:99999", "[::1", "127.0.0.1:1"}
	a, err := agent.Start(c, g.routers[0])
	if err != nil {
		t.Fatal(err)
	}
	a.Close()
	a.Close()
	if a.Status().ID != "" || a.Peers() != nil {
		t.Error("a closed agent answered")
	}
}
