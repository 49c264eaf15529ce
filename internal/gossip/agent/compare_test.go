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
	members = 50
	settle  = 25 * time.Second
	steady  = 20 * time.Second
)

// found notes when each member came to hold another to be dead.
type found struct {
	mu   sync.Mutex
	dead map[string][]time.Time
}

func (f *found) add(id string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.dead[id] = append(f.dead[id], time.Now())
}

func (f *found) report(t *testing.T, name string, bytes float64, victim string, from time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	at := f.dead[victim]
	slices.SortFunc(at, time.Time.Compare)
	if len(at) == 0 {
		t.Fatalf("%s: nobody saw the death", name)
	}
	t.Logf("%-11s %6.0f bytes/s a member; death seen by the first after %.1f s, by the last of %d after %.1f s; %d others held to be dead",
		name, bytes, at[0].Sub(from).Seconds(), len(at), at[len(at)-1].Sub(from).Seconds(), len(f.dead)-1)
}

// counted is memberlist's transport with its bytes counted, datagrams and streams.
type counted struct {
	*memberlist.NetTransport
	bytes *atomic.Int64
}

func (c *counted) WriteTo(b []byte, addr string) (time.Time, error) {
	c.bytes.Add(int64(len(b)))
	return c.NetTransport.WriteTo(b, addr)
}

func (c *counted) WriteToAddress(b []byte, addr memberlist.Address) (time.Time, error) {
	return c.WriteTo(b, addr.Addr)
}

func (c *counted) DialTimeout(addr string, d time.Duration) (net.Conn, error) {
	conn, err := c.NetTransport.DialTimeout(addr, d)
	if err != nil {
		return nil, err
	}
	return countedConn{conn, c.bytes}, nil
}

func (c *counted) DialAddressTimeout(addr memberlist.Address, d time.Duration) (net.Conn, error) {
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

type events struct{ f *found }

func (e events) NotifyJoin(*memberlist.Node)    {}
func (e events) NotifyUpdate(*memberlist.Node)  {}
func (e events) NotifyLeave(n *memberlist.Node) { e.f.add(n.Name) }

// TestCompareMemberlist runs fifty members of each on loopback, with the same time between probes and time-out.
// memberlist's packets are neither signed nor encrypted here.
func TestCompareMemberlist(t *testing.T) {
	for round := range 1 {
		f := &found{dead: map[string][]time.Time{}}
		var bytes atomic.Int64
		var list []*memberlist.Memberlist
		for i := range members {
			c := memberlist.DefaultLANConfig()
			c.Name, c.BindAddr, c.BindPort = fmt.Sprintf("m%d", i), "127.0.0.1", 0
			c.ProbeInterval, c.ProbeTimeout = gossip.LocalConfig.ProbeInterval, gossip.LocalConfig.ProbeTimeout
			c.Logger, c.Events = log.New(io.Discard, "", 0), events{f}
			nt, err := memberlist.NewNetTransport(&memberlist.NetTransportConfig{BindAddrs: []string{"127.0.0.1"}, Logger: c.Logger})
			if err != nil {
				t.Fatal(err)
			}
			w := &counted{NetTransport: nt, bytes: &bytes}
			c.Transport, c.BindPort, c.AdvertisePort = w, nt.GetAutoBindPort(), nt.GetAutoBindPort()
			m, err := memberlist.Create(c)
			if err != nil {
				t.Fatal(err)
			}
			if i > 0 {
				if _, err := m.Join([]string{list[0].LocalNode().Address()}); err != nil {
					t.Fatal(err)
				}
			}
			list = append(list, m)
		}
		time.Sleep(settle)
		base := bytes.Load()
		time.Sleep(steady)
		rate := float64(bytes.Load()-base) / steady.Seconds() / members
		from := time.Now()
		_ = list[7].Shutdown() // dies without a word
		time.Sleep(45 * time.Second)
		f.report(t, "memberlist", rate, "m7", from)
		for i, m := range list {
			if i == 7 {
				continue
			}
			_ = m.Shutdown()
		}

		f = &found{dead: map[string][]time.Time{}}
		n := fakepeer.NewNet(uint64(round))
		var meters []*fakepeer.Meter
		var agents []*agent.Agent
		var ids, addrs []string
		for i := range members {
			ids = append(ids, fmt.Sprintf("r%d", i))
		}
		for i := range members {
			m := &fakepeer.Meter{}
			c := agent.Config{ID: ids[i], Listen: "127.0.0.1:0", Seeds: addrs[:min(1, len(addrs))], Gossip: gossip.LocalConfig,
				Quorum: gossip.LocalSuspicionQuorumConfig, Limiter: gossip.LocalPacketLimiterConfig, Collector: gossip.LocalEvidenceCollectorConfig, Seed: uint64(i),
				Members: admit(ids, "k1"), Key: agent.Key{Name: "k1", Private: keyOf(ids[i], "k1")},
				MemberDied: f.add,
				Hooks: agent.Hooks{WrapPacketConn: func(pc net.PacketConn) net.PacketConn {
					return n.Wrap(pc, m)
				}, AllowStream: func(_ string, n int) bool { m.Add(n); return true }}}
			a, err := agent.Start(c, &script{notify: make(chan struct{}, 1)})
			if err != nil {
				t.Fatal(err)
			}
			meters, agents, addrs = append(meters, m), append(agents, a), append(addrs, a.Addr())
		}
		time.Sleep(settle)
		sum := func() (b float64) {
			for _, m := range meters {
				x, _, _, _ := m.Totals()
				b += x
			}
			return b
		}
		before := sum()
		time.Sleep(steady)
		rate = (sum() - before) / steady.Seconds() / members
		from = time.Now()
		agents[7].Close()
		time.Sleep(45 * time.Second)
		f.report(t, "topazfront", rate, "r7", from)
		for _, a := range agents {
			a.Close()
		}
	}
}
