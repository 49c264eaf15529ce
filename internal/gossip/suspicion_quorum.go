package gossip

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"strconv"
	"time"
)

const (
	// minContradictedShare is the least part of a halving that a contradicted claim costs its signer, however old it is.
	minContradictedShare = 0.15
	// confirmedWeightFactor is by how much a signer's weight rises with a confirmed claim: less than a contradicted one
	// costs, as who calls all workers silent is right at times.
	confirmedWeightFactor = 1.2
)

// SuspicionQuorumConfig holds the constants of a [SuspicionQuorum].
type SuspicionQuorumConfig struct {
	Threshold       float64       // weight of independent signers from which a worker is checked
	ClaimLifetime   time.Duration // older claims have no weight
	CheckInterval   time.Duration // a worker is checked no more often than this
	ChecksPerSecond float64       // rate of checks over all workers, and the burst
	RecentlyHeard   time.Duration // a worker that gave a sign of life within this time is not checked
	WeightHalfLife  time.Duration // half of what a signer's weight lost comes back in this time
	MaxClaims       int           // claims stored for a worker
	MaxWorkers      int           // workers with claims
}

// LocalSuspicionQuorumConfig goes with LocalConfig.
var LocalSuspicionQuorumConfig = SuspicionQuorumConfig{
	Threshold:       2,
	ClaimLifetime:   5 * time.Second,
	CheckInterval:   time.Second,
	ChecksPerSecond: 10,
	RecentlyHeard:   500 * time.Millisecond,
	WeightHalfLife:  10 * time.Minute,
	MaxClaims:       32,
	MaxWorkers:      10000,
}

// SuspicionQuorum decides when the claims of other routers lead to a check of a worker. A claim alone never acts:
// enough weight of independent signers has this router check the worker itself, sooner than it would have; only the
// result of the own check goes to the dispatcher, which alone acts on it. That a worker is well is accepted only as a
// signer's withdrawal of its own claim, so it can end no suspicion, drain or slow start. Only claims of silence lead to
// checks, as no check shows that a worker fails a class or is slow: such claims are kept for the operators to read.
//
// A signer weighs at most 1, whatever it sends, and by its record: half as much for each claim that own checks
// contradict (hardly less for an old claim, as the worker may have recovered since), and more again as they confirm it
// (a multiplicative-weights vote; Littlestone, Warmuth, "The Weighted Majority Algorithm", 1994), or slowly with time.
// Liars fewer than the threshold therefore cause nothing. More of them cause checks, within the rate limit of checks,
// until their weight is gone: a check of a healthy worker costs one request and shows that it is healthy.
type SuspicionQuorum struct {
	cfg         SuspicionQuorumConfig
	now         time.Duration
	workers     map[string]*claimedWorker
	records     map[string]signerRecord // of signers that weigh less than 1
	checkBudget tokenBucket
	stats       SuspicionQuorumStats
}

// SuspicionQuorumStats counts what a quorum has done.
type SuspicionQuorumStats struct {
	Claims          uint64 `json:"claims"`
	Checks          uint64 `json:"looks"`
	ConfirmedSilent uint64 `json:"found_silent"`
	Contradicted    uint64 `json:"contradicted"` // checks that found a worker healthy
}

// Claim is a member's claim about a worker's incarnation, which began at Started.
type Claim struct {
	Worker  string
	Started uint64 // Unix milliseconds, as in the list of workers; claims about another incarnation are void
	Kind    StatementKind
	Class   string
	Signer  string
	Age     time.Duration // since the signer saw it
}

// CheckResult is how a CheckWorker ended.
type CheckResult int

// The results of a check.
const (
	CheckSkipped     CheckResult = iota // no check was made, so that nothing is known
	CheckFoundAlive                     // the worker gave a sign of life
	CheckFoundSilent                    // the worker gave no sign of life
)

// String returns the result in plain words.
func (r CheckResult) String() string {
	switch r {
	case CheckSkipped:
		return "skipped"
	case CheckFoundAlive:
		return "alive"
	case CheckFoundSilent:
		return "silent"
	}
	return "CheckResult(" + strconv.Itoa(int(r)) + ")"
}

// WorkerChecked reports how a CheckWorker ended.
type WorkerChecked struct {
	Worker string
	Result CheckResult
}

func (Claim) quorumEvent()         {}
func (WorkerChecked) quorumEvent() {}

// QuorumAction is an output of [SuspicionQuorum.Step].
type QuorumAction interface{ quorumAction() }

// CheckWorker asks the caller to request a sign of life of the worker, and to report it as WorkerChecked.
type CheckWorker struct{ Worker string }

// SilenceConfirmed reports that the own check found no sign of life either. It is to be passed to the dispatcher.
type SilenceConfirmed struct{ Worker string }

func (CheckWorker) quorumAction()      {}
func (SilenceConfirmed) quorumAction() {}

// signerRecord is by how much a signer's weight was below 1 at a time.
type signerRecord struct {
	penalty   float64
	updatedAt time.Duration
}

// claimedWorker is what is claimed and known of a worker.
type claimedWorker struct {
	started            uint64
	heardAt, checkedAt time.Duration
	checking           bool
	silentSince        map[string]time.Duration // when each signer saw it silent
	otherClaims        map[statementKey]Claim   // for the operators; the subject of the key is the class
}

// NewSuspicionQuorum returns a quorum without claims.
func NewSuspicionQuorum(cfg SuspicionQuorumConfig) *SuspicionQuorum {
	return &SuspicionQuorum{
		cfg:         cfg,
		workers:     map[string]*claimedWorker{},
		records:     map[string]signerRecord{},
		checkBudget: tokenBucket{tokens: cfg.ChecksPerSecond},
	}
}

// Weight returns the weight of a signer's claims, 0 to 1.
func (q *SuspicionQuorum) Weight(signer string) float64 {
	r, ok := q.records[signer]
	if !ok {
		return 1
	}
	return 1 - r.penalty*math.Exp2(-float64(q.now-r.updatedAt)/float64(q.cfg.WeightHalfLife))
}

func (q *SuspicionQuorum) setWeight(signer string, weight float64) {
	if weight >= 1 {
		delete(q.records, signer)
		return
	}
	q.records[signer] = signerRecord{penalty: 1 - weight, updatedAt: q.now}
}

// SilenceWeight returns the weight of the fresh claims that a worker is silent.
func (q *SuspicionQuorum) SilenceWeight(worker string) float64 {
	if w := q.workers[worker]; w != nil {
		return q.silenceWeightOf(w)
	}
	return 0
}

// silenceWeightOf sums the weights of the fresh claims of silence and removes the others. The order of the sum is
// fixed, so that it comes to the same digits each time.
func (q *SuspicionQuorum) silenceWeightOf(w *claimedWorker) float64 {
	sum := 0.0
	for _, signer := range slices.Sorted(maps.Keys(w.silentSince)) {
		if q.now-w.silentSince[signer] > q.cfg.ClaimLifetime {
			delete(w.silentSince, signer)
			continue
		}
		sum += q.Weight(signer)
	}
	return sum
}

// Stats returns what the quorum has done.
func (q *SuspicionQuorum) Stats() SuspicionQuorumStats { return q.stats }

// Step processes events at a time and returns what the caller is to do.
func (q *SuspicionQuorum) Step(now time.Duration, events []QuorumEvent) []QuorumAction {
	q.now = max(q.now, now)
	var actions []QuorumAction
	claimed := map[string]bool{}
	for _, e := range events {
		switch e := e.(type) {
		case WorkerList:
			q.updateWorkers(e.Started)
		case WorkerHeard:
			if w := q.workers[e.Worker]; w != nil {
				w.heardAt = q.now
			}
		case Claim:
			if q.recordClaim(e) {
				claimed[e.Worker] = true
			}
		case WorkerChecked:
			if q.workerChecked(e) {
				actions = append(actions, SilenceConfirmed{Worker: e.Worker})
			}
		}
	}
	for _, id := range slices.Sorted(maps.Keys(claimed)) {
		w := q.workers[id]
		if w != nil && q.mayCheck(w) { // it may have left the list in the same step
			w.checking, w.checkedAt = true, q.now
			q.stats.Checks++
			actions = append(actions, CheckWorker{Worker: id})
		}
	}
	return actions
}

// mayCheck reports whether the claims of silence lead to a check now, and takes it from the budget of checks.
func (q *SuspicionQuorum) mayCheck(w *claimedWorker) bool {
	return q.silenceWeightOf(w) >= q.cfg.Threshold && !w.checking && q.now-w.checkedAt >= q.cfg.CheckInterval &&
		q.now-w.heardAt >= q.cfg.RecentlyHeard &&
		q.checkBudget.take(q.now, q.cfg.ChecksPerSecond, q.cfg.ChecksPerSecond, 1)
}

// updateWorkers follows the list of workers. Claims about another incarnation of a worker are removed.
func (q *SuspicionQuorum) updateWorkers(list map[string]uint64) {
	for id := range q.workers {
		if _, listed := list[id]; !listed {
			delete(q.workers, id)
		}
	}
	for id, started := range list {
		w := q.workers[id]
		if w == nil && len(q.workers) >= q.cfg.MaxWorkers {
			continue
		}
		if w == nil {
			w = &claimedWorker{heardAt: -q.cfg.RecentlyHeard, checkedAt: -q.cfg.CheckInterval}
			q.workers[id] = w
		}
		if w.silentSince == nil || started != w.started {
			w.started = started
			w.silentSince = map[string]time.Duration{}
			w.otherClaims = map[statementKey]Claim{}
		}
	}
}

// recordClaim keeps a claim that is fresh and about the worker's present incarnation. It reports whether the claim may
// lead to a check.
func (q *SuspicionQuorum) recordClaim(c Claim) bool {
	w := q.workers[c.Worker]
	if w == nil || c.Started != w.started || c.Age < 0 || c.Age > q.cfg.ClaimLifetime {
		return false
	}
	q.stats.Claims++
	switch c.Kind {
	case WorkerSilent:
		return q.recordSilence(w, c)
	case ClaimWithdrawn:
		delete(w.silentSince, c.Signer)
	case WorkerFailing, WorkerSlow, MemberAlive, MemberSuspected: // the core hands over none about members
		q.recordOtherClaim(w, c)
	}
	return false
}

// recordSilence keeps a claim that the worker is silent. It reports whether there was room for it.
func (q *SuspicionQuorum) recordSilence(w *claimedWorker, c Claim) bool {
	if _, known := w.silentSince[c.Signer]; !known && len(w.silentSince) >= q.cfg.MaxClaims {
		return false
	}
	w.silentSince[c.Signer] = q.now - c.Age
	return true
}

// recordOtherClaim keeps a claim that leads to no check, for the operators.
func (q *SuspicionQuorum) recordOtherClaim(w *claimedWorker, c Claim) {
	key := statementKey{signer: c.Signer, subject: c.Class, kind: c.Kind}
	if _, known := w.otherClaims[key]; known || len(w.otherClaims) < q.cfg.MaxClaims {
		c.Age = q.now - c.Age // from here on the time at which it was seen
		w.otherClaims[key] = c
	}
}

// workerChecked settles the claims that led to an own check. It reports whether the check confirmed the silence.
func (q *SuspicionQuorum) workerChecked(e WorkerChecked) (silent bool) {
	w := q.workers[e.Worker]
	if w == nil || !w.checking {
		return false
	}
	w.checking = false
	if e.Result == CheckSkipped {
		return false
	}
	for signer, seen := range w.silentSince {
		if e.Result == CheckFoundAlive { // an old claim may have been true when it was made
			freshness := 1 - float64(q.now-seen)/float64(q.cfg.ClaimLifetime)
			q.setWeight(signer, q.Weight(signer)*math.Exp2(-min(max(freshness, minContradictedShare), 1)))
		} else {
			q.setWeight(signer, q.Weight(signer)*confirmedWeightFactor)
		}
	}
	clear(w.silentSince)
	if e.Result == CheckFoundAlive {
		w.heardAt = q.now
		q.stats.Contradicted++
		return false
	}
	q.stats.ConfirmedSilent++
	return true
}

// Suspicion is what is claimed of a worker, for the operators.
type Suspicion struct {
	Worker  string   `json:"worker"`
	Kind    string   `json:"about"`
	Class   string   `json:"class,omitempty"`
	Weight  float64  `json:"weight"`
	Signers []string `json:"by"`
}

// Suspicions lists the fresh claims about workers: by worker, silence first, then by kind and class.
func (q *SuspicionQuorum) Suspicions() []Suspicion {
	var list []Suspicion
	for _, id := range slices.Sorted(maps.Keys(q.workers)) {
		w := q.workers[id]
		if weight := q.silenceWeightOf(w); weight > 0 {
			signers := slices.Sorted(maps.Keys(w.silentSince))
			list = append(list, Suspicion{Worker: id, Kind: WorkerSilent.String(), Weight: weight, Signers: signers})
		}
		list = append(list, q.otherSuspicions(id, w)...)
	}
	return list
}

// otherSuspicions lists the fresh claims about a worker that are not of silence, and removes the others.
func (q *SuspicionQuorum) otherSuspicions(id string, w *claimedWorker) []Suspicion {
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
