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
type MemberStateChanged struct {
	ID    string
	State State
}

// Heard is an action: a member's word of a worker, for the judge.
type EvidenceReceived struct {
	Statement Statement
	Age       time.Duration
}

// Live is an action: more members were live at once than ever before, so many. It never tells of fewer: members
// that vanished may only be cut off, and still take their shares.
type LiveCountIncreased struct{ Count int }

// Raise is an action: an earlier life of this member counted up to here; its packets are to be counted from
// above it.
type IncarnationRaised struct{ Above uint64 }

// Twin is an action: another process speaks as this member, from that address.
type DuplicateMember struct{ Addr string }

// Member is what is known of a member.
type Member struct {
	ID          string `json:"id"`
	Addr        string `json:"address"`
	State       State  `json:"-"`
	Incarnation uint64 `json:"life"`
	Direct      bool   `json:"direct"` // a packet of its own has come
	SuspectedBy int    `json:"doubted_by"`
}

type member struct {
	alive           *Statement // its own last; never changed, as several cores of a simulation hold it
	state           State
	direct          bool
	stateEndsAt     time.Duration // of a suspicion: when it becomes death; of death: when it is forgotten
	stateBeganAt    time.Duration
	suspicions      []Statement // of its last word, by different signers
	clock           clockOffset
	staleNotifiedAt time.Duration // when it was last told of its earlier life
}

func (m *member) suspectedBy(signer string) bool {
	return slices.ContainsFunc(m.suspicions, func(d Statement) bool { return d.Signer == signer })
}

// clock follows a member's clock: the least of now minus its time is the way's shortest delay. Nothing but
// differences is used, so a clock that is hours off does no harm; a relay that held a statement back can make
// it look older, not newer. The least is taken over one to two minutes, for clocks that don't run alike.
type clockOffset struct {
	known             bool
	incarnation       uint64
	current, previous time.Duration
	since             time.Duration
}

const clockOffsetWindow = time.Minute

func (c *clockOffset) observe(life uint64, now, theirs time.Duration) {
	off := now - theirs
	switch {
	case !c.known || life > c.incarnation:
		*c = clockOffset{known: true, incarnation: life, current: off, previous: off, since: now}
	case life < c.incarnation:
	case now-c.since > clockOffsetWindow:
		c.previous, c.current, c.since = c.current, off, now
	default:
		c.current = min(c.current, off)
	}
}

// age is how long ago the member's clock showed that; 0 where it is not known better.
func (c *clockOffset) age(life uint64, now, theirs time.Duration) time.Duration {
	if !c.known || life != c.incarnation {
		return 0
	}
	return max(now-theirs-min(c.current, c.previous), 0)
}

// probe is a probe under way.
type probe struct {
	seq               uint64
	target            string
	indirectAt, endAt time.Duration
	indirectSent      bool
	acked             bool
	retry             bool       // the one before it failed too
	alive             *Statement // the target's last when it was sent: a later one shows that it lives
	requester         string     // asked for by that address, under
	requesterSeq      uint64     // that number
}

// held is a statement on a worker.
type evidence struct {
	statement Statement
	expiresAt time.Duration
}

// Core is one member's state.
type Core struct {
	cfg                       Config
	id, addr                  string
	incarnation, statementSeq uint64 // num counts own statements
	ownAlive                  Statement
	sign                      func(*Statement)
	rng                       *rand.Rand
	now                       time.Duration
	admitted                  func(string) bool
	members                   map[string]*member
	probeOrder                []string // in which members are probed; shuffled anew each time round
	probeIndex                int
	notAlive                  []string // those not alive, by id
	probes                    []*probe
	probeRetries              []string // whose probe failed once
	probeSeq                  uint64
	nextProbe                 time.Duration
	nextPush                  time.Duration
	nextSync                  time.Duration
	raisedAt                  time.Duration
	syncInterval              time.Duration
	syncIndex                 int // where in order the next exchange of state begins
	healthPenalty             int // 0 is good; each step slows the probes down by as much again
	queue                     broadcastQueue
	evidence                  map[statementKey]*evidence
	evidenceBySigner          map[string]int // evidence held by signer,
	relayedByWorker           map[string]int // and passed on by worker
	nextEvidenceExpiry        time.Duration
	byteBudget                tokenBucket
	messageBudget             tokenBucket
	actions                   []any
	seeds                     []string // where members were looked for; asked now and then, so that a partition heals
	stats                     Stats
	mostLive                  int  // members live at once
	recountLive               bool // they may have become more
}

// Stats counts what a core has done.
type Stats struct {
	MessagesSent uint64 `json:"messages_sent"`
	BytesSent    uint64 `json:"bytes_sent"` // by Message.Size, which is no less than what is sent
	Withheld     uint64 `json:"withheld"`   // for want of budget
	Suspicions   uint64 `json:"suspicions"`
	Deaths       uint64 `json:"deaths"`
	Refutations  uint64 `json:"refuted"` // doubts of this member that it answered
	MostLive     int    `json:"most_live"`
}

// New returns a core that knows only itself. life must be higher than in any earlier life: a start time will
// do; where it is not, peers tell (see Raise). sign completes a statement.
func NewCore(cfg Config, id, addr string, life, seed uint64, sign func(*Statement)) (*Core, error) {
	if err := cfg.validate(); err != nil {
		return nil, err
	}
	c := &Core{cfg: cfg, id: id, addr: addr, incarnation: life, sign: sign, rng: rand.New(rand.NewPCG(seed, 14)),
		admitted: func(string) bool { return true }, members: map[string]*member{}, queue: newBroadcastQueue(cfg.MaxQueuedStatements),
		evidence: map[statementKey]*evidence{}, evidenceBySigner: map[string]int{}, relayedByWorker: map[string]int{},
		syncInterval: cfg.ProbeInterval, mostLive: 1, byteBudget: tokenBucket{tokens: cfg.BurstBytes}, messageBudget: tokenBucket{tokens: cfg.BurstMessages}, raisedAt: -cfg.ProbeInterval}
	return c, nil
}

// Join is an event: addresses where members may be found.
type Join struct{ Addresses []string }

// Received is an event: a message whose signature was found good, by the member that it names as its sender.
// Of its statements those were checked that the core Wants; the caller has left the others out.
type MessageReceived struct{ Message Message }

// Stale is an event: a packet in order but for its count, which lies below what was seen of its sender.
type StaleMessage struct {
	Message Message
	Seen    uint64
}

// Say is an event: a word of this member's on a worker: About, Subject, Of and Text.
type Publish struct{ Statement Statement }

// Admit is an event: who may take part. Others are forgotten.
type AdmissionChanged struct{ Admitted func(id string) bool }

// Known is an event: words of members from a trusted store, taken without a message and not passed on. They are
// kept and must not be changed.
type KnownMembers struct{ Statements []Statement }

// Step takes what has come up to now and returns what to do: Sends, Changes, Heards, Raises, Twins.
func (c *Core) Step(now time.Duration, events []any) []any {
	c.now, c.actions = max(now, c.now), nil
	if c.ownAlive.Seq == 0 {
		c.announceAlive()
		c.nextProbe = c.now + time.Duration(c.rng.Float64()*float64(c.cfg.ProbeInterval))
		c.nextSync = c.now
	}
	for _, e := range events {
		switch e := e.(type) {
		case Join:
			for _, a := range e.Addresses {
				if a != c.addr {
					if !slices.Contains(c.seeds, a) {
						c.seeds = append(c.seeds, a)
					}
					c.sendJoinPing(a)
				}
			}
		case MessageReceived:
			c.messageReceived(&e.Message)
		case StaleMessage:
			c.staleMessage(&e.Message, e.Seen)
		case Publish:
			c.publish(e.Statement)
		case AdmissionChanged:
			c.setAdmitted(e.Admitted)
		case KnownMembers:
			for i := range e.Statements {
				c.processAlive(&e.Statements[i], false)
			}
		}
	}
	c.expire()
	c.advanceProbes()
	c.pushStatements()
	c.startSync()
	if c.recountLive {
		c.recountLive = false
		if n := c.Live(); n > c.mostLive {
			c.mostLive = n
			c.actions = append(c.actions, LiveCountIncreased{n})
		}
	}
	return c.actions
}

// Due is when Step has something to do without a further event.
func (c *Core) Due() time.Duration {
	at := min(c.nextProbe, c.nextSync)
	if c.queue.length >= pushBacklog || c.hasUrgentStatement() {
		at = min(at, c.nextPush)
	}
	for _, p := range c.probes {
		if !p.indirectSent && !p.acked {
			at = min(at, p.indirectAt)
		}
		at = min(at, p.endAt)
	}
	for _, id := range c.notAlive {
		at = min(at, c.members[id].stateEndsAt)
	}
	return max(at, c.now+time.Millisecond)
}

// Settle takes all members known for heard themselves, in a group that is simulated from when it has settled.
func (c *Core) MarkAllDirect() {
	for _, m := range c.members {
		m.direct = true
	}
}

// Members lists those known, this one left out, by id.
func (c *Core) Members() []Member {
	out := make([]Member, 0, len(c.members))
	for id, m := range c.members {
		out = append(out, Member{ID: id, Addr: m.alive.Text, State: m.state, Incarnation: m.alive.Incarnation, Direct: m.direct,
			SuspectedBy: len(m.suspicions)})
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
func (c *Core) HealthPenalty() int { return c.healthPenalty }

// Stats tells what the core has done.
func (c *Core) Stats() Stats {
	c.stats.MostLive = c.mostLive
	return c.stats
}

// Evidence lists the statements on workers that are held.
func (c *Core) Evidence() []Statement {
	out := make([]Statement, 0, len(c.evidence))
	for _, h := range c.evidence {
		out = append(out, h.statement)
	}
	slices.SortFunc(out, func(a, b Statement) int {
		return cmp.Or(cmp.Compare(a.Subject, b.Subject), cmp.Compare(a.Signer, b.Signer), cmp.Compare(a.Kind, b.Kind))
	})
	return out
}

// Sending -----------------------------------------------------------------------------------------------

// send completes a message with statements and sends it, within the budget. reserve is the share of the budget
// that is left alone. A message beyond it is not sent: the protocol takes that for loss, which it is made for.
func (c *Core) send(to string, m Message, reserve float64) bool {
	m.From, m.Addr, m.Incarnation, m.SentAt = c.id, c.addr, c.incarnation, c.now
	size := m.Size()
	c.byteBudget.take(c.now, c.cfg.BytesPerSecond, c.cfg.BurstBytes, 0)
	c.messageBudget.take(c.now, c.cfg.MessagesPerSecond, c.cfg.BurstMessages, 0)
	room := min(c.cfg.MaxPacketBytes, int(c.byteBudget.tokens-reserve*c.cfg.BurstBytes))
	if size > room || c.messageBudget.tokens-reserve*c.cfg.BurstMessages < 1 {
		c.stats.Withheld++
		return false
	}
	m.Statements = c.queue.take(room-size, transmissions(c.cfg.TransmitMultiplier, len(c.members)+1), m.Statements)
	c.recordSent(&m)
	c.actions = append(c.actions, Send{To: to, Message: m})
	return true
}

func (c *Core) recordSent(m *Message) {
	size := m.Size()
	c.byteBudget.tokens -= float64(size)
	c.messageBudget.tokens--
	c.stats.MessagesSent++
	c.stats.BytesSent += uint64(size)
}

// greet pings an address where a member may be.
func (c *Core) sendJoinPing(addr string) {
	c.probeSeq++
	c.send(addr, Message{Kind: Ping, ProbeSeq: c.probeSeq, WantAlive: true, Statements: []Statement{c.ownAlive}}, 0)
}

// announce makes a new word of this member's own.
func (c *Core) announceAlive() {
	c.statementSeq++
	c.ownAlive = Statement{Kind: MemberAlive, Signer: c.id, Incarnation: c.incarnation, Seq: c.statementSeq, SignedAt: c.now, Text: c.addr}
	c.sign(&c.ownAlive)
	c.queue.put(c.ownAlive)
}

// say signs a word on a worker and passes it on.
func (c *Core) publish(s Statement) {
	if !s.Kind.AboutWorker() {
		return
	}
	c.statementSeq++
	s.Signer, s.Incarnation, s.Seq, s.SignedAt, s.SubjectSeq = c.id, c.incarnation, c.statementSeq, c.now, 0
	c.sign(&s)
	c.storeEvidence(&s, c.cfg.EvidenceLifetime)
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
	case s.Kind == MemberAlive && s.Signer == c.id:
		return s.newerThan(&c.ownAlive)
	case s.Kind == MemberAlive:
		return m == nil && len(c.members) < c.cfg.MaxMembers || m != nil && s.newerThan(m.alive)
	case s.Signer == c.id:
		return false
	case s.Kind == MemberSuspected && s.Subject == c.id:
		return s.SubjectIncarnation == c.ownAlive.Incarnation && s.SubjectSeq == c.ownAlive.Seq
	case s.Kind == MemberSuspected:
		w := c.members[s.Subject]
		return w != nil && w.state != Dead && s.SubjectIncarnation == w.alive.Incarnation && s.SubjectSeq == w.alive.Seq &&
			len(w.suspicions) <= c.cfg.Confirmations && !w.suspectedBy(s.Signer)
	}
	if h := c.evidence[s.key()]; h != nil && !s.newerThan(&h.statement) {
		return false
	} else if h == nil && (len(c.evidence) >= c.cfg.MaxEvidence || c.evidenceBySigner[s.Signer] >= max(c.cfg.MaxEvidence/16, 1)) {
		return false
	}
	return m != nil && c.age(m, s) < c.cfg.EvidenceLifetime
}

// age is how long ago a member signed a statement.
func (c *Core) age(m *member, s *Statement) time.Duration {
	return m.clock.age(s.Incarnation, c.now, s.SignedAt)
}

func (c *Core) messageReceived(m *Message) {
	if m.From == c.id || !c.admitted(m.From) {
		return
	}
	for i := range m.Statements {
		c.processStatement(&m.Statements[i])
	}
	w := c.members[m.From]
	if w != nil {
		if m.Incarnation < w.alive.Incarnation {
			c.staleMessage(m, w.alive.Incarnation)
			return
		}
		w.clock.observe(m.Incarnation, c.now, m.SentAt)
		c.recountLive = c.recountLive || !w.direct
		w.direct = true
	}
	if m.ReceiverSeen > c.incarnation {
		c.raiseIncarnation(m.ReceiverSeen)
	}
	want := w == nil || w.alive.Incarnation < m.Incarnation
	var more []Statement
	if m.WantAlive {
		more = append(more, c.ownAlive)
	}
	if w != nil && w.state != Alive && w.alive.Incarnation == m.Incarnation { // so that it can refute
		more = append(more, c.signSuspicion(m.From, w))
	}
	switch m.Kind {
	case Ping:
		c.send(m.Addr, Message{Kind: Ack, ProbeSeq: m.ProbeSeq, WantAlive: want, Statements: more}, c.cfg.ReservedShare)
		return
	case Ack:
		c.ackReceived(m)
	case PingRequest:
		c.pingRequestReceived(m)
	case StateExchange:
		if !m.Reply {
			c.sendState(m.Addr, true)
		}
	}
	if len(more) > 0 || want {
		c.send(m.Addr, Message{Kind: Push, WantAlive: want, Statements: more}, c.cfg.ReservedShare)
	}
}

func (c *Core) ackReceived(m *Message) {
	for _, p := range c.probes {
		// The sender must be who was asked: its address may be another's by now.
		if p.seq != m.ProbeSeq || p.acked || p.requester == "" && m.From != p.target && m.Target != p.target ||
			p.requester != "" && m.From != p.target {
			continue
		}
		p.acked = true
		if p.requester != "" {
			c.send(p.requester, Message{Kind: Ack, ProbeSeq: p.requesterSeq, Target: p.target}, 0)
		} else {
			c.healthPenalty = max(c.healthPenalty-1, 0)
		}
	}
}

func (c *Core) pingRequestReceived(m *Message) {
	t := c.members[m.Target]
	if t == nil || len(c.probes) > 64 {
		return
	}
	c.probeSeq++
	if c.send(t.alive.Text, Message{Kind: Ping, ProbeSeq: c.probeSeq}, c.cfg.ReservedShare) {
		c.probes = append(c.probes, &probe{seq: c.probeSeq, target: m.Target, endAt: c.now + c.cfg.ProbeInterval, indirectSent: true,
			requester: m.Addr, requesterSeq: m.ProbeSeq})
	}
}

// stale tells a member that started anew with its clock set back how far its earlier life had counted. One
// answer a probe time, as it may be a replay by somebody else.
func (c *Core) staleMessage(m *Message, seen uint64) {
	w := c.members[m.From]
	if w == nil || m.From == c.id || c.now-w.staleNotifiedAt < c.cfg.ProbeInterval {
		return
	}
	w.staleNotifiedAt = c.now
	c.send(m.Addr, Message{Kind: Push, ReceiverSeen: max(seen, w.alive.Incarnation)}, c.cfg.ReservedShare)
}

// raise begins a higher life where an earlier one of this member's had come further.
func (c *Core) raiseIncarnation(to uint64) {
	if to >= maxCounter-1<<32 || c.now-c.raisedAt < c.cfg.ProbeInterval {
		return
	}
	c.raisedAt, c.incarnation, c.statementSeq = c.now, to+1, 0
	c.actions = append(c.actions, IncarnationRaised{Above: to})
	c.announceAlive()
}

// learn takes one statement.
func (c *Core) processStatement(s *Statement) {
	if !c.Wants(s) {
		return
	}
	switch {
	case s.Kind == MemberAlive && s.Signer == c.id:
		if s.Text != c.addr {
			c.actions = append(c.actions, DuplicateMember{Addr: s.Text})
		}
		c.raiseIncarnation(s.Incarnation)
	case s.Kind == MemberAlive:
		word := *s
		c.processAlive(&word, true)
	case s.Kind == MemberSuspected && s.Subject == c.id:
		// Its being doubted is a sign that this member is slow itself (Lifeguard, section IV-A).
		c.healthPenalty = min(c.healthPenalty+1, c.cfg.MaxHealthPenalty)
		c.stats.Refutations++
		c.announceAlive()
	case s.Kind == MemberSuspected:
		c.recordSuspicion(c.members[s.Subject], s)
	default:
		c.processEvidence(s)
	}
}

func (c *Core) processEvidence(s *Statement) {
	m := c.members[s.Signer]
	age := c.age(m, s)
	news := c.storeEvidence(s, c.cfg.EvidenceLifetime-age)
	c.actions = append(c.actions, EvidenceReceived{Statement: *s, Age: age})
	// Word that enough others have given is not passed on (after the redundancy constant of Trickle, RFC 6206).
	if key := s.Subject; s.Kind == ClaimWithdrawn || !news || c.relayedByWorker[key] < maxRelayedSigners {
		if news {
			c.relayedByWorker[key]++
		}
		c.queue.put(*s)
	}
}

// relayMost is how many signers' word of one worker a member passes on at a time.
const maxRelayedSigners = 6

// hold keeps a statement on a worker; it tells whether there was none by that signer.
func (c *Core) storeEvidence(s *Statement, span time.Duration) (news bool) {
	h := c.evidence[s.key()]
	if h == nil {
		h, news = &evidence{}, true
		c.evidence[s.key()] = h
		c.evidenceBySigner[s.Signer]++
	}
	h.statement, h.expiresAt = *s, c.now+span
	return news
}

// Members -----------------------------------------------------------------------------------------------

// alive takes a member's own word. Whatever was doubted of an earlier one is void.
func (c *Core) processAlive(s *Statement, spread bool) {
	if s.Signer == c.id {
		return
	}
	m := c.members[s.Signer]
	if m == nil {
		if len(c.members) >= c.cfg.MaxMembers {
			return
		}
		m = &member{alive: &Statement{}, state: Dead, staleNotifiedAt: -c.cfg.ProbeInterval}
		c.members[s.Signer] = m
		i := c.rng.IntN(len(c.probeOrder) + 1) // its first probe comes at a random turn
		c.probeOrder = slices.Insert(c.probeOrder, i, s.Signer)
		if len(c.probeOrder) == 1 {
			c.nextSync = c.now // the first one: ask it for all it knows
		}
	} else if !s.newerThan(m.alive) {
		return
	}
	if s.Incarnation > m.alive.Incarnation {
		m.direct = false
	}
	m.alive = s
	m.clock.observe(s.Incarnation, c.now, s.SignedAt)
	c.setState(s.Signer, m, Alive)
	if spread {
		c.queue.put(*s)
	}
}

// doubt is this member's word that another gives no answer.
func (c *Core) signSuspicion(id string, m *member) Statement {
	c.statementSeq++
	s := Statement{Kind: MemberSuspected, Signer: c.id, Incarnation: c.incarnation, Seq: c.statementSeq, SignedAt: c.now, Subject: id, SubjectIncarnation: m.alive.Incarnation,
		SubjectSeq: m.alive.Seq}
	c.sign(&s)
	return s
}

// suspect takes a doubt of a member: its suspicion begins, or is shortened by another's word (Lifeguard,
// section IV-B). It ends in death unless the member itself speaks.
func (c *Core) recordSuspicion(m *member, s *Statement) {
	if m.state == Alive {
		c.setState(s.Subject, m, Suspect)
	}
	m.suspicions = append(m.suspicions, *s)
	m.stateEndsAt = m.stateBeganAt + c.suspicionTimeout(len(m.suspicions))
	c.queue.put(*s)
}

func (c *Core) setState(id string, m *member, s State) {
	was := m.state
	for _, d := range m.suspicions {
		if s == Alive {
			c.queue.drop(d.key())
		}
	}
	m.state, m.stateBeganAt = s, c.now
	switch s {
	case Alive:
		m.suspicions = nil
	case Suspect:
		c.stats.Suspicions++
		m.suspicions = nil
	case Dead:
		c.stats.Deaths++
		m.stateEndsAt = c.now + c.cfg.DeadMemberRetention
	}
	if s != was {
		c.recountLive = c.recountLive || s == Alive
		c.actions = append(c.actions, MemberStateChanged{ID: id, State: s})
		i, in := slices.BinarySearch(c.notAlive, id)
		if s == Alive && in {
			c.notAlive = slices.Delete(c.notAlive, i, i+1)
		} else if s != Alive && !in {
			c.notAlive = slices.Insert(c.notAlive, i, id)
		}
	}
}

// patience is how long a suspicion lasts that so many have told of (Lifeguard, section IV-B).
func (c *Core) suspicionTimeout(tellers int) time.Duration {
	n := float64(len(c.members) + 1)
	least := c.cfg.SuspicionMultiplier * max(math.Log10(n), 1) * float64(c.cfg.ProbeInterval)
	most := least * c.cfg.MaxSuspicionMultiplier
	share := math.Log(float64(max(tellers, 1))) / math.Log(float64(c.cfg.Confirmations)+1)
	return time.Duration(max(most-(most-least)*share, least))
}

// expire ends suspicions and forgets the dead and what is no longer fresh.
func (c *Core) expire() {
	for _, id := range slices.Clone(c.notAlive) {
		m := c.members[id]
		switch {
		case c.now < m.stateEndsAt:
		case m.state == Suspect:
			c.setState(id, m, Dead)
		default:
			c.removeMember(id)
		}
	}
	if c.now < c.nextEvidenceExpiry {
		return
	}
	c.nextEvidenceExpiry = c.now + c.cfg.EvidenceLifetime/8
	clear(c.relayedByWorker)
	for k, h := range c.evidence {
		if c.now >= h.expiresAt {
			delete(c.evidence, k)
			c.queue.drop(k)
			if c.evidenceBySigner[k.signer]--; c.evidenceBySigner[k.signer] <= 0 {
				delete(c.evidenceBySigner, k.signer)
			}
			continue
		}
		c.relayedByWorker[k.subject]++
	}
}

func (c *Core) removeMember(id string) {
	delete(c.members, id)
	if i, in := slices.BinarySearch(c.notAlive, id); in {
		c.notAlive = slices.Delete(c.notAlive, i, i+1)
	}
	if i := slices.Index(c.probeOrder, id); i >= 0 {
		c.probeOrder = slices.Delete(c.probeOrder, i, i+1)
		if c.probeIndex > i {
			c.probeIndex--
		}
	}
	c.queue.drop(statementKey{id, "", MemberAlive})
}

// admit takes a new list of who may take part.
func (c *Core) setAdmitted(admitted func(string) bool) {
	c.admitted = admitted
	for _, m := range c.Members() {
		if !admitted(m.ID) {
			c.actions = append(c.actions, MemberStateChanged{ID: m.ID, State: Dead})
			c.removeMember(m.ID)
		}
	}
	for k := range c.evidence {
		if !admitted(k.signer) {
			delete(c.evidence, k)
			delete(c.evidenceBySigner, k.signer)
			c.queue.drop(k)
		}
	}
}

// Probing -----------------------------------------------------------------------------------------------

// probeOn follows the probes under way and begins the next one when it is time.
func (c *Core) advanceProbes() {
	slow := time.Duration(c.healthPenalty + 1)
	for _, p := range c.probes {
		if !p.indirectSent && !p.acked && c.now >= p.indirectAt {
			p.indirectSent = true
			for _, h := range c.randomMembers(c.cfg.IndirectProbes, p.target) {
				c.send(h, Message{Kind: PingRequest, ProbeSeq: p.seq, Target: p.target}, 0)
			}
		}
	}
	c.probes = slices.DeleteFunc(c.probes, func(p *probe) bool {
		if c.now < p.endAt {
			return p.acked
		}
		if !p.acked && p.requester == "" {
			c.healthPenalty = min(c.healthPenalty+1, c.cfg.MaxHealthPenalty)
			m := c.members[p.target]
			if !p.retry {
				c.probeRetries = append(c.probeRetries, p.target)
			} else if m != nil && m.alive == p.alive && m.state != Dead && !m.suspectedBy(c.id) &&
				len(m.suspicions) <= c.cfg.Confirmations {
				s := c.signSuspicion(p.target, m)
				c.recordSuspicion(m, &s)
			}
		}
		return true
	})
	if c.now < c.nextProbe {
		return
	}
	c.nextProbe = c.now + c.cfg.ProbeInterval*slow
	if len(c.seeds) > 0 && (len(c.probeOrder) == 0 || c.rng.IntN(8) == 0) {
		c.sendJoinPing(c.seeds[c.rng.IntN(len(c.seeds))])
	}
	// A member that failed once is probed again before it is doubted. Loss makes one probe in some thousand fail, with
	// its helpers; at thousands of members the doubts of that alone were more than the budget carries.
	var id string
	var m *member
	second := false
	for len(c.probeRetries) > 0 && m == nil {
		id, c.probeRetries = c.probeRetries[0], c.probeRetries[1:]
		if m = c.members[id]; m != nil && m.state == Dead {
			m = nil
		}
		second = m != nil
	}
	if m == nil {
		id, m = c.nextProbeTarget()
	}
	if m == nil {
		return
	}
	c.probeSeq++
	ping := Message{Kind: Ping, ProbeSeq: c.probeSeq}
	if m.state == Suspect { // so that it can refute
		ping.Statements = []Statement{c.signSuspicion(id, m)}
	}
	if c.send(m.alive.Text, ping, 0) {
		c.probes = append(c.probes, &probe{seq: c.probeSeq, target: id, retry: second, alive: m.alive, indirectAt: c.now + c.cfg.ProbeTimeout*slow,
			endAt: c.now + c.cfg.ProbeInterval*slow})
	}
}

// turn is whom to probe next: each member once in a round, in an order shuffled for each (SWIM, section 4.3).
func (c *Core) nextProbeTarget() (string, *member) {
	for range c.probeOrder {
		if c.probeIndex >= len(c.probeOrder) {
			c.probeIndex = 0
			c.rng.Shuffle(len(c.probeOrder), func(i, j int) { c.probeOrder[i], c.probeOrder[j] = c.probeOrder[j], c.probeOrder[i] })
		}
		id := c.probeOrder[c.probeIndex]
		c.probeIndex++
		if m := c.members[id]; m.state != Dead {
			return id, m
		}
	}
	return "", nil
}

// some draws addresses of different members that are alive, one left out.
func (c *Core) randomMembers(n int, but string) (out []string) {
	for range 4 * n {
		if len(out) == n || len(c.probeOrder) == 0 {
			break
		}
		id := c.probeOrder[c.rng.IntN(len(c.probeOrder))]
		if m := c.members[id]; id != but && m.state == Alive && !slices.Contains(out, m.alive.Text) {
			out = append(out, m.alive.Text)
		}
	}
	return out
}

// Pushing and exchange of state -------------------------------------------------------------------------

// urgent tells whether a word waits that was hardly passed on and can't wait for probes to carry it: of a silent
// worker, or this member's own, which may answer a doubt. A member that is slow sends few probes, and would be
// held to be dead before its answer came.
func (c *Core) hasUrgentStatement() bool {
	for r := range min(len(c.queue.ranks), 3) {
		for _, i := range c.queue.ranks[r] {
			if !i.dropped && (i.statement.Kind == WorkerSilent || i.statement.Kind == ClaimWithdrawn || i.statement.Signer == c.id && i.statement.Kind == MemberAlive) {
				return true
			}
		}
	}
	return false
}

// backlog is how many statements wait before they are pushed without being urgent, by half of the budget: what
// probes and their answers carry alone is less than many slow members give occasion to.
const pushBacklog = 16

// pushOn passes what is urgent on by itself.
func (c *Core) pushStatements() {
	if c.now < c.nextPush {
		return
	}
	fanout, reserve := c.cfg.PushFanout, c.cfg.ReservedShare
	if !c.hasUrgentStatement() {
		if c.queue.length < pushBacklog {
			return
		}
		fanout, reserve = 1, 0.5
	}
	c.nextPush = c.now + c.cfg.PushInterval
	for _, to := range c.randomMembers(fanout, "") {
		c.send(to, Message{Kind: Push}, reserve)
	}
}

// syncOn exchanges state with a member now and then: what rumours missed is made up for (anti-entropy;
// Demers et al., "Epidemic Algorithms for Replicated Database Maintenance", PODC 1987).
func (c *Core) startSync() {
	if c.now < c.nextSync {
		return
	}
	c.nextSync = c.now + time.Duration((0.75+c.rng.Float64()/2)*float64(c.syncInterval))
	c.syncInterval = min(2*c.syncInterval, c.cfg.SyncInterval) // often at first, while there is much to learn
	for _, to := range c.randomMembers(1, "") {
		c.sendState(to, false)
	}
}

// sync sends a part of the state over a stream: all word of workers, and the words of members in turn.
func (c *Core) sendState(to string, back bool) {
	m := Message{Kind: StateExchange, Reply: back, From: c.id, Addr: c.addr, Incarnation: c.incarnation, SentAt: c.now,
		Statements: []Statement{c.ownAlive}}
	c.byteBudget.take(c.now, c.cfg.BytesPerSecond, c.cfg.BurstBytes, 0)
	c.messageBudget.take(c.now, c.cfg.MessagesPerSecond, c.cfg.BurstMessages, 0)
	// More is left alone than answers to probes leave, or several exchanges at once would make those answers fail.
	reserve := (1 + c.cfg.ReservedShare) / 2
	room := min(c.cfg.MaxSyncBytes, int(c.byteBudget.tokens-reserve*c.cfg.BurstBytes)) - m.Size()
	if room < 0 || c.messageBudget.tokens-reserve*c.cfg.BurstMessages < 1 {
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
	for _, id := range c.notAlive { // who missed a doubt would hold the member to be alive until its own turn to probe
		for i := range c.members[id].suspicions {
			add(&c.members[id].suspicions[i])
		}
	}
	for n := range c.probeOrder {
		w := c.members[c.probeOrder[(c.syncIndex+n)%len(c.probeOrder)]]
		if w.state == Alive && !add(w.alive) {
			c.syncIndex = (c.syncIndex + n) % len(c.probeOrder)
			break
		}
	}
	c.recordSent(&m)
	c.actions = append(c.actions, Send{To: to, Stream: true, Message: m})
}
