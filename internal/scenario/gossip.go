package scenario

import (
	"crypto/ed25519"
	"crypto/sha256"
	"encoding/base64"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"time"

	"github.com/topazfront/topazfront/internal/config"
	"github.com/topazfront/topazfront/internal/fake/fakepeer"
	"github.com/topazfront/topazfront/internal/gossip/agent"
	"github.com/topazfront/topazfront/internal/grpcgateway"
	"github.com/topazfront/topazfront/internal/invariants"
)

// party is the gossip of a day: keys, the network between the routers, and who spoils it.
type party struct {
	set     *Gossip
	dir     string
	seed    uint64
	net     *fakepeer.Net
	meters  []*fakepeer.Meter
	forgers []*fakepeer.Forger
	liars   []*fakepeer.Liar
	stop    chan struct{}
	wg      sync.WaitGroup

	mu      sync.Mutex
	keyName string
	addrs   []string // by slot
	conns   []*fakepeer.Conn
	gone    agent.Dropped // of lives that ended
}

// keyOf is a member's key of a name, made from the day's seed: stand-ins only.
func (p *party) keyOf(id, name string) ed25519.PrivateKey {
	seed := sha256.Sum256(fmt.Appendf(nil, "%d %s %s", p.seed, id, name))
	return ed25519.NewKeyFromSeed(seed[:])
}

func slotID(i int) string { return fmt.Sprintf("r%d", i) }

func newParty(s *Script, dir string) (*party, error) {
	p := &party{set: s.Gossip, dir: dir, seed: s.Seed, net: fakepeer.NewNet(s.Seed), keyName: "k1",
		addrs: make([]string, s.Routers), conns: make([]*fakepeer.Conn, s.Routers), stop: make(chan struct{})}
	p.net.Set(fakepeer.Faults{Loss: s.Gossip.Loss})
	c := p.agent(&config.Gossip{Preset: "local", BytesPerSecond: s.Gossip.Bytes}, "")
	for i := range s.Routers {
		p.meters = append(p.meters, &fakepeer.Meter{Rate: c.Gossip.BytesPerSecond, Burst: c.Gossip.BurstBytes,
			PerSec: c.Gossip.MessagesPerSecond, Count: c.Gossip.BurstMessages})
		if err := p.writeKey(i, "k1"); err != nil {
			return nil, err
		}
	}
	return p, p.writeMembers(s.Routers, "k1")
}

func (p *party) agent(g *config.Gossip, id string) agent.Config { return g.AgentConfig(id, p.seed) }

func (p *party) liarID(i int) string { return fmt.Sprintf("liar%d", i) }

// writeMembers writes the file of admitted members with keys of these names each.
func (p *party) writeMembers(routers int, names ...string) error {
	var l config.MemberList
	add := func(id string) {
		m := config.Member{ID: id}
		for _, n := range names {
			pub, _ := p.keyOf(id, n).Public().(ed25519.PublicKey)
			m.Keys = append(m.Keys, config.MemberKey{ID: n, PublicKey: base64.StdEncoding.EncodeToString(pub)})
		}
		l.Members = append(l.Members, m)
	}
	for i := range routers {
		add(slotID(i))
	}
	for i := range p.set.Liars {
		add(p.liarID(i))
	}
	return config.WriteJSON(filepath.Join(p.dir, "members.json"), l)
}

func (p *party) keyFile(i int) string { return filepath.Join(p.dir, fmt.Sprintf("key-%d.pem", i)) }

func (p *party) writeKey(i int, name string) error {
	raw, err := config.FormatKey(agent.Key{Name: name, Private: p.keyOf(slotID(i), name)})
	if err != nil {
		return err
	}
	tmp := p.keyFile(i) + ".new"
	if err := os.WriteFile(tmp, raw, 0o600); err != nil {
		return err
	}
	return os.Rename(tmp, p.keyFile(i))
}

// settings are one router's.
func (p *party) settings(i int) *config.Gossip {
	p.mu.Lock()
	defer p.mu.Unlock()
	g := &config.Gossip{ID: slotID(i), Listen: "127.0.0.1:0", Preset: "local", BytesPerSecond: p.set.Bytes, VerificationTimeout: 400,
		MembersFile: filepath.Join(p.dir, "members.json"), KeyFile: p.keyFile(i)}
	if p.addrs[i] != "" {
		g.Listen = p.addrs[i] // a later life is found where the earlier was
	}
	for _, a := range p.addrs {
		if a != "" && a != p.addrs[i] && len(g.Seeds) < 3 {
			g.Seeds = append(g.Seeds, a)
		}
	}
	return g
}

// hooks stand between one router and its sockets.
func (p *party) hooks(i int) agent.Hooks {
	m := p.meters[i]
	return agent.Hooks{WrapPacketConn: func(c net.PacketConn) net.PacketConn {
		w := p.net.Wrap(c, m)
		p.mu.Lock()
		p.conns[i] = w
		p.mu.Unlock()
		return w
	}, AllowStream: func(_ string, n int) bool { m.Add(n); return true }}
}

// joined notes where a router's life listens.
func (p *party) joined(i int, g *grpcgateway.Gateway) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.addrs[i] = g.GossipAgent().Addr()
}

// retire keeps what a life counted that is about to end.
func (p *party) retire(g *grpcgateway.Gateway) {
	d := g.GossipAgent().Status().Dropped
	p.mu.Lock()
	defer p.mu.Unlock()
	p.gone = p.gone.Add(d)
}

// begin starts those who spoil it, once all routers are up.
func (p *party) begin(r *Rig) error {
	var names, keyIDs []string
	for i := range r.routers {
		names, keyIDs = append(names, slotID(i)), append(keyIDs, "k1")
	}
	p.mu.Lock()
	addrs := slices.Clone(p.addrs)
	p.mu.Unlock()
	for i := range p.set.Forgers {
		f, err := fakepeer.NewForger(p.seed+uint64(i), names, keyIDs)
		if err != nil {
			return err
		}
		p.forgers = append(p.forgers, f)
		p.wg.Go(func() {
			t := time.NewTicker(time.Duration(float64(time.Second) * float64(len(addrs)) / max(p.set.Forged, 1)))
			defer t.Stop()
			for {
				select {
				case <-p.stop:
					return
				case <-t.C:
					f.Send(addrs, 1)
				}
			}
		})
	}
	l := r.lines()
	starts := l.StartTimes()
	for i := range p.set.Liars {
		id := p.liarID(i)
		c := p.agent(&config.Gossip{Listen: "127.0.0.1:0", Preset: "local", Seeds: addrs[:min(3, len(addrs))]}, id)
		c.Key = agent.Key{Name: "k1", Private: p.keyOf(id, "k1")}
		raw, err := os.ReadFile(filepath.Join(p.dir, "members.json"))
		if err != nil {
			return err
		}
		m, err := config.ParseMembers("members.json", raw)
		if err != nil {
			return err
		}
		c.Members = m
		liar, err := fakepeer.NewLiar(c)
		if err != nil {
			return err
		}
		liar.Accuse(starts)
		p.liars = append(p.liars, liar)
		p.wg.Go(func() { // in turn it calls them all silent, and all back: the dead, the drained, the fresh
			t := time.NewTicker(1500 * time.Millisecond)
			defer t.Stop()
			for {
				select {
				case <-p.stop:
					return
				case <-t.C:
				}
				l := r.lines()
				now := l.StartTimes()
				for id := range now {
					liar.Praise(id)
				}
				liar.Accuse(now)
			}
		})
	}
	if p.set.Mute > 0 {
		r.later(p.set.MuteAt.D(), func() {
			p.mu.Lock()
			defer p.mu.Unlock()
			for _, c := range p.conns[len(p.conns)-p.set.Mute:] {
				c.Mute()
			}
		})
	}
	if at := p.set.ExchKey.D(); at > 0 {
		note := func(err error) {
			if err != nil {
				r.opt.Log.Error("key not exchanged", "error", err)
			}
		}
		r.later(at, func() { note(p.writeMembers(len(r.routers), "k1", "k2")) })
		r.later(at+1500*time.Millisecond, func() {
			for i := range r.routers {
				note(p.writeKey(i, "k2"))
			}
			p.mu.Lock()
			p.keyName = "k2"
			p.mu.Unlock()
		})
		r.later(at+4*time.Second, func() { note(p.writeMembers(len(r.routers), "k2")) })
	}
	return nil
}

func (p *party) end() {
	select {
	case <-p.stop:
		return
	default:
	}
	close(p.stop)
	p.wg.Wait()
	for _, f := range p.forgers {
		f.Close()
	}
	for _, l := range p.liars {
		l.Close()
	}
}

// GossipReport is what a day's gossip came to.
type GossipReport struct {
	Cap       float64       `json:"cap_bytes_per_s"`
	Most      float64       `json:"most_bytes_per_s"` // of a router, at its socket, over the day
	Mean      float64       `json:"mean_bytes_per_s"`
	Over      int           `json:"times_over_cap"`
	Forged    int           `json:"forged_sent"`
	Dropped   agent.Dropped `json:"dropped"`
	Claims    uint64        `json:"claims"`
	Looks     uint64        `json:"looks"`
	Silent    uint64        `json:"found_silent"`
	WellFound uint64        `json:"looks_that_found_a_worker_well"`
	LeastLive int           `json:"least_live_seen"`
	LiarMean  float64       `json:"mean_weight_of_a_liar"`
	Keys      []string      `json:"keys_in_use"`
}

// report asks the routers, which must still run. It stops the forgers first and lets what is under way come.
func (p *party) report(r *Rig) *GossipReport {
	p.end()
	out := &GossipReport{Cap: p.meters[0].Rate, LeastLive: 1 << 30, Dropped: p.gone}
	for _, f := range p.forgers {
		out.Forged += f.Sent
	}
	sum := func() (d agent.Dropped) {
		d = p.gone
		for _, sl := range r.routers {
			d = d.Add(sl.g.GossipAgent().Status().Dropped)
		}
		return d
	}
	for range 50 {
		if out.Dropped = sum(); out.Dropped.TotalPackets() >= uint64(out.Forged) {
			break
		}
		time.Sleep(20 * time.Millisecond)
	}
	for i, sl := range r.routers {
		s := sl.g.GossipAgent().Status()
		_, _, rate, over := p.meters[i].Totals()
		out.Most, out.Mean, out.Over = max(out.Most, rate), out.Mean+rate/float64(len(r.routers)), out.Over+over
		out.Claims, out.Looks = out.Claims+s.Quorum.Claims, out.Looks+s.Quorum.Checks
		out.Silent, out.WellFound = out.Silent+s.Quorum.ConfirmedSilent, out.WellFound+s.Quorum.Contradicted
		out.LeastLive = min(out.LeastLive, s.Live)
		if !slices.Contains(out.Keys, s.Key) {
			out.Keys = append(out.Keys, s.Key)
		}
		for _, m := range sl.g.GossipAgent().Peers() {
			if len(m.ID) > 4 && m.ID[:4] == "liar" {
				out.LiarMean += m.Weight / float64(len(r.routers)*len(p.liars))
			}
		}
	}
	return out
}

// Silence is what was sent to workers while they were silent.
type Silence struct {
	Workers  int     `json:"workers"`
	Attempts int     `json:"attempts"`
	P50      float64 `json:"p50_s"`  // from the beginning of the silence,
	P95      float64 `json:"p95_s"`  // over those attempts
	Stop     float64 `json:"stop_s"` // mean over routers of their last attempt at one, of those that sent any
}

// silent is a worker's silence.
type silent struct {
	worker string
	from   time.Duration
	till   time.Duration
}

func silence(list []silent, records []invariants.Record) *Silence {
	out := &Silence{Workers: len(list)}
	var at []float64
	last := map[[2]string]float64{}
	for _, x := range records {
		for _, s := range list {
			if x.Kind == invariants.Got && x.Worker == s.worker && x.At >= s.from && x.At < s.till {
				d := (x.At - s.from).Seconds()
				at = append(at, d)
				last[[2]string{x.Router, x.Worker}] = d
			}
		}
	}
	if out.Attempts = len(at); out.Attempts == 0 {
		return out
	}
	slices.Sort(at)
	out.P50, out.P95 = at[len(at)/2], at[len(at)*95/100]
	for _, d := range last {
		out.Stop += d / float64(len(last))
	}
	return out
}
