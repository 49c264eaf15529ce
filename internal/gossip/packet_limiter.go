package gossip

import "time"

// PacketLimiterConfig holds the rates of a [PacketLimiter]. The burst of each is the amount for one second.
type PacketLimiterConfig struct {
	// VerificationsPerSource is how many packets a second are verified for each source address of a member, and also
	// how many statements a second for each member that relays them.
	VerificationsPerSource float64
	// VerificationsOfUnknown is how many packets a second are verified for all other addresses together.
	VerificationsOfUnknown float64
}

// LocalPacketLimiterConfig is the configuration for use with [LocalConfig].
var LocalPacketLimiterConfig = PacketLimiterConfig{VerificationsPerSource: 200, VerificationsOfUnknown: 100}

// tokenBucket is a token bucket. The rate, in tokens a second, and the capacity are arguments of each call.
type tokenBucket struct {
	tokens    float64
	updatedAt time.Duration
}

// take refills the bucket up to now and removes n tokens. If there are fewer, it removes none and returns false.
func (b *tokenBucket) take(now time.Duration, rate, capacity, n float64) bool {
	b.tokens, b.updatedAt = min(b.tokens+float64((now-b.updatedAt).Seconds()*rate), capacity), now
	if b.tokens < n {
		return false
	}
	b.tokens -= n
	return true
}

// PacketLimiter limits the rate of signature verifications, as verifying a signature costs thousands of times more than
// sending a forged packet. A source address from which an authentic packet of a member was received has its own budget,
// which a flood from other addresses can't use up. All unknown addresses share one budget. Only the latest address of
// each member is stored, and Retain removes members.
type PacketLimiter struct {
	cfg            PacketLimiterConfig
	unknownSources tokenBucket
	sources        map[string]*sourceBudget // by address
	sourceOf       map[string]string        // latest address, by member
	memberBuckets  map[string]*tokenBucket  // for relayed statements, by member
}

// sourceBudget is the budget of one address. Several members may share an address.
type sourceBudget struct {
	bucket  tokenBucket
	members int // whose latest address this is
}

// NewPacketLimiter returns a limiter without known addresses.
func NewPacketLimiter(cfg PacketLimiterConfig) *PacketLimiter {
	return &PacketLimiter{
		cfg:            cfg,
		unknownSources: tokenBucket{tokens: cfg.VerificationsOfUnknown},
		sources:        map[string]*sourceBudget{},
		sourceOf:       map[string]string{},
		memberBuckets:  map[string]*tokenBucket{},
	}
}

// AllowPacket reports whether a packet from an address may be verified now, and if so charges it to the budget.
func (l *PacketLimiter) AllowPacket(now time.Duration, source string) bool {
	if budget := l.sources[source]; budget != nil {
		return budget.bucket.take(now, l.cfg.VerificationsPerSource, l.cfg.VerificationsPerSource, 1)
	}
	return l.unknownSources.take(now, l.cfg.VerificationsOfUnknown, l.cfg.VerificationsOfUnknown, 1)
}

// Authenticated records that an authentic packet of a member came from the address source, which replaces the member's
// previous address.
func (l *PacketLimiter) Authenticated(now time.Duration, source, member string) {
	if previous, ok := l.sourceOf[member]; ok && previous == source {
		return
	}
	l.forgetSource(member)
	l.sourceOf[member] = source
	if l.sources[source] == nil {
		l.sources[source] = &sourceBudget{bucket: tokenBucket{tokens: l.cfg.VerificationsPerSource, updatedAt: now}}
	}
	l.sources[source].members++
}

// forgetSource removes a member's address, and the budget of the address if no other member uses it.
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

// Retain removes all members for which admitted returns false.
func (l *PacketLimiter) Retain(admitted func(member string) bool) {
	for member := range l.sourceOf {
		if !admitted(member) {
			l.forgetSource(member)
		}
	}
	for member := range l.memberBuckets {
		if !admitted(member) {
			delete(l.memberBuckets, member)
		}
	}
}

// AllowStatement reports whether a statement relayed by a member in an authentic packet may be verified now, and if so
// charges it to the member's budget.
func (l *PacketLimiter) AllowStatement(now time.Duration, member string) bool {
	b := l.memberBuckets[member]
	if b == nil {
		b = &tokenBucket{tokens: l.cfg.VerificationsPerSource, updatedAt: now}
		l.memberBuckets[member] = b
	}
	return b.take(now, l.cfg.VerificationsPerSource, l.cfg.VerificationsPerSource, 1)
}
