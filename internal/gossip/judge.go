package gossip

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// Claim is a member's word that a worker is silent, in the life that began at Started.
type Claim struct {
	Worker  string
	Started time.Duration // the worker's start by the list; word of an earlier life is void
	Signer  string
	Seq     uint64        // rises with each claim of a signer
	Age     time.Duration // since the signer saw it
}

// JudgeConfig is the constants of the judge.
type JudgeConfig struct {
	Quorum     float64       // weight of independent signers from which a worker is looked at
	Fresh      time.Duration // claims older than this count for nothing
	LookEvery  time.Duration // a worker is looked at no more often than this on others' word
	Heard      time.Duration // no look at a worker that was heard this recently
	MaxClaims  int           // claims held for a worker
	MaxWorkers int           // workers with claims
}

// LocalJudge goes with Local.
var LocalJudge = JudgeConfig{Quorum: 2, Fresh: 5 * time.Second, LookEvery: time.Second, Heard: 500 * time.Millisecond,
	MaxClaims: 32, MaxWorkers: 10000}

// Judge decides what a peer's word of a worker is worth. Word alone never acts: enough weight of independent
// signers has this router look for itself, sooner than it would have; only the own look is told to the
// module, which alone acts on it. Word that a worker is well is not taken at all, so it can lift no doubt, drain
// or cold budget. A signer weighs at most 1, whatever it sends, and by its record: half as much again for
// each claim that own looks contradict, and back as they bear it out (a multiplicative-weights vote; Littlestone,
// Warmuth, "The Weighted Majority Algorithm", 1994). Liars fewer than the quorum therefore cause nothing, and
// more of them cause looks, each at most one in LookEvery, until their weight is gone.
type Judge struct {
	cfg     JudgeConfig
	now     time.Duration
	workers map[string]*suspect
	weight  map[string]float64
	seqs    map[string]uint64
}

// suspect is what is claimed and known of a worker.
type suspect struct {
	started, heard, looked time.Duration
	looking                bool
	claims                 map[string]time.Duration // when each signer saw it silent
}

// Look is an action: ask the worker for a sign of life.
type Look struct{ Worker string }

// Silent is an action: the own look found no sign of life either. The module is told.
type Silent struct{ Worker string }

// Listed is an event: the list's start time of a worker.
type Listed struct {
	Worker  string
	Started time.Duration
}

// HeardOf is an event: the worker gave this router a sign of life.
type HeardOf struct{ Worker string }

// Looked is an event: how a Look ended.
type Looked struct {
	Worker string
	Alive  bool
}

// NewJudge returns a Judge that has heard nothing.
func NewJudge(c JudgeConfig) *Judge {
	return &Judge{cfg: c, workers: map[string]*suspect{}, weight: map[string]float64{}, seqs: map[string]uint64{}}
}

// Weight is what a signer's word weighs, 0 to 1.
func (j *Judge) Weight(signer string) float64 {
	if w, ok := j.weight[signer]; ok {
		return w
	}
	return 1
}

// Step takes Claims, Listed, HeardOf and Looked, and returns Looks and Silents.
func (j *Judge) Step(now time.Duration, events []any) (out []any) {
	j.now = max(j.now, now)
	touched := map[string]bool{}
	for _, e := range events {
		switch e := e.(type) {
		case Listed:
			w := j.workers[e.Worker]
			if w == nil && len(j.workers) < j.cfg.MaxWorkers {
				w = &suspect{heard: -j.cfg.Heard, looked: -j.cfg.LookEvery}
				j.workers[e.Worker] = w
			}
			if w != nil && (w.claims == nil || e.Started > w.started) { // a new life: what was said is void
				w.started, w.claims = e.Started, map[string]time.Duration{}
			}
		case HeardOf:
			if w := j.workers[e.Worker]; w != nil {
				w.heard = j.now
			}
		case Claim:
			if j.claim(e) {
				touched[e.Worker] = true
			}
		case Looked:
			out = j.looked(out, e)
		}
	}
	for _, id := range slices.Sorted(maps.Keys(touched)) {
		w := j.workers[id]
		if j.says(w) >= j.cfg.Quorum && !w.looking && j.now-w.looked >= j.cfg.LookEvery && j.now-w.heard >= j.cfg.Heard {
			w.looking, w.looked = true, j.now
			out = append(out, Look{id})
		}
	}
	return out
}

// claim notes a claim that is new, fresh and of the worker's present life.
func (j *Judge) claim(e Claim) bool {
	w := j.workers[e.Worker]
	if w == nil || e.Started != w.started || e.Age < 0 || e.Age > j.cfg.Fresh || e.Seq <= j.seqs[e.Signer] {
		return false
	}
	j.seqs[e.Signer] = e.Seq
	if _, ok := w.claims[e.Signer]; !ok && len(w.claims) >= j.cfg.MaxClaims {
		return false
	}
	w.claims[e.Signer] = j.now - e.Age
	return true
}

// says is the weight behind the fresh claims on a worker.
func (j *Judge) says(w *suspect) (sum float64) {
	for _, signer := range slices.SortedFunc(maps.Keys(w.claims), cmp.Compare[string]) {
		if j.now-w.claims[signer] > j.cfg.Fresh {
			delete(w.claims, signer)
			continue
		}
		sum += j.Weight(signer)
	}
	return sum
}

// looked takes an own look: it settles the claims that led to it.
func (j *Judge) looked(out []any, e Looked) []any {
	w := j.workers[e.Worker]
	if w == nil || !w.looking {
		return out
	}
	w.looking = false
	for signer := range w.claims {
		if e.Alive {
			j.weight[signer] = j.Weight(signer) / 2
		} else {
			j.weight[signer] = min(j.Weight(signer)*1.5, 1)
		}
	}
	clear(w.claims)
	if e.Alive {
		w.heard = j.now
		return out
	}
	return append(out, Silent{e.Worker})
}
