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

// fakeRouter is a router whose checks find the workers in deadWorkers silent and all others alive.
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

// notifiedOf reports whether ApplyGossip was called with a worker as suspected.
func (r *fakeRouter) notifiedOf(worker string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.ContainsFunc(r.updates, func(u dispatch.GossipUpdate) bool { return slices.Contains(u.SuspectedWorkers, worker) })
}

// privateKey returns a private key derived from a member's ID and a key name.
func privateKey(id, name string) ed25519.PrivateKey {
	seed := bytes.Repeat([]byte(id+"/"+name+"................................"), 2)[:32]
	return ed25519.NewKeyFromSeed(seed)
}

// admittedKeys returns the public keys with the given names of each member.
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

// startForger starts a forger that sends packets in the names of members, with claims that worker "w1" is silent.
func startForger(t *testing.T, members []string) *fakepeer.Forger {
	t.Helper()
	keyNames := slices.Repeat([]string{"k1"}, len(members))
	f, err := fakepeer.NewForger(1, members, keyNames)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(f.Close)
	f.Worker, f.WorkerIncarnation = "w1", 5
	return f
}

// cluster is a group of agents on real sockets, connected by a network with fault injection.
type cluster struct {
	t       *testing.T
	net     *fakepeer.Network
	ids     []string
	agents  []*agent.Agent
	routers []*fakeRouter
	meters  []*fakepeer.Meter
	addrs   []string
}

// fastConfig returns a configuration with short intervals, so that tests run fast.
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

// config returns the configuration of member i, whose packets and streams pass through the network with fault
// injection.
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
		Publisher:    gossip.LocalSuspicionPublisherConfig,
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
				return c.net.Reachable(ownAddr, to) // a partition blocks streams too
			},
		},
	}
}

// newCluster starts n agents and waits until each has discovered all others.
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
	c.waitForLive("all members to find each other", n)
	return c
}

// waitForLive waits until each agent counts at least live members as live.
func (c *cluster) waitForLive(what string, live int) {
	c.t.Helper()
	c.waitFor(what, func() bool {
		return !slices.ContainsFunc(c.agents, func(a *agent.Agent) bool { return a.Status().Live < live })
	})
}

// waitFor polls until the condition holds and fails the test after a minute.
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
