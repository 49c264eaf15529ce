package gossip

import (
	"slices"
	"testing"
	"time"
)

// TestPacketLimiterBoundsVerifications checks that a flood from unknown addresses is limited and does not reduce the
// budget of a known address.
func TestPacketLimiterBoundsVerifications(t *testing.T) {
	l := NewPacketLimiter(PacketLimiterConfig{VerificationsPerSource: 10, VerificationsOfUnknown: 5})
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
		t.Errorf("%d verifications for unknown addresses in 10 s at 5 a second", n)
	}
	if n := allowed["good"]; n < 100 || n > 110 {
		t.Errorf("%d verifications for a known address that sent 330 packets in 10 s at 10 a second", n)
	}
	for i := range 1000 { // a member whose address changes occupies one entry
		l.Authenticated(time.Minute, addressName(i), "a")
	}
	if len(l.sources) != 1 {
		t.Errorf("%d addresses kept for one member", len(l.sources))
	}
}

// addressName returns one of 676 distinct names.
func addressName(i int) string { return "addr" + string(rune('a'+i%26)) + string(rune('a'+i/26%26)) }

// TestPacketLimiterKeepsSharedSource checks that an address shared by several members keeps its budget until the last
// of them has moved to another address.
func TestPacketLimiterKeepsSharedSource(t *testing.T) {
	l := NewPacketLimiter(PacketLimiterConfig{VerificationsPerSource: 10, VerificationsOfUnknown: 0})
	for _, step := range []struct {
		source, member string
		known          []string // addresses that have a budget after this step
	}{
		{"x", "a", []string{"x"}},
		{"y", "b", []string{"x", "y"}},
		{"x", "b", []string{"x"}}, // b moves to the address of a
		{"z", "a", []string{"x", "z"}},
		{"x", "b", []string{"x", "z"}},
		{"z", "b", []string{"z"}},
	} {
		l.Authenticated(0, step.source, step.member)
		for _, source := range []string{"x", "y", "z"} {
			if got, want := l.AllowPacket(0, source), slices.Contains(step.known, source); got != want {
				t.Errorf("%s at %s: a packet from %s is allowed: %v", step.member, step.source, source, got)
			}
		}
	}
}

// TestPacketLimiterForgetsMembers checks that the tables hold only the currently admitted members.
func TestPacketLimiterForgetsMembers(t *testing.T) {
	l := NewPacketLimiter(PacketLimiterConfig{VerificationsPerSource: 10, VerificationsOfUnknown: 10})
	for i := range 500 {
		name := addressName(i)
		l.Retain(func(member string) bool { return member == "stays" || member == name })
		for _, member := range []string{"stays", name} {
			l.Authenticated(0, "at "+member, member)
			l.AllowStatement(0, member)
		}
	}
	for name, n := range map[string]int{
		"sources": len(l.sources), "sources of members": len(l.sourceOf), "members": len(l.memberBuckets),
	} {
		if n != 2 {
			t.Errorf("%d %s kept for 2 members", n, name)
		}
	}
}
