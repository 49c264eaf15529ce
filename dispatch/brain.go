// This file holds every decision. It follows Algorithm 2.2 of
// "Consistent Load Balancing Via Spread Minimization" (Kleinberg, Leighton, STOC 2003).

package dispatch

import (
	"cmp"
	"container/heap"
	"errors"
	"fmt"
	"iter"
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	rebalanceInterval     = 2 * time.Second        // a round of the design page; short enough to follow a burst
	capacityHeadroom      = 0.2                    // epsilon: room beyond the demand, as the paper assumes
	unansweredInstances   = 0.1                    // instances that a function counts until it has answered
	maxPendingLoads       = 4                      // own load orders at one worker before the next is tried
	rateSmoothing         = 0.3                    // weight of the newest round in a rate: some 6 s of memory
	requestsPerWorker     = 3.0                    // calls remembered for each worker, at the least
	runTimeSmoothing      = 0.1                    // weight of one answer in a function's run time
	workerSmoothing       = 0.06                   // weight of one answer in a worker's slowness: ten answers tell half
	loadReportSpan        = 10 * time.Second       // time in which answers change a worker's crowding
	loadReportWeight      = 2.0                    // by this much of a report's log ratio to the others
	maxLoadExcess         = 4.0                    // most crowding, in logs
	meanSmoothing         = 0.05                   // weight of one report in the mean of all
	ejectionBase          = 3 * time.Second        // first rest of a class at a worker, doubled each time
	timeoutsToEject       = 8                      // attempts of a class overdue in a row that rest it at a worker
	maxRunTimeError       = 1.5                    // most that one answer may be off, in logs: heavy tails say little
	phiThreshold          = 6                      // expected answers overdue before a silent worker is doubted
	minSilence            = 400 * time.Millisecond // shortest silence that raises a doubt: longer than a usual stall
	loadReportTTL         = 300 * time.Millisecond // how long a report holds,
	overloadedRatio       = 1.5                    // multiple of the mean held from which a worker is passed over
	slowThreshold         = 1.0                    // slowness from which a worker is called slow to other routers
	maxHealthCheckCost    = 0.02                   // share of the worth offered that a probe before each send may earn
	healthCheckInterval   = time.Second            // how often a doubted worker is asked for a sign of life
	overdueMultiple       = 3                      // an attempt is overdue at this multiple of its expected time,
	overdueMargin         = 100 * time.Millisecond // and not before this has been added to it
	timerSlack            = time.Millisecond       // how exact wakes are
	initialLimit          = 12.0                   // attempts out at a worker, of all routers, before any are too many
	limitIncrease         = 0.1                    // growth for an answer in time while the window is in use,
	fleetLimitDecrease    = 0.5                    // loss of the fleet window for one: in balance when a sixth are late
	limitDecrease         = 0.2                    // and loss for a late one: in balance when a third are late
	lateMultiple          = 1.5                    // an answer is late for the window at this multiple of its run time
	minLimit              = 3.0                    // least window, of all routers
	lateObjectiveFraction = 0.25                   // and no earlier than this share of the class's aim
	rejectionFactor       = 0.7                    // what a refusal leaves of the window
	pendingBackoff        = 30 * time.Millisecond  // first wait of a request with nowhere to go, doubled each time
	retryBudgetBurst      = 10.0                   // most further attempts saved up: each answer earns one
	loadBackoff           = 500 * time.Millisecond // first rest after a failed load, doubled each time
	defaultLoadTime       = 800 * time.Millisecond // a load's time before any is known
	defaultRunTime        = 100 * time.Millisecond // a run's time before any is known
	prefetchRatio         = 0.5                    // of the load ration that holding warm leaves to misses
	idleFunctionTTL       = 2 * time.Minute        // a function not called for so long is forgotten,
	unservedFunctionTTL   = 10 * time.Second       // and one that never answered sooner: anyone may make up names
)

// worker is what this router knows of one worker.
type worker struct {
	Endpoint
	memoryMB                            float64 // of its kind
	ejections                           map[*class]ejection
	warmingUp, suspected                bool
	hashScore                           uint64        // in the ranking that is being made
	attempts                            []*attempt    // own attempts out, oldest first
	lastHeard, lastChecked              time.Duration // last sign of life, and last asked for one
	slowness                            float64       // log of its answer times over what they should be
	loadExcess                          float64       // log of the requests that it holds over what the others hold
	reportedAt                          time.Duration // when it last reported,
	reportedInFlight                    float64       // what it held then,
	awaitingReport                      []*request    // and the requests that wait for its next report
	pendingLoads                        int           // own load orders out
	slowStartTokens                     float64       // work that may be sent there while it is cold,
	tokensUpdatedAt                     time.Duration // and when that was reckoned
	remainingCapacity, concurrencyLimit float64       // room left in the walk; own attempts that may be out there,
	inFlight                            float64       // and those that are, on copies that stood
}

// function is what this router knows of one function.
type function struct {
	key                           string
	lastClass                     *class // of its last call
	memoryMB, concurrency, demand float64
	loadTime, lastRequestAt       time.Duration
	requestCount                  int     // in this round
	requestRate                   float64 // own calls a second
	logRunTime, meanWorkUnit      float64 // log of answer time over unit, and the mean unit, see request.unit
	served                        bool
	ranked                        []*worker
	rankedVersion                 int // the roster that ranked belongs to
	assignment                    []workerShare
	placements                    map[string]*placement
}

// bar is a class's rest at a worker.
type ejection struct {
	until               time.Duration
	count               int
	consecutiveTimeouts int // attempts overdue in a row, while others were answered
}

// part is a worker's share of a function.
type workerShare struct {
	worker           *worker
	share, choiceKey float64 // turn: its place in the order of choice for the request at hand
}

// place is a function at a worker.
type placement struct {
	inFlight, loadFailures            int
	residentUntil                     time.Duration // a copy was seen or used, and stays until then
	loadCommandedAt, loadBackoffUntil time.Duration // when the order now out was given, or 0; no orders until then
	awaitingLoad                      []*request
}

type class struct {
	Class
	meanWork float64 // mean seconds of work, learned
}

type request struct {
	Request
	function                          *function
	class                             *class
	acceptedAt, retryOrder            time.Duration // latest: its place among those held
	deadline                          time.Duration
	attempts                          []*attempt
	inFlight, backoffs                int
	workUnit                          float64  // what its time is measured by: its hint, or a second where there is none
	needsAttempt, done, healthChecked bool     // an attempt is called for; a final answer was given; a worker was probed
	streaming                         *attempt // whose streamed response has begun: the client's from then on
}

type attempt struct {
	request            *request
	worker             *worker
	number, concurrent int // its number; own attempts at the worker when it was sent
	startedAt          time.Duration
	expectedSeconds    float64 // seconds
	weight             float64 // what it counts for in the windows: the chance that it needs no load
	expectedResident   bool    // a copy was thought to stand there
	ended              bool
	countedAsTimeout   bool          // counted as overdue, once
	mayHaveRun, failed bool          // may have run; not to be tried there again
	firstMessageAfter  time.Duration // from the send to the start of its streamed response
}

// wake is a moment at which a request is to be looked at again; n counts them.
type timer struct {
	at       time.Duration
	sequence int
	request  RequestID
}

// wakes is a heap, earliest first, and in the order of asking within a moment.
type timerHeap []timer

func (h timerHeap) Len() int { return len(h) }
func (h timerHeap) Less(i, j int) bool {
	return h[i].at < h[j].at || h[i].at == h[j].at && h[i].sequence < h[j].sequence
}
func (h timerHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *timerHeap) Push(x any)   { *h = append(*h, x.(timer)) }
func (h *timerHeap) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}

// Dispatcher decides for one router.
type Dispatcher struct {
	settings                                Settings
	random                                  *rand.Rand
	now, timerDue, lastRebalance            time.Duration // armed: the earliest Wake out
	started                                 bool
	actions                                 []Action
	workers                                 map[string]*worker
	activeWorkers                           []*worker          // those that may be sent to, by id
	endpointsVersion                        int                // counts the changes of list
	memoryByKind                            map[string]float64 // by kind
	classes                                 map[string]*class
	functions                               map[string]*function
	functionsInOrder                        []*function // in order of first sight
	requests                                map[RequestID]*request
	timers                                  timerHeap
	timerSequence                           int             // wakes so far
	pending                                 []*request      // those with nowhere to go for now
	requestRate, workServed, workRate       float64         // own calls a second; work served: this round, and a second
	rebalanceCount, servedRate, servedCount float64         // rounds so far; answers a second, and in this round
	requestTimes, loadCommandTimes          []time.Duration // within the span of the load ration
	logLoadTime, meanResponseTime           float64         // log of the load times seen; seconds that answers take of late
	inFlight, fleetLimit, fleetShare        float64         // own attempts out; the fleet window for a worker; own part of it
	residentChance, retryBudget             float64         // chance that a copy unknown here stands; further attempts earned
	meanReportedInFlight                    float64         // requests that a worker reports to hold
}

// New returns a Dispatcher with no knowledge but its settings.
func New(s Settings, seed uint64) (*Dispatcher, error) {
	switch {
	case len(s.Classes) == 0:
		return nil, errors.New("brain: settings name no class")
	case s.MaxAttempts < 1:
		return nil, fmt.Errorf("brain: %d attempts allowed, at least 1 needed", s.MaxAttempts)
	case min(s.LoadRateWindow, s.OverloadWindow, s.SlowStartDuration, s.IdleResidency) < 0:
		return nil, errors.New("brain: a span in the settings is negative")
	}
	s.Routers = max(s.Routers, 1)
	d := &Dispatcher{settings: s, random: rand.New(rand.NewPCG(seed, 0)), workers: map[string]*worker{},
		memoryByKind: map[string]float64{}, classes: map[string]*class{}, functions: map[string]*function{},
		requests: map[RequestID]*request{}, meanResponseTime: defaultRunTime.Seconds(), logLoadTime: math.Log(defaultLoadTime.Seconds()),
		fleetLimit: initialLimit, retryBudget: retryBudgetBurst}
	for _, k := range s.WorkerKinds {
		d.memoryByKind[k.Name] = k.MemoryMB
	}
	for _, c := range s.Classes {
		d.classes[c.Name] = &class{Class: c, meanWork: defaultRunTime.Seconds()}
	}
	return d, nil
}

// Step takes what has happened up to now and returns what to do about it.
func (d *Dispatcher) Step(now time.Duration, events []Event) []Action {
	d.now, d.actions = max(now, d.now), nil
	if !d.started {
		d.started, d.lastRebalance = true, d.now
		if d.settings.EndpointsBySubscription {
			d.emit(SubscribeEndpoints{})
		}
	}
	for _, e := range events {
		switch e := e.(type) {
		case EndpointUpdate:
			d.updateEndpoints(e)
		case Request:
			d.acceptRequest(e)
		case AttemptEnded:
			d.attemptEnded(e)
		case ResponseStarted:
			d.responseStarted(e)
		case RequestCancelled:
			if r := d.requests[e.ID]; r != nil {
				d.closeRequest(r)
			}
		case FunctionLoaded:
			d.functionLoaded(e)
		case HealthChecked:
			d.healthChecked(e)
		case GossipUpdate:
			d.applyGossip(e)
		case ShutdownStarted:
			for _, id := range slices.Sorted(maps.Keys(d.requests)) {
				d.requests[id].deadline = min(d.requests[id].deadline, d.now+e.AnswerWithin)
				d.setRequestTimer(d.requests[id], d.requests[id].deadline)
			}
		case TimerFired:
			if d.now > d.timerDue-timerSlack {
				d.timerDue = 0 // callers may round a Wake down
			}
		}
	}
	for len(d.timers) > 0 && d.timers[0].at <= d.now {
		r := d.requests[heap.Pop(&d.timers).(timer).request]
		if r != nil && d.now >= r.deadline {
			d.finishUnserved(r)
		} else if r != nil && r.inFlight > 0 {
			last := r.attempts[len(r.attempts)-1]
			d.releaseConcurrency(last)
			d.detectTimeout(last)
		} else if r != nil && r.needsAttempt {
			d.routeRequest(r)
		}
	}
	if d.now-d.lastRebalance >= rebalanceInterval {
		d.rebalance()
	}
	d.retryPending()
	next := d.lastRebalance + rebalanceInterval
	if len(d.timers) > 0 {
		next = min(next, d.timers[0].at)
	}
	if len(d.pending) > 0 {
		next = min(next, d.now+pendingBackoff)
	}
	if d.timerDue <= d.now || next < d.timerDue {
		d.timerDue = max(next, d.now+timerSlack)
		d.emit(SetTimer{After: d.timerDue - d.now})
	}
	return d.actions
}

func (d *Dispatcher) emit(a Action) { d.actions = append(d.actions, a) }

// wakeAt has a request looked at again.
func (d *Dispatcher) setRequestTimer(r *request, at time.Duration) {
	d.timerSequence++
	heap.Push(&d.timers, timer{max(at, d.now+1), d.timerSequence, r.ID})
}

// Roster ------------------------------------------------------------------------------------------------

// changed follows the list. A worker with a fresh start is empty and cold, and what is out there is lost.
func (d *Dispatcher) updateEndpoints(e EndpointUpdate) {
	if e.SubscriptionLost && d.settings.EndpointsBySubscription {
		d.emit(SubscribeEndpoints{})
	}
	named := map[string]bool{}
	meanWork := max(d.workRate/max(d.requestRate, 1e-9), defaultRunTime.Seconds())
	for _, m := range e.Endpoints {
		named[m.ID] = true
		w := d.workers[m.ID]
		if w == nil {
			w = &worker{concurrencyLimit: initialLimit / float64(d.settings.Routers), ejections: map[*class]ejection{}}
			d.workers[m.ID] = w
		} else if m.StartedAt > w.StartedAt {
			for _, f := range d.functionsInOrder {
				delete(f.placements, m.ID)
			}
			*w = worker{attempts: w.attempts, inFlight: w.inFlight, lastHeard: d.now, ejections: map[*class]ejection{}}
			w.concurrencyLimit = initialLimit / float64(d.settings.Routers)
		}
		w.Endpoint, w.memoryMB = m, d.memoryByKind[m.Kind]
		if cold := m.StartedAt > 0 && d.now-m.StartedAt < d.settings.SlowStartDuration; cold != w.warmingUp {
			w.warmingUp, w.slowStartTokens, w.tokensUpdatedAt = cold, -d.random.Float64()*meanWork, d.now
		}
	}
	d.activeWorkers = d.activeWorkers[:0:0]
	for id, w := range d.workers {
		if e.Snapshot && !e.SubscriptionLost && !named[id] {
			w.State = EndpointRemoved
		}
		if w.State == EndpointActive {
			d.activeWorkers = append(d.activeWorkers, w)
		}
	}
	slices.SortFunc(d.activeWorkers, func(a, b *worker) int { return cmp.Compare(a.ID, b.ID) })
	d.removeEndpoints()
	d.endpointsVersion++
	d.fleetShare = float64(max(len(d.activeWorkers), 1)) / float64(d.settings.Routers)
	if d.started && d.lastRebalance < d.now {
		d.assignCapacity()
	}
}

// bury forgets the workers that have gone and have no own attempt out, and lets the requests go that waited
// for one. It guards against a fleet whose workers are replaced all day by others under new ids.
func (d *Dispatcher) removeEndpoints() {
	dead := map[string]bool{}
	for id, w := range d.workers {
		if w.State == EndpointRemoved && len(w.attempts) == 0 {
			dead[id] = true
		}
	}
	if len(dead) == 0 {
		return
	}
	for _, id := range slices.Sorted(maps.Keys(dead)) {
		d.pending = append(d.pending, d.workers[id].awaitingReport...)
		for _, f := range d.functionsInOrder {
			if p := f.placements[id]; p != nil {
				d.pending = append(d.pending, p.awaitingLoad...)
				delete(f.placements, id)
			}
		}
		delete(d.workers, id)
	}
	for _, f := range d.functionsInOrder {
		f.assignment = slices.DeleteFunc(f.assignment, func(s workerShare) bool { return dead[s.worker.ID] })
	}
}

// Ordinary path -----------------------------------------------------------------------------------------

// rank orders the workers for a function by hash, the same at every router.
func (d *Dispatcher) rankWorkers(f *function) []*worker {
	if f.rankedVersion == d.endpointsVersion && f.ranked != nil {
		return f.ranked
	}
	for _, w := range d.activeWorkers {
		w.hashScore = xxhash.Sum64String(f.key + "\x00" + w.ID)
	}
	f.ranked, f.rankedVersion = slices.Clone(d.activeWorkers), d.endpointsVersion
	slices.SortStableFunc(f.ranked, func(a, b *worker) int { return cmp.Compare(b.hashScore, a.hashScore) })
	return f.ranked
}

// round measures every function and lays out the splits anew.
func (d *Dispatcher) rebalance() {
	span := (d.now - d.lastRebalance).Seconds()
	d.lastRebalance = d.now
	d.rebalanceCount++
	// Few calls are remembered for longer: a rate from one or two would lay every function out by chance,
	// and at each router by another. With enough calls for each worker a burst shows within some rounds.
	gain := max(min(d.requestRate*span/(requestsPerWorker*float64(max(len(d.activeWorkers), 1))), rateSmoothing), 1/d.rebalanceCount)
	d.workRate += max(rateSmoothing, 1/d.rebalanceCount) * (d.workServed/span - d.workRate)
	d.servedRate += max(rateSmoothing, 1/d.rebalanceCount) * (d.servedCount/span - d.servedRate)
	d.workServed, d.requestRate, d.servedCount = 0, 0, 0
	d.functionsInOrder = slices.DeleteFunc(d.functionsInOrder, func(f *function) bool {
		f.requestRate += gain * (float64(f.requestCount)/span - f.requestRate)
		f.requestCount, d.requestRate = 0, d.requestRate+f.requestRate
		if age := d.now - f.lastRequestAt; age <= unservedFunctionTTL || f.served && age <= idleFunctionTTL {
			return false
		}
		delete(d.functions, f.key)
		return true
	})
	d.expireRateWindow()
	d.assignCapacity()
}

// walk fills the workers' slices with the functions, lightest first. The slices hold the demand and the
// surplus, so nothing is left over while there is a worker.
func (d *Dispatcher) assignCapacity() {
	total, room := 0.0, 0.0
	byWeight := slices.Clone(d.functionsInOrder)
	for _, f := range d.functionsInOrder {
		copies := unansweredInstances
		if f.served {
			copies = f.requestRate * math.Exp(f.logRunTime) * f.meanWorkUnit / f.concurrency
		}
		f.demand = copies * f.memoryMB
		total += f.demand
	}
	slices.SortStableFunc(byWeight, func(a, b *function) int {
		return cmp.Or(cmp.Compare(a.demand, b.demand), cmp.Compare(a.key, b.key))
	})
	for _, w := range d.activeWorkers {
		w.warmingUp = w.warmingUp && d.now-w.StartedAt < d.settings.SlowStartDuration
		w.remainingCapacity = d.capacityFactor(w) * max(w.memoryMB, 1)
		room += w.remainingCapacity
		if w.slowness > slowThreshold {
			d.reportSuspicion(ReportSuspicion{Worker: w.ID, Slow: true})
		}
	}
	for _, w := range d.activeWorkers {
		w.remainingCapacity *= total * (1 + capacityHeadroom) / max(room, 1e-9)
	}
	for _, f := range byWeight {
		left := f.demand
		f.assignment = f.assignment[:0]
		for _, w := range d.rankWorkers(f) {
			if left <= 1e-9 {
				break
			}
			if take := min(left, w.remainingCapacity); take > 1e-9 && d.now >= w.ejections[f.lastClass].until {
				w.remainingCapacity -= take
				left -= take
				f.assignment = append(f.assignment, workerShare{worker: w, share: take / f.demand})
			}
		}
	}
}

// weigh takes a worker's report of the requests that it holds. It guards against workers that get too much
// while this router hears from each once in many seconds: a report counts by the time since the last, and
// chance in it evens out in what all routers send. It hurts where requests are held for long anyway.
func (d *Dispatcher) recordLoadReport(w *worker, held float64) {
	gain := loadReportWeight * (1 - math.Exp(-float64(d.now-w.reportedAt)/float64(loadReportSpan)))
	off := min(max(math.Log((held+1)/(d.meanReportedInFlight+1)), -2), 2)
	w.reportedAt, w.reportedInFlight = d.now, held
	w.loadExcess = min(max(w.loadExcess+gain*(off-w.loadExcess/20), -maxLoadExcess), maxLoadExcess)
	d.meanReportedInFlight += meanSmoothing * (held - d.meanReportedInFlight)
}

// probed takes a worker's report and lets the requests go that waited for it.
func (d *Dispatcher) healthChecked(e HealthChecked) {
	w := d.workers[e.Worker]
	if w == nil {
		return
	}
	if e.Result == OK {
		w.lastHeard, w.suspected = d.now, false
		if e.LoadReport.InFlight >= 0 {
			d.recordLoadReport(w, e.LoadReport.InFlight)
		}
	}
	d.pending, w.awaitingReport = append(d.pending, w.awaitingReport...), nil
}

// trust is the part of its memory that a worker's slice is cut from. It guards against workers that are
// slow, crowded by others, cold or silent, whatever the cause: their functions spill down the ranking, and
// come back as the answers do. It hurts where answers are slow for the functions' own sake.
func (d *Dispatcher) capacityFactor(w *worker) float64 {
	if w.suspected && !d.majoritySuspected() {
		return 0.01
	}
	return math.Exp(-w.loadExcess) * min(math.Exp(-w.slowness), 1.5) * d.slowStartFraction(w)
}

// warmth is the share of its capacity that a worker surely has.
func (d *Dispatcher) slowStartFraction(w *worker) float64 {
	if !w.warmingUp || d.settings.SlowStartDuration == 0 {
		return 1
	}
	age := max(0, float64(d.now-w.StartedAt)/float64(d.settings.SlowStartDuration))
	return min(max(d.settings.SlowStartShare+(1-d.settings.SlowStartShare)*age, 0.01), 1)
}

// candidates yields the workers for a function in order of choice: in the split by own requests in flight
// per share, with a draw in proportion to the shares where there are hardly any, then down the ranking.
func (d *Dispatcher) candidates(f *function) iter.Seq[*worker] {
	return func(yield func(*worker) bool) {
		for i := range f.assignment {
			s := &f.assignment[i]
			s.choiceKey = (float64(f.placementOn(s.worker).inFlight) + d.random.ExpFloat64()) / s.share
		}
		slices.SortFunc(f.assignment, func(a, b workerShare) int { return cmp.Compare(a.choiceKey, b.choiceKey) })
		for _, s := range f.assignment {
			if s.worker.State == EndpointActive && !yield(s.worker) {
				return
			}
		}
		for _, w := range d.rankWorkers(f) {
			in := slices.ContainsFunc(f.assignment, func(s workerShare) bool { return s.worker == w })
			if !in && !yield(w) {
				return
			}
		}
	}
}

// pick chooses where a request goes. A doubted worker and one that failed this request are passed over while
// another legal one stands. So is one that a fresh report shows crowded, whatever crowds it, in the measure
// that routers outnumber workers: others' calls had copies loaded further down the ranking. It hurts where
// they hadn't, as the request waits for a load. Where the choice holds no copy and another worker does, the
// choice is told to load and the other serves: a split that moves or grows costs nobody a load's wait.
func (d *Dispatcher) selectWorker(r *request) *worker {
	f, many := r.function, d.majoritySuspected()
	var choice, second, busiest *worker
	spread := d.random.Float64() < max(d.residentChance, 1/d.fleetShare)
	full, warmFull, resting := false, false, false
	for w := range d.candidates(f) {
		if !d.attemptAllowed(r, w) {
			continue
		}
		p := f.placementOn(w)
		if spread && r.inFlight == 0 && d.now-w.reportedAt < loadReportTTL && w.reportedInFlight > overloadedRatio*(d.meanReportedInFlight+1) {
			busiest = cmp.Or(busiest, w)
			continue
		}
		rests := d.now < max(w.ejections[r.class].until, p.loadBackoffUntil)
		if d.detectSilence(w) && !many || r.failedOn(w) || rests || d.loadOverdue(f, p) {
			if r.inFlight == 0 && d.now >= p.loadBackoffUntil {
				second = cmp.Or(second, w)
			}
			resting = resting || d.now < p.loadBackoffUntil
			continue
		}
		warm := d.now < p.residentUntil
		if p.loadCommandedAt > 0 && !warm {
			choice = cmp.Or(choice, w) // join the load under way
			continue
		}
		if w.inFlight >= max(w.concurrencyLimit, 1) || d.inFlight >= max(d.fleetLimit*d.fleetShare, 1) {
			full, warmFull = true, warmFull || warm
			continue
		}
		if warm {
			if choice != nil && d.settings.LoadCommandsAllowed {
				d.commandLoad(f, choice, 1)
			}
			return w
		}
		if w.pendingLoads < maxPendingLoads {
			choice = cmp.Or(choice, w)
		}
	}
	if choice != nil && warmFull && d.settings.LoadCommandsAllowed {
		d.commandLoad(f, choice, prefetchRatio)
		return nil // wait for the load or for room, whichever comes first
	} else if choice == nil && !full && !resting {
		return cmp.Or(second, busiest)
	}
	return choice
}

func (r *request) failedOn(w *worker) bool {
	return slices.ContainsFunc(r.attempts, func(a *attempt) bool { return a.worker == w && (a.failed || !a.ended) })
}

func (f *function) placementOn(w *worker) *placement {
	p := f.placements[w.ID]
	if p == nil {
		p = &placement{}
		f.placements[w.ID] = p
	}
	return p
}

// Loads -------------------------------------------------------------------------------------------------

// loadsIn is the time that a load of f should take.
func (d *Dispatcher) expectedLoadTime(f *function) time.Duration {
	if f.loadTime > 0 {
		return f.loadTime
	}
	return time.Duration(math.Exp(d.logLoadTime) * float64(time.Second))
}

// stuck tells that an order has been out for longer than loads take, even from a crowded store.
func (d *Dispatcher) loadOverdue(f *function, p *placement) bool {
	return p.loadCommandedAt > 0 && d.now-p.loadCommandedAt > overdueMultiple*d.expectedLoadTime(f)+2*overdueMargin
}

// load is the gate of all load orders. It joins an order already out, lets a failed load rest, keeps to
// the cap and the ration (ration is the part of it that this order may use up), and orders nothing where
// nothing may be sent.
func (d *Dispatcher) commandLoad(f *function, w *worker, ration float64) bool {
	p := f.placementOn(w)
	if p.loadCommandedAt > 0 {
		return true
	}
	if !d.settings.LoadCommandsAllowed || w.State != EndpointActive || w.pendingLoads >= maxPendingLoads || d.now < p.loadBackoffUntil {
		return false
	}
	if d.settings.LoadRateWindow > 0 {
		d.expireRateWindow()
		if float64(len(d.loadCommandTimes)+1) > ration*(d.settings.LoadRateBurst+d.settings.LoadRateRatio*float64(len(d.requestTimes))) {
			return false
		}
		d.loadCommandTimes = append(d.loadCommandTimes, d.now)
	}
	p.loadCommandedAt = d.now
	w.pendingLoads++
	d.emit(LoadFunction{Worker: w.ID, Function: f.key, Copies: 1})
	return true
}

// trim drops what lies before the span of the load ration.
func (d *Dispatcher) expireRateWindow() {
	from := d.now - d.settings.LoadRateWindow
	for len(d.requestTimes) > 0 && d.requestTimes[0] <= from {
		d.requestTimes = d.requestTimes[1:]
	}
	for len(d.loadCommandTimes) > 0 && d.loadCommandTimes[0] < from {
		d.loadCommandTimes = d.loadCommandTimes[1:]
	}
}

// loaded takes the answer to an order and lets the requests go that waited on it.
func (d *Dispatcher) functionLoaded(e FunctionLoaded) {
	w, f := d.workers[e.Worker], d.functions[e.Function]
	if w != nil && (e.Result == OK || e.Result == Rejected || e.Result == Errored) {
		w.lastHeard, w.suspected = d.now, false
	}
	if w == nil || f == nil || f.placementOn(w).loadCommandedAt == 0 {
		return // forgotten, or an order to an earlier life of the worker
	}
	p := f.placementOn(w)
	w.pendingLoads, p.loadCommandedAt = max(w.pendingLoads-1, 0), 0
	if e.Result == OK || e.Copies > 0 {
		if e.Duration > 20*time.Millisecond {
			d.logLoadTime += runTimeSmoothing * (math.Log(e.Duration.Seconds()) - d.logLoadTime)
		}
		p.residentUntil, p.loadFailures = d.now+d.settings.IdleResidency, 0
	} else {
		d.backOffLoads(p)
	}
	d.pending, p.awaitingLoad = append(d.pending, p.awaitingLoad...), nil
}

// loadFailed rests a place, longer each time and never two routers in step: a store or a worker in
// trouble is not stormed.
func (d *Dispatcher) backOffLoads(p *placement) {
	p.residentUntil, p.loadBackoffUntil, p.loadFailures = 0, d.now+d.backoffWithJitter(loadBackoff, p.loadFailures), p.loadFailures+1
}

// A request's life --------------------------------------------------------------------------------------

func (d *Dispatcher) acceptRequest(e Request) {
	c := d.classes[e.Class]
	if c == nil { // not in the settings: nothing may be assumed of it
		c = &class{Class: Class{Name: e.Class}, meanWork: defaultRunTime.Seconds()}
		d.classes[e.Class] = c
	}
	r := &request{Request: e, class: c, acceptedAt: d.now, deadline: d.now + max(e.RemainingDeadline, 0), workUnit: 1}
	run := math.Log(defaultRunTime.Seconds())
	if e.ExpectedWork > 0 {
		r.workUnit, run = e.ExpectedWork.Seconds(), 0
		c.meanWork += workerSmoothing * (r.workUnit - c.meanWork)
	}
	f := d.functions[e.Function]
	if f == nil {
		f = &function{key: e.Function, logRunTime: run, meanWorkUnit: r.workUnit, placements: map[string]*placement{}}
		d.functions[e.Function] = f
		d.functionsInOrder = append(d.functionsInOrder, f)
	}
	r.function, f.lastClass, f.requestCount, f.lastRequestAt = f, c, f.requestCount+1, d.now
	f.memoryMB, f.concurrency, f.loadTime = max(e.MemoryMB, 1), float64(max(e.ConcurrencyPerInstance, 1)), e.LoadTime
	f.meanWorkUnit += runTimeSmoothing * (r.workUnit - f.meanWorkUnit)
	if d.settings.LoadRateWindow > 0 {
		d.requestTimes = append(d.requestTimes, d.now)
	}
	d.requests[e.ID] = r
	d.setRequestTimer(r, r.deadline+d.settings.ResponseGrace/4)
	d.routeRequest(r)
}

// route sends a request on, has it wait for a load or for a worker, or gives it up.
func (d *Dispatcher) routeRequest(r *request) {
	r.needsAttempt = true
	if d.spent(r) {
		if r.inFlight == 0 {
			d.finishUnserved(r)
		}
		return
	}
	w := d.selectWorker(r)
	if w == nil {
		if r.inFlight == 0 {
			d.pending = append(d.pending, r)
		}
		return
	}
	if p := r.function.placementOn(w); p.loadCommandedAt > 0 && d.now >= p.residentUntil && !d.loadOverdue(r.function, p) {
		if p.loadCommandedAt+d.expectedLoadTime(r.function)+r.expectedRunTime()/2 >= r.deadline { // the load ends too late for it
			d.finishUnserved(r)
			return
		}
		p.awaitingLoad = append(p.awaitingLoad, r)
		d.setRequestTimer(r, p.loadCommandedAt+overdueMultiple*d.expectedLoadTime(r.function)+2*overdueMargin+time.Millisecond)
		return
	}
	stale := d.settings.LoadReports != ReportsNone && d.now-w.reportedAt > loadReportTTL
	if d.settings.HealthChecksAllowed && d.settings.HealthCheckCost < maxHealthCheckCost && stale && !r.healthChecked && d.random.Float64()*d.fleetShare < 1 {
		if len(w.awaitingReport) == 0 {
			d.emit(CheckHealth{Worker: w.ID})
		}
		r.healthChecked, w.awaitingReport = true, append(w.awaitingReport, r)
		d.setRequestTimer(r, d.now+pendingBackoff)
		return
	}
	d.startAttempt(r, w)
}

// spent tells that a request gets no further attempt: it has had all that it may have, it can't end before
// the client leaves, no worker may take it where an earlier attempt may have run, or the retry budget is used
// up. That is fed by answers, so what many workers refuse at once, in an overload, for want of memory or with
// the store standing still, is not multiplied by its attempts. It hurts where few workers refuse much.
func (d *Dispatcher) spent(r *request) bool {
	n := len(r.attempts)
	if r.streaming != nil || n >= d.settings.MaxAttempts || n > 0 && r.attempts[n-1].failed && d.retryBudget < 1 ||
		r.inFlight == 0 && d.now+r.expectedRunTime()/2 >= r.deadline {
		return true
	}
	legal := func(w *worker) bool { return d.attemptAllowed(r, w) }
	return r.mayHaveRun() && (r.class.Idempotency == NonIdempotent || r.inFlight == 0 && !slices.ContainsFunc(d.activeWorkers, legal))
}

// runs is how long a request should take to run.
func (r *request) expectedRunTime() time.Duration {
	return time.Duration(math.Exp(r.function.logRunTime) * r.workUnit * float64(time.Second))
}

// late tells that a request can't be in time any more.
func (d *Dispatcher) missesObjective(r *request) bool {
	return d.now-r.acceptedAt+r.expectedRunTime() > r.class.LatencyObjective
}

// retry tries the held requests again, those first that can be in time, newest first: in an overload the
// rest are lost already and would take others with them. One that finds no place speaks for its function.
// What finds none and can't be in time is shed: it is told so at once, not when its client has left. That
// hurts where a late answer is worth much and the room comes soon.
func (d *Dispatcher) retryPending() {
	held := d.pending
	d.pending = nil
	for _, r := range held { // hours ago if it is late
		if r.retryOrder = r.acceptedAt; d.missesObjective(r) {
			r.retryOrder -= idleFunctionTTL
		}
	}
	slices.SortStableFunc(held, func(a, b *request) int { return cmp.Compare(b.retryOrder, a.retryOrder) })
	stays := map[*function]bool{}
	for _, r := range slices.Compact(held) {
		switch n, late := len(d.pending), r.retryOrder < r.acceptedAt; {
		case r.done || !r.needsAttempt || r.inFlight > 0:
		case stays[r.function] && len(r.attempts) == 0 && late:
			d.finishUnserved(r)
		case stays[r.function] && len(r.attempts) == 0:
			d.pending = append(d.pending, r)
		default:
			d.routeRequest(r)
			if stays[r.function] = len(d.pending) > n; stays[r.function] && late {
				d.finishUnserved(r)
				d.pending = d.pending[:n]
			}
		}
	}
}

// started takes the start of a streamed response. The attempt is the client's from then on: nothing more is
// sent for the request, it is not refused, and only its deadline ends it, by Fail. How long the stream lasts
// is no sign of the worker's health, as its reader may be slow: the worker was heard, and the attempt raises
// no doubt. In the windows it counts until it would be overdue, or slow readers would keep all others out.
func (d *Dispatcher) responseStarted(e ResponseStarted) {
	r := d.requests[e.ID]
	if r == nil || r.done || r.streaming != nil || e.Attempt < 0 || e.Attempt >= len(r.attempts) {
		return
	}
	a := r.attempts[e.Attempt]
	if a.ended {
		return
	}
	r.streaming, r.needsAttempt, a.firstMessageAfter = a, false, max(e.Duration, 1)
	a.worker.lastHeard, a.worker.suspected = d.now, false
	a.worker.attempts = slices.DeleteFunc(a.worker.attempts, func(o *attempt) bool { return o == a })
}

// ended takes the end of an attempt.
func (d *Dispatcher) attemptEnded(e AttemptEnded) {
	r := d.requests[e.ID]
	if r == nil || e.Attempt < 0 || e.Attempt >= len(r.attempts) || r.attempts[e.Attempt].ended {
		return
	}
	a := r.attempts[e.Attempt]
	w, p := a.worker, r.function.placementOn(a.worker)
	if a.ended = true; a.firstMessageAfter > 0 {
		e.Duration = a.firstMessageAfter // what the client made of the stream is not the worker's time
	}
	r.inFlight, p.inFlight = r.inFlight-1, max(p.inFlight-1, 0)
	w.attempts = slices.DeleteFunc(w.attempts, func(o *attempt) bool { return o == a })
	weight := a.weight
	d.releaseConcurrency(a)
	slow := e.LoadReport.InFlight >= 0 && e.LoadReport.InFlight < d.meanReportedInFlight && e.Duration > r.class.LatencyObjective/20
	odd := (a.expectedResident || !d.settings.WorkersLoadOnMiss) && (e.Result == Errored || e.Result == Rejected && slow)
	a.mayHaveRun = !slices.Contains([]Result{Rejected, ConnectFailed, NotSent, NotResident}, e.Result)
	a.failed = e.Result != OK && e.Result != NotResident && e.Result != NotSent
	if e.Result != TimedOut && e.Result != NotSent && e.Result != Cancelled {
		w.lastHeard, w.suspected = d.now, false
	}
	switch {
	case odd:
		d.ejectClass(w, r.class)
	case e.LoadReport.InFlight >= 0:
		d.recordLoadReport(w, e.LoadReport.InFlight)
	}
	// Each of many routers has less than one attempt at a worker: one window for all bounds what is out (a
	// concurrency limit). It shrinks for what, light by its hint, comes never or later than a load explains.
	// Copies not known count by the chance that one stood. It hurts where few workers make many late.
	late := e.Duration > r.class.LatencyObjective && (!d.settings.WorkersLoadOnMiss || e.Duration > d.expectedLoadTime(r.function)+r.expectedRunTime())
	if late && r.ExpectedWork < r.class.LatencyObjective/4 {
		d.fleetLimit = max(d.fleetLimit-fleetLimitDecrease*weight/d.fleetShare, 2*minLimit)
	} else if e.Result == OK && !late && d.inFlight+1 > d.fleetLimit*d.fleetShare/2 {
		d.fleetLimit += limitIncrease * weight / d.fleetShare
	}
	switch e.Result {
	case OK:
		d.recordResponse(r, a, e)
		d.workServed += r.class.meanWork
		d.servedCount++
		w.ejections[r.class] = ejection{until: w.ejections[r.class].until, count: max(w.ejections[r.class].count-1, 0)}
		p.residentUntil, p.loadFailures = max(p.residentUntil, d.now+d.settings.IdleResidency), 0
	case NotResident:
		p.residentUntil = 0
	case Rejected:
		if odd || a.expectedResident {
			w.concurrencyLimit = max(w.concurrencyLimit*rejectionFactor, minLimit/float64(d.settings.Routers))
		} else {
			d.backOffLoads(p) // no room for a load, more likely than a full queue
		}
	case ConnectFailed, ConnectionReset:
		d.suspect(w)
	}
	if e.CacheStatus == CacheLoadFailed {
		d.backOffLoads(p)
	}
	if e.Final || r.done {
		d.closeRequest(r)
		return
	}
	switch {
	case r.inFlight > 0:
	case d.spent(r):
		d.finishUnserved(r)
	case e.Result == NotResident && d.commandLoad(r.function, w, 1):
		d.routeRequest(r)
	case e.Result == NotResident && w.pendingLoads < maxPendingLoads || e.Result == Rejected && len(r.attempts) >= 2:
		r.needsAttempt, r.backoffs = true, r.backoffs+1 // wait a little, longer each time
		d.setRequestTimer(r, d.now+pendingBackoff<<min(r.backoffs-1, 5))
	default:
		d.routeRequest(r)
	}
}

// release takes an attempt out of the windows when it ends or is overdue by what answers take of late: what
// silent workers, or a store that stands still, never answer would fill them.
func (d *Dispatcher) releaseConcurrency(a *attempt) {
	if a.ended || (d.now-a.startedAt).Seconds() > overdueMultiple*d.meanResponseTime {
		a.worker.inFlight -= a.weight
		d.inFlight -= a.weight
		a.weight = 0
	}
}

// mayRun tells whether an attempt may have run or be running.
func (r *request) mayHaveRun() bool {
	return slices.ContainsFunc(r.attempts, func(a *attempt) bool { return !a.ended || a.mayHaveRun })
}

// learn takes an answer's time for the function's run time and the worker's slowness. An answer that may
// have waited on a load tells neither.
func (d *Dispatcher) recordResponse(r *request, a *attempt, e AttemptEnded) {
	f := r.function
	f.served = true
	d.meanResponseTime += meanSmoothing * (e.Duration.Seconds() - d.meanResponseTime)
	d.retryBudget = min(d.retryBudget+1, retryBudgetBurst)
	if stood := e.CacheStatus == CacheHit || e.CacheStatus == CacheUnknown && e.Duration < d.expectedLoadTime(f)/2; !a.expectedResident && stood {
		d.residentChance += meanSmoothing * (1 - d.residentChance)
	} else if !a.expectedResident {
		d.residentChance -= meanSmoothing * d.residentChance
	}
	if d.settings.CacheStatusReported && e.CacheStatus != CacheHit || !d.settings.CacheStatusReported && !a.expectedResident {
		return
	}
	took := e.Duration.Seconds()
	if late := lateMultiple * math.Exp(f.logRunTime) * r.workUnit; took > max(late, r.class.LatencyObjective.Seconds()*lateObjectiveFraction) {
		a.worker.concurrencyLimit = max(a.worker.concurrencyLimit-limitDecrease, minLimit/float64(d.settings.Routers))
	} else if a.worker.inFlight+1 > a.worker.concurrencyLimit/2 {
		a.worker.concurrencyLimit += limitIncrease
	}
	off := math.Log(max(e.Duration.Seconds(), 1e-4)/r.workUnit) - f.logRunTime - a.worker.slowness
	off = min(max(off, -maxRunTimeError), maxRunTimeError)
	f.logRunTime += runTimeSmoothing * off / float64(1+a.concurrent)
	a.worker.slowness = min(max(a.worker.slowness+workerSmoothing*off, -1), 2.5)
	if r.ExpectedWork == 0 {
		r.class.meanWork += workerSmoothing * (e.Duration.Seconds() - r.class.meanWork)
	}
}

// close ends a request: second copies still out are called off.
func (d *Dispatcher) closeRequest(r *request) {
	if r.inFlight == 0 {
		delete(d.requests, r.ID)
	}
	for _, a := range r.attempts {
		if !r.done && d.settings.CancelAllowed && !a.ended {
			d.emit(CancelAttempt{ID: r.ID, Attempt: a.number})
		}
	}
	r.done = true
}

// Health ------------------------------------------------------------------------------------------------

// doubt tells whether a worker is silent for longer than chance allows: answers overdue are summed in
// units of their expected time since it was last heard (an accrual failure detector). A doubted worker is
// asked now and then; any answer clears it.
func (d *Dispatcher) detectSilence(w *worker) bool {
	if !w.suspected && len(w.attempts) > 0 && d.now-max(w.lastHeard, w.attempts[0].startedAt) > minSilence {
		phi := 0.0
		for _, a := range w.attempts {
			phi += (d.now - max(a.startedAt, w.lastHeard)).Seconds() / max(a.expectedSeconds, 0.02)
		}
		if phi > phiThreshold {
			d.suspect(w)
		}
	}
	if w.suspected && d.now-w.lastChecked >= healthCheckInterval && d.settings.HealthChecksAllowed {
		w.lastChecked = d.now
		d.emit(CheckHealth{Worker: w.ID})
	}
	return w.suspected
}

// suspect begins a doubt.
func (d *Dispatcher) suspect(w *worker) {
	w.suspected, w.lastChecked = true, d.now
	d.reportSuspicion(ReportSuspicion{Worker: w.ID})
}

func (d *Dispatcher) reportSuspicion(a ReportSuspicion) {
	if d.settings.SuspicionsReported {
		d.emit(a)
	}
}

// peers takes what other routers' word led to. It lifts no doubt and raises no share: the routers that share
// the fleet are those of the settings, or more where more were seen, and stay so when they vanish, as they
// may only be cut off. A silent worker is doubted, unless this router has heard it since.
func (d *Dispatcher) applyGossip(e GossipUpdate) {
	if e.Routers > d.settings.Routers {
		less := float64(d.settings.Routers) / float64(e.Routers)
		d.fleetShare, d.settings.Routers = d.fleetShare*less, e.Routers
		for _, w := range d.workers {
			w.concurrencyLimit *= less
		}
	}
	for _, id := range e.SuspectedWorkers {
		if w := d.workers[id]; w != nil && w.State == EndpointActive && d.now-w.lastHeard > minSilence && !w.suspected {
			d.suspect(w)
		}
	}
}

// bar rests a class at a worker that fails it, or refuses it slowly with room to spare, longer each time; the
// walk then passes the worker over for it. Its other classes are served as usual. It hurts where an error was
// the request's own.
func (d *Dispatcher) ejectClass(w *worker, c *class) {
	w.ejections[c] = ejection{until: d.now + d.backoffWithJitter(ejectionBase, w.ejections[c].count), count: w.ejections[c].count + 1}
	d.reportSuspicion(ReportSuspicion{Worker: w.ID, Class: c.Name})
}

// unheard rests a class at a worker that answers others and leaves this class without any, several attempts
// in a row: the doubt never sees it, as the worker is heard. What is overdue there is tried elsewhere, where
// it may be, within the retry budget. It hurts where a class's requests take far longer than their hints.
func (d *Dispatcher) detectTimeout(a *attempt) {
	w, c := a.worker, a.request.class
	overdue := func(a *attempt) time.Duration {
		return a.startedAt + time.Duration((a.expectedSeconds+overdueMultiple*d.meanResponseTime)*float64(time.Second))
	}
	if a.ended || a.countedAsTimeout || a.request.done || a.request.streaming != nil || d.now < w.ejections[c].until {
		return
	}
	if at := overdue(a); at > d.now {
		d.setRequestTimer(a.request, at)
		return
	}
	if w.lastHeard <= a.startedAt {
		return
	}
	b := w.ejections[c]
	a.countedAsTimeout, b.consecutiveTimeouts = true, b.consecutiveTimeouts+1
	if w.ejections[c] = b; b.consecutiveTimeouts < timeoutsToEject {
		return
	}
	d.ejectClass(w, c)
	for _, o := range slices.Clone(w.attempts) {
		if o.request.class == c && !o.request.done && o.request.inFlight == 1 && d.now >= overdue(o) && d.retryBudget >= 1 {
			sent := len(o.request.attempts)
			d.routeRequest(o.request)
			d.retryBudget -= float64(len(o.request.attempts) - sent)
		}
	}
}

// spread is a rest that doubles each time, never two routers' in step.
func (d *Dispatcher) backoffWithJitter(first time.Duration, times int) time.Duration {
	return time.Duration(float64(first) * math.Exp2(float64(min(times, 4))) * (0.75 + d.random.Float64()/2))
}

// manyDoubted tells that half the fleet looks bad: then the trouble is the store, the list or this
// router's own view, and passing workers over would only crowd the rest.
func (d *Dispatcher) majoritySuspected() bool {
	sound := slices.DeleteFunc(slices.Clone(d.activeWorkers), func(w *worker) bool { return w.suspected })
	return 2*len(sound) < len(d.activeWorkers)
}

// Guards ------------------------------------------------------------------------------------------------

// maySend tells whether the rules let a request go to a worker now.
func (d *Dispatcher) attemptAllowed(r *request, w *worker) bool {
	if r.done || r.streaming != nil || d.now >= r.deadline || len(r.attempts) >= d.settings.MaxAttempts ||
		w.State != EndpointActive || r.inFlight > 0 && !d.settings.HedgingAllowed {
		return false
	}
	for _, a := range r.attempts {
		same := r.class.DeduplicationScope == ScopeAll || r.class.DeduplicationScope == ScopeZone && a.worker.Zone == w.Zone ||
			r.class.DeduplicationScope == ScopeCell && a.worker.Cell == w.Cell
		again := r.class.Idempotency == Idempotent || r.class.Idempotency == IdempotentByKey && same && d.now-a.startedAt < r.class.DeduplicationWindow
		if (!a.ended || a.mayHaveRun) && !again {
			return false
		}
	}
	return d.slowStartAllows(w)
}

// coldRoom keeps this router's part of what a worker that has just started can take: its fair share of the
// work that this router has served, which no overload raises, scaled to the capacity that it surely has. The
// part of one of many routers is far less than a request, so it is saved up from a seeded phase.
func (d *Dispatcher) slowStartAllows(w *worker) bool {
	rate := d.slowStartFraction(w) * d.workRate / float64(max(len(d.activeWorkers), 1))
	w.slowStartTokens = min(w.slowStartTokens+rate*(d.now-w.tokensUpdatedAt).Seconds(), rate*d.settings.OverloadWindow.Seconds())
	w.tokensUpdatedAt = d.now
	return !w.warmingUp || w.slowStartTokens > 0
}

// send is the gate of all attempts.
func (d *Dispatcher) startAttempt(r *request, w *worker) {
	if !d.attemptAllowed(r, w) {
		return
	}
	p := r.function.placementOn(w)
	a := &attempt{request: r, worker: w, number: len(r.attempts), concurrent: len(w.attempts), startedAt: d.now, expectedResident: d.now < p.residentUntil}
	a.expectedSeconds = math.Exp(r.function.logRunTime+w.slowness) * r.workUnit
	if !a.expectedResident && d.settings.WorkersLoadOnMiss {
		a.expectedSeconds += d.expectedLoadTime(r.function).Seconds()
	}
	r.attempts = append(r.attempts, a)
	r.inFlight++
	r.needsAttempt = false
	p.inFlight++
	w.attempts = append(w.attempts, a)
	a.weight = d.residentChance
	if a.expectedResident {
		a.weight = 1
	}
	w.inFlight += a.weight
	d.inFlight += a.weight
	d.setRequestTimer(r, d.now+time.Duration(overdueMultiple*d.meanResponseTime*float64(time.Second))+overdueMargin)
	if a.number > 0 && r.attempts[a.number-1].failed {
		d.retryBudget--
	}
	w.slowStartTokens -= r.class.meanWork
	d.emit(StartAttempt{ID: r.ID, Worker: w.ID})
}

// conclude is the gate of all final answers that are not served: a refusal where trying again is
// harmless, a failure elsewhere.
func (d *Dispatcher) finishUnserved(r *request) {
	switch {
	case r.done:
		return
	case r.streaming != nil:
		d.emit(FailRequest{ID: r.ID})
	case r.class.Idempotency == Idempotent || !r.mayHaveRun() || r.class.Idempotency == IdempotentByKey && r.class.DeduplicationScope == ScopeAll:
		d.emit(RejectRequest{ID: r.ID, RetryAfter: d.retryAfter()})
	default:
		d.emit(FailRequest{ID: r.ID})
	}
	d.closeRequest(r)
}

// comeBack advises a client when to try again: when what this router has in hand should be served at its
// pace, with jitter, as those sent away together must not return together.
func (d *Dispatcher) retryAfter() time.Duration {
	wait := min(float64(len(d.requests))/max(d.servedRate, 1e-3), d.settings.MaxRetryAfter.Seconds())
	return time.Duration(wait * (0.5 + d.random.Float64()/2) * float64(time.Second))
}
