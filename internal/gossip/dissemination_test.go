package gossip

import (
	"slices"
	"testing"
	"time"
)

// TestEvidenceIsDeliveredOnce checks that a statement about a worker is delivered once, with its age, that a newer
// statement replaces it, and that the number of stored statements of each signer is bounded.
func TestEvidenceIsDeliveredOnce(t *testing.T) {
	c := newTestCore(t)
	c.Step(time.Second, []Event{messageFrom("b")}) // b's clock has no offset
	silent := func(seq uint64, signedAt time.Duration, worker string) Statement {
		return Statement{Kind: WorkerSilent, Signer: "b", Incarnation: 10, Seq: seq, SignedAt: signedAt, Subject: worker,
			SubjectIncarnation: 3}
	}
	receive := func(now time.Duration, s Statement) (ages []time.Duration) {
		for _, a := range c.Step(now, []Event{messageFrom("a", s)}) {
			if e, ok := a.(EvidenceReceived); ok {
				ages = append(ages, e.Age)
			}
		}
		return ages
	}
	for _, v := range []struct {
		name      string
		now       time.Duration
		statement Statement
		want      []time.Duration
	}{
		{"fresh", 3 * time.Second, silent(2, time.Second, "w"), []time.Duration{2 * time.Second}},
		{"the same", 3 * time.Second, silent(2, time.Second, "w"), nil},
		{"older", 3 * time.Second, silent(1, time.Second, "w"), nil},
		{"newer", 4 * time.Second, silent(3, 3*time.Second, "w"), []time.Duration{time.Second}},
		{"too old", 20 * time.Second, silent(4, 4*time.Second, "w"), nil},
		{"unknown signer", 21 * time.Second, Statement{Kind: WorkerSilent, Signer: "z", Subject: "w"}, nil},
	} {
		t.Run(v.name, func(t *testing.T) { // each depends on the previous ones
			if got := receive(v.now, v.statement); !slices.Equal(got, v.want) {
				t.Errorf("delivered with ages %v, want %v", got, v.want)
			}
		})
	}
	for i := range uint64(2000) {
		receive(30*time.Second, silent(10+i, 29*time.Second, addressName(int(i))+addressName(int(i/676))))
	}
	if n := len(c.Evidence()); n > LocalConfig.MaxEvidence/16 || n < 10 {
		t.Errorf("%d statements of one signer stored", n)
	}
	c.Step(60*time.Second, nil)
	if n := len(c.Evidence()); n > 0 {
		t.Errorf("%d statements still stored after their lifetime", n)
	}
}
