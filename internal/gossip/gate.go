package gossip

import "time"

// GateConfig is what a gate lets through.
type GateConfig struct {
	PerSource float64 // signatures checked a second for an address from which a member's packets came, and at once
	Strangers float64 // and for all other addresses together
}

// LocalGate goes with Local.
var LocalGate = GateConfig{PerSource: 200, Strangers: 100}

// bucket is a token bucket.
type bucket struct {
	left float64
	at   time.Duration
}

func (b *bucket) take(now time.Duration, rate, most, n float64) bool {
	b.left, b.at = min(b.left+(now-b.at).Seconds()*rate, most), now
	if b.left < n {
		return false
	}
	b.left -= n
	return true
}

// Gate bounds the signatures that are checked, as a check costs thousands of times what sending a forgery does.
// An address that brought good packets of a member has a share of its own, which no flood from elsewhere
// uses up; all strangers share one. So much is kept for one address of each member.
type Gate struct {
	cfg     GateConfig
	strange bucket
	known   map[string]*bucket // by address
	of      map[string]string  // address by member
	members map[string]*bucket
}

// NewGate returns a Gate that knows no address.
func NewGate(c GateConfig) *Gate {
	return &Gate{cfg: c, strange: bucket{left: c.Strangers}, known: map[string]*bucket{}, of: map[string]string{},
		members: map[string]*bucket{}}
}

// Allow tells whether one more signature may be checked of what came from an address.
func (g *Gate) Allow(now time.Duration, source string) bool {
	if b := g.known[source]; b != nil {
		return b.take(now, g.cfg.PerSource, g.cfg.PerSource, 1)
	}
	return g.strange.take(now, g.cfg.Strangers, g.cfg.Strangers, 1)
}

// Good notes that a packet of a member came from an address, with its signature in order.
func (g *Gate) Good(now time.Duration, source, member string) {
	if old, ok := g.of[member]; ok {
		if old == source {
			return
		}
		delete(g.known, old)
	}
	g.of[member] = source
	if g.known[source] == nil {
		g.known[source] = &bucket{left: g.cfg.PerSource, at: now}
	}
}

// AllowMember tells whether one more signature may be checked of the statements that a member, whose packet was
// in order, passed on.
func (g *Gate) AllowMember(now time.Duration, member string) bool {
	b := g.members[member]
	if b == nil {
		b = &bucket{left: g.cfg.PerSource, at: now}
		g.members[member] = b
	}
	return b.take(now, g.cfg.PerSource, g.cfg.PerSource, 1)
}
