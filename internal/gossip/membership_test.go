package gossip

import (
	"testing"
	"time"
)

// TestLyingMemberOnlyCausesSuspicion checks that a lying member can change another member's state only with a valid
// suspicion, which the suspected member's next MemberAlive voids.
func TestLyingMemberOnlyCausesSuspicion(t *testing.T) {
	for name, lie := range map[string]Statement{
		"suspicion of a statement not yet made":     suspicionStatement("b", "a", 10, 9),
		"suspicion of an incarnation not yet begun": suspicionStatement("b", "a", 99, 1),
		"suspicion of an old incarnation":           suspicionStatement("b", "a", 9, 1),
		"old statement":                             aliveStatement("a", 9, 7),
		"suspicion of an unknown member":            suspicionStatement("b", "nobody", 1, 1),
	} {
		t.Run(name, func(t *testing.T) {
			c := newTestCore(t)
			before := c.Members()
			c.Step(time.Second, []Event{messageFrom("b", lie)})
			after := c.Members()
			if after[0].ID != "a" || after[0].State != before[0].State ||
				after[0].Incarnation != before[0].Incarnation || len(after) != 2 {
				t.Errorf("%+v became %+v", before, after)
			}
		})
	}
	c := newTestCore(t)
	c.Step(time.Second, []Event{messageFrom("b", suspicionStatement("b", "a", 10, 1))})
	if c.stateOf("a") != Suspect {
		t.Fatal("not suspected")
	}
	c.Step(2*time.Second, []Event{messageFrom("b", aliveStatement("a", 10, 1))}) // not newer
	if c.stateOf("a") != Suspect {
		t.Fatal("an old statement ended a suspicion")
	}
	c.Step(3*time.Second, []Event{messageFrom("b", aliveStatement("a", 10, 2))}) // signed by a, relayed by b
	if c.stateOf("a") != Alive {
		t.Fatal("its own newer statement did not end the suspicion")
	}
}

// TestOnlyAdmittedMembersAreKept checks that a member that is not admitted is never added, not even through statements
// relayed by an admitted one, and that a member that is no longer admitted is removed.
func TestOnlyAdmittedMembersAreKept(t *testing.T) {
	c := newTestCore(t)
	c.Step(time.Second, []Event{AdmissionChanged{func(id string) bool { return id != "a" && id[0] != 'x' }}})
	if c.stateOf("a") != Dead || len(c.Members()) != 1 {
		t.Errorf("still known: %v", c.Members())
	}
	var notAdmitted []Statement
	for i := range 100 {
		notAdmitted = append(notAdmitted, aliveStatement("x"+string(rune('a'+i%26))+string(rune('a'+i/26)), 10, 1))
	}
	c.Step(2*time.Second, []Event{messageFrom("b", notAdmitted...), messageFrom("xx")})
	if len(c.Members()) != 1 || c.Live() > 2 {
		t.Errorf("%d members, %d live", len(c.Members()), c.Live())
	}
}

// TestLiveCountsOnlyDirectMembers checks that Live counts only members from which a packet was received directly, and
// that a decrease is not reported.
func TestLiveCountsOnlyDirectMembers(t *testing.T) {
	c := newTestCore(t)
	if c.Live() != 1 {
		t.Errorf("%d live without a packet of any", c.Live())
	}
	actions := c.Step(time.Second, []Event{messageFrom("b")})
	if c.Live() != 2 || countOf[LiveCountIncreased](actions) != 1 {
		t.Errorf("%d live, want b and itself; actions %v", c.Live(), actions)
	}
	for now := 2 * time.Second; now < 3*time.Minute; now += 100 * time.Millisecond { // b vanishes
		if actions := c.Step(now, nil); countOf[LiveCountIncreased](actions) > 0 {
			t.Fatalf("a fall was reported: %v", actions)
		}
	}
	if c.Live() != 1 {
		t.Errorf("%d live after b vanished", c.Live())
	}
	actions = c.Step(4*time.Minute, []Event{messageFrom("b", aliveStatement("b", 10, 2))})
	if countOf[LiveCountIncreased](actions) > 0 || c.Stats().MostLive != 2 {
		t.Errorf("reported again: %v", actions)
	}
}
