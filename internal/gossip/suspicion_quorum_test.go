package gossip

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

var oneWorker = WorkerList{Started: map[string]uint64{"w": 5}}

// newTestQuorum returns a quorum whose only listed worker is w, started at 5.
func newTestQuorum() *SuspicionQuorum {
	q := NewSuspicionQuorum(LocalSuspicionQuorumConfig)
	q.Step(0, []QuorumEvent{oneWorker})
	return q
}

// silenceClaim returns a claim of age 0 that worker w is silent.
func silenceClaim(signer string) Claim {
	return Claim{Worker: "w", Started: 5, Kind: WorkerSilent, Signer: signer}
}

func TestTwoSignersCauseACheckOneDoesNot(t *testing.T) {
	q := newTestQuorum()
	for i := range 50 { // many claims of one signer
		now := time.Duration(i) * 100 * time.Millisecond
		if actions := q.Step(now, []QuorumEvent{silenceClaim("a")}); len(actions) > 0 {
			t.Fatalf("one signer caused %v", actions)
		}
	}
	actions := q.Step(5*time.Second, []QuorumEvent{silenceClaim("b")})
	if countOf[CheckWorker](actions) != 1 || countOf[SilenceConfirmed](actions) != 0 {
		t.Fatalf("two signers caused %v, want a check", actions)
	}
	actions = q.Step(5100*time.Millisecond, []QuorumEvent{WorkerChecked{Worker: "w", Result: CheckFoundSilent}})
	if countOf[SilenceConfirmed](actions) != 1 {
		t.Fatalf("a check without a response caused %v", actions)
	}
}

func TestClaimsWithoutWeight(t *testing.T) {
	with := func(change func(*Claim)) Claim { c := silenceClaim("a"); change(&c); return c }
	for name, events := range map[string][]QuorumEvent{
		"earlier incarnation": {with(func(c *Claim) { c.Started = 4 }), silenceClaim("b")},
		"too old":             {with(func(c *Claim) { c.Age = time.Minute }), silenceClaim("b")},
		"from the future":     {with(func(c *Claim) { c.Age = -time.Second }), silenceClaim("b")},
		"restarted since": {silenceClaim("a"), WorkerList{Started: map[string]uint64{"w": 6}},
			silenceClaim("b")},
		"withdrawn": {silenceClaim("a"), with(func(c *Claim) { c.Kind = ClaimWithdrawn }), silenceClaim("b")},
		"worker not listed": {with(func(c *Claim) { c.Worker = "x" }),
			with(func(c *Claim) { c.Worker, c.Signer = "x", "b" })},
		"worker no longer listed":  {silenceClaim("a"), WorkerList{}, silenceClaim("b")},
		"worker heard just before": {WorkerResponded{"w"}, silenceClaim("a"), silenceClaim("b")},
		"not of silence": {with(func(c *Claim) { c.Kind = WorkerFailing }),
			with(func(c *Claim) { c.Kind, c.Signer = WorkerSlow, "b" })},
		"check not asked for": {WorkerChecked{Worker: "w", Result: CheckFoundSilent}},
	} {
		t.Run(name, func(t *testing.T) {
			if actions := newTestQuorum().Step(time.Second, events); len(actions) > 0 {
				t.Errorf("caused %v", actions)
			}
		})
	}
}

// TestLiarsAtTheThreshold checks that two liars cause one check of a healthy worker, lose half their weight because of
// it and cause no further check, and that claims of honest members still have an effect.
func TestLiarsAtTheThreshold(t *testing.T) {
	q, checks := newTestQuorum(), 0
	for i := range 600 {
		now := time.Duration(i) * 100 * time.Millisecond
		actions := q.Step(now, []QuorumEvent{silenceClaim("a"), silenceClaim("b")})
		if countOf[SilenceConfirmed](actions) > 0 {
			t.Fatal("liars had a healthy worker confirmed as silent")
		}
		if countOf[CheckWorker](actions) > 0 {
			checks++
			q.Step(now+time.Millisecond, []QuorumEvent{WorkerChecked{Worker: "w", Result: CheckFoundAlive}})
		}
	}
	if checks != 1 || q.Weight("a") > 0.6 {
		t.Errorf("%d checks; a liar weighs %v", checks, q.Weight("a"))
	}
	q.Step(70*time.Second, []QuorumEvent{silenceClaim("c")})
	if actions := q.Step(70*time.Second, []QuorumEvent{silenceClaim("d")}); countOf[CheckWorker](actions) != 1 {
		t.Errorf("honest claims caused %v", actions)
	}
}

// TestChecksAreRateLimited checks that liars that claim all workers to be silent at once cause no more checks than the
// rate limit allows, and soon lose nearly all their weight.
func TestChecksAreRateLimited(t *testing.T) {
	q, list := NewSuspicionQuorum(LocalSuspicionQuorumConfig), WorkerList{Started: map[string]uint64{}}
	for w := range 500 {
		list.Started[fmt.Sprint(w)] = 1
	}
	q.Step(0, []QuorumEvent{list})
	checks, late := 0, 0
	for i := range 100 {
		now := time.Duration(i) * 100 * time.Millisecond
		var claims []QuorumEvent
		for w := range 500 {
			for s := range 5 {
				claims = append(claims, Claim{Worker: fmt.Sprint(w), Started: 1, Kind: WorkerSilent, Signer: fmt.Sprint("liar", s)})
			}
		}
		for _, a := range q.Step(now, claims) {
			if check, ok := a.(CheckWorker); ok {
				checks++
				if i > 0 {
					late++
				}
				q.Step(now, []QuorumEvent{WorkerChecked{Worker: check.Worker, Result: CheckFoundAlive}})
			}
		}
	}
	if checks > 10 || late > 0 {
		t.Errorf("%d checks, %d after the first step", checks, late)
	}
	if s := q.Suspicions(); len(s) == 0 || s[0].Weight > 0.1 {
		t.Errorf("the claims are not listed with a low weight: %v", s)
	}
}

// TestClaimsBelowThresholdCauseNoAction checks a property: no claims of signers below the threshold, in any order with
// responses and check results, cause an action.
func TestClaimsBelowThresholdCauseNoAction(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q, now := newTestQuorum(), time.Duration(0)
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 3000).Draw(t, "ms")) * time.Millisecond
			c := silenceClaim("a")
			c.Kind = StatementKind(rapid.IntRange(int(WorkerSilent), int(ClaimWithdrawn)).Draw(t, "kind"))
			c.Age = time.Duration(rapid.IntRange(-1, 7).Draw(t, "age")) * time.Second
			c.Started = uint64(rapid.IntRange(4, 6).Draw(t, "incarnation"))
			e := rapid.SampledFrom([]QuorumEvent{c, c, c, WorkerResponded{"w"},
				WorkerChecked{Worker: "w", Result: CheckFoundSilent},
				WorkerChecked{Worker: "w", Result: CheckFoundAlive}, WorkerList{Started: map[string]uint64{"w": c.Started}}}).Draw(t, "event")
			if actions := q.Step(now, []QuorumEvent{e}); len(actions) > 0 {
				t.Fatalf("%v caused %v", e, actions)
			}
		}
	})
}

// TestOnlyAnOwnCheckConfirms checks a property: whatever is claimed, SilenceConfirmed follows only a CheckWorker with
// the result CheckFoundSilent, and checks are at least CheckInterval apart.
func TestOnlyAnOwnCheckConfirms(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q, now, checking := newTestQuorum(), time.Duration(0), false
		var checks []time.Duration
		for range rapid.IntRange(1, 120).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 800).Draw(t, "ms")) * time.Millisecond
			c := silenceClaim(rapid.SampledFrom([]string{"a", "b", "c", "d"}).Draw(t, "signer"))
			results := []CheckResult{CheckSkipped, CheckFoundAlive, CheckFoundSilent}
			checked := WorkerChecked{Worker: "w", Result: rapid.SampledFrom(results).Draw(t, "result")}
			e := rapid.SampledFrom([]QuorumEvent{c, c, c, checked, WorkerResponded{"w"}}).Draw(t, "event")
			for _, a := range q.Step(now, []QuorumEvent{e}) {
				switch a.(type) {
				case CheckWorker:
					if checking {
						t.Fatal("a second check while one is in progress")
					}
					checking, checks = true, append(checks, now)
					if n := len(checks); n > 1 && checks[n-1]-checks[n-2] < LocalSuspicionQuorumConfig.CheckInterval {
						t.Fatal("two checks within CheckInterval")
					}
				case SilenceConfirmed:
					if !checking || e != QuorumEvent(checked) || checked.Result != CheckFoundSilent {
						t.Fatalf("silence confirmed on %v", e)
					}
				}
			}
			if _, ended := e.(WorkerChecked); ended {
				checking = false
			}
		}
	})
}

func TestSuspicionQuorumIsBounded(t *testing.T) {
	q := newTestQuorum()
	for i := range 1000 {
		q.Step(time.Millisecond, []QuorumEvent{silenceClaim(fmt.Sprint(i)),
			Claim{Worker: "w", Started: 5, Kind: WorkerFailing, Class: fmt.Sprint(i), Signer: "a"}})
	}
	silent, others := len(q.workers["w"].silenceClaims), len(q.workers["w"].otherClaims)
	if most := LocalSuspicionQuorumConfig.MaxClaims; silent > most || others > most {
		t.Errorf("%d and %d claims stored", silent, others)
	}
}
