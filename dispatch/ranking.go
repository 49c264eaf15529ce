package dispatch

import (
	"cmp"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// This file ranks the active workers for each function by rendezvous hashing. All routers compute the same
// rankings.

const (
	initialRankPrefix = maxRankedCandidates * 5 / 4 // average length of a new ranking
	minRankPrefix     = 32                          // minimum length of a trimmed ranking
	rankPrefixGrowth  = 4                           // a ranking grows to this multiple of the workers needed
	rankPrefixExcess  = 2                           // trimmed if longer than this multiple of the new length
)

// ranking is a prefix of a function's rendezvous ranking: all active workers whose score is at least
// minScore. As scores are evenly distributed, minScore determines which part of a fleet of any size the
// ranking holds. After a change of the fleet only the workers that changed have to be inserted or removed.
type ranking struct {
	entries  []rankedWorker // by descending score, then by id
	minScore uint64
	used     int  // number of entries that were needed since the last trim
	built    bool // entries and minScore are set
}

// rankedWorker is a worker and its rendezvous score for one function.
type rankedWorker struct {
	score  uint64
	worker *worker
}

func compareRanks(a, b rankedWorker) int {
	return cmp.Or(cmp.Compare(b.score, a.score), cmp.Compare(a.worker.ID, b.worker.ID))
}

// rendezvousScore returns the score of a worker for a function.
func (d *Dispatcher) rendezvousScore(f *function, w *worker) uint64 {
	d.hashInput = append(d.hashInput[:0], f.key...)
	d.hashInput = append(d.hashInput, 0)
	d.hashInput = append(d.hashInput, w.ID...)
	return xxhash.Sum64(d.hashInput)
}

// rankedWorker returns the worker at index i of a function's ranking, or nil after the last.
func (d *Dispatcher) rankedWorker(f *function, i int) *worker {
	r := &f.ranking
	for i >= len(r.entries) {
		if r.built && r.minScore == 0 {
			return nil
		}
		d.extendRanking(f, max(initialRankPrefix, rankPrefixGrowth*(i+1)))
	}
	r.used = max(r.used, i+1)
	return r.entries[i].worker
}

// extendRanking lowers the minimum score of a ranking, so that it holds the wanted number of workers on
// average.
func (d *Dispatcher) extendRanking(f *function, wanted int) {
	r := &f.ranking
	minScore := uint64(0)
	if part := float64(wanted) / float64(max(len(d.activeWorkers), 1)); part < 1 {
		minScore = math.MaxUint64 - uint64(part*math.MaxUint64)
	}
	known := len(r.entries)
	for _, w := range d.activeWorkers {
		score := d.rendezvousScore(f, w)
		if score >= minScore && (!r.built || score < r.minScore) {
			r.entries = append(r.entries, rankedWorker{score, w})
		}
	}
	slices.SortFunc(r.entries[known:], compareRanks)
	r.minScore = minScore
	r.built = true
}

// updateRanking applies a change of the active workers to a function's ranking.
func (d *Dispatcher) updateRanking(f *function, added, removed []*worker) {
	r := &f.ranking
	if !r.built {
		return
	}
	for _, w := range removed {
		r.remove(rankedWorker{d.rendezvousScore(f, w), w})
	}
	for _, w := range added {
		r.insert(rankedWorker{d.rendezvousScore(f, w), w})
	}
	r.trim()
}

func (r *ranking) remove(entry rankedWorker) {
	if entry.score < r.minScore {
		return
	}
	if i, found := slices.BinarySearchFunc(r.entries, entry, compareRanks); found {
		r.entries = slices.Delete(r.entries, i, i+1)
	}
}

func (r *ranking) insert(entry rankedWorker) {
	if entry.score < r.minScore {
		return
	}
	if i, found := slices.BinarySearchFunc(r.entries, entry, compareRanks); !found {
		r.entries = slices.Insert(r.entries, i, entry)
	}
}

// trim shortens a ranking that is much longer than the part of it that is used, as in a fleet that grew.
func (r *ranking) trim() {
	kept := max(minRankPrefix, rankPrefixGrowth*r.used/2)
	if len(r.entries) > rankPrefixExcess*kept {
		r.minScore = r.entries[kept-1].score
		r.entries = slices.Clone(r.entries[:kept])
	}
	r.used = 0
}
