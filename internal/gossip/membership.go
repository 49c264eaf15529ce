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

// Member is what is known of a member.
type Member struct {
	ID          string `json:"id"`
	Addr        string `json:"address"`
	State       State  `json:"-"`
	Incarnation uint64 `json:"life"`
	Direct      bool   `json:"direct"`     // a packet of its own has been received
	SuspectedBy int    `json:"doubted_by"` // members that suspect its present incarnation
}

// member is the state kept of another member.
type member struct {
	alive           *Statement // its latest MemberAlive; never modified, as several cores of a simulation share it
	state           State
	direct          bool
	stateEndsAt     time.Duration // of Suspect: when it becomes Dead; of Dead: when the member is removed
	stateBeganAt    time.Duration
	suspicions      []Statement // of its latest MemberAlive, by different signers
	clock           clockOffset
	staleNotifiedAt time.Duration // when it was last notified of its earlier incarnation
}

func (m *member) suspectedBy(signer string) bool {
	return slices.ContainsFunc(m.suspicions, func(s Statement) bool { return s.Signer == signer })
}

// Members lists the known members, without this one, by ID.
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

// Live counts the members that are not dead and whose own packets have been received, this one included. What others
// say of a member adds nobody.
func (c *Core) Live() int {
	n := 1
	for _, m := range c.members {
		if m.direct && m.state != Dead {
			n++
		}
	}
	return n
}

// MarkAllDirect treats all known members as if packets of their own had been received. A simulation uses it to begin
// with a group that has formed already.
func (c *Core) MarkAllDirect() {
	for _, m := range c.members {
		m.direct = true
	}
}

// sendJoinPing pings an address where a member may be.
func (c *Core) sendJoinPing(addr string) {
	c.probeSeq++
	c.send(addr, Message{Kind: Ping, ProbeSeq: c.probeSeq, WantAlive: true, Statements: []Statement{c.ownAlive}}, 0)
}

// announceAlive signs a new MemberAlive of this member, which voids all suspicions of the one before.
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

// notifyStale tells a member that restarted with its clock set back how far its earlier incarnation had got. The answer
// is limited to one each probe interval, as the message may be replayed by somebody else.
func (c *Core) notifyStale(m *Message, seen uint64) {
	sender := c.members[m.From]
	if sender == nil || m.From == c.id || c.now-sender.staleNotifiedAt < c.cfg.ProbeInterval {
		return
	}
	sender.staleNotifiedAt = c.now
	c.send(m.Addr, Message{Kind: Push, ReceiverSeen: max(seen, sender.alive.Incarnation)}, c.cfg.ReservedShare)
}

// raiseIncarnation begins a higher incarnation where an earlier process of this member had got as far as above. It does
// so at most once each probe interval, so that two processes with one key don't drive each other up without bound.
func (c *Core) raiseIncarnation(above uint64) {
	if above >= maxCounter-counterHeadroom || c.now-c.raisedAt < c.cfg.ProbeInterval {
		return
	}
	c.raisedAt, c.incarnation, c.statementSeq = c.now, above+1, 0
	c.actions = append(c.actions, IncarnationRaised{Above: above})
	c.announceAlive()
}

// processAlive takes a member's own MemberAlive. All suspicions of an earlier one are void.
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

// addMember adds a member without a statement, which is dead until processAlive makes it alive.
func (c *Core) addMember(id string) *member {
	m := &member{alive: &Statement{}, state: Dead, staleNotifiedAt: -c.cfg.ProbeInterval}
	c.members[id] = m
	i := c.rng.IntN(len(c.probeOrder) + 1) // its first probe comes at a random place of the round
	c.probeOrder = slices.Insert(c.probeOrder, i, id)
	if len(c.probeOrder) == 1 {
		c.nextSync = c.now // the first member: ask it at once for all that it knows
	}
	return m
}

// setState moves a member to a state, also to the one that it is in, which begins anew.
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

// expireMembers ends suspicions that ran out and removes members that have been dead for long enough.
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

// setAdmitted replaces the rule of who may take part, and removes members and evidence of all others.
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

// randomMembers draws the addresses of at most n different members that are alive, other than except.
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
