package gossip

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

// State is a member's.
type State uint8

// The states, in the order in which they override each other within an incarnation.
const (
	Alive State = iota
	Suspect
	Dead
)

func (s State) String() string { return [...]string{"alive", "suspect", "dead"}[s] }

// Rumour is word of a member: by whom is told, as a suspicion counts by its independent confirmers.
type Rumour struct {
	ID          string
	Addr        string
	State       State
	Incarnation uint64
	By          string
}

// Kind is a message's.
type Kind uint8

// The kinds of message.
const (
	Ping Kind = iota
	Ack
	Help // probe the target in my stead
)

// Message is one packet's content.
type Message struct {
	Kind    Kind
	Count   uint64 // of the sender's packets, set by Keys.Seal
	Seq     uint64 // of the probe
	From    string
	Addr    string // of the sender
	Target  string // of Help: whom to probe
	Rumours []Rumour
}

// Send is an action: a message to an address.
type Send struct {
	To      string
	Message Message
}

// Change is an action: a member's state is now this.
type Change struct {
	ID    string
	State State
}

// Member is what is known of a member.
type Member struct {
	ID, Addr    string
	State       State
	Incarnation uint64
}

type member struct {
	Member
	until     time.Duration // of a suspicion: when it becomes death; of death: when it is forgotten
	began     time.Duration
	confirmed []string // who told of the suspicion
}

// probe is a probe under way.
type probe struct {
	seq           uint64
	target        string
	helpAt, endAt time.Duration
	helped        bool
	acked         bool
	forPeer       string // asked for by that address, under
	forSeq        uint64 // that number
}

// waiting is a rumour to be passed on.
type waiting struct {
	Rumour
	sent int
	age  uint64 // order of arrival: the newest goes first among those passed on as often
}

// Core is one member's state.
type Core struct {
	cfg         Config
	id, addr    string
	incarnation uint64
	rng         *rand.Rand
	now         time.Duration
	members     map[string]*member
	order       []string // in which members are probed; shuffled anew each time round
	at          int
	probes      []*probe
	seq, ages   uint64
	nextProbe   time.Duration
	health      int // 0 is good; each step slows the probes down by as much again
	rumours     []*waiting
	budget      float64
	budgetAt    time.Duration
	out         []any
	seeds       []string // where members were looked for; asked now and then, so that a partition heals
}

// New returns a core that knows only itself. incarnation must be higher than in any earlier life: a start time
// will do.
func New(cfg Config, id, addr string, incarnation, seed uint64) (*Core, error) {
	if err := cfg.check(); err != nil {
		return nil, err
	}
	return &Core{cfg: cfg, id: id, addr: addr, incarnation: incarnation, rng: rand.New(rand.NewPCG(seed, 14)),
		members: map[string]*member{}, budget: cfg.BurstBytes}, nil
}

// Join is an event: addresses where members may be found.
type Join struct{ Addrs []string }

// Received is an event: a message whose signature was found good, by the member that it names as its sender.
type Received struct{ Message Message }

// Step takes what has come up to now and returns what to do: Sends and Changes.
func (c *Core) Step(now time.Duration, events []any) []any {
	c.now, c.out = max(now, c.now), nil
	for _, e := range events {
		switch e := e.(type) {
		case Join:
			for _, a := range e.Addrs {
				if a != c.addr {
					if !slices.Contains(c.seeds, a) {
						c.seeds = append(c.seeds, a)
					}
					c.seq++
					c.send(a, Message{Kind: Ping, Seq: c.seq})
				}
			}
		case Received:
			c.received(e.Message)
		}
	}
	c.expire()
	c.probeOn()
	return c.out
}

// Due is when Step has something to do without a further event.
func (c *Core) Due() time.Duration {
	at := c.nextProbe
	for _, p := range c.probes {
		if !p.helped && !p.acked {
			at = min(at, p.helpAt)
		}
		at = min(at, p.endAt)
	}
	for _, m := range c.members {
		if m.State != Alive {
			at = min(at, m.until)
		}
	}
	return max(at, c.now+time.Millisecond)
}

// Members lists those known, this one left out, by id.
func (c *Core) Members() []Member {
	out := make([]Member, 0, len(c.members))
	for _, m := range c.members {
		out = append(out, m.Member)
	}
	slices.SortFunc(out, func(a, b Member) int { return cmp.Compare(a.ID, b.ID) })
	return out
}

// Health is the local health: 0 is good.
func (c *Core) Health() int { return c.health }

// Sending -----------------------------------------------------------------------------------------------

// send completes a message with rumours and sends it, within the budget. A message beyond it is not sent: the
// protocol takes that for loss, which it is made for.
func (c *Core) send(to string, m Message) bool {
	c.budget = min(c.budget+(c.now-c.budgetAt).Seconds()*c.cfg.BytesPerSecond, c.cfg.BurstBytes)
	c.budgetAt = c.now
	m.From, m.Addr = c.id, c.addr
	size := m.Size()
	if float64(size) > c.budget {
		return false
	}
	limit := min(c.cfg.PacketBytes, int(c.budget))
	most := c.copies()
	slices.SortStableFunc(c.rumours, func(a, b *waiting) int {
		return cmp.Or(cmp.Compare(a.sent, b.sent), cmp.Compare(b.age, a.age))
	})
	for _, r := range c.rumours {
		n := r.Size()
		if size+n > limit {
			break
		}
		size += n
		r.sent++
		m.Rumours = append(m.Rumours, r.Rumour)
	}
	c.rumours = slices.DeleteFunc(c.rumours, func(r *waiting) bool { return r.sent >= most })
	c.budget -= float64(size)
	c.out = append(c.out, Send{To: to, Message: m})
	return true
}

// copies is how often a rumour is passed on.
func (c *Core) copies() int {
	return max(int(math.Ceil(c.cfg.SpreadMult*math.Log2(float64(len(c.members)+2)))), 1)
}

// spread queues a rumour; word of the same member that it overrides is dropped.
func (c *Core) spread(r Rumour) {
	c.rumours = slices.DeleteFunc(c.rumours, func(w *waiting) bool {
		return w.ID == r.ID && (w.State != Suspect || r.State != Suspect || w.By == r.By || w.Incarnation < r.Incarnation)
	})
	if len(c.rumours) >= c.cfg.MaxRumours { // the one passed on most gives way
		i := 0
		for j, w := range c.rumours {
			if w.sent > c.rumours[i].sent {
				i = j
			}
		}
		c.rumours = slices.Delete(c.rumours, i, i+1)
	}
	c.ages++
	c.rumours = append(c.rumours, &waiting{Rumour: r, age: c.ages})
}

// Receiving ---------------------------------------------------------------------------------------------

func (c *Core) received(m Message) {
	if m.From == c.id {
		return
	}
	if c.members[m.From] == nil { // first word of it; its incarnation comes with its own rumour
		c.learn(Rumour{ID: m.From, Addr: m.Addr, By: m.From})
	}
	for _, r := range m.Rumours {
		c.learn(r)
	}
	switch m.Kind {
	case Ping:
		if w := c.members[m.From]; w != nil && w.State != Alive {
			c.spread(Rumour{ID: w.ID, Addr: w.Addr, State: w.State, Incarnation: w.Incarnation, By: c.id}) // so that it can refute
		}
		c.send(m.Addr, Message{Kind: Ack, Seq: m.Seq})
	case Ack:
		for _, p := range c.probes {
			if p.seq != m.Seq || p.acked {
				continue
			}
			p.acked = true
			if p.forPeer != "" {
				c.send(p.forPeer, Message{Kind: Ack, Seq: p.forSeq})
			} else {
				c.health = max(c.health-1, 0)
			}
		}
	case Help:
		t := c.members[m.Target]
		if t == nil || len(c.probes) > 64 {
			return
		}
		c.seq++
		c.probes = append(c.probes, &probe{seq: c.seq, target: t.ID, endAt: c.now + c.cfg.ProbeEvery, helped: true,
			forPeer: m.Addr, forSeq: m.Seq})
		c.send(t.Addr, Message{Kind: Ping, Seq: c.seq})
	}
}

// learn takes word of a member, by SWIM's order: a higher incarnation overrides, within one the graver state.
func (c *Core) learn(r Rumour) {
	if r.ID == c.id {
		c.refute(r)
		return
	}
	m := c.members[r.ID]
	if m == nil {
		if r.State == Dead || len(c.members) >= c.cfg.MaxMembers || r.Addr == "" {
			return
		}
		m = &member{Member: Member{ID: r.ID, Addr: r.Addr, State: Dead}}
		c.members[r.ID] = m
		i := c.rng.IntN(len(c.order) + 1) // its first probe comes at a random turn
		c.order = slices.Insert(c.order, i, r.ID)
		c.become(m, Alive, r)
		c.spread(Rumour{ID: c.id, Addr: c.addr, Incarnation: c.incarnation, By: c.id}) // the newcomer knows nobody
		if r.State == Alive {
			return
		}
	}
	switch {
	case r.Incarnation < m.Incarnation:
	case r.Incarnation > m.Incarnation && r.State == Alive:
		m.Addr = r.Addr
		c.become(m, Alive, r)
	case r.Incarnation > m.Incarnation && r.State != Alive, r.State > m.State:
		c.become(m, r.State, r)
	case r.State == Suspect && m.State == Suspect:
		c.confirm(m, r)
	}
}

// refute answers word that this member fails: a higher incarnation overrides it everywhere. Having to is a
// sign that this member is slow itself.
func (c *Core) refute(r Rumour) {
	if r.State == Alive || r.Incarnation < c.incarnation {
		return
	}
	c.incarnation = r.Incarnation + 1
	c.health = min(c.health+1, c.cfg.HealthMax)
	c.spread(Rumour{ID: c.id, Addr: c.addr, Incarnation: c.incarnation, By: c.id})
}

// become gives a member a state and passes it on.
func (c *Core) become(m *member, s State, r Rumour) {
	was := m.State
	m.State, m.Incarnation, m.began = s, r.Incarnation, c.now
	m.confirmed = nil
	switch s {
	case Suspect:
		m.confirmed = []string{r.By}
		m.until = c.now + c.patience(1)
	case Dead:
		m.until = c.now + c.cfg.ForgetAfter
	}
	c.spread(Rumour{ID: m.ID, Addr: m.Addr, State: s, Incarnation: m.Incarnation, By: r.By})
	if s != was {
		c.out = append(c.out, Change{ID: m.ID, State: s})
	}
}

// confirm takes an independent member's word for a suspicion and shortens it.
func (c *Core) confirm(m *member, r Rumour) {
	if len(m.confirmed) > c.cfg.Confirmations || slices.Contains(m.confirmed, r.By) {
		return
	}
	m.confirmed = append(m.confirmed, r.By)
	m.until = m.began + c.patience(len(m.confirmed))
	c.spread(r)
}

// patience is how long a suspicion lasts that so many have told of (Lifeguard, section IV-B).
func (c *Core) patience(tellers int) time.Duration {
	n := float64(len(c.members) + 1)
	least := c.cfg.SuspectMult * max(math.Log10(n), 1) * float64(c.cfg.ProbeEvery)
	most := least * c.cfg.SuspectMaxMult
	k := float64(c.cfg.Confirmations)
	share := math.Log(float64(tellers)) / math.Log(k+1)
	return time.Duration(max(most-(most-least)*share, least))
}

// Probing -----------------------------------------------------------------------------------------------

// expire ends suspicions and forgets the dead.
func (c *Core) expire() {
	ids := make([]string, 0, 4)
	for id, m := range c.members {
		if m.State != Alive && c.now >= m.until {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	for _, id := range ids {
		m := c.members[id]
		if m.State == Suspect {
			c.become(m, Dead, Rumour{ID: id, State: Dead, Incarnation: m.Incarnation, By: c.id})
			continue
		}
		delete(c.members, id)
		if i := slices.Index(c.order, id); i >= 0 {
			c.order = slices.Delete(c.order, i, i+1)
			if c.at > i {
				c.at--
			}
		}
	}
}

// probeOn follows the probes under way and begins the next one when it is time.
func (c *Core) probeOn() {
	slow := time.Duration(c.health + 1)
	for _, p := range c.probes {
		if !p.helped && !p.acked && c.now >= p.helpAt {
			p.helped = true
			c.askHelp(p)
		}
	}
	c.probes = slices.DeleteFunc(c.probes, func(p *probe) bool {
		if c.now < p.endAt && !(p.acked && p.forPeer != "") {
			return p.acked
		}
		if !p.acked && p.forPeer == "" {
			c.health = min(c.health+1, c.cfg.HealthMax)
			if m := c.members[p.target]; m != nil {
				c.learn(Rumour{ID: m.ID, Addr: m.Addr, State: Suspect, Incarnation: m.Incarnation, By: c.id})
			}
		}
		return true
	})
	if c.now < c.nextProbe {
		return
	}
	c.nextProbe = c.now + c.cfg.ProbeEvery*slow
	if len(c.seeds) > 0 && c.rng.IntN(8) == 0 {
		c.seq++
		c.send(c.seeds[c.rng.IntN(len(c.seeds))], Message{Kind: Ping, Seq: c.seq})
	}
	m := c.turn()
	if m == nil {
		return
	}
	c.seq++
	if c.send(m.Addr, Message{Kind: Ping, Seq: c.seq}) {
		c.probes = append(c.probes, &probe{seq: c.seq, target: m.ID, helpAt: c.now + c.cfg.ProbeTimeout*slow,
			endAt: c.now + c.cfg.ProbeEvery*slow})
	}
}

// turn is whom to probe next: each member once in a round, in an order shuffled for each (SWIM, section 4.3).
func (c *Core) turn() *member {
	for range c.order {
		if c.at >= len(c.order) {
			c.at = 0
			c.rng.Shuffle(len(c.order), func(i, j int) { c.order[i], c.order[j] = c.order[j], c.order[i] })
		}
		m := c.members[c.order[c.at]]
		c.at++
		if m != nil && m.State != Dead {
			return m
		}
	}
	return nil
}

// askHelp has others probe a member that did not answer: the way to it may be at fault.
func (c *Core) askHelp(p *probe) {
	var helpers []*member
	for _, id := range c.order {
		if m := c.members[id]; id != p.target && m.State == Alive {
			helpers = append(helpers, m)
		}
	}
	c.rng.Shuffle(len(helpers), func(i, j int) { helpers[i], helpers[j] = helpers[j], helpers[i] })
	for _, h := range helpers[:min(len(helpers), c.cfg.Helpers)] {
		c.send(h.Addr, Message{Kind: Help, Seq: p.seq, Target: p.target})
	}
}
