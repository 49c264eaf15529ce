//go:build compare

package agent_test

import (
	"fmt"
	"io"
	"log"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/hashicorp/memberlist"

	"github.com/topazfront/topazfront/internal/fake/fakepeer"
	"github.com/topazfront/topazfront/internal/gossip"
	"github.com/topazfront/topazfront/internal/gossip/agent"
)

const (
	comparedMembers = 50
	settleTime      = 25 * time.Second // before traffic is measured
	steadyTime      = 20 * time.Second // while traffic is measured
	detectionTime   = 45 * time.Second // after the death of the victim
	victim          = 7                // index of the member that is stopped
)

// deathLog records when members declared others dead.
type deathLog struct {
	mu   sync.Mutex
	dead map[string][]time.Time // times by ID of the dead member
}

func (l *deathLog) add(id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.dead[id] = append(l.dead[id], time.Now())
}

func (l *deathLog) report(t *testing.T, name string, bytes float64, victim string, from time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	at := l.dead[victim]
	slices.SortFunc(at, time.Time.Compare)
	if len(at) == 0 {
		t.Fatalf("%s: the death was not detected", name)
	}
	t.Logf("%-11s %6.0f bytes/s a member; death detected by the first after %.1f s, by the last of %d after %.1f s; %d others declared dead",
		name, bytes, at[0].Sub(from).Seconds(), len(at), at[len(at)-1].Sub(from).Seconds(), len(l.dead)-1)
}

// countedTransport is memberlist's network transport with a counter of the bytes sent in datagrams and streams.
type countedTransport struct {
	*memberlist.NetTransport
	bytes *atomic.Int64
}

func (c *countedTransport) WriteTo(b []byte, addr string) (time.Time, error) {
	c.bytes.Add(int64(len(b)))
	return c.NetTransport.WriteTo(b, addr)
}

func (c *countedTransport) WriteToAddress(b []byte, addr memberlist.Address) (time.Time, error) {
	return c.WriteTo(b, addr.Addr)
}

func (c *countedTransport) DialTimeout(addr string, d time.Duration) (net.Conn, error) {
	conn, err := c.NetTransport.DialTimeout(addr, d)
	if err != nil {
		return nil, err
	}
	return countedConn{conn, c.bytes}, nil
}

func (c *countedTransport) DialAddressTimeout(addr memberlist.Address, d time.Duration) (net.Conn, error) {
	return c.DialTimeout(addr.Addr, d)
}

type countedConn struct {
	net.Conn
	bytes *atomic.Int64
}

func (c countedConn) Write(b []byte) (int, error) {
	c.bytes.Add(int64(len(b)))
	return c.Conn.Write(b)
}

// leaveEvents is a memberlist.EventDelegate that records the members declared dead.
type leaveEvents struct{ deaths *deathLog }

func (e leaveEvents) NotifyJoin(*memberlist.Node)    {}
func (e leaveEvents) NotifyUpdate(*memberlist.Node)  {}
func (e leaveEvents) NotifyLeave(n *memberlist.Node) { e.deaths.add(n.Name) }

// TestCompareMemberlist logs the traffic and the detection time of a death for fifty members of hashicorp/memberlist
// and fifty agents on loopback, with the same probe interval and timeout. memberlist's packets are neither signed nor
// encrypted here.
func TestCompareMemberlist(t *testing.T) {
	measureMemberlist(t)
	measureAgents(t)
}

// startMemberlist starts one memberlist member, which joins the first of others.
func startMemberlist(t *testing.T, i int, others []*memberlist.Memberlist, deaths *deathLog, bytes *atomic.Int64) *memberlist.Memberlist {
	cfg := memberlist.DefaultLANConfig()
	cfg.Name, cfg.BindAddr, cfg.BindPort = fmt.Sprintf("m%d", i), "127.0.0.1", 0
	cfg.ProbeInterval, cfg.ProbeTimeout = gossip.LocalConfig.ProbeInterval, gossip.LocalConfig.ProbeTimeout
	cfg.Logger, cfg.Events = log.New(io.Discard, "", 0), leaveEvents{deaths}
	transport, err := memberlist.NewNetTransport(&memberlist.NetTransportConfig{BindAddrs: []string{"127.0.0.1"}, Logger: cfg.Logger})
	if err != nil {
		t.Fatal(err)
	}
	cfg.Transport = &countedTransport{NetTransport: transport, bytes: bytes}
	cfg.BindPort, cfg.AdvertisePort = transport.GetAutoBindPort(), transport.GetAutoBindPort()
	m, err := memberlist.Create(cfg)
	if err != nil {
		t.Fatal(err)
	}
	if len(others) > 0 {
		if _, err := m.Join([]string{others[0].LocalNode().Address()}); err != nil {
			t.Fatal(err)
		}
	}
	return m
}

func measureMemberlist(t *testing.T) {
	deaths := &deathLog{dead: map[string][]time.Time{}}
	var bytes atomic.Int64
	var list []*memberlist.Memberlist
	for i := range comparedMembers {
		list = append(list, startMemberlist(t, i, list, deaths, &bytes))
	}
	time.Sleep(settleTime)
	base := bytes.Load()
	time.Sleep(steadyTime)
	rate := float64(bytes.Load()-base) / steadyTime.Seconds() / comparedMembers
	from := time.Now()
	_ = list[victim].Shutdown() // without leaving first
	time.Sleep(detectionTime)
	deaths.report(t, "memberlist", rate, fmt.Sprintf("m%d", victim), from)
	for i, m := range list {
		if i != victim {
			_ = m.Shutdown()
		}
	}
}

func measureAgents(t *testing.T) {
	deaths := &deathLog{dead: map[string][]time.Time{}}
	network := fakepeer.NewNetwork(0)
	var meters []*fakepeer.Meter
	var agents []*agent.Agent
	var ids, addrs []string
	for i := range comparedMembers {
		ids = append(ids, fmt.Sprintf("r%d", i))
	}
	for i, id := range ids {
		meter := &fakepeer.Meter{}
		a, err := agent.Start(agent.Config{
			ID:         id,
			Listen:     "127.0.0.1:0",
			Seeds:      addrs[:min(1, len(addrs))],
			Gossip:     gossip.LocalConfig,
			Quorum:     gossip.LocalSuspicionQuorumConfig,
			Limiter:    gossip.LocalPacketLimiterConfig,
			Publisher:  gossip.LocalSuspicionPublisherConfig,
			Seed:       uint64(i),
			Members:    admittedKeys(ids, "k1"),
			Key:        agent.Key{Name: "k1", Private: privateKey(id, "k1")},
			MemberDied: deaths.add,
			Hooks: agent.Hooks{
				WrapPacketConn: func(conn net.PacketConn) net.PacketConn { return network.Wrap(conn, meter) },
				AllowStream:    func(_ string, n int) bool { meter.Add(n); return true },
			},
		}, &fakeRouter{notify: make(chan struct{}, 1)})
		if err != nil {
			t.Fatal(err)
		}
		meters, agents, addrs = append(meters, meter), append(agents, a), append(addrs, a.Addr())
	}
	time.Sleep(settleTime)
	before := totalBytes(meters)
	time.Sleep(steadyTime)
	rate := (totalBytes(meters) - before) / steadyTime.Seconds() / comparedMembers
	from := time.Now()
	agents[victim].Close()
	time.Sleep(detectionTime)
	deaths.report(t, "topazfront", rate, ids[victim], from)
	for _, a := range agents {
		a.Close()
	}
}

func totalBytes(meters []*fakepeer.Meter) float64 {
	sum := 0.0
	for _, m := range meters {
		bytes, _, _, _ := m.Totals()
		sum += bytes
	}
	return sum
}
