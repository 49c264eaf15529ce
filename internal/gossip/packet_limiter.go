package gossip

import "time"

// PacketLimiterConfig holds the rates of a [PacketLimiter], each of which is its burst too.
type PacketLimiterConfig struct {
	ChecksPerSource float64 // signatures verified a second for an address from which a member's packets came
	ChecksOfUnknown float64 // and for all other addresses together
}

// LocalPacketLimiterConfig goes with LocalConfig.
var LocalPacketLimiterConfig = PacketLimiterConfig{ChecksPerSource: 200, ChecksOfUnknown: 100}

// tokenBucket is a token bucket whose rate and capacity its user passes with each call.
type tokenBucket struct {
	tokens    float64
	updatedAt time.Duration
}

// take refills the bucket up to now and takes n tokens, or none and returns false if it holds fewer.
func (b *tokenBucket) take(now time.Duration, rate, capacity, n float64) bool {
	b.tokens, b.updatedAt = min(b.tokens+(now-b.updatedAt).Seconds()*rate, capacity), now
	if b.tokens < n {
		return false
	}
	b.tokens -= n
	return true
}

// PacketLimiter limits how many signatures are verified, as a verification costs thousands of times what sending a
// forgery does. An address that sent authentic packets of a member has a budget of its own, which no flood from
// elsewhere uses up; all unknown addresses share one. One address is kept for each member, and Retain forgets members.
type PacketLimiter struct {
	cfg            PacketLimiterConfig
	unknownSources tokenBucket
	sources        map[string]*sourceBudget // by address
	sourceOf       map[string]string        // address by member
	members        map[string]*tokenBucket
}

// sourceBudget is the budget of an address, which all members share whose latest packets came from it.
type sourceBudget struct {
	bucket  tokenBucket
	members int
}

// NewPacketLimiter returns a limiter that knows no address.
func NewPacketLimiter(cfg PacketLimiterConfig) *PacketLimiter {
	return &PacketLimiter{
		cfg:            cfg,
		unknownSources: tokenBucket{tokens: cfg.ChecksOfUnknown},
		sources:        map[string]*sourceBudget{},
		sourceOf:       map[string]string{},
		members:        map[string]*tokenBucket{},
	}
}

// AllowPacket reports whether one more packet from an address may be verified, and counts it if so.
func (l *PacketLimiter) AllowPacket(now time.Duration, source string) bool {
	if budget := l.sources[source]; budget != nil {
		return budget.bucket.take(now, l.cfg.ChecksPerSource, l.cfg.ChecksPerSource, 1)
	}
	return l.unknownSources.take(now, l.cfg.ChecksOfUnknown, l.cfg.ChecksOfUnknown, 1)
}

// Authenticated records that an authentic packet of a member came from an address. It replaces the member's address
// from before.
func (l *PacketLimiter) Authenticated(now time.Duration, source, member string) {
	if previous, ok := l.sourceOf[member]; ok && previous == source {
		return
	}
	l.forgetSource(member)
	l.sourceOf[member] = source
	if l.sources[source] == nil {
		l.sources[source] = &sourceBudget{bucket: tokenBucket{tokens: l.cfg.ChecksPerSource, updatedAt: now}}
	}
	l.sources[source].members++
}

// forgetSource forgets a member's address, and the address's budget if no other member has it.
func (l *PacketLimiter) forgetSource(member string) {
	source, ok := l.sourceOf[member]
	if !ok {
		return
	}
	delete(l.sourceOf, member)
	if budget := l.sources[source]; budget.members > 1 {
		budget.members--
	} else {
		delete(l.sources, source)
	}
}

// Retain forgets all members but those that admitted reports.
func (l *PacketLimiter) Retain(admitted func(member string) bool) {
	for member := range l.sourceOf {
		if !admitted(member) {
			l.forgetSource(member)
		}
	}
	for member := range l.members {
		if !admitted(member) {
			delete(l.members, member)
		}
	}
}

// AllowStatement reports whether one more of the statements that a member passed on, in an authentic packet, may be
// verified, and counts it if so.
func (l *PacketLimiter) AllowStatement(now time.Duration, member string) bool {
	b := l.members[member]
	if b == nil {
		b = &tokenBucket{tokens: l.cfg.ChecksPerSource, updatedAt: now}
		l.members[member] = b
	}
	return b.take(now, l.cfg.ChecksPerSource, l.cfg.ChecksPerSource, 1)
}
