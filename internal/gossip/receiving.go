package gossip

import "time"

// signerShareDivisor limits one signer to 1/signerShareDivisor of the evidence store.
const signerShareDivisor = 16

// Wants reports whether a statement is new to the core and would be stored. The caller need not verify the signatures
// of other statements.
func (c *Core) Wants(s *Statement) bool {
	if !c.admitted(s.Signer) {
		return false
	}
	signer := c.members[s.Signer]
	switch {
	case s.Kind == MemberAlive && s.Signer == c.id:
		return s.newerThan(&c.ownAlive)
	case s.Kind == MemberAlive:
		return signer == nil && len(c.members) < c.cfg.MaxMembers || signer != nil && s.newerThan(signer.alive)
	case s.Signer == c.id:
		return false
	case s.Kind == MemberSuspected && s.Subject == c.id:
		return s.SubjectIncarnation == c.ownAlive.Incarnation && s.SubjectSeq == c.ownAlive.Seq
	case s.Kind == MemberSuspected:
		return c.wantsSuspicion(s)
	}
	stored := c.evidence[s.key()]
	if stored != nil && !s.newerThan(&stored.statement) {
		return false
	}
	if stored == nil && !c.hasRoomForEvidence(s.Signer) {
		return false
	}
	return signer != nil && c.statementAge(signer, s) < c.cfg.EvidenceLifetime
}

// wantsSuspicion accepts suspicions of the subject's latest MemberAlive, one from each signer, until enough members
// have confirmed the suspicion.
func (c *Core) wantsSuspicion(s *Statement) bool {
	subject := c.members[s.Subject]
	return subject != nil && subject.state != Dead &&
		s.SubjectIncarnation == subject.alive.Incarnation && s.SubjectSeq == subject.alive.Seq &&
		len(subject.suspicions) <= c.cfg.Confirmations && !subject.suspectedBy(s.Signer)
}

func (c *Core) hasRoomForEvidence(signer string) bool {
	return len(c.evidence) < c.cfg.MaxEvidence &&
		c.evidenceBySigner[signer] < max(c.cfg.MaxEvidence/signerShareDivisor, 1)
}

// statementAge returns the estimated time since a member signed a statement.
func (c *Core) statementAge(signer *member, s *Statement) time.Duration {
	return signer.clock.age(s.Incarnation, c.now, s.SignedAt)
}

// messageReceived processes the statements of a message, then handles the message by its kind.
func (c *Core) messageReceived(m *Message) {
	if m.From == c.id || !c.admitted(m.From) {
		return
	}
	for i := range m.Statements {
		c.processStatement(&m.Statements[i])
	}
	sender := c.members[m.From]
	if sender != nil {
		if m.Incarnation < sender.alive.Incarnation {
			c.notifyStaleSender(m, sender.alive.Incarnation)
			return
		}
		sender.clock.observe(m.Incarnation, c.now, m.SentAt)
		c.recountLive = c.recountLive || !sender.direct
		sender.direct = true
	}
	if m.ReceiverSeen > c.incarnation {
		c.raiseIncarnation(m.ReceiverSeen)
	}
	wantAlive := sender == nil || sender.alive.Incarnation < m.Incarnation
	var reply []Statement
	if m.WantAlive {
		reply = append(reply, c.ownAlive)
	}
	if sender != nil && sender.state != Alive && sender.alive.Incarnation == m.Incarnation {
		reply = append(reply, c.signSuspicion(m.From, sender)) // so that the sender can refute it
	}
	switch m.Kind {
	case Ping:
		ack := Message{Kind: Ack, ProbeSeq: m.ProbeSeq, WantAlive: wantAlive, Statements: reply}
		c.send(m.Addr, ack, c.cfg.ReservedShare)
		return
	case Ack:
		c.ackReceived(m)
	case PingRequest:
		c.pingRequestReceived(m)
	case StateExchange:
		if !m.Reply {
			c.sendState(m.Addr, true)
		}
	case Push: // its statements have been processed above
	}
	if len(reply) > 0 || wantAlive {
		c.send(m.Addr, Message{Kind: Push, WantAlive: wantAlive, Statements: reply}, c.cfg.ReservedShare)
	}
}

// processStatement processes a verified statement, unless an earlier one has made it obsolete.
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
		alive := *s // copied, as member.alive keeps a pointer
		c.processAlive(&alive, true)
	case s.Kind == MemberSuspected && s.Subject == c.id:
		// Having to refute a suspicion indicates that this member is slow itself (Lifeguard, section IV-A).
		c.healthPenalty = min(c.healthPenalty+1, c.cfg.MaxHealthPenalty)
		c.stats.Refutations++
		c.announceAlive()
	case s.Kind == MemberSuspected:
		c.recordSuspicion(c.members[s.Subject], s)
	default:
		c.processEvidence(s)
	}
}
