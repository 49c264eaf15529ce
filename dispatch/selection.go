package dispatch

import (
	"cmp"
	"iter"
	"slices"
)

// This file chooses a worker for a request.

const (
	overloadedRatio = 1.5 // multiple of the mean report at which a worker is passed over
	// maxRankedCandidates bounds how far down its ranking a function looks for a worker. Behind it, only the workers
	// that hold the function are looked at. It binds in fleets of more workers than this.
	maxRankedCandidates = 128
)

// selection is the state of choosing a worker for one request.
type selection struct {
	request           *request
	majoritySuspected bool
	avoidOverloaded   bool
	preferred         *worker // the first that may take the request after a load
	fallback          *worker // the first that is unlikely to serve it
	overloaded        *worker // the first that reports too many requests
	limited           bool    // a worker was passed over at its concurrency limit,
	residentLimited   bool    // and one of these holds the function
	backingOff        bool    // a worker was passed over because a load failed there
}

// candidates yields the workers for a function in the order of choice: first those that it is assigned to,
// the fewest own attempts in flight per share first, with a draw in proportion to the shares where there are
// hardly any; then the first of the others down the ranking, and those behind them that hold the function.
func (d *Dispatcher) candidates(f *function) iter.Seq[*worker] {
	return func(yield func(*worker) bool) {
		for i := range f.assignment {
			s := &f.assignment[i]
			s.worker.chosenIn = d.selections
			s.choiceKey = (float64(f.placementOn(s.worker).inFlight) + d.random.ExpFloat64()) / s.share
		}
		byKey := func(a, b workerShare) int { return cmp.Compare(a.choiceKey, b.choiceKey) }
		slices.SortFunc(f.assignment, byKey)
		for _, s := range f.assignment {
			if s.worker.State == EndpointActive && !yield(s.worker) {
				return
			}
		}
		for i := range maxRankedCandidates {
			w := d.rankedWorker(f, i)
			if w == nil {
				return
			}
			assigned := w.chosenIn == d.selections
			w.chosenIn = d.selections
			if !assigned && !yield(w) {
				return
			}
		}
		for _, w := range d.residentBehind(f) {
			if !yield(w) {
				return
			}
		}
	}
}

// residentBehind returns the active workers that hold f and are not among the candidates of the selection under way, in
// the order of the ranking.
func (d *Dispatcher) residentBehind(f *function) []*worker {
	var entries []rankedWorker
	for w, p := range f.placements {
		if w.State == EndpointActive && w.chosenIn != d.selections && d.now < p.residentUntil {
			entries = append(entries, rankedWorker{d.rendezvousScore(f, w), w})
		}
	}
	slices.SortFunc(entries, compareRanks)
	workers := make([]*worker, len(entries))
	for i, entry := range entries {
		workers[i] = entry.worker
	}
	return workers
}

// selectWorker chooses where a request goes; nil: nowhere for now. A suspected worker and one where an
// attempt of the request failed are passed over while there is another that may take it. So is one whose
// current load report shows it overloaded, whatever the cause, the more often the more routers there are for
// a worker: other routers' requests had copies loaded further down the ranking. It hurts where they had not,
// as the request then waits for a load. Where the preferred worker does not hold the function and another
// does, the first is sent a load command and the second serves: an assignment that moves or grows makes no
// request wait for a load.
func (d *Dispatcher) selectWorker(r *request) *worker {
	d.selections++
	s := selection{request: r, majoritySuspected: d.majoritySuspected()}
	s.avoidOverloaded = d.random.Float64() < max(d.residentChance, 1/d.fleetShare)
	for w := range d.candidates(r.function) {
		if !d.attemptAllowed(r, w) || !d.consider(&s, w) {
			continue
		}
		if s.preferred != nil && d.settings.LoadCommandsAllowed {
			d.commandLoad(r.function, s.preferred, 1)
		}
		return w
	}
	if s.preferred != nil && s.residentLimited && d.settings.LoadCommandsAllowed {
		d.commandLoad(r.function, s.preferred, prefetchRatio)
		return nil // the request waits for the load or for the concurrency limit, whichever comes first
	}
	if s.preferred == nil && !s.limited && !s.backingOff {
		return cmp.Or(s.fallback, s.overloaded)
	}
	return s.preferred
}

// consider reports whether w holds the function and may take the request now. If not, it notes what w is good
// for.
func (d *Dispatcher) consider(s *selection, w *worker) bool {
	r := s.request
	p := r.function.placementOn(w)
	reportIsCurrent := d.now-w.reportedAt < loadReportTTL
	overloaded := w.reportedInFlight > overloadedRatio*(d.meanReportedInFlight+1)
	if s.avoidOverloaded && r.inFlight == 0 && reportIsCurrent && overloaded {
		s.overloaded = cmp.Or(s.overloaded, w)
		return false
	}
	ejected := d.now < w.ejections[r.class].until
	backingOff := d.now < p.loadBackoffUntil
	silent := d.detectSilence(w) && !s.majoritySuspected
	if silent || r.failedOn(w) || ejected || backingOff || d.loadOverdue(r.function, p) {
		if r.inFlight == 0 && !backingOff {
			s.fallback = cmp.Or(s.fallback, w)
		}
		s.backingOff = s.backingOff || backingOff
		return false
	}
	resident := d.now < p.residentUntil
	if p.loadCommandedAt > 0 && !resident {
		s.preferred = cmp.Or(s.preferred, w) // join the load in progress
		return false
	}
	if d.atConcurrencyLimit(w) {
		s.limited, s.residentLimited = true, s.residentLimited || resident
		return false
	}
	if !resident && w.pendingLoads < maxPendingLoads {
		s.preferred = cmp.Or(s.preferred, w)
	}
	return resident
}
