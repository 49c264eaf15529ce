package gossip

import (
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

func unsigned(*Statement) {}

// coreWith is a core that knows a and b, of lives 10, by their first words.
func coreWith(t interface{ Fatal(...any) }) *Core {
	c, err := NewCore(LocalConfig, "me", "me", 5, 1, unsigned)
	if err != nil {
		t.Fatal(err)
	}
	c.Step(0, []any{KnownMembers{Statements: []Statement{aliveOf("a", 10, 1), aliveOf("b", 10, 1)}}})
	return c
}

func aliveOf(id string, life, seq uint64) Statement {
	return Statement{Kind: MemberAlive, Signer: id, Incarnation: life, Seq: seq, Text: id}
}

func doubtOf(by, id string, life, seq uint64) Statement {
	return Statement{Kind: MemberSuspected, Signer: by, Incarnation: 10, Seq: 50, Subject: id, SubjectIncarnation: life, SubjectSeq: seq}
}

func from(id string, s ...Statement) MessageReceived {
	return MessageReceived{Message{Kind: Push, From: id, Addr: id, Incarnation: 10, Statements: s}}
}

func (c *Core) stateOf(id string) State {
	for _, m := range c.Members() {
		if m.ID == id {
			return m.State
		}
	}
	return Dead
}

// TestLiesAboutMembers: a liar moves nobody's state but by a doubt, which the member's next word voids.
func TestLiesAboutMembers(t *testing.T) {
	for name, lie := range map[string]Statement{
		"doubt of a word not yet given": doubtOf("b", "a", 10, 9),
		"doubt of a life not yet begun": doubtOf("b", "a", 99, 1),
		"doubt of an old life":          doubtOf("b", "a", 9, 1),
		"an old word":                   aliveOf("a", 9, 7),
		"of a stranger":                 doubtOf("b", "nobody", 1, 1),
	} {
		c := coreWith(t)
		before := c.Members()
		c.Step(time.Second, []any{from("b", lie)})
		if after := c.Members(); after[0].ID != "a" || after[0].State != before[0].State || after[0].Incarnation != before[0].Incarnation ||
			len(after) != 2 {
			t.Errorf("%s: %+v became %+v", name, before, after)
		}
	}
	c := coreWith(t)
	c.Step(time.Second, []any{from("b", doubtOf("b", "a", 10, 1))})
	if c.stateOf("a") != Suspect {
		t.Fatal("not suspected")
	}
	c.Step(2*time.Second, []any{from("b", aliveOf("a", 10, 1))}) // no later word
	if c.stateOf("a") != Suspect {
		t.Fatal("an old word ended a suspicion")
	}
	c.Step(3*time.Second, []any{from("b", aliveOf("a", 10, 2))}) // its own, whoever brings it
	if c.stateOf("a") != Alive {
		t.Fatal("its own word did not")
	}
}

// TestDoubtOfItselfIsAnswered, and costs local health; doubts that it has answered already don't.
func TestDoubtOfItselfIsAnswered(t *testing.T) {
	c := coreWith(t)
	c.Step(time.Second, []any{from("b", doubtOf("b", "me", 5, 1))})
	if c.ownAlive.Seq == 1 || c.HealthPenalty() != 1 || c.Stats().Refutations != 1 {
		t.Errorf("word %d, health %d", c.ownAlive.Seq, c.HealthPenalty())
	}
	c.Step(2*time.Second, []any{from("b", doubtOf("b", "me", 5, 1))})
	if c.Stats().Refutations != 1 {
		t.Error("answered twice")
	}
}

// TestAddressReusedByAnother: an answer from the probed address by another member is none.
func TestAddressReusedByAnother(t *testing.T) {
	c := coreWith(t)
	for now := time.Second; now < 90*time.Second && c.stateOf("a") == Alive; now += 50 * time.Millisecond {
		var back []any
		for _, o := range c.Step(now, nil) {
			if s, ok := o.(Send); ok && s.Message.Kind == Ping { // b answers for both addresses
				back = append(back, MessageReceived{Message{Kind: Ack, From: "b", Addr: "b", Incarnation: 10, ProbeSeq: s.Message.ProbeSeq}})
			}
		}
		c.Step(now, back)
	}
	if c.stateOf("a") == Alive || c.stateOf("b") != Alive {
		t.Errorf("a is %v, b is %v", c.stateOf("a"), c.stateOf("b"))
	}
}

// TestTwoWithOneKey: each notices the other, and they don't fight faster than once a probe time.
func TestTwoWithOneKey(t *testing.T) {
	c := coreWith(t)
	twins, raises := 0, 0
	life := uint64(6)
	for now := time.Second; now < 11*time.Second; now += 10 * time.Millisecond {
		s := aliveOf("me", life, 1)
		s.Text = "elsewhere"
		for _, o := range c.Step(now, []any{from("b", s)}) {
			switch o := o.(type) {
			case DuplicateMember:
				if twins++; o.Addr != "elsewhere" {
					t.Errorf("twin at %q", o.Addr)
				}
			case IncarnationRaised:
				raises++
				life = o.Above + 2
			}
		}
	}
	if twins == 0 || raises < 5 || raises > 10 {
		t.Errorf("%d notices, %d raises in 10 s", twins, raises)
	}
}

// TestNotAdmitted: who is not admitted is not known, whoever vouches; who is no longer admitted is forgotten.
func TestNotAdmitted(t *testing.T) {
	c := coreWith(t)
	c.Step(time.Second, []any{AdmissionChanged{func(id string) bool { return id != "a" && id[0] != 'x' }}})
	if c.stateOf("a") != Dead || len(c.Members()) != 1 {
		t.Errorf("still known: %v", c.Members())
	}
	var crowd []Statement
	for i := range 100 {
		crowd = append(crowd, aliveOf("x"+string(rune('a'+i%26))+string(rune('a'+i/26)), 10, 1))
	}
	c.Step(2*time.Second, []any{from("b", crowd...), from("xx")})
	if len(c.Members()) != 1 || c.Live() > 2 {
		t.Errorf("%d members, %d live", len(c.Members()), c.Live())
	}
}

// TestHearsayIsNotLive: only members whose own packets came are counted.
func TestHearsayIsNotLive(t *testing.T) {
	c := coreWith(t)
	if c.Live() != 1 {
		t.Errorf("%d live of whom nothing came", c.Live())
	}
	if out := c.Step(time.Second, []any{from("b")}); c.Live() != 2 || count[LiveCountIncreased](out) != 1 {
		t.Errorf("%d live, want b and itself; told %v", c.Live(), out)
	}
	for now := 2 * time.Second; now < 3*time.Minute; now += 100 * time.Millisecond { // b vanishes, and comes back
		if out := c.Step(now, nil); count[LiveCountIncreased](out) > 0 {
			t.Fatalf("told of fewer: %v", out)
		}
	}
	if c.Live() != 1 {
		t.Errorf("%d live after b vanished", c.Live())
	}
	if out := c.Step(4*time.Minute, []any{from("b", aliveOf("b", 10, 2))}); count[LiveCountIncreased](out) > 0 || c.Stats().MostLive != 2 {
		t.Errorf("told again: %v", out)
	}
}

// TestEvidence: word of workers is handed on with its age, once, replaced by newer, bounded for each signer.
func TestEvidence(t *testing.T) {
	c := coreWith(t)
	c.Step(time.Second, []any{from("b")}) // its clock and this one show the same
	word := func(seq uint64, at time.Duration, w string) Statement {
		return Statement{Kind: WorkerSilent, Signer: "b", Incarnation: 10, Seq: seq, SignedAt: at, Subject: w, SubjectIncarnation: 3}
	}
	ages := func(now time.Duration, s ...Statement) (out []time.Duration) {
		for _, o := range c.Step(now, []any{from("a", s...)}) {
			if h, ok := o.(EvidenceReceived); ok {
				out = append(out, h.Age)
			}
		}
		return out
	}
	for _, v := range []struct {
		what string
		now  time.Duration
		s    Statement
		want []time.Duration
	}{
		{"fresh", 3 * time.Second, word(2, time.Second, "w"), []time.Duration{2 * time.Second}},
		{"the same", 3 * time.Second, word(2, time.Second, "w"), nil},
		{"older", 3 * time.Second, word(1, time.Second, "w"), nil},
		{"newer", 4 * time.Second, word(3, 3*time.Second, "w"), []time.Duration{time.Second}},
		{"too old", 20 * time.Second, word(4, 4*time.Second, "w"), nil},
		{"by nobody known", 21 * time.Second, Statement{Kind: WorkerSilent, Signer: "z", Subject: "w"}, nil},
	} {
		if got := ages(v.now, v.s); !slices.Equal(got, v.want) {
			t.Errorf("%s: heard with ages %v, want %v", v.what, got, v.want)
		}
	}
	for i := range uint64(2000) {
		ages(30*time.Second, word(10+i, 29*time.Second, ID(int(i))+ID(int(i/676))))
	}
	if n := len(c.Evidence()); n > LocalConfig.MaxEvidence/16 || n < 10 {
		t.Errorf("%d statements of one signer held", n)
	}
	c.Step(60*time.Second, nil)
	if n := len(c.Evidence()); n > 0 {
		t.Errorf("%d statements held for ever", n)
	}
}

// TestSuspicionAlwaysEnds is a property: whatever is said of a member, once no more is said it is alive or
// dead within the longest suspicion, and no state goes from dead to suspect.
func TestSuspicionAlwaysEnds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := coreWith(t)
		now := time.Duration(0)
		last := map[string]State{}
		step := func(events ...any) {
			for _, o := range c.Step(now, events) {
				if ch, ok := o.(MemberStateChanged); ok {
					if last[ch.ID] == Dead && ch.State == Suspect {
						t.Fatalf("%s went from dead to suspect", ch.ID)
					}
					last[ch.ID] = ch.State
				}
			}
		}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 4000).Draw(t, "ms")) * time.Millisecond
			by := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "by")
			of := rapid.SampledFrom([]string{"a", "b", "c", "me"}).Draw(t, "of")
			life, seq := uint64(rapid.IntRange(9, 11).Draw(t, "life")), uint64(rapid.IntRange(1, 4).Draw(t, "seq"))
			if rapid.Bool().Draw(t, "alive") {
				step(from(by, aliveOf(of, life, seq)))
			} else {
				step(from(by, doubtOf(by, of, life, seq)))
			}
		}
		end := now + c.suspicionTimeout(1) + 20*time.Second // with those that a probe under way may still begin
		for now < end {
			now += 100 * time.Millisecond
			var acks []any
			for _, o := range c.Step(now, nil) {
				if s, ok := o.(Send); ok && s.Message.Kind == Ping { // all answer, so nobody is doubted anew
					acks = append(acks, MessageReceived{Message{Kind: Ack, From: s.To, Addr: s.To, Incarnation: 11, ProbeSeq: s.Message.ProbeSeq}})
				}
			}
			step(acks...)
		}
		for _, m := range c.Members() {
			if m.State == Suspect && m.ID != "me" {
				t.Fatalf("%s is suspected without an end", m.ID)
			}
		}
	})
}

// TestQueueSendsNewestFirstAndBounded: a statement is passed on as often as told, replaced by a newer one on
// the same, and the queue gives way by those passed on most.
func TestQueueSendsNewestFirstAndBounded(t *testing.T) {
	q := newBroadcastQueue(3)
	for i := range uint64(4) {
		q.put(aliveOf(ID(int(i)), 1, 1))
	}
	if q.length != 3 {
		t.Fatalf("%d queued", q.length)
	}
	q.put(aliveOf(ID(3), 1, 2))
	first := q.take(120, 3, nil)
	if len(first) != 1 || first[0].Signer != ID(3) || first[0].Seq != 2 {
		t.Fatalf("first %+v", first)
	}
	sent := map[string]int{}
	for range 10 {
		for _, s := range q.take(400, 3, nil) {
			sent[s.Signer]++
		}
	}
	for id, n := range sent {
		if n > 3 || n < 2 {
			t.Errorf("%s was passed on %d times", id, n)
		}
	}
	if q.length != 0 || len(sent) != 3 {
		t.Errorf("%d left, %v", q.length, sent)
	}
}
