package gossip

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestSelfSuspicionIsRefutedOnce checks that a member refutes a suspicion of itself and raises its health
// penalty, and that a suspicion of an already replaced MemberAlive has no effect.
func TestSelfSuspicionIsRefutedOnce(t *testing.T) {
	c := newTestCore(t)
	c.Step(time.Second, []Event{messageFrom("b", suspicionStatement("b", "me", 5, 1))})
	if c.ownAlive.Seq == 1 || c.HealthPenalty() != 1 || c.Stats().Refutations != 1 {
		t.Errorf("own statement %d, health penalty %d", c.ownAlive.Seq, c.HealthPenalty())
	}
	c.Step(2*time.Second, []Event{messageFrom("b", suspicionStatement("b", "me", 5, 1))})
	if c.Stats().Refutations != 1 {
		t.Error("refuted twice")
	}
}

// acksOf returns an Ack for each Ping among actions. from returns the member that acknowledges pings to an address.
func acksOf(actions []Action, from func(to string) string, incarnation uint64) []Event {
	var acks []Event
	for _, a := range actions {
		if s, ok := a.(Send); ok && s.Message.Kind == Ping {
			id := from(s.To)
			acks = append(acks, MessageReceived{Message{Kind: Ack, From: id, Addr: id, Incarnation: incarnation,
				ProbeSeq: s.Message.ProbeSeq}})
		}
	}
	return acks
}

// TestAckOfAnotherMemberIsIgnored checks that an Ack does not count if it comes from another member that has taken over
// the probed member's address.
func TestAckOfAnotherMemberIsIgnored(t *testing.T) {
	c := newTestCore(t)
	fromB := func(string) string { return "b" } // b answers at both addresses
	for now := time.Second; now < 90*time.Second && c.stateOf("a") == Alive; now += 50 * time.Millisecond {
		c.Step(now, acksOf(c.Step(now, nil), fromB, 10))
	}
	if c.stateOf("a") == Alive || c.stateOf("b") != Alive {
		t.Errorf("a is %v, b is %v", c.stateOf("a"), c.stateOf("b"))
	}
}

// TestSuspicionAlwaysEnds checks a property: whatever statements arrive about a member, once they stop it becomes alive
// or dead within the longest suspicion timeout, and no member goes from dead to suspect.
func TestSuspicionAlwaysEnds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := newTestCore(t)
		now := time.Duration(0)
		states := map[string]State{}
		step := func(events ...Event) {
			for _, a := range c.Step(now, events) {
				if change, ok := a.(MemberStateChanged); ok {
					if states[change.ID] == Dead && change.State == Suspect {
						t.Fatalf("%s went from dead to suspect", change.ID)
					}
					states[change.ID] = change.State
				}
			}
		}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 4000).Draw(t, "ms")) * time.Millisecond
			step(drawStatement(t))
		}
		// A probe in progress may still start a suspicion.
		end := now + c.suspicionTimeout(1) + 20*time.Second
		sameMember := func(to string) string { return to }
		for now < end {
			now += 100 * time.Millisecond
			step(acksOf(c.Step(now, nil), sameMember, 11)...) // all acknowledge, so no new suspicion starts
		}
		for _, m := range c.Members() {
			if m.State == Suspect && m.ID != "me" {
				t.Fatalf("%s is still suspected after the longest suspicion timeout", m.ID)
			}
		}
	})
}

// drawStatement draws a message that carries a MemberAlive or a MemberSuspected.
func drawStatement(t *rapid.T) MessageReceived {
	signer := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "signer")
	subject := rapid.SampledFrom([]string{"a", "b", "c", "me"}).Draw(t, "subject")
	incarnation := uint64(rapid.IntRange(9, 11).Draw(t, "incarnation"))
	seq := uint64(rapid.IntRange(1, 4).Draw(t, "seq"))
	if rapid.Bool().Draw(t, "alive") {
		return messageFrom(signer, aliveStatement(subject, incarnation, seq))
	}
	return messageFrom(signer, suspicionStatement(signer, subject, incarnation, seq))
}
