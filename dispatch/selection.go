package dispatch

import (
	"cmp"
	"iter"
	"slices"
)

// This file chooses a worker for a request.

const (
	overloadedRatio = 1.5 // a worker that reports more than this multiple of the mean is passed over
	// maxRankedCandidates bounds how many workers of its ranking a function considers. Of the workers after
	// them, only those that hold the function are considered. It takes effect in fleets of more workers.
	maxRankedCandidates = 128
)

// selection is the state of choosing a worker for one request.
type selection struct {
	request           *request
	majoritySuspected bool
	avoidOverloaded   bool
	preferred         *worker // the first that may take the request after a load
	fallback          *worker // the first that is unlikely to serve the request
	overloaded        *worker // the first that reports too many requests
	limited           bool    // a worker was passed over at its concurrency limit
	residentLimited   bool    // one of the workers at their concurrency limit holds the function
	backingOff        bool    // a worker was passed over because a load failed there
	unleased          *worker // the first that may take the request once a health check has renewed its lease
	unleasedResident  bool    // unleased holds the function
	unproven          *worker // the best of those that have no trial left, see evaluateUnproven
}

// selectWorker returns the worker for a request, or nil if the request has to wait. If the worker holds no
// lease, it needs a health check first. If the preferred worker does not hold the function but another one
// does, the preferred worker gets a load command and the other one serves the request. So no request waits
// for a load because an assignment moved or grew.
func (d *Dispatcher) selectWorker(r *request) *worker {
	d.selectionCount++
	s := selection{request: r, majoritySuspected: d.majoritySuspected()}
	s.avoidOverloaded = d.random.Float64() < max(d.residentChance, 1/d.fleetShare)
	d.drawAssignmentOrder(r.function)
	for w := range d.candidates(r.function) {
		if !d.admitAttempt(r, w) {
			continue
		}
		if !d.admitTrial(w) {
			d.evaluateUnproven(&s, w)
			continue
		}
		if !d.holdsLease(w) {
			d.evaluateUnleased(&s, w)
			continue
		}
		if d.evaluateCandidate(&s, w) {
			d.prefetch(&s)
			return w
		}
	}
	if s.unleased != nil {
		return s.unleased
	}
	return d.selectWithoutResident(&s)
}

// evaluateUnleased stores a worker without a lease in the selection, if it is worth a health check: it
// holds the function, or no better candidate came before it.
func (d *Dispatcher) evaluateUnleased(s *selection, w *worker) {
	d.updateSuspicion(w)
	resident := d.now < s.request.function.placementOn(w).residentUntil
	isFirst := s.unleased == nil && s.preferred == nil && s.fallback == nil
	isFirstResident := resident && !s.unleasedResident
	if (isFirst || isFirstResident) && d.mayCheckLease(s.request, w) {
		s.unleased = w
		s.unleasedResident = resident
	}
}

// prefetch commands a load at the preferred worker for later requests. Another worker serves this one.
func (d *Dispatcher) prefetch(s *selection) {
	if s.preferred != nil && d.settings.LoadCommandsAllowed {
		d.commandLoad(s.request.function, s.preferred, 1, LoadPrefetch)
	}
}

// selectWithoutResident completes a selection in which no worker both holds the function and may take the
// request.
func (d *Dispatcher) selectWithoutResident(s *selection) *worker {
	if s.preferred != nil && s.residentLimited && d.settings.LoadCommandsAllowed {
		d.commandLoad(s.request.function, s.preferred, extraCopyFraction, LoadForRequest)
		return nil // the request waits for the load or for the concurrency limit, whichever comes first
	}
	nothingToWaitFor := s.preferred == nil && !s.limited && !s.backingOff
	if nothingToWaitFor {
		return cmp.Or(d.unprovenWithoutTrial(s), s.fallback, s.overloaded)
	}
	return s.preferred
}

// drawAssignmentOrder sorts a function's assigned workers into the order in which one request tries them:
// those with the fewest attempts of this router in flight per share first. With few attempts in flight the
// order is random, weighted by the shares.
func (d *Dispatcher) drawAssignmentOrder(f *function) {
	for i := range f.assignment {
		s := &f.assignment[i]
		s.worker.lastSelection = d.selectionCount
		inFlight := float64(f.placementOn(s.worker).inFlight)
		s.sortKey = (inFlight + d.random.ExpFloat64()) / s.share
	}
	slices.SortFunc(f.assignment, func(a, b workerShare) int { return cmp.Compare(a.sortKey, b.sortKey) })
}

// candidates yields the workers for a function in the order in which a request tries them: the assigned
// workers in their present order, then the others among the first maxRankedCandidates of the ranking, then
// the remaining workers that hold the function.
func (d *Dispatcher) candidates(f *function) iter.Seq[*worker] {
	return func(yield func(*worker) bool) {
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
			seen := w.lastSelection == d.selectionCount
			w.lastSelection = d.selectionCount
			if !seen && !yield(w) {
				return
			}
		}
		for _, w := range d.remainingResidentWorkers(f) {
			if !yield(w) {
				return
			}
		}
	}
}

// remainingResidentWorkers returns the active workers that hold f and were not yet candidates of the
// current selection, in the order of the ranking.
func (d *Dispatcher) remainingResidentWorkers(f *function) []*worker {
	var entries []rankedWorker
	for w, p := range f.placements {
		if w.State == EndpointActive && w.lastSelection != d.selectionCount && d.now < p.residentUntil {
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

// evaluateCandidate reports whether w holds the function and may take the request now. If not, it records
// in the selection why w was passed over and whether it can be used otherwise.
func (d *Dispatcher) evaluateCandidate(s *selection, w *worker) bool {
	r := s.request
	p := r.function.placementOn(w)
	if s.avoidOverloaded && r.inFlight == 0 && d.reportsOverload(w) {
		s.overloaded = cmp.Or(s.overloaded, w)
		return false
	}
	if d.isUnlikelyToServe(s, w, p) {
		backingOff := d.now < p.loadBackoffUntil
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
		s.limited = true
		s.residentLimited = s.residentLimited || resident
		return false
	}
	if !resident && w.loadsInFlight < maxLoadsInFlight {
		s.preferred = cmp.Or(s.preferred, w)
	}
	return resident
}

// reportsOverload reports whether a worker's load report is current and shows an overload, whatever the
// cause. Passing the worker over costs little, because requests of other routers have caused loads at the
// next workers of the ranking. False positives: if no other worker holds the function, the request waits
// for a load.
func (d *Dispatcher) reportsOverload(w *worker) bool {
	reportIsCurrent := d.now-w.reportedAt < loadReportTTL
	return reportIsCurrent && w.reportedInFlight > overloadedRatio*(d.meanReportedInFlight+1)
}

// isUnlikelyToServe reports whether another worker should be tried first: w is suspected, the class is
// ejected from w, an attempt of the request failed at w or is in flight there, or a load of the function
// failed or is overdue at w. It updates the suspicion of w.
func (d *Dispatcher) isUnlikelyToServe(s *selection, w *worker, p placement) bool {
	r := s.request
	d.updateSuspicion(w)
	unresponsive := w.suspected && !s.majoritySuspected
	ejected := d.now < w.ejections[r.class].until
	loadFailing := d.now < p.loadBackoffUntil || d.loadOverdue(r.function, p)
	return unresponsive || ejected || loadFailing || r.failedOn(w)
}
