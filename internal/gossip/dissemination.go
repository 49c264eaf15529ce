package gossip

import (
	"cmp"
	"slices"
	"time"
)

const (
	// maxRelayedSigners is how many signers' statements about one worker a member relays at a time.
	maxRelayedSigners = 6
	// pushBacklog is the queue length at which statements are pushed even if none is urgent, with part of the budget:
	// many slow members cause more statements than probes and acks alone can carry.
	pushBacklog = 16
	// backlogReserve is the share of the burst that a push of a backlog leaves unused.
	backlogReserve = 0.5
	// urgentRanks is how many ranks of the queue are searched for urgent statements, beginning with the least
	// transmitted ones.
	urgentRanks = 3
)

// evidence is a stored statement about a worker.
type evidence struct {
	statement Statement
	expiresAt time.Duration
}

// Evidence lists the stored statements about workers, sorted by worker, signer and kind.
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

// send fills up a message with queued statements and sends it, if the budget allows. reserve is the share of the burst
// that must remain. If the budget is exhausted, the message is dropped and send returns false; the protocol handles
// this like packet loss.
func (c *Core) send(to string, m Message, reserve float64) bool {
	m.From, m.Addr, m.Incarnation, m.SentAt = c.id, c.addr, c.incarnation, c.now
	size := m.Size()
	c.refillBudget()
	available := min(c.cfg.MaxPacketBytes, int(c.byteBudget.tokens-float64(reserve*c.cfg.BurstBytes)))
	if size > available || c.messageBudget.tokens-float64(reserve*c.cfg.BurstMessages) < 1 {
		c.stats.Withheld++
		return false
	}
	limit := transmitLimit(c.cfg.TransmitMultiplier, len(c.members)+1)
	m.Statements = c.queue.appendNext(available-size, limit, m.Statements)
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

// processEvidence stores another member's statement about a worker, returns it as an action and relays it.
func (c *Core) processEvidence(s *Statement) {
	age := c.statementAge(c.members[s.Signer], s)
	isNew := c.storeEvidence(s, c.cfg.EvidenceLifetime-age)
	c.actions = append(c.actions, EvidenceReceived{Statement: *s, Age: age})
	// A new statement is not relayed if enough others about the same worker already are, like in Trickle with its
	// redundancy constant (RFC 6206).
	if worker := s.Subject; s.Kind == ClaimWithdrawn || !isNew || c.relaysByWorker[worker] < maxRelayedSigners {
		if isNew {
			c.relaysByWorker[worker]++
		}
		c.queue.put(*s)
	}
}

// storeEvidence stores a statement about a worker for lifetime. isNew is false if it replaced one with the same key.
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

// expireEvidence removes statements about workers at the end of their lifetime and recomputes relaysByWorker.
func (c *Core) expireEvidence() {
	if c.now < c.nextEvidenceExpiry {
		return
	}
	c.nextEvidenceExpiry = c.now + c.cfg.EvidenceLifetime/8
	clear(c.relaysByWorker)
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
		c.relaysByWorker[key.subject]++
	}
}

// hasUrgentStatement reports whether the queue has an urgent statement that has been transmitted only a few times.
// Urgent statements don't wait for probes to carry them: those about a silent worker, and this member's own
// MemberAlive, which may refute a suspicion. A slow member sends few probes, and would be declared dead before its
// refutation arrived.
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

// pushStatements sends queued statements in Push messages if one is urgent or the queue is long.
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
