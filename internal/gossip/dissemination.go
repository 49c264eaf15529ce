package gossip

import (
	"cmp"
	"slices"
	"time"
)

const (
	// maxRelayedSigners is how many signers' statements about one worker a member passes on at a time.
	maxRelayedSigners = 6
	// pushBacklog is how many statements wait before they are pushed without being urgent, with half of the budget:
	// probes and their answers alone carry less than many slow members give rise to.
	pushBacklog = 16
	// backlogReserve is the share of the budget that such a push leaves alone.
	backlogReserve = 0.5
	// urgentRanks is how many ranks of the queue, those of statements passed on least, are searched for urgent ones.
	urgentRanks = 3
)

// evidence is a stored statement about a worker.
type evidence struct {
	statement Statement
	expiresAt time.Duration
}

// Evidence lists the stored statements about workers.
func (c *Core) Evidence() []Statement {
	list := make([]Statement, 0, len(c.evidence))
	for _, e := range c.evidence {
		list = append(list, e.statement)
	}
	slices.SortFunc(list, func(a, b Statement) int {
		return cmp.Or(cmp.Compare(a.Subject, b.Subject), cmp.Compare(a.Signer, b.Signer), cmp.Compare(a.Kind, b.Kind))
	})
	return list
}

// send fills a message up with queued statements and sends it, within the budget. reserve is the share of the budget
// that is left alone. A message beyond the budget is not sent, and send returns false: the protocol treats that as
// loss, which it is made for.
func (c *Core) send(to string, m Message, reserve float64) bool {
	m.From, m.Addr, m.Incarnation, m.SentAt = c.id, c.addr, c.incarnation, c.now
	size := m.Size()
	c.refillBudget()
	available := min(c.cfg.MaxPacketBytes, int(c.byteBudget.tokens-reserve*c.cfg.BurstBytes))
	if size > available || c.messageBudget.tokens-reserve*c.cfg.BurstMessages < 1 {
		c.stats.Withheld++
		return false
	}
	limit := transmissions(c.cfg.TransmitMultiplier, len(c.members)+1)
	m.Statements = c.queue.take(available-size, limit, m.Statements)
	c.recordSent(&m)
	c.actions = append(c.actions, Send{To: to, Message: m})
	return true
}

func (c *Core) refillBudget() {
	c.byteBudget.take(c.now, c.cfg.BytesPerSecond, c.cfg.BurstBytes, 0)
	c.messageBudget.take(c.now, c.cfg.MessagesPerSecond, c.cfg.BurstMessages, 0)
}

func (c *Core) recordSent(m *Message) {
	size := m.Size()
	c.byteBudget.tokens -= float64(size)
	c.messageBudget.tokens--
	c.stats.MessagesSent++
	c.stats.BytesSent += uint64(size)
}

// publish signs a statement about a worker and queues it for dissemination.
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

// processEvidence stores another member's statement about a worker, hands it over and passes it on.
func (c *Core) processEvidence(s *Statement) {
	age := c.statementAge(c.members[s.Signer], s)
	isNew := c.storeEvidence(s, c.cfg.EvidenceLifetime-age)
	c.actions = append(c.actions, EvidenceReceived{Statement: *s, Age: age})
	// What enough others have stated already is not passed on (after the redundancy constant of Trickle, RFC 6206).
	if worker := s.Subject; s.Kind == ClaimWithdrawn || !isNew || c.relayedByWorker[worker] < maxRelayedSigners {
		if isNew {
			c.relayedByWorker[worker]++
		}
		c.queue.put(*s)
	}
}

// storeEvidence keeps a statement about a worker for a time. It reports whether none with the same key was stored.
func (c *Core) storeEvidence(s *Statement, lifetime time.Duration) (isNew bool) {
	e := c.evidence[s.key()]
	if e == nil {
		e, isNew = &evidence{}, true
		c.evidence[s.key()] = e
		c.evidenceBySigner[s.Signer]++
	}
	e.statement, e.expiresAt = *s, c.now+lifetime
	return isNew
}

// expireEvidence removes statements about workers that are no longer fresh, and counts anew what is relayed.
func (c *Core) expireEvidence() {
	if c.now < c.nextEvidenceExpiry {
		return
	}
	c.nextEvidenceExpiry = c.now + c.cfg.EvidenceLifetime/8
	clear(c.relayedByWorker)
	for key, e := range c.evidence {
		if c.now >= e.expiresAt {
			delete(c.evidence, key)
			c.queue.drop(key)
			c.evidenceBySigner[key.signer]--
			if c.evidenceBySigner[key.signer] <= 0 {
				delete(c.evidenceBySigner, key.signer)
			}
			continue
		}
		c.relayedByWorker[key.subject]++
	}
}

// hasUrgentStatement reports whether a statement is queued that was hardly passed on and can't wait for probes to carry
// it: of a silent worker, or this member's own MemberAlive, which may refute a suspicion. A member that is slow sends
// few probes, and would be taken for dead before its refutation arrived.
func (c *Core) hasUrgentStatement() bool {
	for rank := range min(len(c.queue.ranks), urgentRanks) {
		for _, q := range c.queue.ranks[rank] {
			if !q.dropped && c.isUrgent(&q.statement) {
				return true
			}
		}
	}
	return false
}

func (c *Core) isUrgent(s *Statement) bool {
	return s.Kind == WorkerSilent || s.Kind == ClaimWithdrawn || s.Signer == c.id && s.Kind == MemberAlive
}

// pushStatements sends queued statements in messages of their own if one is urgent or many wait.
func (c *Core) pushStatements() {
	if c.now < c.nextPush {
		return
	}
	fanout, reserve := c.cfg.PushFanout, c.cfg.ReservedShare
	if !c.hasUrgentStatement() {
		if c.queue.length < pushBacklog {
			return
		}
		fanout, reserve = 1, backlogReserve
	}
	c.nextPush = c.now + c.cfg.PushInterval
	for _, to := range c.randomMembers(fanout, "") {
		c.send(to, Message{Kind: Push}, reserve)
	}
}
