package gossip

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// judgeOf is a judge that knows one worker, of a life that began at 5.
func judgeOf() *Judge {
	j := NewJudge(LocalJudge)
	j.Step(0, []any{Listed{"w", 5}})
	return j
}

func claimOf(signer string, seq uint64) Claim {
	return Claim{Worker: "w", Started: 5, Signer: signer, Seq: seq}
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
	for seq := range uint64(50) { // one signer, however often
		if out := j.Step(time.Duration(seq)*100*time.Millisecond, []any{claimOf("a", seq+1)}); len(out) > 0 {
			t.Fatalf("one signer caused %v", out)
		}
	}
	out := j.Step(5*time.Second, []any{claimOf("b", 1)})
	if count[Look](out) != 1 || count[Silent](out) != 0 {
		t.Fatalf("two signers caused %v, want a look", out)
	}
	if out := j.Step(5100*time.Millisecond, []any{Looked{"w", false}}); count[Silent](out) != 1 {
		t.Fatalf("an own look without an answer: %v", out)
	}
}

func TestWhatDoesNotCount(t *testing.T) {
	for name, events := range map[string][]any{
		"an earlier life":     {Claim{Worker: "w", Started: 4, Signer: "a", Seq: 1}, Claim{Worker: "w", Started: 4, Signer: "b", Seq: 1}},
		"stale":               {Claim{Worker: "w", Started: 5, Signer: "a", Seq: 1, Age: time.Minute}, claimOf("b", 1)},
		"from the future":     {Claim{Worker: "w", Started: 5, Signer: "a", Seq: 1, Age: -time.Second}, claimOf("b", 1)},
		"replayed":            {claimOf("a", 3), Listed{"w", 6}, Claim{Worker: "w", Started: 6, Signer: "a", Seq: 3}, Claim{Worker: "w", Started: 6, Signer: "b", Seq: 1}},
		"of an unlisted one":  {Claim{Worker: "x", Signer: "a", Seq: 1}, Claim{Worker: "x", Signer: "b", Seq: 1}},
		"heard a moment ago":  {HeardOf{"w"}, claimOf("a", 1), claimOf("b", 1)},
		"a look without call": {Looked{"w", false}},
	} {
		if out := judgeOf().Step(time.Second, events); len(out) > 0 {
			t.Errorf("%s caused %v", name, out)
		}
	}
}

// TestLiarsLoseTheirWeight: two liars cause looks, ever fewer, and then none.
func TestLiarsLoseTheirWeight(t *testing.T) {
	j, looks, last := judgeOf(), 0, time.Duration(0)
	for i := range uint64(600) {
		now := time.Duration(i) * 100 * time.Millisecond
		out := j.Step(now, []any{claimOf("a", i+1), claimOf("b", i+1)})
		if count[Look](out) > 0 {
			looks++
			last = now
			j.Step(now+time.Millisecond, []any{Looked{"w", true}})
		}
	}
	if looks != 1 || last > time.Second {
		t.Errorf("%d looks, the last after %v", looks, last)
	}
	if j.Weight("a") > 0.5 {
		t.Errorf("a liar weighs %v", j.Weight("a"))
	}
	// Honest members are still heard beside them.
	j.Step(70*time.Second, []any{claimOf("c", 1)})
	if out := j.Step(70*time.Second, []any{claimOf("d", 1)}); count[Look](out) != 1 {
		t.Errorf("honest word caused %v", out)
	}
}

// TestNoClaimsBelowTheQuorumEverAct plays random events with fewer signers than the quorum needs.
func TestNoClaimsBelowTheQuorumEverAct(t *testing.T) {
	for seed := range uint64(200) {
		rng := rand.New(rand.NewPCG(seed, 5))
		j, now := judgeOf(), time.Duration(0)
		for i := range uint64(200) {
			now += time.Duration(rng.IntN(400)) * time.Millisecond
			var e any
			switch rng.IntN(5) {
			case 0:
				e = HeardOf{"w"}
			case 1:
				e = Looked{"w", rng.IntN(2) == 0}
			default:
				e = Claim{Worker: "w", Started: 5, Signer: "a", Seq: i, Age: time.Duration(rng.IntN(6)) * time.Second}
			}
			if out := j.Step(now, []any{e}); len(out) > 0 {
				t.Fatalf("seed %d: %v", seed, out)
			}
		}
	}
}

func TestJudgeIsBounded(t *testing.T) {
	j := judgeOf()
	for i := range 1000 {
		j.Step(time.Millisecond, []any{claimOf(fmt.Sprint(i), 1)})
	}
	if n := len(j.workers["w"].claims); n > LocalJudge.MaxClaims {
		t.Errorf("%d claims held", n)
	}
}
