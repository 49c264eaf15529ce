package gossip

import (
	"cmp"
	"maps"
	"slices"
)

// This file lists the claims about workers for operators.

// Suspicion summarizes the claims of one kind about a worker, for operators.
type Suspicion struct {
	Worker  string   `json:"worker"`
	Kind    string   `json:"about"`
	Class   string   `json:"class,omitempty"`
	Weight  float64  `json:"weight"`
	Signers []string `json:"by"`
}

// Suspicions lists the unexpired claims about workers, sorted by worker, silence first, then by kind and class.
func (q *SuspicionQuorum) Suspicions() []Suspicion {
	var list []Suspicion
	for _, id := range slices.Sorted(maps.Keys(q.workers)) {
		w := q.workers[id]
		if weight := q.silenceWeightOf(w); weight > 0 {
			signers := slices.Sorted(maps.Keys(w.silenceClaims))
			list = append(list, Suspicion{Worker: id, Kind: WorkerSilent.String(), Weight: weight, Signers: signers})
		}
		list = append(list, q.otherSuspicions(id, w)...)
	}
	return list
}

// otherSuspicions lists the unexpired claims about a worker other than silence, and removes the expired ones.
func (q *SuspicionQuorum) otherSuspicions(id string, w *workerState) []Suspicion {
	type subject struct{ kind, class string }
	signers := map[subject][]string{}
	for key, c := range w.otherClaims {
		if q.now-c.Age > q.cfg.ClaimLifetime {
			delete(w.otherClaims, key)
			continue
		}
		s := subject{c.Kind.String(), c.Class}
		signers[s] = append(signers[s], c.Signer)
	}
	ordered := slices.SortedFunc(maps.Keys(signers), func(a, b subject) int {
		return cmp.Or(cmp.Compare(a.kind, b.kind), cmp.Compare(a.class, b.class))
	})
	var list []Suspicion
	for _, s := range ordered {
		slices.Sort(signers[s])
		suspicion := Suspicion{Worker: id, Kind: s.kind, Class: s.class, Signers: signers[s]}
		for _, signer := range signers[s] {
			suspicion.Weight += q.Weight(signer)
		}
		list = append(list, suspicion)
	}
	return list
}
