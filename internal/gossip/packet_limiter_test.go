package gossip

import (
	"testing"
	"time"
)

// TestPacketLimiterBoundsChecks: a flood from unknown addresses, or from one known address, takes nothing from another.
func TestPacketLimiterBoundsChecks(t *testing.T) {
	l := NewPacketLimiter(PacketLimiterConfig{ChecksPerSource: 10, ChecksOfUnknown: 5})
	l.Authenticated(0, "good", "a")
	allowed := map[string]int{}
	for i := range 100_000 { // ten seconds at line rate
		now := time.Duration(i) * 100 * time.Microsecond
		source := []string{"x", "y", "good"}[i%3]
		if source == "good" && i%300 != 2 {
			source = "z"
		}
		if l.AllowPacket(now, source) {
			allowed[source]++
		}
	}
	if n := allowed["x"] + allowed["y"] + allowed["z"]; n > 55 {
		t.Errorf("%d checks of unknown addresses in 10 s at 5 a second", n)
	}
	if n := allowed["good"]; n < 100 || n > 110 {
		t.Errorf("%d checks of a known address that sent 330 packets in 10 s at 10 a second", n)
	}
	for i := range 1000 { // a member whose address changes takes no more than one place
		l.Authenticated(time.Minute, addressName(i), "a")
	}
	if len(l.sources) != 1 {
		t.Errorf("%d addresses kept for one member", len(l.sources))
	}
}

// addressName returns one of 676 different names.
func addressName(i int) string { return "addr" + string(rune('a'+i%26)) + string(rune('a'+i/26%26)) }
