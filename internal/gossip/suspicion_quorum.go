package gossip

import (
	"maps"
	"math"
	"slices"
	"time"
)

const (
	// minContradictionExponent bounds how little a contradicted claim costs: it multiplies the signer's weight by 2^-x,
	// where x falls with the age of the claim from 1 to this minimum.
	minContradictionExponent = 0.15
	// confirmedWeightFactor multiplies a signer's weight for each confirmed claim. The gain is smaller than the loss
	// for a fresh contradicted claim, as a signer that claims all workers to be silent is sometimes right.
	confirmedWeightFactor = 1.2
)

// SuspicionQuorumConfig holds the parameters of a [SuspicionQuorum].
type SuspicionQuorumConfig struct {
	Threshold       float64       // total weight of the signers at which a worker is checked
	ClaimLifetime   time.Duration // older claims are ignored
	CheckInterval   time.Duration // minimum time between two checks of a worker
	ChecksPerSecond float64       // maximum rate of checks of all workers together, also the burst
	MinSilence      time.Duration // a worker that responded within this time is not checked
	WeightHalfLife  time.Duration // a signer recovers half of its lost weight in this time
	MaxClaims       int           // claims stored for each worker, of silence and of other kinds each
	MaxWorkers      int           // workers stored
}

// LocalSuspicionQuorumConfig is the configuration for use with [LocalConfig].
var LocalSuspicionQuorumConfig = SuspicionQuorumConfig{
	Threshold:       2,
	ClaimLifetime:   5 * time.Second,
	CheckInterval:   time.Second,
	ChecksPerSecond: 10,
	MinSilence:      500 * time.Millisecond,
	WeightHalfLife:  10 * time.Minute,
	MaxClaims:       32,
	MaxWorkers:      10000,
}

// SuspicionQuorum decides when the claims of other routers lead to a check of a worker. Claims never have a direct
// effect: when the total weight of their signers reaches the threshold, this router checks the worker itself, sooner
// than it would have otherwise, and only the result of that check goes to the dispatcher. Other routers can't report
// that a worker is healthy. They can only withdraw their own claims, which ends no suspicion, drain or slow start at
// this router. Only claims of silence lead to checks, as a check can't show that a worker fails a class or is slow;
// claims of the other kinds are stored for operators to inspect.
//
// A signer has a weight of at most 1, however many claims it sends. The weight is halved for each claim that a check
// contradicts (reduced less for an older claim, as the worker may have recovered since), and rises with each claim that
// a check confirms (a multiplicative-weights vote; Littlestone, Warmuth, "The Weighted Majority Algorithm", 1994) and
// slowly with time. Fewer liars than the threshold therefore have no effect. More liars cause checks, within the rate
// limit, until they have lost their weight; a check of a healthy worker costs one request and shows that it is healthy.
type SuspicionQuorum struct {
	cfg         SuspicionQuorumConfig
	now         time.Duration
	workers     map[string]*workerState
	penalties   map[string]weightPenalty // of signers with a weight below 1
	checkBudget tokenBucket
	stats       SuspicionQuorumStats
}

// SuspicionQuorumStats are the counters of a [SuspicionQuorum].
type SuspicionQuorumStats struct {
	Claims          uint64 `json:"claims"`
	Checks          uint64 `json:"looks"`
	ConfirmedSilent uint64 `json:"found_silent"`
	Contradicted    uint64 `json:"contradicted"` // checks that found the worker alive
}

// workerState holds the claims about a listed worker and the times of its latest response and check.
type workerState struct {
	started                uint64
	respondedAt, checkedAt time.Duration
	checking               bool
	silenceClaims          map[string]time.Duration // time of each signer's claim that the worker is silent
	otherClaims            map[statementKey]Claim   // for operators; the subject in the keys is the class
}

// NewSuspicionQuorum returns a quorum without claims.
func NewSuspicionQuorum(cfg SuspicionQuorumConfig) *SuspicionQuorum {
	return &SuspicionQuorum{
		cfg:         cfg,
		workers:     map[string]*workerState{},
		penalties:   map[string]weightPenalty{},
		checkBudget: tokenBucket{tokens: cfg.ChecksPerSecond},
	}
}

// SilenceWeight returns the total weight of the unexpired claims that a worker is silent.
func (q *SuspicionQuorum) SilenceWeight(worker string) float64 {
	if w := q.workers[worker]; w != nil {
		return q.silenceWeightOf(w)
	}
	return 0
}

// silenceWeightOf sums the weights of the unexpired claims of silence and removes the expired ones. The order of the
// summands is fixed, so that rounding always gives the same result.
func (q *SuspicionQuorum) silenceWeightOf(w *workerState) float64 {
	sum := 0.0
	for _, signer := range slices.Sorted(maps.Keys(w.silenceClaims)) {
		if q.now-w.silenceClaims[signer] > q.cfg.ClaimLifetime {
			delete(w.silenceClaims, signer)
			continue
		}
		sum += q.Weight(signer)
	}
	return sum
}

// Stats returns the counters.
func (q *SuspicionQuorum) Stats() SuspicionQuorumStats { return q.stats }

// Step processes events at the time now and returns actions for the caller to carry out.
func (q *SuspicionQuorum) Step(now time.Duration, events []QuorumEvent) []QuorumAction {
	q.now = max(q.now, now)
	var actions []QuorumAction
	claimed := map[string]bool{}
	for _, e := range events {
		switch e := e.(type) {
		case WorkerList:
			q.updateWorkers(e.Started)
		case WorkerResponded:
			if w := q.workers[e.Worker]; w != nil {
				w.respondedAt = q.now
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
		if w != nil && q.mayCheck(w) { // the worker may have left the list in the same step
			w.checking, w.checkedAt = true, q.now
			q.stats.Checks++
			actions = append(actions, CheckWorker{Worker: id})
		}
	}
	return actions
}

// mayCheck reports whether the claims of silence lead to a check of a worker now, and charges it to the budget of
// checks.
func (q *SuspicionQuorum) mayCheck(w *workerState) bool {
	return q.silenceWeightOf(w) >= q.cfg.Threshold && !w.checking && q.now-w.checkedAt >= q.cfg.CheckInterval &&
		q.now-w.respondedAt >= q.cfg.MinSilence &&
		q.checkBudget.take(q.now, q.cfg.ChecksPerSecond, q.cfg.ChecksPerSecond, 1)
}

// updateWorkers applies a new list of workers and removes claims about earlier incarnations.
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
			w = &workerState{respondedAt: -q.cfg.MinSilence, checkedAt: -q.cfg.CheckInterval}
			q.workers[id] = w
		}
		if w.silenceClaims == nil || started != w.started {
			w.started = started
			w.silenceClaims = map[string]time.Duration{}
			w.otherClaims = map[statementKey]Claim{}
		}
	}
}

// recordClaim stores a claim that is unexpired and about the worker's current incarnation. It reports whether the claim
// may lead to a check.
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
		delete(w.silenceClaims, c.Signer)
	case WorkerFailing, WorkerSlow, MemberAlive, MemberSuspected: // the core delivers no claims about members
		q.recordOtherClaim(w, c)
	}
	return false
}

// recordSilence stores a claim that the worker is silent. It returns false if the worker has too many claims.
func (q *SuspicionQuorum) recordSilence(w *workerState, c Claim) bool {
	if _, known := w.silenceClaims[c.Signer]; !known && len(w.silenceClaims) >= q.cfg.MaxClaims {
		return false
	}
	w.silenceClaims[c.Signer] = q.now - c.Age
	return true
}

// recordOtherClaim stores a claim of a kind that leads to no check, for operators.
func (q *SuspicionQuorum) recordOtherClaim(w *workerState, c Claim) {
	key := statementKey{signer: c.Signer, subject: c.Class, kind: c.Kind}
	if _, known := w.otherClaims[key]; known || len(w.otherClaims) < q.cfg.MaxClaims {
		c.Age = q.now - c.Age // the stored claim has the time of signing in Age
		w.otherClaims[key] = c
	}
}

// workerChecked adjusts the weights of the signers whose claims led to a check, and removes the claims. It reports
// whether the check confirmed the silence. After a skipped check the weights and the claims stay as they were.
func (q *SuspicionQuorum) workerChecked(e WorkerChecked) (silent bool) {
	w := q.workers[e.Worker]
	if w == nil || !w.checking {
		return false
	}
	w.checking = false
	if e.Result == CheckSkipped {
		return false
	}
	for signer, seen := range w.silenceClaims {
		if e.Result == CheckFoundAlive { // an old claim may have been true when it was made
			freshness := 1 - float64(q.now-seen)/float64(q.cfg.ClaimLifetime)
			q.setWeight(signer, float64(q.Weight(signer)*math.Exp2(-min(max(freshness, minContradictionExponent), 1))))
		} else {
			q.setWeight(signer, float64(q.Weight(signer)*confirmedWeightFactor))
		}
	}
	clear(w.silenceClaims)
	if e.Result == CheckFoundAlive {
		w.respondedAt = q.now
		q.stats.Contradicted++
		return false
	}
	q.stats.ConfirmedSilent++
	return true
}
