package gossip

import (
	"math"
	"slices"
	"time"
)

const (
	// maxProbes bounds the concurrent probes that other members can cause with ping requests.
	maxProbes = 64
	// seedPingOneIn is the average number of probes for each join ping to a seed. These pings let a partition heal.
	seedPingOneIn = 8
)

// probe is a probe in progress.
type probe struct {
	seq               uint64
	target            string
	indirectAt, endAt time.Duration
	indirectSent      bool
	acked             bool
	retry             bool       // a repeat of a failed probe
	alive             *Statement // the target's latest MemberAlive when the probe was sent; a newer one proves it alive
	requester         string     // address of the member that requested the probe; empty for this member's own probes
	requesterSeq      uint64     // ProbeSeq of the ping request
}

// ackReceived marks the probe that an Ack belongs to as successful and forwards the Ack to the requester, if any.
func (c *Core) ackReceived(m *Message) {
	for _, p := range c.probes {
		if p.seq != m.ProbeSeq || p.acked || !p.acknowledgedBy(m) {
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

// acknowledgedBy reports whether an Ack comes from the probed member or, for this member's own probes, from a member
// that probed it by request. The sender is compared because another member may have taken over the target's address.
func (p *probe) acknowledgedBy(m *Message) bool {
	return m.From == p.target || p.requester == "" && m.Target == p.target
}

// pingRequestReceived probes a member on behalf of the sender.
func (c *Core) pingRequestReceived(m *Message) {
	target := c.members[m.Target]
	if target == nil || len(c.probes) > maxProbes {
		return
	}
	c.probeSeq++
	if !c.send(target.alive.Text, Message{Kind: Ping, ProbeSeq: c.probeSeq}, c.cfg.ReservedShare) {
		return
	}
	c.probes = append(c.probes, &probe{
		seq:          c.probeSeq,
		target:       m.Target,
		endAt:        c.now + c.cfg.ProbeInterval,
		indirectSent: true, // ping requests are not forwarded
		requester:    m.Addr,
		requesterSeq: m.ProbeSeq,
	})
}

// advanceProbes handles timeouts of the probes in progress and starts the next probe when it is due.
func (c *Core) advanceProbes() {
	slowdown := time.Duration(c.healthPenalty + 1) // read before a failing probe changes the penalty
	c.sendIndirectProbes()
	c.endProbes()
	if c.now < c.nextProbe {
		return
	}
	c.nextProbe = c.now + c.cfg.ProbeInterval*slowdown
	if len(c.seeds) > 0 && (len(c.probeOrder) == 0 || c.rng.IntN(seedPingOneIn) == 0) {
		c.sendJoinPing(c.seeds[c.rng.IntN(len(c.seeds))])
	}
	id, target := c.nextProbeRetry()
	retry := target != nil
	if target == nil {
		id, target = c.nextProbeTarget()
	}
	if target != nil {
		c.startProbe(id, target, retry, slowdown)
	}
}

// sendIndirectProbes sends ping requests for the targets that have not acknowledged within the probe timeout.
func (c *Core) sendIndirectProbes() {
	for _, p := range c.probes {
		if p.indirectSent || p.acked || c.now < p.indirectAt {
			continue
		}
		p.indirectSent = true
		for _, to := range c.randomMembers(c.cfg.IndirectProbes, p.target) {
			c.send(to, Message{Kind: PingRequest, ProbeSeq: p.seq, Target: p.target}, 0)
		}
	}
}

// endProbes removes the probes that were acknowledged or timed out.
func (c *Core) endProbes() {
	c.probes = slices.DeleteFunc(c.probes, func(p *probe) bool {
		if c.now < p.endAt {
			return p.acked
		}
		if !p.acked && p.requester == "" {
			c.probeFailed(p)
		}
		return true
	})
}

// probeFailed schedules one retry of a failed probe, or suspects the target if the retry has failed. With 5 % packet
// loss and three indirect probes, chance alone makes one in 1,600 probes fail. Without the retry, the suspicions that
// this causes among thousands of members exceed the traffic budget.
func (c *Core) probeFailed(p *probe) {
	c.healthPenalty = min(c.healthPenalty+1, c.cfg.MaxHealthPenalty)
	if !p.retry {
		c.probeRetries = append(c.probeRetries, p.target)
		return
	}
	m := c.members[p.target]
	if m != nil && m.alive == p.alive && m.state != Dead && !m.suspectedBy(c.id) &&
		len(m.suspicions) <= c.cfg.Confirmations {
		s := c.signSuspicion(p.target, m)
		c.recordSuspicion(m, &s)
	}
}

// nextProbeRetry returns the next member that is not dead and whose latest probe failed; nil if there is none.
func (c *Core) nextProbeRetry() (string, *member) {
	for len(c.probeRetries) > 0 {
		id := c.probeRetries[0]
		c.probeRetries = c.probeRetries[1:]
		if m := c.members[id]; m != nil && m.state != Dead {
			return id, m
		}
	}
	return "", nil
}

// nextProbeTarget returns the next member to probe, or nil if all are dead. Each member is probed once per round, in an
// order that is shuffled before each round (SWIM, section 4.3).
func (c *Core) nextProbeTarget() (string, *member) {
	for range c.probeOrder {
		if c.probeIndex >= len(c.probeOrder) {
			c.probeIndex = 0
			c.rng.Shuffle(len(c.probeOrder), func(i, j int) {
				c.probeOrder[i], c.probeOrder[j] = c.probeOrder[j], c.probeOrder[i]
			})
		}
		id := c.probeOrder[c.probeIndex]
		c.probeIndex++
		if m := c.members[id]; m.state != Dead {
			return id, m
		}
	}
	return "", nil
}

// startProbe pings a member. slowdown multiplies the probe's timeouts.
func (c *Core) startProbe(id string, target *member, retry bool, slowdown time.Duration) {
	c.probeSeq++
	ping := Message{Kind: Ping, ProbeSeq: c.probeSeq}
	if target.state == Suspect { // so that the target can refute it
		ping.Statements = []Statement{c.signSuspicion(id, target)}
	}
	if !c.send(target.alive.Text, ping, 0) {
		return
	}
	c.probes = append(c.probes, &probe{
		seq:        c.probeSeq,
		target:     id,
		retry:      retry,
		alive:      target.alive,
		indirectAt: c.now + c.cfg.ProbeTimeout*slowdown,
		endAt:      c.now + c.cfg.ProbeInterval*slowdown,
	})
}

// signSuspicion returns a signed MemberSuspected about another member.
func (c *Core) signSuspicion(id string, m *member) Statement {
	c.statementSeq++
	s := Statement{
		Kind:               MemberSuspected,
		Signer:             c.id,
		Incarnation:        c.incarnation,
		Seq:                c.statementSeq,
		SignedAt:           c.now,
		Subject:            id,
		SubjectIncarnation: m.alive.Incarnation,
		SubjectSeq:         m.alive.Seq,
	}
	c.sign(&s)
	return s
}

// recordSuspicion records a MemberSuspected. It starts the suspicion or, as a confirmation by a further signer,
// shortens it (Lifeguard, section IV-B). When the suspicion times out the member is dead, unless it has refuted the
// suspicion.
func (c *Core) recordSuspicion(m *member, s *Statement) {
	if m.state == Alive {
		c.setState(s.Subject, m, Suspect)
	}
	m.suspicions = append(m.suspicions, *s)
	m.stateEndsAt = m.stateBeganAt + c.suspicionTimeout(len(m.suspicions))
	c.queue.put(*s)
}

// suspicionTimeout returns the duration of a suspicion with the given number of signers (Lifeguard, section IV-B).
func (c *Core) suspicionTimeout(signers int) time.Duration {
	n := float64(len(c.members) + 1)
	shortest := float64(c.cfg.SuspicionMultiplier * max(math.Log10(n), 1) * float64(c.cfg.ProbeInterval))
	longest := float64(shortest * c.cfg.MaxSuspicionMultiplier)
	confirmed := math.Log(float64(max(signers, 1))) / math.Log(float64(c.cfg.Confirmations)+1)
	return time.Duration(max(longest-float64((longest-shortest)*confirmed), shortest))
}
