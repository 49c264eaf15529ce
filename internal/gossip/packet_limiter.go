package gossip

import "time"

// GateConfig is what a gate lets through.
type PacketLimiterConfig struct {
	ChecksPerSource float64 // signatures checked a second for an address from which a member's packets came, and at once
	ChecksOfUnknown float64 // and for all other addresses together
}

// LocalGate goes with Local.
var LocalPacketLimiterConfig = PacketLimiterConfig{ChecksPerSource: 200, ChecksOfUnknown: 100}

// bucket is a token bucket.
type tokenBucket struct {
	tokens    float64
	updatedAt time.Duration
}

func (b *tokenBucket) take(now time.Duration, rate, most, n float64) bool {
	b.tokens, b.updatedAt = min(b.tokens+(now-b.updatedAt).Seconds()*rate, most), now
	if b.tokens < n {
		return false
	}
	b.tokens -= n
	return true
}

// Gate bounds the signatures that are checked, as a check costs thousands of times what sending a forgery does.
// An address that brought good packets of a member has a share of its own, which no flood from elsewhere
// uses up; all strangers share one. So much is kept for one address of each member.
type PacketLimiter struct {
	cfg            PacketLimiterConfig
	unknownSources tokenBucket
	sources        map[string]*tokenBucket // by address
	sourceOf       map[string]string       // address by member
	members        map[string]*tokenBucket
}

// NewGate returns a Gate that knows no address.
func NewPacketLimiter(c PacketLimiterConfig) *PacketLimiter {
	return &PacketLimiter{cfg: c, unknownSources: tokenBucket{tokens: c.ChecksOfUnknown}, sources: map[string]*tokenBucket{}, sourceOf: map[string]string{},
		members: map[string]*tokenBucket{}}
}

// Allow tells whether one more signature may be checked of what came from an address.
func (g *PacketLimiter) AllowPacket(now time.Duration, source string) bool {
	if b := g.sources[source]; b != nil {
		return b.take(now, g.cfg.ChecksPerSource, g.cfg.ChecksPerSource, 1)
	}
	return g.unknownSources.take(now, g.cfg.ChecksOfUnknown, g.cfg.ChecksOfUnknown, 1)
}

// Good notes that a packet of a member came from an address, with its signature in order.
func (g *PacketLimiter) Authenticated(now time.Duration, source, member string) {
	if old, ok := g.sourceOf[member]; ok {
		if old == source {
			return
		}
		delete(g.sources, old)
	}
	g.sourceOf[member] = source
	if g.sources[source] == nil {
		g.sources[source] = &tokenBucket{tokens: g.cfg.ChecksPerSource, updatedAt: now}
	}
}

// AllowMember tells whether one more signature may be checked of the statements that a member, whose packet was
// in order, passed on.
func (g *PacketLimiter) AllowStatement(now time.Duration, member string) bool {
	b := g.members[member]
	if b == nil {
		b = &tokenBucket{tokens: g.cfg.ChecksPerSource, updatedAt: now}
		g.members[member] = b
	}
	return b.take(now, g.cfg.ChecksPerSource, g.cfg.ChecksPerSource, 1)
}
