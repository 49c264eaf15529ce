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
	"github.com/topazfront/topazfront/internal/testsupport"
	"github.com/topazfront/topazfront/internal/wallclock"
)

// fakeRouter is a router to which the workers in deadWorkers give no sign of life.
type fakeRouter struct {
	mu          sync.Mutex
	deadWorkers map[string]bool
	checks      int
	updates     []dispatch.GossipUpdate
	notify      chan struct{}
}

func (r *fakeRouter) VerifyWorker(worker string, _, _ time.Duration, done func(gossip.CheckResult)) {
	r.mu.Lock()
	r.checks++
	dead := r.deadWorkers[worker]
	r.mu.Unlock()
	if dead {
		done(gossip.CheckFoundSilent)
		return
	}
	done(gossip.CheckFoundAlive)
}

func (r *fakeRouter) ApplyGossip(u dispatch.GossipUpdate) {
	r.mu.Lock()
	r.updates = append(r.updates, u)
	r.mu.Unlock()
	select {
	case r.notify <- struct{}{}:
	default:
	}
}

// notifiedOf reports whether the dispatcher was notified that a worker is silent.
func (r *fakeRouter) notifiedOf(worker string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.ContainsFunc(r.updates, func(u dispatch.GossipUpdate) bool { return slices.Contains(u.SuspectedWorkers, worker) })
}

func privateKey(id, name string) ed25519.PrivateKey {
	seed := bytes.Repeat([]byte(id+"/"+name+"................................"), 2)[:32]
	return ed25519.NewKeyFromSeed(seed)
}

func admittedKeys(ids []string, names ...string) agent.Members {
	m := agent.Members{}
	for _, id := range ids {
		m[id] = map[string]ed25519.PublicKey{}
		for _, n := range names {
			m[id][n], _ = privateKey(id, n).Public().(ed25519.PublicKey)
		}
	}
	return m
}

// cluster is agents over real sockets, with a faulty network between them.
type cluster struct {
	t       *testing.T
	net     *fakepeer.Network
	ids     []string
	agents  []*agent.Agent
	routers []*fakeRouter
	meters  []*fakepeer.Meter
	addrs   []string
}

// fastConfig is a protocol with short intervals, so that tests need not wait for it.
func fastConfig() gossip.Config {
	cfg := gossip.LocalConfig
	cfg.ProbeInterval = 100 * time.Millisecond
	cfg.ProbeTimeout = 40 * time.Millisecond
	cfg.SyncInterval = time.Second
	cfg.DeadMemberRetention = 3 * time.Second
	cfg.PushInterval = 20 * time.Millisecond
	cfg.BytesPerSecond = 40000
	cfg.BurstBytes = 40000
	cfg.MessagesPerSecond = 400
	cfg.BurstMessages = 400
	return cfg
}

func (c *cluster) config(i int) agent.Config {
	meter := c.meters[i]
	ownAddr := ""
	return agent.Config{
		ID:           c.ids[i],
		Listen:       "127.0.0.1:0",
		Seeds:        c.addrs[:min(2, len(c.addrs))],
		Gossip:       fastConfig(),
		Quorum:       gossip.LocalSuspicionQuorumConfig,
		Limiter:      gossip.LocalPacketLimiterConfig,
		Collector:    gossip.LocalEvidenceCollectorConfig,
		CheckTimeout: time.Second,
		Seed:         uint64(i),
		Members:      admittedKeys(c.ids, "k1"),
		Key:          agent.Key{Name: "k1", Private: privateKey(c.ids[i], "k1")},
		Hooks: agent.Hooks{
			WrapPacketConn: func(conn net.PacketConn) net.PacketConn {
				ownAddr = conn.LocalAddr().String()
				return c.net.Wrap(conn, meter)
			},
			AllowStream: func(to string, bytes int) bool {
				meter.Add(bytes)
				return c.net.Reachable(ownAddr, to) // a partition cuts streams too
			},
		},
	}
}

func newCluster(t *testing.T, n int) *cluster {
	t.Helper()
	c := &cluster{t: t, net: fakepeer.NewNetwork(1)}
	cfg := fastConfig()
	for i := range n {
		c.ids = append(c.ids, fmt.Sprintf("r%d", i))
		c.meters = append(c.meters, &fakepeer.Meter{BytesPerSecond: cfg.BytesPerSecond, BurstBytes: cfg.BurstBytes, MessagesPerSecond: cfg.MessagesPerSecond,
			BurstMessages: cfg.BurstMessages})
	}
	for i := range n {
		r := &fakeRouter{deadWorkers: map[string]bool{}, notify: make(chan struct{}, 1)}
		a, err := agent.Start(c.config(i), r)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(a.Close)
		a.SetWorkers(map[string]uint64{"w1": 5, "w2": 6})
		c.agents, c.routers, c.addrs = append(c.agents, a), append(c.routers, r), append(c.addrs, a.Addr())
	}
	c.waitFor("all members to find each other", func() bool {
		return !slices.ContainsFunc(c.agents, func(a *agent.Agent) bool { return a.Status().Live < n })
	})
	return c
}

// waitFor polls for a condition and fails the test after a minute.
func (c *cluster) waitFor(what string, condition func() bool) {
	c.t.Helper()
	for end := time.Now().Add(60 * time.Second); !condition(); {
		if time.Now().After(end) {
			for _, a := range c.agents {
				c.t.Logf("%+v", a.Status())
			}
			c.t.Fatalf("timed out waiting for %s", what)
		}
		time.Sleep(5 * time.Millisecond)
	}
}

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

// TestLiarsCauseOnlyChecks: an admitted liar alone causes no check; two of them cause checks that contradict them, and no
// dispatcher is notified; at the threshold they weigh less afterwards.
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
			t.Errorf("one liar had router %d check a worker", i)
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
			t.Errorf("two liars had router %d check %d times", i, r.checks)
		}
		r.mu.Unlock()
	}
}

// TestForgedPacketsAreDropped: every packet that is forged under names of others is dropped, whatever is wrong with it; at
// line rate the signature checks stay bounded and the members lose nobody.
func TestForgedPacketsAreDropped(t *testing.T) {
	c := newCluster(t, 4)
	f, err := fakepeer.NewForger(1, c.ids, []string{"k1", "k1", "k1", "k1"})
	if err != nil {
		t.Fatal(err)
	}
	defer f.Close()
	f.Worker, f.WorkerIncarnation = "w1", 5
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
	f, err := fakepeer.NewForger(1, c.ids[:1], []string{"k1"})
	if err != nil {
		t.Fatal(err)
	}
	defer f.Close()
	f.Worker, f.WorkerIncarnation, f.StolenKey = "w1", 5, func(name string) ed25519.PrivateKey { return privateKey(name, "k1") }
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

// TestKeyReplacedInService: the key of each agent is replaced while all run; nobody is lost, and the old key opens nothing
// afterwards.
func TestKeyReplacedInService(t *testing.T) {
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

// TestLiveCountNeverFalls: on both sides of a partition the dispatcher is notified of the most ever live.
func TestLiveCountNeverFalls(t *testing.T) {
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
	c.waitFor("the partition to heal", func() bool {
		return !slices.ContainsFunc(c.agents, func(a *agent.Agent) bool { return a.Status().Live < 6 })
	})
}

// TestRestartWithSteppedWallClock: a member that restarts after a step of its wall clock, also to one that has no date, is
// known again under a later incarnation. One with a lower incarnation is notified of its earlier one.
func TestRestartWithSteppedWallClock(t *testing.T) {
	toStartOf1970 := wallclock.FromUnixMilli(0).Sub(wallclock.System.Now())
	for _, step := range append(slices.Clone(testsupport.WallClockSteps), toStartOf1970) {
		t.Run(step.Round(time.Second).String(), func(t *testing.T) { testRestartWithSteppedWallClock(t, step) })
	}
}

func testRestartWithSteppedWallClock(t *testing.T, step time.Duration) {
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

// TestUnusableAddressesAndSettings: a port in use and an invalid setting are errors; seeds that are not addresses are not.
func TestUnusableAddressesAndSettings(t *testing.T) {
	c := newCluster(t, 1)
	cfg := c.config(0)
	cfg.Listen = c.addrs[0]
	if a, err := agent.Start(cfg, c.routers[0]); err == nil {
		a.Close()
		t.Error("two agents started on one port")
	}
	cfg.Listen, cfg.Gossip.MaxPacketBytes = "127.0.0.1:0", 9000
	if a, err := agent.Start(cfg, c.routers[0]); err == nil {
		a.Close()
		t.Error("packets of 9000 bytes were allowed")
	}
	cfg = c.config(0)
	cfg.Seeds = []string{"nonsense", "127.0.0.1:99999", "[::1", "127.0.0.1:1"}
	a, err := agent.Start(cfg, c.routers[0])
	if err != nil {
		t.Fatal(err)
	}
	a.Close()
	a.Close()
	if a.Status().ID != "" || a.Peers() != nil {
		t.Error("a closed agent answered")
	}
}
