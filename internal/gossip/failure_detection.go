package gossip

import (
	"math"
	"slices"
	"time"
)

const (
	// maxProbes bounds the probes under way that other members may add by ping requests.
	maxProbes = 64
	// seedPingOneIn is the chance, one in so many probes, of a join ping to a seed, so that a partition heals.
	seedPingOneIn = 8
)

// probe is a probe under way.
type probe struct {
	seq               uint64
	target            string
	indirectAt, endAt time.Duration
	indirectSent      bool
	acked             bool
	retry             bool       // the probe before it failed too
	alive             *Statement // the target's latest when the probe was sent: a later one shows that it lives
	requester         string     // address of the member that requested the probe; empty for an own probe
	requesterSeq      uint64     // the requester's number of the probe
}

// ackReceived ends the probe that a message acknowledges.
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

// acknowledgedBy reports whether the ack comes from the probed member, as its address may be another's by now, or for
// an own probe from a member that probed it on request.
func (p *probe) acknowledgedBy(m *Message) bool {
	return m.From == p.target || p.requester == "" && m.Target == p.target
}

// pingRequestReceived probes a member in another's stead.
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
		indirectSent: true, // not passed on to a third member
		requester:    m.Addr,
		requesterSeq: m.ProbeSeq,
	})
}

// advanceProbes follows the probes under way and begins the next one when it is due.
func (c *Core) advanceProbes() {
	slowdown := time.Duration(c.healthPenalty + 1) // as it was before a probe that fails now changes it
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

// sendIndirectProbes asks other members to probe those that did not answer in time.
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

// endProbes removes the probes that were acknowledged or ran out.
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

// probeFailed probes the target once more, and suspects it if that fails too. Packet loss alone makes one probe in
// some thousand fail, with its indirect ones; at thousands of members the suspicions of that alone were more than the
// budget carries.
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

// nextProbeRetry returns the next member whose probe failed once and that is not dead; nil if there is none.
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

// nextProbeTarget returns the member to probe next: each once in a round, in an order shuffled for each round (SWIM,
// section 4.3); nil if all are dead.
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

// startProbe pings a member. slowdown multiplies the probe's times.
func (c *Core) startProbe(id string, target *member, retry bool, slowdown time.Duration) {
	c.probeSeq++
	ping := Message{Kind: Ping, ProbeSeq: c.probeSeq}
	if target.state == Suspect { // so that it can refute
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

// signSuspicion signs this member's statement that another does not answer.
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

// recordSuspicion takes a MemberSuspected: the suspicion begins, or is shortened by another signer's confirmation
// (Lifeguard, section IV-B). It ends in death unless the member itself refutes it.
func (c *Core) recordSuspicion(m *member, s *Statement) {
	if m.state == Alive {
		c.setState(s.Subject, m, Suspect)
	}
	m.suspicions = append(m.suspicions, *s)
	m.stateEndsAt = m.stateBeganAt + c.suspicionTimeout(len(m.suspicions))
	c.queue.put(*s)
}

// suspicionTimeout returns how long a suspicion lasts that so many members have signed (Lifeguard, section IV-B).
func (c *Core) suspicionTimeout(signers int) time.Duration {
	n := float64(len(c.members) + 1)
	least := c.cfg.SuspicionMultiplier * max(math.Log10(n), 1) * float64(c.cfg.ProbeInterval)
	most := least * c.cfg.MaxSuspicionMultiplier
	confirmed := math.Log(float64(max(signers, 1))) / math.Log(float64(c.cfg.Confirmations)+1)
	return time.Duration(max(most-(most-least)*confirmed, least))
}
