package gossip

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"
)

// Claim is a member's word of a worker, in the life that began at Started.
type Claim struct {
	Worker  string
	Started uint64 // Unix milliseconds by the list; word of another life is void
	Kind    StatementKind
	Class   string
	Signer  string
	Age     time.Duration // since the signer saw it
}

// JudgeConfig is the constants of the judge.
type SuspicionQuorumConfig struct {
	Threshold       float64       // weight of independent signers from which a worker is looked at
	ClaimLifetime   time.Duration // claims older than this count for nothing
	CheckInterval   time.Duration // a worker is looked at no more often than this on others' word
	ChecksPerSecond float64       // looks a second over all workers, and at once
	RecentlyHeard   time.Duration // no look at a worker that was heard this recently
	WeightHalfLife  time.Duration // half of what a signer's weight lost comes back in this time
	MaxClaims       int           // claims held for a worker
	MaxWorkers      int           // workers with claims
}

// LocalJudge goes with Local.
var LocalSuspicionQuorumConfig = SuspicionQuorumConfig{Threshold: 2, ClaimLifetime: 5 * time.Second, CheckInterval: time.Second, ChecksPerSecond: 10,
	RecentlyHeard: 500 * time.Millisecond, WeightHalfLife: 10 * time.Minute, MaxClaims: 32, MaxWorkers: 10000}

// Judge decides what a peer's word of a worker is worth. Word alone never acts: enough weight of independent
// signers has this router look for itself, sooner than it would have; only the own look is told to the
// module, which alone acts on it. Word that a worker is well is not taken but as the signer's taking back its
// own claim, so it can lift no doubt, drain or cold budget. Only silence leads to looks, as no look shows that a
// worker fails a class or is slow: such word is kept for the operators to read.
//
// A signer weighs at most 1, whatever it sends, and by its record: half as much for each claim that own looks
// contradict (hardly less for an old claim, as the worker may be back since), and up again as they bear it out (a multiplicative-weights vote; Littlestone, Warmuth, "The Weighted
// Majority Algorithm", 1994), or slowly with time. Liars fewer than the quorum therefore cause nothing. More of
// them cause looks, no more than the ration of looks, until their weight is gone: a look at a healthy worker
// costs one question and shows that it is healthy.
type SuspicionQuorum struct {
	cfg         SuspicionQuorumConfig
	now         time.Duration
	workers     map[string]*claimedWorker
	records     map[string]signerRecord
	checkBudget tokenBucket
	stats       SuspicionQuorumStats
}

// JudgeStats counts what a judge has done.
type SuspicionQuorumStats struct {
	Claims          uint64 `json:"claims"`
	Checks          uint64 `json:"looks"`
	ConfirmedSilent uint64 `json:"found_silent"`
	Contradicted    uint64 `json:"contradicted"` // looks that found a worker well
}

// record is what a signer's weight lacks, as of a time.
type signerRecord struct {
	penalty   float64
	updatedAt time.Duration
}

// suspect is what is claimed and known of a worker.
type claimedWorker struct {
	started            uint64
	heardAt, checkedAt time.Duration
	checking           bool
	silentSince        map[string]time.Duration // when each signer saw it silent
	otherClaims        map[statementKey]Claim   // for the operators
}

// Look is an action: ask the worker for a sign of life.
type CheckWorker struct{ Worker string }

// FoundSilent is an action: the own look found no sign of life either. The module is told.
type SilenceConfirmed struct{ Worker string }

// Workers is an event: the list's workers, with their start times in Unix milliseconds, 0 for long ago.
type WorkerList struct{ Started map[string]uint64 }

// HeardOf is an event: the worker gave this router a sign of life.
type WorkerHeard struct{ Worker string }

// Looked is an event: how a Look ended. Void tells that none was taken.
type WorkerChecked struct {
	Worker  string
	Alive   bool
	Skipped bool
}

// NewJudge returns a Judge that has heard nothing.
func NewSuspicionQuorum(c SuspicionQuorumConfig) *SuspicionQuorum {
	return &SuspicionQuorum{cfg: c, workers: map[string]*claimedWorker{}, records: map[string]signerRecord{}, checkBudget: tokenBucket{tokens: c.ChecksPerSecond}}
}

// Weight is what a signer's word weighs, 0 to 1.
func (j *SuspicionQuorum) Weight(signer string) float64 {
	r, ok := j.records[signer]
	if !ok {
		return 1
	}
	return 1 - r.penalty*math.Exp2(-float64(j.now-r.updatedAt)/float64(j.cfg.WeightHalfLife))
}

func (j *SuspicionQuorum) setWeight(signer string, w float64) {
	if w >= 1 {
		delete(j.records, signer)
		return
	}
	j.records[signer] = signerRecord{1 - w, j.now}
}

// Says is the weight behind the fresh claims that a worker is silent.
func (j *SuspicionQuorum) SilenceWeight(worker string) float64 {
	if w := j.workers[worker]; w != nil {
		return j.silenceWeightOf(w)
	}
	return 0
}

// Suspicion is what is said of a worker, for the operators.
type Suspicion struct {
	Worker  string   `json:"worker"`
	Kind    string   `json:"about"`
	Class   string   `json:"class,omitempty"`
	Weight  float64  `json:"weight"`
	Signers []string `json:"by"`
}

// Suspicions lists what is said of workers.
func (j *SuspicionQuorum) Suspicions() (out []Suspicion) {
	for _, id := range slices.Sorted(maps.Keys(j.workers)) {
		w := j.workers[id]
		if sum := j.silenceWeightOf(w); sum > 0 {
			out = append(out, Suspicion{Worker: id, Kind: WorkerSilent.String(), Weight: sum, Signers: slices.Sorted(maps.Keys(w.silentSince))})
		}
		by := map[[2]string][]string{}
		for k, c := range w.otherClaims {
			if j.now-c.Age > j.cfg.ClaimLifetime {
				delete(w.otherClaims, k)
				continue
			}
			at := [2]string{c.Kind.String(), c.Class}
			by[at] = append(by[at], c.Signer)
		}
		for _, at := range slices.SortedFunc(maps.Keys(by), func(a, b [2]string) int {
			return cmp.Or(cmp.Compare(a[0], b[0]), cmp.Compare(a[1], b[1]))
		}) {
			slices.Sort(by[at])
			s := Suspicion{Worker: id, Kind: at[0], Class: at[1], Signers: by[at]}
			for _, signer := range by[at] {
				s.Weight += j.Weight(signer)
			}
			out = append(out, s)
		}
	}
	return out
}

// Stats tells what the judge has done.
func (j *SuspicionQuorum) Stats() SuspicionQuorumStats { return j.stats }

// Step takes Claims, Workers, HeardOf and Looked, and returns Looks and FoundSilents.
func (j *SuspicionQuorum) Step(now time.Duration, events []any) (out []any) {
	j.now = max(j.now, now)
	touched := map[string]bool{}
	for _, e := range events {
		switch e := e.(type) {
		case WorkerList:
			j.updateWorkers(e)
		case WorkerHeard:
			if w := j.workers[e.Worker]; w != nil {
				w.heardAt = j.now
			}
		case Claim:
			if j.recordClaim(e) {
				touched[e.Worker] = true
			}
		case WorkerChecked:
			out = j.workerChecked(out, e)
		}
	}
	for _, id := range slices.Sorted(maps.Keys(touched)) {
		w := j.workers[id] // it may have left the list in the same step
		if w != nil && j.silenceWeightOf(w) >= j.cfg.Threshold && !w.checking && j.now-w.checkedAt >= j.cfg.CheckInterval &&
			j.now-w.heardAt >= j.cfg.RecentlyHeard && j.checkBudget.take(j.now, j.cfg.ChecksPerSecond, j.cfg.ChecksPerSecond, 1) {
			w.checking, w.checkedAt = true, j.now
			j.stats.Checks++
			out = append(out, CheckWorker{id})
		}
	}
	return out
}

// list follows the list of workers: what was said of another life of one is void.
func (j *SuspicionQuorum) updateWorkers(e WorkerList) {
	for id := range j.workers {
		if _, listed := e.Started[id]; !listed {
			delete(j.workers, id)
		}
	}
	for id, started := range e.Started {
		w := j.workers[id]
		if w == nil && len(j.workers) >= j.cfg.MaxWorkers {
			continue
		}
		if w == nil {
			w = &claimedWorker{heardAt: -j.cfg.RecentlyHeard, checkedAt: -j.cfg.CheckInterval}
			j.workers[id] = w
		}
		if w.silentSince == nil || started != w.started {
			w.started, w.silentSince, w.otherClaims = started, map[string]time.Duration{}, map[statementKey]Claim{}
		}
	}
}

// claim notes a claim that is fresh and of the worker's present life. It tells whether it may lead to a look.
func (j *SuspicionQuorum) recordClaim(e Claim) bool {
	w := j.workers[e.Worker]
	if w == nil || e.Started != w.started || e.Age < 0 || e.Age > j.cfg.ClaimLifetime {
		return false
	}
	j.stats.Claims++
	switch e.Kind {
	case ClaimWithdrawn:
		delete(w.silentSince, e.Signer)
		return false
	case WorkerSilent:
	default:
		k := statementKey{e.Signer, e.Class, e.Kind}
		if _, ok := w.otherClaims[k]; ok || len(w.otherClaims) < j.cfg.MaxClaims {
			e.Age = j.now - e.Age // when it was seen, from here on
			w.otherClaims[k] = e
		}
		return false
	}
	if _, ok := w.silentSince[e.Signer]; !ok && len(w.silentSince) >= j.cfg.MaxClaims {
		return false
	}
	w.silentSince[e.Signer] = j.now - e.Age
	return true
}

// says is the weight behind the fresh claims of silence.
func (j *SuspicionQuorum) silenceWeightOf(w *claimedWorker) (sum float64) {
	for _, signer := range slices.Sorted(maps.Keys(w.silentSince)) {
		if j.now-w.silentSince[signer] > j.cfg.ClaimLifetime {
			delete(w.silentSince, signer)
			continue
		}
		sum += j.Weight(signer)
	}
	return sum
}

// looked takes an own look: it settles the claims that led to it.
func (j *SuspicionQuorum) workerChecked(out []any, e WorkerChecked) []any {
	w := j.workers[e.Worker]
	if w == nil || !w.checking {
		return out
	}
	w.checking = false
	if e.Skipped {
		return out
	}
	for signer, seen := range w.silentSince {
		if e.Alive { // an old claim may have been true when it was made
			fresh := 1 - float64(j.now-seen)/float64(j.cfg.ClaimLifetime)
			j.setWeight(signer, j.Weight(signer)*math.Exp2(-min(max(fresh, 0.15), 1)))
		} else {
			j.setWeight(signer, j.Weight(signer)*1.2) // who calls all silent is right at times
		}
	}
	clear(w.silentSince)
	if e.Alive {
		w.heardAt = j.now
		j.stats.Contradicted++
		return out
	}
	j.stats.ConfirmedSilent++
	return append(out, SilenceConfirmed{e.Worker})
}
