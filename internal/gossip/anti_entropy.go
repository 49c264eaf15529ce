package gossip

import "time"

// startSync starts a periodic state exchange with a random member, which repairs what dissemination missed
// (anti-entropy; Demers et al., "Epidemic Algorithms for Replicated Database Maintenance", PODC 1987).
func (c *Core) startSync() {
	if c.now < c.nextSync {
		return
	}
	c.nextSync = c.now + time.Duration((0.75+float64(c.rng.Float64()/2))*float64(c.syncInterval))
	c.syncInterval = min(2*c.syncInterval, c.cfg.SyncInterval) // more often at first, to learn the members quickly
	for _, to := range c.randomMembers(1, "") {
		c.sendState(to, false)
	}
}

// sendState sends part of the state over a stream, within the budget: the evidence, the suspicions, and as many
// MemberAlive statements as fit. The next call continues with the members after those.
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
	// The reserve is larger than that of replies to probes; otherwise concurrent exchanges would use up the budget of
	// those replies.
	reserve := (1 + c.cfg.ReservedShare) / 2
	available := min(c.cfg.MaxSyncBytes, int(c.byteBudget.tokens-float64(reserve*c.cfg.BurstBytes))) - m.Size()
	if available < 0 || c.messageBudget.tokens-float64(reserve*c.cfg.BurstMessages) < 1 {
		c.stats.Withheld++
		return
	}
	// After the first statement that does not fit, available is negative and no further one is added.
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
	// A receiver that missed a suspicion would otherwise consider the suspect alive until its own probe failed.
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
