package gossip

import "time"

// startSync exchanges state with a random member now and then, which makes up for what dissemination missed
// (anti-entropy; Demers et al., "Epidemic Algorithms for Replicated Database Maintenance", PODC 1987).
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

// sendState sends a part of the state over a stream, within the budget: all evidence, all suspicions, and the
// MemberAlive statements of so many members as fit, which continue with the next call.
func (c *Core) sendState(to string, reply bool) {
	m := Message{
		Kind:        StateExchange,
		Reply:       reply,
		From:        c.id,
		Addr:        c.addr,
		Incarnation: c.incarnation,
		SentAt:      c.now,
		Statements:  []Statement{c.ownAlive},
	}
	c.refillBudget()
	// More is left alone than answers to probes leave, or several exchanges at once would make those answers fail.
	reserve := (1 + c.cfg.ReservedShare) / 2
	available := min(c.cfg.MaxSyncBytes, int(c.byteBudget.tokens-reserve*c.cfg.BurstBytes)) - m.Size()
	if available < 0 || c.messageBudget.tokens-reserve*c.cfg.BurstMessages < 1 {
		c.stats.Withheld++
		return
	}
	// A statement that does not fit uses up what is left, so that none after it is added.
	add := func(s *Statement) bool {
		available -= s.Size()
		if available >= 0 {
			m.Statements = append(m.Statements, *s)
		}
		return available >= 0
	}
	for _, s := range c.Evidence() {
		if !add(&s) {
			break
		}
	}
	// A member that missed a suspicion would take the suspect for alive until its own probe of it.
	for _, id := range c.notAlive {
		for i := range c.members[id].suspicions {
			add(&c.members[id].suspicions[i])
		}
	}
	for n := range c.probeOrder {
		i := (c.syncIndex + n) % len(c.probeOrder)
		member := c.members[c.probeOrder[i]]
		if member.state == Alive && !add(member.alive) {
			c.syncIndex = i
			break
		}
	}
	c.recordSent(&m)
	c.actions = append(c.actions, Send{To: to, Stream: true, Message: m})
}
