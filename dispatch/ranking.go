package dispatch

import (
	"cmp"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// This file ranks the active workers for each function by rendezvous hashing, the same way at every router.

const (
	initialRankPrefix = maxRankedCandidates * 5 / 4 // workers that a ranking holds at first, on average
	minRankPrefix     = 32                          // what is left, at the least, of one that is cut
	rankPrefixGrowth  = 4                           // factor by which it grows when more are asked for
	rankPrefixExcess  = 2                           // a longer one than this multiple of a new one is cut
)

// ranking is the beginning of the order in which a function prefers the active workers: all those whose score
// is at least minScore. As scores are spread evenly, it holds a known part of a fleet of any size, and a
// change of the fleet concerns it only by the workers that changed.
type ranking struct {
	entries  []rankedWorker // by descending score, then by id
	minScore uint64
	used     int  // entries that were asked for since the last trim
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

// rendezvousScore is the score of a worker for a function.
func (d *Dispatcher) rendezvousScore(f *function, w *worker) uint64 {
	d.hashInput = append(d.hashInput[:0], f.key...)
	d.hashInput = append(d.hashInput, 0)
	d.hashInput = append(d.hashInput, w.ID...)
	return xxhash.Sum64(d.hashInput)
}

// rankedWorker returns the i-th worker of a function's ranking, from 0, or nil behind the last.
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

// extendRanking lowers the least score of a ranking so that it holds as many workers as wanted, on average.
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

// updateRanking follows a change of the active workers.
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

// trim drops the end of a ranking that has become much longer than what is used of it, as in a fleet that
// grew.
func (r *ranking) trim() {
	kept := max(minRankPrefix, rankPrefixGrowth*r.used/2)
	if len(r.entries) > rankPrefixExcess*kept {
		r.minScore = r.entries[kept-1].score
		r.entries = slices.Clone(r.entries[:kept])
	}
	r.used = 0
}
