package gossip

import (
	"testing"
	"time"
)

// unsigned leaves a statement without a signature. The core never verifies signatures.
func unsigned(*Statement) {}

// newTestCore returns the core of member "me" in incarnation 5, which knows the first MemberAlive of members a and b in
// incarnation 10.
func newTestCore(t interface{ Fatal(args ...any) }) *Core {
	c, err := NewCore(LocalConfig, "me", "me", 5, 1, unsigned)
	if err != nil {
		t.Fatal(err)
	}
	c.Step(0, []Event{KnownMembers{Statements: []Statement{aliveStatement("a", 10, 1), aliveStatement("b", 10, 1)}}})
	return c
}

func aliveStatement(id string, incarnation, seq uint64) Statement {
	return Statement{Kind: MemberAlive, Signer: id, Incarnation: incarnation, Seq: seq, Text: id}
}

func suspicionStatement(signer, id string, incarnation, seq uint64) Statement {
	return Statement{Kind: MemberSuspected, Signer: signer, Incarnation: 10, Seq: 50, Subject: id,
		SubjectIncarnation: incarnation, SubjectSeq: seq}
}

// messageFrom returns a message with statements from a member in incarnation 10.
func messageFrom(id string, statements ...Statement) MessageReceived {
	return MessageReceived{Message{Kind: Push, From: id, Addr: id, Incarnation: 10, Statements: statements}}
}

// stateOf returns the state of a member, or Dead if it is unknown.
func (c *Core) stateOf(id string) State {
	for _, m := range c.Members() {
		if m.ID == id {
			return m.State
		}
	}
	return Dead
}

// countOf counts the actions of type T.
func countOf[T, A any](actions []A) int {
	n := 0
	for _, a := range actions {
		if _, ok := any(a).(T); ok {
			n++
		}
	}
	return n
}

// TestDuplicateMemberIsReported checks that a process detects another one with the same key, and that it raises its
// incarnation at most once per probe interval. Without this limit the two would raise each other's at network speed.
func TestDuplicateMemberIsReported(t *testing.T) {
	c := newTestCore(t)
	duplicates, raises := 0, 0
	incarnation := uint64(6)
	for now := time.Second; now < 11*time.Second; now += 10 * time.Millisecond {
		s := aliveStatement("me", incarnation, 1)
		s.Text = "elsewhere"
		for _, a := range c.Step(now, []Event{messageFrom("b", s)}) {
			switch a := a.(type) {
			case DuplicateMember:
				if duplicates++; a.Addr != "elsewhere" {
					t.Errorf("duplicate at %q", a.Addr)
				}
			case IncarnationRaised:
				raises++
				incarnation = a.Above + 2
			}
		}
	}
	if duplicates == 0 || raises < 5 || raises > 10 {
		t.Errorf("%d duplicates reported, %d raises in 10 s", duplicates, raises)
	}
}
