package scenario

import (
	"crypto/ed25519"
	"crypto/sha256"
	"encoding/base64"
	"fmt"
	"net"
	"path/filepath"
	"sync"

	"github.com/topazfront/topazfront/internal/config"
	"github.com/topazfront/topazfront/internal/durable"
	"github.com/topazfront/topazfront/internal/fake/fakepeer"
	"github.com/topazfront/topazfront/internal/gossip/agent"
	"github.com/topazfront/topazfront/internal/grpcgateway"
)

const (
	firstKey  = "k1"
	secondKey = "k2" // after the rotation

	gossipPreset    = "local"
	loopbackAddress = "127.0.0.1:0"
	maxSeeds        = 3
	membersFile     = "members.json"

	// verificationTimeoutMS is how long a router waits for a suspected worker to answer a health check, in
	// milliseconds.
	verificationTimeoutMS = 400
)

// gossipCluster is the gossip between a scenario's routers: keys, the network with its faults, and the attackers.
//
// It owns the goroutines of forgers and liars; stopAttackers stops them and waits for their end.
type gossipCluster struct {
	settings *Gossip
	dir      string // for key files and the member list
	seed     uint64
	network  *fakepeer.Network
	meters   []*fakepeer.Meter // by router
	forgers  []*fakepeer.Forger
	liars    []*fakepeer.Liar
	stop     chan struct{}
	wg       sync.WaitGroup

	mu      sync.Mutex
	addrs   []string         // by router; empty before its first start
	conns   []*fakepeer.Conn // by router
	dropped agent.Dropped    // sum over the incarnations that have ended
}

func newGossipCluster(s *Scenario, dir string) (*gossipCluster, error) {
	c := &gossipCluster{settings: s.Gossip, dir: dir, seed: s.Seed, network: fakepeer.NewNetwork(s.Seed),
		addrs: make([]string, s.Routers), conns: make([]*fakepeer.Conn, s.Routers), stop: make(chan struct{})}
	c.network.SetFaults(fakepeer.Faults{LossRate: s.Gossip.PacketLoss})
	limits := c.agentConfig(&config.Gossip{Preset: gossipPreset, BytesPerSecond: s.Gossip.BytesPerSecond}, "").Gossip
	for i := range s.Routers {
		c.meters = append(c.meters, &fakepeer.Meter{BytesPerSecond: limits.BytesPerSecond, BurstBytes: limits.BurstBytes,
			MessagesPerSecond: limits.MessagesPerSecond, BurstMessages: limits.BurstMessages})
		if err := c.writeKey(i, firstKey); err != nil {
			return nil, err
		}
	}
	return c, c.writeMembers(s.Routers, firstKey)
}

func (c *gossipCluster) agentConfig(g *config.Gossip, id string) agent.Config {
	return g.AgentConfig(id, c.seed)
}

func routerID(i int) string { return fmt.Sprintf("r%d", i) }

// privateKey derives a member's key of a given name from the scenario's seed. These keys are for tests only and need
// not be secret.
func (c *gossipCluster) privateKey(id, name string) ed25519.PrivateKey {
	seed := sha256.Sum256(fmt.Appendf(nil, "%d %s %s", c.seed, id, name))
	return ed25519.NewKeyFromSeed(seed[:])
}

func (c *gossipCluster) membersPath() string { return filepath.Join(c.dir, membersFile) }

// writeMembers writes the list of admitted members, which are the routers and liars, each with the keys of the given
// names.
func (c *gossipCluster) writeMembers(routers int, keyNames ...string) error {
	var list config.MemberList
	add := func(id string) {
		member := config.Member{ID: id}
		for _, name := range keyNames {
			public, _ := c.privateKey(id, name).Public().(ed25519.PublicKey)
			member.Keys = append(member.Keys, config.MemberKey{ID: name, PublicKey: base64.StdEncoding.EncodeToString(public)})
		}
		list.Members = append(list.Members, member)
	}
	for i := range routers {
		add(routerID(i))
	}
	for i := range c.settings.Liars {
		add(liarID(i))
	}
	return config.WriteJSON(c.membersPath(), list)
}

func (c *gossipCluster) keyPath(i int) string {
	return filepath.Join(c.dir, fmt.Sprintf("key-%d.pem", i))
}

// writeKey atomically replaces a router's key file.
func (c *gossipCluster) writeKey(i int, name string) error {
	raw, err := config.FormatKey(agent.Key{Name: name, Private: c.privateKey(routerID(i), name)})
	if err != nil {
		return err
	}
	return durable.ReplaceFile(durable.OS, c.keyPath(i), raw, 0o600)
}

// routerSettings returns the gossip settings of a router's next incarnation.
func (c *gossipCluster) routerSettings(i int) *config.Gossip {
	c.mu.Lock()
	defer c.mu.Unlock()
	g := &config.Gossip{ID: routerID(i), Listen: loopbackAddress, Preset: gossipPreset, BytesPerSecond: c.settings.BytesPerSecond,
		VerificationTimeout: verificationTimeoutMS, MembersFile: c.membersPath(), KeyFile: c.keyPath(i)}
	if c.addrs[i] != "" {
		g.Listen = c.addrs[i] // a later incarnation keeps the address of the first
	}
	for _, addr := range c.addrs {
		if addr != "" && addr != c.addrs[i] && len(g.Seeds) < maxSeeds {
			g.Seeds = append(g.Seeds, addr)
		}
	}
	return g
}

// hooks returns hooks that put the fake network and the router's meter between its agent and its sockets.
func (c *gossipCluster) hooks(i int) agent.Hooks {
	meter := c.meters[i]
	return agent.Hooks{WrapPacketConn: func(socket net.PacketConn) net.PacketConn {
		conn := c.network.Wrap(socket, meter)
		c.mu.Lock()
		c.conns[i] = conn
		c.mu.Unlock()
		return conn
	}, AllowStream: func(_ string, n int) bool { meter.Add(n); return true }}
}

// routerStarted records the gossip address of a router's incarnation.
func (c *gossipCluster) routerStarted(i int, gateway *grpcgateway.Gateway) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.addrs[i] = gateway.GossipAgent().Addr()
}

// routerStopping saves the counters of an incarnation that is about to end.
func (c *gossipCluster) routerStopping(gateway *grpcgateway.Gateway) {
	dropped := gateway.GossipAgent().Status().Dropped
	c.mu.Lock()
	defer c.mu.Unlock()
	c.dropped = c.dropped.Add(dropped)
}
