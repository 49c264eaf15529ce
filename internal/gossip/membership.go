package gossip

import (
	"cmp"
	"slices"
	"time"
)

// State is the state of a member.
type State uint8

// The states of a member.
const (
	Alive State = iota
	Suspect
	Dead
)

func (s State) String() string { return [...]string{"alive", "suspect", "dead"}[s] }

// Member describes another member.
type Member struct {
	ID          string `json:"id"`
	Addr        string `json:"address"`
	State       State  `json:"-"`
	Incarnation uint64 `json:"life"`
	Direct      bool   `json:"direct"`     // a packet sent by the member itself has been received
	SuspectedBy int    `json:"doubted_by"` // number of members that suspect its current incarnation
}

// member is the state stored for another member.
type member struct {
	alive           *Statement // its latest MemberAlive; never modified, as the cores of a simulation share it
	state           State
	direct          bool
	stateEndsAt     time.Duration // in state Suspect: when it becomes Dead; in state Dead: when the member is removed
	stateBeganAt    time.Duration
	suspicions      []Statement // of its latest MemberAlive, one from each signer
	clock           clockOffset
	staleNotifiedAt time.Duration // when a message with ReceiverSeen was last sent to it
}

func (m *member) suspectedBy(signer string) bool {
	return slices.ContainsFunc(m.suspicions, func(s Statement) bool { return s.Signer == signer })
}

// Members lists the known members except this one, sorted by ID.
func (c *Core) Members() []Member {
	list := make([]Member, 0, len(c.members))
	for id, m := range c.members {
		list = append(list, Member{
			ID:          id,
			Addr:        m.alive.Text,
			State:       m.state,
			Incarnation: m.alive.Incarnation,
			Direct:      m.direct,
			SuspectedBy: len(m.suspicions),
		})
	}
	slices.SortFunc(list, func(a, b Member) int { return cmp.Compare(a.ID, b.ID) })
	return list
}

// Live returns the number of members that are not dead and from which a packet has been received directly, plus this
// one. A member known only through statements relayed by others is not counted.
func (c *Core) Live() int {
	n := 1
	for _, m := range c.members {
		if m.direct && m.state != Dead {
			n++
		}
	}
	return n
}

// MarkAllDirect marks all known members as if a packet had been received from each directly. Simulations use it to
// start from a fully formed group.
func (c *Core) MarkAllDirect() {
	for _, m := range c.members {
		m.direct = true
	}
}

// sendJoinPing pings an address at which a member may be found.
func (c *Core) sendJoinPing(addr string) {
	c.probeSeq++
	c.send(addr, Message{Kind: Ping, ProbeSeq: c.probeSeq, WantAlive: true, Statements: []Statement{c.ownAlive}}, 0)
}

// announceAlive signs and queues a new MemberAlive of this member, which voids all suspicions of the previous one.
func (c *Core) announceAlive() {
	c.statementSeq++
	c.ownAlive = Statement{
		Kind:        MemberAlive,
		Signer:      c.id,
		Incarnation: c.incarnation,
		Seq:         c.statementSeq,
		SignedAt:    c.now,
		Text:        c.addr,
	}
	c.sign(&c.ownAlive)
	c.queue.put(c.ownAlive)
}

// notifyStaleSender tells the sender of a stale message the highest counter or incarnation known of it, as it may have
// restarted with its clock set back. It does so at most once per probe interval, as a third party may have replayed the
// message.
func (c *Core) notifyStaleSender(m *Message, highest uint64) {
	sender := c.members[m.From]
	if sender == nil || m.From == c.id || c.now-sender.staleNotifiedAt < c.cfg.ProbeInterval {
		return
	}
	sender.staleNotifiedAt = c.now
	c.send(m.Addr, Message{Kind: Push, ReceiverSeen: max(highest, sender.alive.Incarnation)}, c.cfg.ReservedShare)
}

// raiseIncarnation raises this member's incarnation above that of an earlier process. It does so at most once per probe
// interval, which limits how fast two processes with the same key can raise each other's incarnation.
func (c *Core) raiseIncarnation(above uint64) {
	if above >= maxCounter-counterHeadroom || c.now-c.incarnationRaisedAt < c.cfg.ProbeInterval {
		return
	}
	c.incarnationRaisedAt, c.incarnation, c.statementSeq = c.now, above+1, 0
	c.actions = append(c.actions, IncarnationRaised{Above: above})
	c.announceAlive()
}

// processAlive records another member's MemberAlive, which voids all suspicions of earlier ones.
func (c *Core) processAlive(s *Statement, disseminate bool) {
	if s.Signer == c.id {
		return
	}
	m := c.members[s.Signer]
	if m == nil {
		if len(c.members) >= c.cfg.MaxMembers {
			return
		}
		m = c.addMember(s.Signer)
	} else if !s.newerThan(m.alive) {
		return
	}
	if s.Incarnation > m.alive.Incarnation {
		m.direct = false
	}
	m.alive = s
	m.clock.observe(s.Incarnation, c.now, s.SignedAt)
	c.setState(s.Signer, m, Alive)
	if disseminate {
		c.queue.put(*s)
	}
}

// addMember adds a member without a statement, in state Dead until processAlive sets it to Alive.
func (c *Core) addMember(id string) *member {
	m := &member{alive: &Statement{}, state: Dead, staleNotifiedAt: -c.cfg.ProbeInterval}
	c.members[id] = m
	i := c.rng.IntN(len(c.probeOrder) + 1) // its first probe is at a random position of the round
	c.probeOrder = slices.Insert(c.probeOrder, i, id)
	if len(c.probeOrder) == 1 {
		c.nextSync = c.now // request the first member's state at once
	}
	return m
}

// setState moves a member to a state. If the member is already in that state, the state's time restarts.
func (c *Core) setState(id string, m *member, state State) {
	previous := m.state
	if state == Alive {
		for _, s := range m.suspicions {
			c.queue.drop(s.key())
		}
	}
	m.state, m.stateBeganAt = state, c.now
	switch state {
	case Alive:
		m.suspicions = nil
	case Suspect:
		c.stats.Suspicions++
		m.suspicions = nil
	case Dead:
		c.stats.Deaths++
		m.stateEndsAt = c.now + c.cfg.DeadMemberRetention
	}
	if state == previous {
		return
	}
	c.recountLive = c.recountLive || state == Alive
	c.actions = append(c.actions, MemberStateChanged{ID: id, State: state})
	i, found := slices.BinarySearch(c.notAlive, id)
	if state == Alive && found {
		c.notAlive = slices.Delete(c.notAlive, i, i+1)
	} else if state != Alive && !found {
		c.notAlive = slices.Insert(c.notAlive, i, id)
	}
}

// expireMembers declares members dead whose suspicion timed out and removes those dead for DeadMemberRetention.
func (c *Core) expireMembers() {
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
}

func (c *Core) removeMember(id string) {
	delete(c.members, id)
	if i, found := slices.BinarySearch(c.notAlive, id); found {
		c.notAlive = slices.Delete(c.notAlive, i, i+1)
	}
	if i := slices.Index(c.probeOrder, id); i >= 0 {
		c.probeOrder = slices.Delete(c.probeOrder, i, i+1)
		if c.probeIndex > i {
			c.probeIndex--
		}
	}
	c.queue.drop(statementKey{signer: id, kind: MemberAlive})
}

// setAdmitted replaces the admission predicate and removes all other members and the evidence that they signed.
func (c *Core) setAdmitted(admitted func(string) bool) {
	c.admitted = admitted
	for _, m := range c.Members() {
		if !admitted(m.ID) {
			c.actions = append(c.actions, MemberStateChanged{ID: m.ID, State: Dead})
			c.removeMember(m.ID)
		}
	}
	for key := range c.evidence {
		if !admitted(key.signer) {
			delete(c.evidence, key)
			delete(c.evidenceBySigner, key.signer)
			c.queue.drop(key)
		}
	}
}

// randomMembers returns the addresses of up to n random alive members, without the member except.
func (c *Core) randomMembers(n int, except string) (addresses []string) {
	for range 4 * n { // a draw may hit a member that does not qualify
		if len(addresses) == n || len(c.probeOrder) == 0 {
			break
		}
		id := c.probeOrder[c.rng.IntN(len(c.probeOrder))]
		m := c.members[id]
		if id != except && m.state == Alive && !slices.Contains(addresses, m.alive.Text) {
			addresses = append(addresses, m.alive.Text)
		}
	}
	return addresses
}
