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

// The states.
const (
	Alive State = iota
	Suspect
	Dead
)

func (s State) String() string { return [...]string{"alive", "suspect", "dead"}[s] }

// Send is an action: a message to an address, as a datagram or over a stream.
type Send struct {
	To      string
	Stream  bool
	Message Message
}

// Change is an action: a member's state is now this.
type Change struct {
	ID    string
	State State
}

// Heard is an action: a member's word of a worker, for the judge.
type Heard struct {
	Statement Statement
	Age       time.Duration
}

// Live is an action: more members were live at once than ever before, so many. It never tells of fewer: members
// that vanished may only be cut off, and still take their shares.
type Live struct{ Count int }

// Raise is an action: an earlier life of this member counted up to here; its packets are to be counted from
// above it.
type Raise struct{ To uint64 }

// Twin is an action: another process speaks as this member, from that address.
type Twin struct{ Addr string }

// Member is what is known of a member.
type Member struct {
	ID      string `json:"id"`
	Addr    string `json:"address"`
	State   State  `json:"-"`
	Life    uint64 `json:"life"`
	Direct  bool   `json:"direct"` // a packet of its own has come
	Doubted int    `json:"doubted_by"`
}

type member struct {
	word   *Statement // its own last; never changed, as several cores of a simulation hold it
	state  State
	direct bool
	until  time.Duration // of a suspicion: when it becomes death; of death: when it is forgotten
	began  time.Duration
	doubts []Statement // of its last word, by different signers
	clock  clock
	told   time.Duration // when it was last told of its earlier life
}

func (m *member) doubtedBy(signer string) bool {
	return slices.ContainsFunc(m.doubts, func(d Statement) bool { return d.Signer == signer })
}

// clock follows a member's clock: the least of now minus its time is the way's shortest delay. Nothing but
// differences is used, so a clock that is hours off does no harm; a relay that held a statement back can make
// it look older, not newer. The least is taken over one to two minutes, for clocks that don't run alike.
type clock struct {
	known     bool
	life      uint64
	now, last time.Duration
	since     time.Duration
}

const clockSpan = time.Minute

func (c *clock) see(life uint64, now, theirs time.Duration) {
	off := now - theirs
	switch {
	case !c.known || life > c.life:
		*c = clock{known: true, life: life, now: off, last: off, since: now}
	case life < c.life:
	case now-c.since > clockSpan:
		c.last, c.now, c.since = c.now, off, now
	default:
		c.now = min(c.now, off)
	}
}

// age is how long ago the member's clock showed that; 0 where it is not known better.
func (c *clock) age(life uint64, now, theirs time.Duration) time.Duration {
	if !c.known || life != c.life {
		return 0
	}
	return max(now-theirs-min(c.now, c.last), 0)
}

// probe is a probe under way.
type probe struct {
	seq           uint64
	target        string
	helpAt, endAt time.Duration
	helped        bool
	acked         bool
	second        bool       // the one before it failed too
	word          *Statement // the target's last when it was sent: a later one shows that it lives
	forPeer       string     // asked for by that address, under
	forSeq        uint64     // that number
}

// held is a statement on a worker.
type held struct {
	s     Statement
	until time.Duration
}

// Core is one member's state.
type Core struct {
	cfg       Config
	id, addr  string
	life, num uint64 // num counts own statements
	word      Statement
	sign      func(*Statement)
	rng       *rand.Rand
	now       time.Duration
	admitted  func(string) bool
	members   map[string]*member
	order     []string // in which members are probed; shuffled anew each time round
	at        int
	troubled  []string // those not alive, by id
	probes    []*probe
	again     []string // whose probe failed once
	seq       uint64
	nextProbe time.Duration
	nextPush  time.Duration
	nextSync  time.Duration
	raised    time.Duration
	syncGap   time.Duration
	synced    int // where in order the next exchange of state begins
	health    int // 0 is good; each step slows the probes down by as much again
	queue     queue
	evidence  map[subjectOf]*held
	signers   map[string]int // evidence held by signer,
	relayed   map[string]int // and passed on by worker
	nextClean time.Duration
	bytes     bucket
	messages  bucket
	out       []any
	seeds     []string // where members were looked for; asked now and then, so that a partition heals
	stats     Stats
	most      int  // members live at once
	recount   bool // they may have become more
}

// Stats counts what a core has done.
type Stats struct {
	Sent       uint64 `json:"messages_sent"`
	SentBytes  uint64 `json:"bytes_sent"` // by Message.Size, which is no less than what is sent
	Withheld   uint64 `json:"withheld"`   // for want of budget
	Suspicions uint64 `json:"suspicions"`
	Deaths     uint64 `json:"deaths"`
	Refuted    uint64 `json:"refuted"` // doubts of this member that it answered
	MostLive   int    `json:"most_live"`
}

// New returns a core that knows only itself. life must be higher than in any earlier life: a start time will
// do; where it is not, peers tell (see Raise). sign completes a statement.
func New(cfg Config, id, addr string, life, seed uint64, sign func(*Statement)) (*Core, error) {
	if err := cfg.check(); err != nil {
		return nil, err
	}
	c := &Core{cfg: cfg, id: id, addr: addr, life: life, sign: sign, rng: rand.New(rand.NewPCG(seed, 14)),
		admitted: func(string) bool { return true }, members: map[string]*member{}, queue: newQueue(cfg.MaxStatements),
		evidence: map[subjectOf]*held{}, signers: map[string]int{}, relayed: map[string]int{},
		syncGap: cfg.ProbeEvery, most: 1, bytes: bucket{left: cfg.BurstBytes}, messages: bucket{left: cfg.BurstMessages}, raised: -cfg.ProbeEvery}
	return c, nil
}

// Join is an event: addresses where members may be found.
type Join struct{ Addrs []string }

// Received is an event: a message whose signature was found good, by the member that it names as its sender.
// Of its statements those were checked that the core Wants; the caller has left the others out.
type Received struct{ Message Message }

// Stale is an event: a packet in order but for its count, which lies below what was seen of its sender.
type Stale struct {
	Message Message
	Seen    uint64
}

// Say is an event: a word of this member's on a worker: About, Subject, Of and Text.
type Say struct{ Statement Statement }

// Admit is an event: who may take part. Others are forgotten.
type Admit struct{ Admitted func(id string) bool }

// Known is an event: words of members from a trusted store, taken without a message and not passed on. They are
// kept and must not be changed.
type Known struct{ Words []Statement }

// Step takes what has come up to now and returns what to do: Sends, Changes, Heards, Raises, Twins.
func (c *Core) Step(now time.Duration, events []any) []any {
	c.now, c.out = max(now, c.now), nil
	if c.word.Seq == 0 {
		c.announce()
		c.nextProbe = c.now + time.Duration(c.rng.Float64()*float64(c.cfg.ProbeEvery))
		c.nextSync = c.now
	}
	for _, e := range events {
		switch e := e.(type) {
		case Join:
			for _, a := range e.Addrs {
				if a != c.addr {
					if !slices.Contains(c.seeds, a) {
						c.seeds = append(c.seeds, a)
					}
					c.greet(a)
				}
			}
		case Received:
			c.received(&e.Message)
		case Stale:
			c.stale(&e.Message, e.Seen)
		case Say:
			c.say(e.Statement)
		case Admit:
			c.admit(e.Admitted)
		case Known:
			for i := range e.Words {
				c.alive(&e.Words[i], false)
			}
		}
	}
	c.expire()
	c.probeOn()
	c.pushOn()
	c.syncOn()
	if c.recount {
		c.recount = false
		if n := c.Live(); n > c.most {
			c.most = n
			c.out = append(c.out, Live{n})
		}
	}
	return c.out
}

// Due is when Step has something to do without a further event.
func (c *Core) Due() time.Duration {
	at := min(c.nextProbe, c.nextSync)
	if c.queue.n >= backlog || c.urgent() {
		at = min(at, c.nextPush)
	}
	for _, p := range c.probes {
		if !p.helped && !p.acked {
			at = min(at, p.helpAt)
		}
		at = min(at, p.endAt)
	}
	for _, id := range c.troubled {
		at = min(at, c.members[id].until)
	}
	return max(at, c.now+time.Millisecond)
}

// Settle takes all members known for heard themselves, in a group that is simulated from when it has settled.
func (c *Core) Settle() {
	for _, m := range c.members {
		m.direct = true
	}
}

// Members lists those known, this one left out, by id.
func (c *Core) Members() []Member {
	out := make([]Member, 0, len(c.members))
	for id, m := range c.members {
		out = append(out, Member{ID: id, Addr: m.word.Text, State: m.state, Life: m.word.Life, Direct: m.direct,
			Doubted: len(m.doubts)})
	}
	slices.SortFunc(out, func(a, b Member) int { return cmp.Compare(a.ID, b.ID) })
	return out
}

// Live counts the members that are not dead and whose own packets have come, this one included. Hearsay adds
// nobody.
func (c *Core) Live() int {
	n := 1
	for _, m := range c.members {
		if m.direct && m.state != Dead {
			n++
		}
	}
	return n
}

// Health is the local health: 0 is good.
func (c *Core) Health() int { return c.health }

// Stats tells what the core has done.
func (c *Core) Stats() Stats {
	c.stats.MostLive = c.most
	return c.stats
}

// Evidence lists the statements on workers that are held.
func (c *Core) Evidence() []Statement {
	out := make([]Statement, 0, len(c.evidence))
	for _, h := range c.evidence {
		out = append(out, h.s)
	}
	slices.SortFunc(out, func(a, b Statement) int {
		return cmp.Or(cmp.Compare(a.Subject, b.Subject), cmp.Compare(a.Signer, b.Signer), cmp.Compare(a.About, b.About))
	})
	return out
}

// Sending -----------------------------------------------------------------------------------------------

// send completes a message with statements and sends it, within the budget. reserve is the share of the budget
// that is left alone. A message beyond it is not sent: the protocol takes that for loss, which it is made for.
func (c *Core) send(to string, m Message, reserve float64) bool {
	m.From, m.Addr, m.Life, m.Now = c.id, c.addr, c.life, c.now
	size := m.Size()
	c.bytes.take(c.now, c.cfg.BytesPerSecond, c.cfg.BurstBytes, 0)
	c.messages.take(c.now, c.cfg.MessagesPerSec, c.cfg.BurstMessages, 0)
	room := min(c.cfg.PacketBytes, int(c.bytes.left-reserve*c.cfg.BurstBytes))
	if size > room || c.messages.left-reserve*c.cfg.BurstMessages < 1 {
		c.stats.Withheld++
		return false
	}
	m.Statements = c.queue.take(room-size, copies(c.cfg.SpreadMult, len(c.members)+1), m.Statements)
	c.spend(&m)
	c.out = append(c.out, Send{To: to, Message: m})
	return true
}

func (c *Core) spend(m *Message) {
	size := m.Size()
	c.bytes.left -= float64(size)
	c.messages.left--
	c.stats.Sent++
	c.stats.SentBytes += uint64(size)
}

// greet pings an address where a member may be.
func (c *Core) greet(addr string) {
	c.seq++
	c.send(addr, Message{Kind: Ping, Seq: c.seq, Want: true, Statements: []Statement{c.word}}, 0)
}

// announce makes a new word of this member's own.
func (c *Core) announce() {
	c.num++
	c.word = Statement{About: IsAlive, Signer: c.id, Life: c.life, Seq: c.num, At: c.now, Text: c.addr}
	c.sign(&c.word)
	c.queue.put(c.word)
}

// say signs a word on a worker and passes it on.
func (c *Core) say(s Statement) {
	if !s.About.OfWorker() {
		return
	}
	c.num++
	s.Signer, s.Life, s.Seq, s.At, s.Num = c.id, c.life, c.num, c.now, 0
	c.sign(&s)
	c.hold(&s, c.cfg.Fresh)
	c.queue.put(s)
	c.nextPush = min(c.nextPush, c.now)
}

// Receiving ---------------------------------------------------------------------------------------------

// Wants tells whether a statement would be news, so that a caller checks no signature in vain.
func (c *Core) Wants(s *Statement) bool {
	if !c.admitted(s.Signer) {
		return false
	}
	m := c.members[s.Signer]
	switch {
	case s.About == IsAlive && s.Signer == c.id:
		return s.after(&c.word)
	case s.About == IsAlive:
		return m == nil && len(c.members) < c.cfg.MaxMembers || m != nil && s.after(m.word)
	case s.Signer == c.id:
		return false
	case s.About == Doubts && s.Subject == c.id:
		return s.Of == c.word.Life && s.Num == c.word.Seq
	case s.About == Doubts:
		w := c.members[s.Subject]
		return w != nil && w.state != Dead && s.Of == w.word.Life && s.Num == w.word.Seq &&
			len(w.doubts) <= c.cfg.Confirmations && !w.doubtedBy(s.Signer)
	}
	if h := c.evidence[s.of()]; h != nil && !s.after(&h.s) {
		return false
	} else if h == nil && (len(c.evidence) >= c.cfg.MaxEvidence || c.signers[s.Signer] >= max(c.cfg.MaxEvidence/16, 1)) {
		return false
	}
	return m != nil && c.age(m, s) < c.cfg.Fresh
}

// age is how long ago a member signed a statement.
func (c *Core) age(m *member, s *Statement) time.Duration { return m.clock.age(s.Life, c.now, s.At) }

func (c *Core) received(m *Message) {
	if m.From == c.id || !c.admitted(m.From) {
		return
	}
	for i := range m.Statements {
		c.learn(&m.Statements[i])
	}
	w := c.members[m.From]
	if w != nil {
		if m.Life < w.word.Life {
			c.stale(m, w.word.Life)
			return
		}
		w.clock.see(m.Life, c.now, m.Now)
		c.recount = c.recount || !w.direct
		w.direct = true
	}
	if m.Seen > c.life {
		c.raise(m.Seen)
	}
	want := w == nil || w.word.Life < m.Life
	var more []Statement
	if m.Want {
		more = append(more, c.word)
	}
	if w != nil && w.state != Alive && w.word.Life == m.Life { // so that it can refute
		more = append(more, c.doubt(m.From, w))
	}
	switch m.Kind {
	case Ping:
		c.send(m.Addr, Message{Kind: Ack, Seq: m.Seq, Want: want, Statements: more}, c.cfg.Reserve)
		return
	case Ack:
		c.acked(m)
	case Help:
		c.help(m)
	case Exchange:
		if !m.Back {
			c.sync(m.Addr, true)
		}
	}
	if len(more) > 0 || want {
		c.send(m.Addr, Message{Kind: Push, Want: want, Statements: more}, c.cfg.Reserve)
	}
}

func (c *Core) acked(m *Message) {
	for _, p := range c.probes {
		// The sender must be who was asked: its address may be another's by now.
		if p.seq != m.Seq || p.acked || p.forPeer == "" && m.From != p.target && m.Target != p.target ||
			p.forPeer != "" && m.From != p.target {
			continue
		}
		p.acked = true
		if p.forPeer != "" {
			c.send(p.forPeer, Message{Kind: Ack, Seq: p.forSeq, Target: p.target}, 0)
		} else {
			c.health = max(c.health-1, 0)
		}
	}
}

func (c *Core) help(m *Message) {
	t := c.members[m.Target]
	if t == nil || len(c.probes) > 64 {
		return
	}
	c.seq++
	if c.send(t.word.Text, Message{Kind: Ping, Seq: c.seq}, c.cfg.Reserve) {
		c.probes = append(c.probes, &probe{seq: c.seq, target: m.Target, endAt: c.now + c.cfg.ProbeEvery, helped: true,
			forPeer: m.Addr, forSeq: m.Seq})
	}
}

// stale tells a member that started anew with its clock set back how far its earlier life had counted. One
// answer a probe time, as it may be a replay by somebody else.
func (c *Core) stale(m *Message, seen uint64) {
	w := c.members[m.From]
	if w == nil || m.From == c.id || c.now-w.told < c.cfg.ProbeEvery {
		return
	}
	w.told = c.now
	c.send(m.Addr, Message{Kind: Push, Seen: max(seen, w.word.Life)}, c.cfg.Reserve)
}

// raise begins a higher life where an earlier one of this member's had come further.
func (c *Core) raise(to uint64) {
	if to >= maxNumber-1<<32 || c.now-c.raised < c.cfg.ProbeEvery {
		return
	}
	c.raised, c.life, c.num = c.now, to+1, 0
	c.out = append(c.out, Raise{To: to})
	c.announce()
}

// learn takes one statement.
func (c *Core) learn(s *Statement) {
	if !c.Wants(s) {
		return
	}
	switch {
	case s.About == IsAlive && s.Signer == c.id:
		if s.Text != c.addr {
			c.out = append(c.out, Twin{Addr: s.Text})
		}
		c.raise(s.Life)
	case s.About == IsAlive:
		word := *s
		c.alive(&word, true)
	case s.About == Doubts && s.Subject == c.id:
		// Its being doubted is a sign that this member is slow itself (Lifeguard, section IV-A).
		c.health = min(c.health+1, c.cfg.HealthMax)
		c.stats.Refuted++
		c.announce()
	case s.About == Doubts:
		c.suspect(c.members[s.Subject], s)
	default:
		c.learnOfWorker(s)
	}
}

func (c *Core) learnOfWorker(s *Statement) {
	m := c.members[s.Signer]
	age := c.age(m, s)
	news := c.hold(s, c.cfg.Fresh-age)
	c.out = append(c.out, Heard{Statement: *s, Age: age})
	// Word that enough others have given is not passed on (after the redundancy constant of Trickle, RFC 6206).
	if key := s.Subject; s.About == Back || !news || c.relayed[key] < relayMost {
		if news {
			c.relayed[key]++
		}
		c.queue.put(*s)
	}
}

// relayMost is how many signers' word of one worker a member passes on at a time.
const relayMost = 6

// hold keeps a statement on a worker; it tells whether there was none by that signer.
func (c *Core) hold(s *Statement, span time.Duration) (news bool) {
	h := c.evidence[s.of()]
	if h == nil {
		h, news = &held{}, true
		c.evidence[s.of()] = h
		c.signers[s.Signer]++
	}
	h.s, h.until = *s, c.now+span
	return news
}

// Members -----------------------------------------------------------------------------------------------

// alive takes a member's own word. Whatever was doubted of an earlier one is void.
func (c *Core) alive(s *Statement, spread bool) {
	if s.Signer == c.id {
		return
	}
	m := c.members[s.Signer]
	if m == nil {
		if len(c.members) >= c.cfg.MaxMembers {
			return
		}
		m = &member{word: &Statement{}, state: Dead, told: -c.cfg.ProbeEvery}
		c.members[s.Signer] = m
		i := c.rng.IntN(len(c.order) + 1) // its first probe comes at a random turn
		c.order = slices.Insert(c.order, i, s.Signer)
		if len(c.order) == 1 {
			c.nextSync = c.now // the first one: ask it for all it knows
		}
	} else if !s.after(m.word) {
		return
	}
	if s.Life > m.word.Life {
		m.direct = false
	}
	m.word = s
	m.clock.see(s.Life, c.now, s.At)
	c.become(s.Signer, m, Alive)
	if spread {
		c.queue.put(*s)
	}
}

// doubt is this member's word that another gives no answer.
func (c *Core) doubt(id string, m *member) Statement {
	c.num++
	s := Statement{About: Doubts, Signer: c.id, Life: c.life, Seq: c.num, At: c.now, Subject: id, Of: m.word.Life,
		Num: m.word.Seq}
	c.sign(&s)
	return s
}

// suspect takes a doubt of a member: its suspicion begins, or is shortened by another's word (Lifeguard,
// section IV-B). It ends in death unless the member itself speaks.
func (c *Core) suspect(m *member, s *Statement) {
	if m.state == Alive {
		c.become(s.Subject, m, Suspect)
	}
	m.doubts = append(m.doubts, *s)
	m.until = m.began + c.patience(len(m.doubts))
	c.queue.put(*s)
}

func (c *Core) become(id string, m *member, s State) {
	was := m.state
	for _, d := range m.doubts {
		if s == Alive {
			c.queue.drop(d.of())
		}
	}
	m.state, m.began = s, c.now
	switch s {
	case Alive:
		m.doubts = nil
	case Suspect:
		c.stats.Suspicions++
		m.doubts = nil
	case Dead:
		c.stats.Deaths++
		m.until = c.now + c.cfg.ForgetAfter
	}
	if s != was {
		c.recount = c.recount || s == Alive
		c.out = append(c.out, Change{ID: id, State: s})
		i, in := slices.BinarySearch(c.troubled, id)
		if s == Alive && in {
			c.troubled = slices.Delete(c.troubled, i, i+1)
		} else if s != Alive && !in {
			c.troubled = slices.Insert(c.troubled, i, id)
		}
	}
}

// patience is how long a suspicion lasts that so many have told of (Lifeguard, section IV-B).
func (c *Core) patience(tellers int) time.Duration {
	n := float64(len(c.members) + 1)
	least := c.cfg.SuspectMult * max(math.Log10(n), 1) * float64(c.cfg.ProbeEvery)
	most := least * c.cfg.SuspectMaxMult
	share := math.Log(float64(max(tellers, 1))) / math.Log(float64(c.cfg.Confirmations)+1)
	return time.Duration(max(most-(most-least)*share, least))
}

// expire ends suspicions and forgets the dead and what is no longer fresh.
func (c *Core) expire() {
	for _, id := range slices.Clone(c.troubled) {
		m := c.members[id]
		switch {
		case c.now < m.until:
		case m.state == Suspect:
			c.become(id, m, Dead)
		default:
			c.forget(id)
		}
	}
	if c.now < c.nextClean {
		return
	}
	c.nextClean = c.now + c.cfg.Fresh/8
	clear(c.relayed)
	for k, h := range c.evidence {
		if c.now >= h.until {
			delete(c.evidence, k)
			c.queue.drop(k)
			if c.signers[k.signer]--; c.signers[k.signer] <= 0 {
				delete(c.signers, k.signer)
			}
			continue
		}
		c.relayed[k.subject]++
	}
}

func (c *Core) forget(id string) {
	delete(c.members, id)
	if i, in := slices.BinarySearch(c.troubled, id); in {
		c.troubled = slices.Delete(c.troubled, i, i+1)
	}
	if i := slices.Index(c.order, id); i >= 0 {
		c.order = slices.Delete(c.order, i, i+1)
		if c.at > i {
			c.at--
		}
	}
	c.queue.drop(subjectOf{id, "", IsAlive})
}

// admit takes a new list of who may take part.
func (c *Core) admit(admitted func(string) bool) {
	c.admitted = admitted
	for _, m := range c.Members() {
		if !admitted(m.ID) {
			c.out = append(c.out, Change{ID: m.ID, State: Dead})
			c.forget(m.ID)
		}
	}
	for k := range c.evidence {
		if !admitted(k.signer) {
			delete(c.evidence, k)
			delete(c.signers, k.signer)
			c.queue.drop(k)
		}
	}
}

// Probing -----------------------------------------------------------------------------------------------

// probeOn follows the probes under way and begins the next one when it is time.
func (c *Core) probeOn() {
	slow := time.Duration(c.health + 1)
	for _, p := range c.probes {
		if !p.helped && !p.acked && c.now >= p.helpAt {
			p.helped = true
			for _, h := range c.some(c.cfg.Helpers, p.target) {
				c.send(h, Message{Kind: Help, Seq: p.seq, Target: p.target}, 0)
			}
		}
	}
	c.probes = slices.DeleteFunc(c.probes, func(p *probe) bool {
		if c.now < p.endAt {
			return p.acked
		}
		if !p.acked && p.forPeer == "" {
			c.health = min(c.health+1, c.cfg.HealthMax)
			m := c.members[p.target]
			if !p.second {
				c.again = append(c.again, p.target)
			} else if m != nil && m.word == p.word && m.state != Dead && !m.doubtedBy(c.id) &&
				len(m.doubts) <= c.cfg.Confirmations {
				s := c.doubt(p.target, m)
				c.suspect(m, &s)
			}
		}
		return true
	})
	if c.now < c.nextProbe {
		return
	}
	c.nextProbe = c.now + c.cfg.ProbeEvery*slow
	if len(c.seeds) > 0 && (len(c.order) == 0 || c.rng.IntN(8) == 0) {
		c.greet(c.seeds[c.rng.IntN(len(c.seeds))])
	}
	// A member that failed once is probed again before it is doubted. Loss makes one probe in some thousand fail, with
	// its helpers; at thousands of members the doubts of that alone were more than the budget carries.
	var id string
	var m *member
	second := false
	for len(c.again) > 0 && m == nil {
		id, c.again = c.again[0], c.again[1:]
		if m = c.members[id]; m != nil && m.state == Dead {
			m = nil
		}
		second = m != nil
	}
	if m == nil {
		id, m = c.turn()
	}
	if m == nil {
		return
	}
	c.seq++
	ping := Message{Kind: Ping, Seq: c.seq}
	if m.state == Suspect { // so that it can refute
		ping.Statements = []Statement{c.doubt(id, m)}
	}
	if c.send(m.word.Text, ping, 0) {
		c.probes = append(c.probes, &probe{seq: c.seq, target: id, second: second, word: m.word, helpAt: c.now + c.cfg.ProbeTimeout*slow,
			endAt: c.now + c.cfg.ProbeEvery*slow})
	}
}

// turn is whom to probe next: each member once in a round, in an order shuffled for each (SWIM, section 4.3).
func (c *Core) turn() (string, *member) {
	for range c.order {
		if c.at >= len(c.order) {
			c.at = 0
			c.rng.Shuffle(len(c.order), func(i, j int) { c.order[i], c.order[j] = c.order[j], c.order[i] })
		}
		id := c.order[c.at]
		c.at++
		if m := c.members[id]; m.state != Dead {
			return id, m
		}
	}
	return "", nil
}

// some draws addresses of different members that are alive, one left out.
func (c *Core) some(n int, but string) (out []string) {
	for range 4 * n {
		if len(out) == n || len(c.order) == 0 {
			break
		}
		id := c.order[c.rng.IntN(len(c.order))]
		if m := c.members[id]; id != but && m.state == Alive && !slices.Contains(out, m.word.Text) {
			out = append(out, m.word.Text)
		}
	}
	return out
}

// Pushing and exchange of state -------------------------------------------------------------------------

// urgent tells whether a word waits that was hardly passed on and can't wait for probes to carry it: of a silent
// worker, or this member's own, which may answer a doubt. A member that is slow sends few probes, and would be
// held to be dead before its answer came.
func (c *Core) urgent() bool {
	for r := range min(len(c.queue.ranks), 3) {
		for _, i := range c.queue.ranks[r] {
			if !i.gone && (i.s.About == Silent || i.s.About == Back || i.s.Signer == c.id && i.s.About == IsAlive) {
				return true
			}
		}
	}
	return false
}

// backlog is how many statements wait before they are pushed without being urgent, by half of the budget: what
// probes and their answers carry alone is less than many slow members give occasion to.
const backlog = 16

// pushOn passes what is urgent on by itself.
func (c *Core) pushOn() {
	if c.now < c.nextPush {
		return
	}
	fanout, reserve := c.cfg.Fanout, c.cfg.Reserve
	if !c.urgent() {
		if c.queue.n < backlog {
			return
		}
		fanout, reserve = 1, 0.5
	}
	c.nextPush = c.now + c.cfg.PushEvery
	for _, to := range c.some(fanout, "") {
		c.send(to, Message{Kind: Push}, reserve)
	}
}

// syncOn exchanges state with a member now and then: what rumours missed is made up for (anti-entropy;
// Demers et al., "Epidemic Algorithms for Replicated Database Maintenance", PODC 1987).
func (c *Core) syncOn() {
	if c.now < c.nextSync {
		return
	}
	c.nextSync = c.now + time.Duration((0.75+c.rng.Float64()/2)*float64(c.syncGap))
	c.syncGap = min(2*c.syncGap, c.cfg.SyncEvery) // often at first, while there is much to learn
	for _, to := range c.some(1, "") {
		c.sync(to, false)
	}
}

// sync sends a part of the state over a stream: all word of workers, and the words of members in turn.
func (c *Core) sync(to string, back bool) {
	m := Message{Kind: Exchange, Back: back, From: c.id, Addr: c.addr, Life: c.life, Now: c.now,
		Statements: []Statement{c.word}}
	c.bytes.take(c.now, c.cfg.BytesPerSecond, c.cfg.BurstBytes, 0)
	c.messages.take(c.now, c.cfg.MessagesPerSec, c.cfg.BurstMessages, 0)
	// More is left alone than answers to probes leave, or several exchanges at once would make those answers fail.
	reserve := (1 + c.cfg.Reserve) / 2
	room := min(c.cfg.SyncBytes, int(c.bytes.left-reserve*c.cfg.BurstBytes)) - m.Size()
	if room < 0 || c.messages.left-reserve*c.cfg.BurstMessages < 1 {
		c.stats.Withheld++
		return
	}
	add := func(s *Statement) bool {
		if room -= s.Size(); room >= 0 {
			m.Statements = append(m.Statements, *s)
		}
		return room >= 0
	}
	for _, s := range c.Evidence() {
		if !add(&s) {
			break
		}
	}
	for _, id := range c.troubled { // who missed a doubt would hold the member to be alive until its own turn to probe
		for i := range c.members[id].doubts {
			add(&c.members[id].doubts[i])
		}
	}
	for n := range c.order {
		w := c.members[c.order[(c.synced+n)%len(c.order)]]
		if w.state == Alive && !add(w.word) {
			c.synced = (c.synced + n) % len(c.order)
			break
		}
	}
	c.spend(&m)
	c.out = append(c.out, Send{To: to, Stream: true, Message: m})
}
