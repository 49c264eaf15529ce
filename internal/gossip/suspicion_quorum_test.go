package gossip

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

var oneWorker = WorkerList{Started: map[string]uint64{"w": 5}}

// judgeOf is a judge that knows one worker, of a life that began at 5.
func judgeOf() *SuspicionQuorum {
	j := NewSuspicionQuorum(LocalSuspicionQuorumConfig)
	j.Step(0, []any{oneWorker})
	return j
}

func claimOf(signer string) Claim {
	return Claim{Worker: "w", Started: 5, Kind: WorkerSilent, Signer: signer}
}

func count[T any](out []any) (n int) {
	for _, a := range out {
		if _, ok := a.(T); ok {
			n++
		}
	}
	return n
}

func TestOneWordCausesNothingTwoCauseALook(t *testing.T) {
	j := judgeOf()
	for i := range 50 { // one signer, however often
		if out := j.Step(time.Duration(i)*100*time.Millisecond, []any{claimOf("a")}); len(out) > 0 {
			t.Fatalf("one signer caused %v", out)
		}
	}
	out := j.Step(5*time.Second, []any{claimOf("b")})
	if count[CheckWorker](out) != 1 || count[SilenceConfirmed](out) != 0 {
		t.Fatalf("two signers caused %v, want a look", out)
	}
	if out := j.Step(5100*time.Millisecond, []any{WorkerChecked{Worker: "w"}}); count[SilenceConfirmed](out) != 1 {
		t.Fatalf("an own look without an answer: %v", out)
	}
}

func TestWhatDoesNotCount(t *testing.T) {
	with := func(f func(*Claim)) Claim { c := claimOf("a"); f(&c); return c }
	for name, events := range map[string][]any{
		"an earlier life":    {with(func(c *Claim) { c.Started = 4 }), claimOf("b")},
		"stale":              {with(func(c *Claim) { c.Age = time.Minute }), claimOf("b")},
		"from the future":    {with(func(c *Claim) { c.Age = -time.Second }), claimOf("b")},
		"restarted since":    {claimOf("a"), WorkerList{Started: map[string]uint64{"w": 6}}, claimOf("b")},
		"taken back":         {claimOf("a"), with(func(c *Claim) { c.Kind = ClaimWithdrawn }), claimOf("b")},
		"of an unlisted one": {with(func(c *Claim) { c.Worker = "x" }), with(func(c *Claim) { c.Worker, c.Signer = "x", "b" })},
		"no longer listed":   {claimOf("a"), WorkerList{}, claimOf("b")},
		"heard a moment ago": {WorkerHeard{"w"}, claimOf("a"), claimOf("b")},
		"not of silence":     {with(func(c *Claim) { c.Kind = WorkerFailing }), with(func(c *Claim) { c.Kind, c.Signer = WorkerSlow, "b" })},
		"a look not asked":   {WorkerChecked{Worker: "w"}},
	} {
		if out := judgeOf().Step(time.Second, events); len(out) > 0 {
			t.Errorf("%s caused %v", name, out)
		}
	}
}

// TestLiarsAtTheQuorum says what happens then: two liars cause one look at a healthy worker, lose half their
// weight by it, and cause no more; honest members are still heard beside them.
func TestLiarsAtTheQuorum(t *testing.T) {
	j, looks := judgeOf(), 0
	for i := range 600 {
		now := time.Duration(i) * 100 * time.Millisecond
		out := j.Step(now, []any{claimOf("a"), claimOf("b")})
		if count[SilenceConfirmed](out) > 0 {
			t.Fatal("liars had a healthy worker called silent")
		}
		if count[CheckWorker](out) > 0 {
			looks++
			j.Step(now+time.Millisecond, []any{WorkerChecked{Worker: "w", Alive: true}})
		}
	}
	if looks != 1 || j.Weight("a") > 0.6 {
		t.Errorf("%d looks; a liar weighs %v", looks, j.Weight("a"))
	}
	j.Step(70*time.Second, []any{claimOf("c")})
	if out := j.Step(70*time.Second, []any{claimOf("d")}); count[CheckWorker](out) != 1 {
		t.Errorf("honest word caused %v", out)
	}
}

// TestLooksAreRationed: many liars that name every worker at once cause no more looks than the ration, and are
// soon not heard at all.
func TestLooksAreRationed(t *testing.T) {
	j, list := NewSuspicionQuorum(LocalSuspicionQuorumConfig), WorkerList{Started: map[string]uint64{}}
	for w := range 500 {
		list.Started[fmt.Sprint(w)] = 1
	}
	j.Step(0, []any{list})
	looks, late := 0, 0
	for i := range 100 {
		now := time.Duration(i) * 100 * time.Millisecond
		var events []any
		for w := range 500 {
			for s := range 5 {
				events = append(events, Claim{Worker: fmt.Sprint(w), Started: 1, Kind: WorkerSilent, Signer: fmt.Sprint("liar", s)})
			}
		}
		for _, a := range j.Step(now, events) {
			if l, ok := a.(CheckWorker); ok {
				if looks++; i > 0 {
					late++
				}
				j.Step(now, []any{WorkerChecked{Worker: l.Worker, Alive: true}})
			}
		}
	}
	if looks > 10 || late > 0 {
		t.Errorf("%d looks, %d after the first moment", looks, late)
	}
	if s := j.Suspicions(); len(s) == 0 || s[0].Weight > 0.1 {
		t.Errorf("the operators are not shown what is said: %v", s)
	}
}

// TestBelowTheQuorumNothingActs is a property: whatever signers below the quorum say, in any order with signs
// of life and looks, no action comes of it.
func TestBelowTheQuorumNothingActs(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		j, now := judgeOf(), time.Duration(0)
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 3000).Draw(t, "ms")) * time.Millisecond
			c := claimOf("a")
			c.Kind = StatementKind(rapid.IntRange(int(WorkerSilent), int(ClaimWithdrawn)).Draw(t, "about"))
			c.Age = time.Duration(rapid.IntRange(-1, 7).Draw(t, "age")) * time.Second
			c.Started = uint64(rapid.IntRange(4, 6).Draw(t, "life"))
			e := rapid.SampledFrom([]any{c, c, c, WorkerHeard{"w"}, WorkerChecked{Worker: "w"}, WorkerChecked{Worker: "w", Alive: true},
				WorkerList{Started: map[string]uint64{"w": c.Started}}}).Draw(t, "event")
			if out := j.Step(now, []any{e}); len(out) > 0 {
				t.Fatalf("%v caused %v", e, out)
			}
		}
	})
}

// TestOnlyAnOwnLookIsTold is a property: whatever is claimed, FoundSilent follows only a Look that found
// nothing, and looks keep their ration.
func TestOnlyAnOwnLookIsTold(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		j, now, asked := judgeOf(), time.Duration(0), false
		var looks []time.Duration
		for range rapid.IntRange(1, 120).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 800).Draw(t, "ms")) * time.Millisecond
			c := claimOf(rapid.SampledFrom([]string{"a", "b", "c", "d"}).Draw(t, "signer"))
			look := WorkerChecked{Worker: "w", Alive: rapid.Bool().Draw(t, "alive"), Skipped: rapid.Bool().Draw(t, "void")}
			e := rapid.SampledFrom([]any{c, c, c, look, WorkerHeard{"w"}}).Draw(t, "event")
			for _, a := range j.Step(now, []any{e}) {
				switch a.(type) {
				case CheckWorker:
					if asked {
						t.Fatal("a second look while one is out")
					}
					asked, looks = true, append(looks, now)
					if n := len(looks); n > 1 && looks[n-1]-looks[n-2] < LocalSuspicionQuorumConfig.CheckInterval {
						t.Fatal("looks come too fast")
					}
				case SilenceConfirmed:
					if !asked || e != any(look) || look.Alive || look.Skipped {
						t.Fatalf("told to be silent on %v", e)
					}
				}
			}
			if _, ended := e.(WorkerChecked); ended {
				asked = false
			}
		}
	})
}

func TestJudgeIsBounded(t *testing.T) {
	j := judgeOf()
	for i := range 1000 {
		j.Step(time.Millisecond, []any{claimOf(fmt.Sprint(i)),
			Claim{Worker: "w", Started: 5, Kind: WorkerFailing, Class: fmt.Sprint(i), Signer: "a"}})
	}
	if n, m := len(j.workers["w"].silentSince), len(j.workers["w"].otherClaims); n > LocalSuspicionQuorumConfig.MaxClaims || m > LocalSuspicionQuorumConfig.MaxClaims {
		t.Errorf("%d and %d claims held", n, m)
	}
}

// TestWitness: own doubts are told and told again while they stand, taken back when the worker is heard, and
// not told where enough others have.
func TestWitness(t *testing.T) {
	others := 0.0
	w := NewEvidenceCollector(LocalEvidenceCollectorConfig, func(string) float64 { return others })
	says := func(now time.Duration, events ...any) (out []string) {
		for _, a := range w.Step(now, events) {
			s, _ := a.(Publish)
			out = append(out, fmt.Sprint(s.Statement.Kind, " ", s.Statement.Subject, " ", s.Statement.SubjectIncarnation))
		}
		return out
	}
	check := func(what string, got []string, want ...string) {
		t.Helper()
		if fmt.Sprint(got) != fmt.Sprint(want) {
			t.Errorf("%s: said %v, want %v", what, got, want)
		}
	}
	doubt := WorkerSuspected{Worker: "w", Kind: WorkerSilent}
	check("not listed", says(0, doubt))
	check("first", says(time.Second, oneWorker, doubt), "silent w 5")
	check("again at once", says(2*time.Second, doubt))
	check("while it stands", says(4*time.Second), "silent w 5")
	check("heard", says(5*time.Second, WorkerHeard{"w"}), "back w 5")
	check("over", says(20*time.Second))
	others = 4
	check("others said it", says(21*time.Second, doubt))
	others = 0
	check("they stopped", says(22*time.Second), "silent w 5")
	check("restarted", says(30*time.Second, WorkerList{Started: map[string]uint64{"w": 6}}))
	check("a class", says(31*time.Second, WorkerSuspected{Worker: "w", Kind: WorkerFailing, Class: "renew"}), "failing w 6")
	check("not seen again", says(36*time.Second))
}
