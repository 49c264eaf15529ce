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
	roundEvery  = 2 * time.Second        // a round of the design page; short enough to follow a burst
	surplus     = 0.2                    // epsilon: room beyond the demand, as the paper assumes
	unanswered  = 0.1                    // instances that a function counts until it has answered
	pendingCap  = 4                      // own load orders at one worker before the next is tried
	rateGain    = 0.3                    // weight of the newest round in a rate: some 6 s of memory
	perWorker   = 3.0                    // calls remembered for each worker, at the least
	runGain     = 0.1                    // weight of one answer in a function's run time
	workerGain  = 0.06                   // weight of one answer in a worker's slowness: ten answers tell half
	weighSpan   = 10 * time.Second       // time in which answers change a worker's crowding
	heldWeighs  = 2.0                    // by this much of a report's log ratio to the others
	crowdMost   = 4.0                    // most crowding, in logs
	reportGain  = 0.05                   // weight of one report in the mean of all
	barredFor   = 3 * time.Second        // first rest of a class at a worker, doubled each time
	silentRow   = 8                      // attempts of a class overdue in a row that rest it at a worker
	unitStep    = 1.5                    // most that one answer may be off, in logs: heavy tails say little
	doubtPhi    = 6                      // expected answers overdue before a silent worker is doubted
	doubtAfter  = 400 * time.Millisecond // shortest silence that raises a doubt: longer than a usual stall
	freshFor    = 300 * time.Millisecond // how long a report holds,
	crowdedAt   = 1.5                    // multiple of the mean held from which a worker is passed over
	slowFrom    = 1.0                    // slowness from which a worker is called slow to other routers
	probeWorth  = 0.02                   // share of the worth offered that a probe before each send may earn
	askEvery    = time.Second            // how often a doubted worker is asked for a sign of life
	patience    = 3                      // an attempt is overdue at this multiple of its expected time,
	patienceMin = 100 * time.Millisecond // and not before this has been added to it
	wakeSlack   = time.Millisecond       // how exact wakes are
	windowStart = 12.0                   // attempts out at a worker, of all routers, before any are too many
	windowUp    = 0.1                    // growth for an answer in time while the window is in use,
	lateDown    = 0.5                    // loss of the fleet window for one: in balance when a sixth are late
	windowDown  = 0.2                    // and loss for a late one: in balance when a third are late
	lateAnswer  = 1.5                    // an answer is late for the window at this multiple of its run time
	windowMin   = 3.0                    // least window, of all routers
	lateShare   = 0.25                   // and no earlier than this share of the class's aim
	windowCut   = 0.7                    // what a refusal leaves of the window
	holdFor     = 30 * time.Millisecond  // first wait of a request with nowhere to go, doubled each time
	retryBurst  = 10.0                   // most further attempts saved up: each answer earns one
	failedFor   = 500 * time.Millisecond // first rest after a failed load, doubled each time
	loadGuess   = 800 * time.Millisecond // a load's time before any is known
	runGuess    = 100 * time.Millisecond // a run's time before any is known
	holdReserve = 0.5                    // of the load ration that holding warm leaves to misses
	forgetAfter = 2 * time.Minute        // a function not called for so long is forgotten,
	forgetNew   = 10 * time.Second       // and one that never answered sooner: anyone may make up names
)

// worker is what this router knows of one worker.
type worker struct {
	Endpoint
	memory        float64 // of its kind
	bars          map[*class]bar
	cold, doubted bool
	score         uint64        // in the ranking that is being made
	open          []*attempt    // own attempts out, oldest first
	heard, asked  time.Duration // last sign of life, and last asked for one
	slowness      float64       // log of its answer times over what they should be
	crowding      float64       // log of the requests that it holds over what the others hold
	toldAt        time.Duration // when it last reported,
	held          float64       // what it held then,
	asking        []*request    // and the requests that wait for its next report
	orders        int           // own load orders out
	saved         float64       // work that may be sent there while it is cold,
	savedAt       time.Duration // and when that was reckoned
	slice, window float64       // room left in the walk; own attempts that may be out there,
	busy          float64       // and those that are, on copies that stood
}

// function is what this router knows of one function.
type function struct {
	key                   string
	class                 *class // of its last call
	memory, lanes, demand float64
	load, called          time.Duration
	calls                 int     // in this round
	rate                  float64 // own calls a second
	run, unit             float64 // log of answer time over unit, and the mean unit, see request.unit
	answered              bool
	ranked                []*worker
	rankedAt              int // the roster that ranked belongs to
	split                 []part
	places                map[string]*place
}

// bar is a class's rest at a worker.
type bar struct {
	till   time.Duration
	times  int
	silent int // attempts overdue in a row, while others were answered
}

// part is a worker's share of a function.
type part struct {
	w           *worker
	share, turn float64 // turn: its place in the order of choice for the request at hand
}

// place is a function at a worker.
type place struct {
	inFlight, failures int
	warmTill           time.Duration // a copy was seen or used, and stays until then
	ordered, restTill  time.Duration // when the order now out was given, or 0; no orders until then
	waiting            []*request
}

type class struct {
	Class
	work float64 // mean seconds of work, learned
}

type request struct {
	Request
	fn                   *function
	class                *class
	came, latest         time.Duration // latest: its place among those held
	deadline             time.Duration
	attempts             []*attempt
	out, holds           int
	unit                 float64  // what its time is measured by: its hint, or a second where there is none
	wanted, done, probed bool     // an attempt is called for; a final answer was given; a worker was probed
	began                *attempt // whose streamed response has begun: the client's from then on
}

type attempt struct {
	r         *request
	w         *worker
	n, others int // its number; own attempts at the worker when it was sent
	sent      time.Duration
	expected  float64 // seconds
	weight    float64 // what it counts for in the windows: the chance that it needs no load
	warm      bool    // a copy was thought to stand there
	ended     bool
	unheard   bool          // counted as overdue, once
	ran, bad  bool          // may have run; not to be tried there again
	first     time.Duration // from the send to the start of its streamed response
}

// wake is a moment at which a request is to be looked at again; n counts them.
type wake struct {
	at time.Duration
	n  int
	id RequestID
}

// wakes is a heap, earliest first, and in the order of asking within a moment.
type wakes []wake

func (h wakes) Len() int           { return len(h) }
func (h wakes) Less(i, j int) bool { return h[i].at < h[j].at || h[i].at == h[j].at && h[i].n < h[j].n }
func (h wakes) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *wakes) Push(x any)        { *h = append(*h, x.(wake)) }
func (h *wakes) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}

// Dispatcher decides for one router.
type Dispatcher struct {
	set                     Settings
	rng                     *rand.Rand
	now, armed, lastRound   time.Duration // armed: the earliest Wake out
	begun                   bool
	out                     []Action
	workers                 map[string]*worker
	list                    []*worker          // those that may be sent to, by id
	roster                  int                // counts the changes of list
	memory                  map[string]float64 // by kind
	classes                 map[string]*class
	fns                     map[string]*function
	order                   []*function // in order of first sight
	reqs                    map[RequestID]*request
	wakes                   wakes
	asked                   int             // wakes so far
	held                    []*request      // those with nowhere to go for now
	rate, work, workRate    float64         // own calls a second; work served: this round, and a second
	rounds, served, answers float64         // rounds so far; answers a second, and in this round
	calls, orders           []time.Duration // within the span of the load ration
	loadTime, took          float64         // log of the load times seen; seconds that answers take of late
	busy, window, part      float64         // own attempts out; the fleet window for a worker; own part of it
	stands, budget          float64         // chance that a copy unknown here stands; further attempts earned
	meanHeld                float64         // requests that a worker reports to hold
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
	d := &Dispatcher{set: s, rng: rand.New(rand.NewPCG(seed, 0)), workers: map[string]*worker{},
		memory: map[string]float64{}, classes: map[string]*class{}, fns: map[string]*function{},
		reqs: map[RequestID]*request{}, took: runGuess.Seconds(), loadTime: math.Log(loadGuess.Seconds()),
		window: windowStart, budget: retryBurst}
	for _, k := range s.WorkerKinds {
		d.memory[k.Name] = k.MemoryMB
	}
	for _, c := range s.Classes {
		d.classes[c.Name] = &class{Class: c, work: runGuess.Seconds()}
	}
	return d, nil
}

// Step takes what has happened up to now and returns what to do about it.
func (d *Dispatcher) Step(now time.Duration, events []Event) []Action {
	d.now, d.out = max(now, d.now), nil
	if !d.begun {
		d.begun, d.lastRound = true, d.now
		if d.set.EndpointsBySubscription {
			d.act(SubscribeEndpoints{})
		}
	}
	for _, e := range events {
		switch e := e.(type) {
		case EndpointUpdate:
			d.changed(e)
		case Request:
			d.accept(e)
		case AttemptEnded:
			d.ended(e)
		case ResponseStarted:
			d.started(e)
		case RequestCancelled:
			if r := d.reqs[e.ID]; r != nil {
				d.close(r)
			}
		case FunctionLoaded:
			d.loaded(e)
		case HealthChecked:
			d.probed(e)
		case GossipUpdate:
			d.peers(e)
		case ShutdownStarted:
			for _, id := range slices.Sorted(maps.Keys(d.reqs)) {
				d.reqs[id].deadline = min(d.reqs[id].deadline, d.now+e.AnswerWithin)
				d.wakeAt(d.reqs[id], d.reqs[id].deadline)
			}
		case TimerFired:
			if d.now > d.armed-wakeSlack {
				d.armed = 0 // callers may round a Wake down
			}
		}
	}
	for len(d.wakes) > 0 && d.wakes[0].at <= d.now {
		r := d.reqs[heap.Pop(&d.wakes).(wake).id]
		if r != nil && d.now >= r.deadline {
			d.conclude(r)
		} else if r != nil && r.out > 0 {
			last := r.attempts[len(r.attempts)-1]
			d.release(last)
			d.unheard(last)
		} else if r != nil && r.wanted {
			d.route(r)
		}
	}
	if d.now-d.lastRound >= roundEvery {
		d.round()
	}
	d.retry()
	next := d.lastRound + roundEvery
	if len(d.wakes) > 0 {
		next = min(next, d.wakes[0].at)
	}
	if len(d.held) > 0 {
		next = min(next, d.now+holdFor)
	}
	if d.armed <= d.now || next < d.armed {
		d.armed = max(next, d.now+wakeSlack)
		d.act(SetTimer{After: d.armed - d.now})
	}
	return d.out
}

func (d *Dispatcher) act(a Action) { d.out = append(d.out, a) }

// wakeAt has a request looked at again.
func (d *Dispatcher) wakeAt(r *request, at time.Duration) {
	d.asked++
	heap.Push(&d.wakes, wake{max(at, d.now+1), d.asked, r.ID})
}

// Roster ------------------------------------------------------------------------------------------------

// changed follows the list. A worker with a fresh start is empty and cold, and what is out there is lost.
func (d *Dispatcher) changed(e EndpointUpdate) {
	if e.SubscriptionLost && d.set.EndpointsBySubscription {
		d.act(SubscribeEndpoints{})
	}
	named := map[string]bool{}
	meanWork := max(d.workRate/max(d.rate, 1e-9), runGuess.Seconds())
	for _, m := range e.Endpoints {
		named[m.ID] = true
		w := d.workers[m.ID]
		if w == nil {
			w = &worker{window: windowStart / float64(d.set.Routers), bars: map[*class]bar{}}
			d.workers[m.ID] = w
		} else if m.StartedAt > w.StartedAt {
			for _, f := range d.order {
				delete(f.places, m.ID)
			}
			*w = worker{open: w.open, busy: w.busy, heard: d.now, bars: map[*class]bar{}}
			w.window = windowStart / float64(d.set.Routers)
		}
		w.Endpoint, w.memory = m, d.memory[m.Kind]
		if cold := m.StartedAt > 0 && d.now-m.StartedAt < d.set.SlowStartDuration; cold != w.cold {
			w.cold, w.saved, w.savedAt = cold, -d.rng.Float64()*meanWork, d.now
		}
	}
	d.list = d.list[:0:0]
	for id, w := range d.workers {
		if e.Snapshot && !e.SubscriptionLost && !named[id] {
			w.State = EndpointRemoved
		}
		if w.State == EndpointActive {
			d.list = append(d.list, w)
		}
	}
	slices.SortFunc(d.list, func(a, b *worker) int { return cmp.Compare(a.ID, b.ID) })
	d.bury()
	d.roster++
	d.part = float64(max(len(d.list), 1)) / float64(d.set.Routers)
	if d.begun && d.lastRound < d.now {
		d.walk()
	}
}

// bury forgets the workers that have gone and have no own attempt out, and lets the requests go that waited
// for one. It guards against a fleet whose workers are replaced all day by others under new ids.
func (d *Dispatcher) bury() {
	dead := map[string]bool{}
	for id, w := range d.workers {
		if w.State == EndpointRemoved && len(w.open) == 0 {
			dead[id] = true
		}
	}
	if len(dead) == 0 {
		return
	}
	for _, id := range slices.Sorted(maps.Keys(dead)) {
		d.held = append(d.held, d.workers[id].asking...)
		for _, f := range d.order {
			if p := f.places[id]; p != nil {
				d.held = append(d.held, p.waiting...)
				delete(f.places, id)
			}
		}
		delete(d.workers, id)
	}
	for _, f := range d.order {
		f.split = slices.DeleteFunc(f.split, func(s part) bool { return dead[s.w.ID] })
	}
}

// Ordinary path -----------------------------------------------------------------------------------------

// rank orders the workers for a function by hash, the same at every router.
func (d *Dispatcher) rank(f *function) []*worker {
	if f.rankedAt == d.roster && f.ranked != nil {
		return f.ranked
	}
	for _, w := range d.list {
		w.score = xxhash.Sum64String(f.key + "\x00" + w.ID)
	}
	f.ranked, f.rankedAt = slices.Clone(d.list), d.roster
	slices.SortStableFunc(f.ranked, func(a, b *worker) int { return cmp.Compare(b.score, a.score) })
	return f.ranked
}

// round measures every function and lays out the splits anew.
func (d *Dispatcher) round() {
	span := (d.now - d.lastRound).Seconds()
	d.lastRound = d.now
	d.rounds++
	// Few calls are remembered for longer: a rate from one or two would lay every function out by chance,
	// and at each router by another. With enough calls for each worker a burst shows within some rounds.
	gain := max(min(d.rate*span/(perWorker*float64(max(len(d.list), 1))), rateGain), 1/d.rounds)
	d.workRate += max(rateGain, 1/d.rounds) * (d.work/span - d.workRate)
	d.served += max(rateGain, 1/d.rounds) * (d.answers/span - d.served)
	d.work, d.rate, d.answers = 0, 0, 0
	d.order = slices.DeleteFunc(d.order, func(f *function) bool {
		f.rate += gain * (float64(f.calls)/span - f.rate)
		f.calls, d.rate = 0, d.rate+f.rate
		if age := d.now - f.called; age <= forgetNew || f.answered && age <= forgetAfter {
			return false
		}
		delete(d.fns, f.key)
		return true
	})
	d.trim()
	d.walk()
}

// walk fills the workers' slices with the functions, lightest first. The slices hold the demand and the
// surplus, so nothing is left over while there is a worker.
func (d *Dispatcher) walk() {
	total, room := 0.0, 0.0
	byWeight := slices.Clone(d.order)
	for _, f := range d.order {
		copies := unanswered
		if f.answered {
			copies = f.rate * math.Exp(f.run) * f.unit / f.lanes
		}
		f.demand = copies * f.memory
		total += f.demand
	}
	slices.SortStableFunc(byWeight, func(a, b *function) int {
		return cmp.Or(cmp.Compare(a.demand, b.demand), cmp.Compare(a.key, b.key))
	})
	for _, w := range d.list {
		w.cold = w.cold && d.now-w.StartedAt < d.set.SlowStartDuration
		w.slice = d.trust(w) * max(w.memory, 1)
		room += w.slice
		if w.slowness > slowFrom {
			d.tell(ReportSuspicion{Worker: w.ID, Slow: true})
		}
	}
	for _, w := range d.list {
		w.slice *= total * (1 + surplus) / max(room, 1e-9)
	}
	for _, f := range byWeight {
		left := f.demand
		f.split = f.split[:0]
		for _, w := range d.rank(f) {
			if left <= 1e-9 {
				break
			}
			if take := min(left, w.slice); take > 1e-9 && d.now >= w.bars[f.class].till {
				w.slice -= take
				left -= take
				f.split = append(f.split, part{w: w, share: take / f.demand})
			}
		}
	}
}

// weigh takes a worker's report of the requests that it holds. It guards against workers that get too much
// while this router hears from each once in many seconds: a report counts by the time since the last, and
// chance in it evens out in what all routers send. It hurts where requests are held for long anyway.
func (d *Dispatcher) weigh(w *worker, held float64) {
	gain := heldWeighs * (1 - math.Exp(-float64(d.now-w.toldAt)/float64(weighSpan)))
	off := min(max(math.Log((held+1)/(d.meanHeld+1)), -2), 2)
	w.toldAt, w.held = d.now, held
	w.crowding = min(max(w.crowding+gain*(off-w.crowding/20), -crowdMost), crowdMost)
	d.meanHeld += reportGain * (held - d.meanHeld)
}

// probed takes a worker's report and lets the requests go that waited for it.
func (d *Dispatcher) probed(e HealthChecked) {
	w := d.workers[e.Worker]
	if w == nil {
		return
	}
	if e.Result == OK {
		w.heard, w.doubted = d.now, false
		if e.LoadReport.InFlight >= 0 {
			d.weigh(w, e.LoadReport.InFlight)
		}
	}
	d.held, w.asking = append(d.held, w.asking...), nil
}

// trust is the part of its memory that a worker's slice is cut from. It guards against workers that are
// slow, crowded by others, cold or silent, whatever the cause: their functions spill down the ranking, and
// come back as the answers do. It hurts where answers are slow for the functions' own sake.
func (d *Dispatcher) trust(w *worker) float64 {
	if w.doubted && !d.manyDoubted() {
		return 0.01
	}
	return math.Exp(-w.crowding) * min(math.Exp(-w.slowness), 1.5) * d.warmth(w)
}

// warmth is the share of its capacity that a worker surely has.
func (d *Dispatcher) warmth(w *worker) float64 {
	if !w.cold || d.set.SlowStartDuration == 0 {
		return 1
	}
	age := max(0, float64(d.now-w.StartedAt)/float64(d.set.SlowStartDuration))
	return min(max(d.set.SlowStartShare+(1-d.set.SlowStartShare)*age, 0.01), 1)
}

// candidates yields the workers for a function in order of choice: in the split by own requests in flight
// per share, with a draw in proportion to the shares where there are hardly any, then down the ranking.
func (d *Dispatcher) candidates(f *function) iter.Seq[*worker] {
	return func(yield func(*worker) bool) {
		for i := range f.split {
			s := &f.split[i]
			s.turn = (float64(f.place(s.w).inFlight) + d.rng.ExpFloat64()) / s.share
		}
		slices.SortFunc(f.split, func(a, b part) int { return cmp.Compare(a.turn, b.turn) })
		for _, s := range f.split {
			if s.w.State == EndpointActive && !yield(s.w) {
				return
			}
		}
		for _, w := range d.rank(f) {
			in := slices.ContainsFunc(f.split, func(s part) bool { return s.w == w })
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
func (d *Dispatcher) pick(r *request) *worker {
	f, many := r.fn, d.manyDoubted()
	var choice, second, busiest *worker
	spread := d.rng.Float64() < max(d.stands, 1/d.part)
	full, warmFull, resting := false, false, false
	for w := range d.candidates(f) {
		if !d.maySend(r, w) {
			continue
		}
		p := f.place(w)
		if spread && r.out == 0 && d.now-w.toldAt < freshFor && w.held > crowdedAt*(d.meanHeld+1) {
			busiest = cmp.Or(busiest, w)
			continue
		}
		rests := d.now < max(w.bars[r.class].till, p.restTill)
		if d.doubt(w) && !many || r.failedAt(w) || rests || d.stuck(f, p) {
			if r.out == 0 && d.now >= p.restTill {
				second = cmp.Or(second, w)
			}
			resting = resting || d.now < p.restTill
			continue
		}
		warm := d.now < p.warmTill
		if p.ordered > 0 && !warm {
			choice = cmp.Or(choice, w) // join the load under way
			continue
		}
		if w.busy >= max(w.window, 1) || d.busy >= max(d.window*d.part, 1) {
			full, warmFull = true, warmFull || warm
			continue
		}
		if warm {
			if choice != nil && d.set.LoadCommandsAllowed {
				d.load(f, choice, 1)
			}
			return w
		}
		if w.orders < pendingCap {
			choice = cmp.Or(choice, w)
		}
	}
	if choice != nil && warmFull && d.set.LoadCommandsAllowed {
		d.load(f, choice, holdReserve)
		return nil // wait for the load or for room, whichever comes first
	} else if choice == nil && !full && !resting {
		return cmp.Or(second, busiest)
	}
	return choice
}

func (r *request) failedAt(w *worker) bool {
	return slices.ContainsFunc(r.attempts, func(a *attempt) bool { return a.w == w && (a.bad || !a.ended) })
}

func (f *function) place(w *worker) *place {
	p := f.places[w.ID]
	if p == nil {
		p = &place{}
		f.places[w.ID] = p
	}
	return p
}

// Loads -------------------------------------------------------------------------------------------------

// loadsIn is the time that a load of f should take.
func (d *Dispatcher) loadsIn(f *function) time.Duration {
	if f.load > 0 {
		return f.load
	}
	return time.Duration(math.Exp(d.loadTime) * float64(time.Second))
}

// stuck tells that an order has been out for longer than loads take, even from a crowded store.
func (d *Dispatcher) stuck(f *function, p *place) bool {
	return p.ordered > 0 && d.now-p.ordered > patience*d.loadsIn(f)+2*patienceMin
}

// load is the gate of all load orders. It joins an order already out, lets a failed load rest, keeps to
// the cap and the ration (ration is the part of it that this order may use up), and orders nothing where
// nothing may be sent.
func (d *Dispatcher) load(f *function, w *worker, ration float64) bool {
	p := f.place(w)
	if p.ordered > 0 {
		return true
	}
	if !d.set.LoadCommandsAllowed || w.State != EndpointActive || w.orders >= pendingCap || d.now < p.restTill {
		return false
	}
	if d.set.LoadRateWindow > 0 {
		d.trim()
		if float64(len(d.orders)+1) > ration*(d.set.LoadRateBurst+d.set.LoadRateRatio*float64(len(d.calls))) {
			return false
		}
		d.orders = append(d.orders, d.now)
	}
	p.ordered = d.now
	w.orders++
	d.act(LoadFunction{Worker: w.ID, Function: f.key, Copies: 1})
	return true
}

// trim drops what lies before the span of the load ration.
func (d *Dispatcher) trim() {
	from := d.now - d.set.LoadRateWindow
	for len(d.calls) > 0 && d.calls[0] <= from {
		d.calls = d.calls[1:]
	}
	for len(d.orders) > 0 && d.orders[0] < from {
		d.orders = d.orders[1:]
	}
}

// loaded takes the answer to an order and lets the requests go that waited on it.
func (d *Dispatcher) loaded(e FunctionLoaded) {
	w, f := d.workers[e.Worker], d.fns[e.Function]
	if w != nil && (e.Result == OK || e.Result == Rejected || e.Result == Errored) {
		w.heard, w.doubted = d.now, false
	}
	if w == nil || f == nil || f.place(w).ordered == 0 {
		return // forgotten, or an order to an earlier life of the worker
	}
	p := f.place(w)
	w.orders, p.ordered = max(w.orders-1, 0), 0
	if e.Result == OK || e.Copies > 0 {
		if e.Duration > 20*time.Millisecond {
			d.loadTime += runGain * (math.Log(e.Duration.Seconds()) - d.loadTime)
		}
		p.warmTill, p.failures = d.now+d.set.IdleResidency, 0
	} else {
		d.loadFailed(p)
	}
	d.held, p.waiting = append(d.held, p.waiting...), nil
}

// loadFailed rests a place, longer each time and never two routers in step: a store or a worker in
// trouble is not stormed.
func (d *Dispatcher) loadFailed(p *place) {
	p.warmTill, p.restTill, p.failures = 0, d.now+d.spread(failedFor, p.failures), p.failures+1
}

// A request's life --------------------------------------------------------------------------------------

func (d *Dispatcher) accept(e Request) {
	c := d.classes[e.Class]
	if c == nil { // not in the settings: nothing may be assumed of it
		c = &class{Class: Class{Name: e.Class}, work: runGuess.Seconds()}
		d.classes[e.Class] = c
	}
	r := &request{Request: e, class: c, came: d.now, deadline: d.now + max(e.RemainingDeadline, 0), unit: 1}
	run := math.Log(runGuess.Seconds())
	if e.ExpectedWork > 0 {
		r.unit, run = e.ExpectedWork.Seconds(), 0
		c.work += workerGain * (r.unit - c.work)
	}
	f := d.fns[e.Function]
	if f == nil {
		f = &function{key: e.Function, run: run, unit: r.unit, places: map[string]*place{}}
		d.fns[e.Function] = f
		d.order = append(d.order, f)
	}
	r.fn, f.class, f.calls, f.called = f, c, f.calls+1, d.now
	f.memory, f.lanes, f.load = max(e.MemoryMB, 1), float64(max(e.ConcurrencyPerInstance, 1)), e.LoadTime
	f.unit += runGain * (r.unit - f.unit)
	if d.set.LoadRateWindow > 0 {
		d.calls = append(d.calls, d.now)
	}
	d.reqs[e.ID] = r
	d.wakeAt(r, r.deadline+d.set.ResponseGrace/4)
	d.route(r)
}

// route sends a request on, has it wait for a load or for a worker, or gives it up.
func (d *Dispatcher) route(r *request) {
	r.wanted = true
	if d.spent(r) {
		if r.out == 0 {
			d.conclude(r)
		}
		return
	}
	w := d.pick(r)
	if w == nil {
		if r.out == 0 {
			d.held = append(d.held, r)
		}
		return
	}
	if p := r.fn.place(w); p.ordered > 0 && d.now >= p.warmTill && !d.stuck(r.fn, p) {
		if p.ordered+d.loadsIn(r.fn)+r.runs()/2 >= r.deadline { // the load ends too late for it
			d.conclude(r)
			return
		}
		p.waiting = append(p.waiting, r)
		d.wakeAt(r, p.ordered+patience*d.loadsIn(r.fn)+2*patienceMin+time.Millisecond)
		return
	}
	stale := d.set.LoadReports != ReportsNone && d.now-w.toldAt > freshFor
	if d.set.HealthChecksAllowed && d.set.HealthCheckCost < probeWorth && stale && !r.probed && d.rng.Float64()*d.part < 1 {
		if len(w.asking) == 0 {
			d.act(CheckHealth{Worker: w.ID})
		}
		r.probed, w.asking = true, append(w.asking, r)
		d.wakeAt(r, d.now+holdFor)
		return
	}
	d.send(r, w)
}

// spent tells that a request gets no further attempt: it has had all that it may have, it can't end before
// the client leaves, no worker may take it where an earlier attempt may have run, or the retry budget is used
// up. That is fed by answers, so what many workers refuse at once, in an overload, for want of memory or with
// the store standing still, is not multiplied by its attempts. It hurts where few workers refuse much.
func (d *Dispatcher) spent(r *request) bool {
	n := len(r.attempts)
	if r.began != nil || n >= d.set.MaxAttempts || n > 0 && r.attempts[n-1].bad && d.budget < 1 ||
		r.out == 0 && d.now+r.runs()/2 >= r.deadline {
		return true
	}
	legal := func(w *worker) bool { return d.maySend(r, w) }
	return r.mayRun() && (r.class.Idempotency == NonIdempotent || r.out == 0 && !slices.ContainsFunc(d.list, legal))
}

// runs is how long a request should take to run.
func (r *request) runs() time.Duration {
	return time.Duration(math.Exp(r.fn.run) * r.unit * float64(time.Second))
}

// late tells that a request can't be in time any more.
func (d *Dispatcher) late(r *request) bool { return d.now-r.came+r.runs() > r.class.LatencyObjective }

// retry tries the held requests again, those first that can be in time, newest first: in an overload the
// rest are lost already and would take others with them. One that finds no place speaks for its function.
// What finds none and can't be in time is shed: it is told so at once, not when its client has left. That
// hurts where a late answer is worth much and the room comes soon.
func (d *Dispatcher) retry() {
	held := d.held
	d.held = nil
	for _, r := range held { // hours ago if it is late
		if r.latest = r.came; d.late(r) {
			r.latest -= forgetAfter
		}
	}
	slices.SortStableFunc(held, func(a, b *request) int { return cmp.Compare(b.latest, a.latest) })
	stays := map[*function]bool{}
	for _, r := range slices.Compact(held) {
		switch n, late := len(d.held), r.latest < r.came; {
		case r.done || !r.wanted || r.out > 0:
		case stays[r.fn] && len(r.attempts) == 0 && late:
			d.conclude(r)
		case stays[r.fn] && len(r.attempts) == 0:
			d.held = append(d.held, r)
		default:
			d.route(r)
			if stays[r.fn] = len(d.held) > n; stays[r.fn] && late {
				d.conclude(r)
				d.held = d.held[:n]
			}
		}
	}
}

// started takes the start of a streamed response. The attempt is the client's from then on: nothing more is
// sent for the request, it is not refused, and only its deadline ends it, by Fail. How long the stream lasts
// is no sign of the worker's health, as its reader may be slow: the worker was heard, and the attempt raises
// no doubt. In the windows it counts until it would be overdue, or slow readers would keep all others out.
func (d *Dispatcher) started(e ResponseStarted) {
	r := d.reqs[e.ID]
	if r == nil || r.done || r.began != nil || e.Attempt < 0 || e.Attempt >= len(r.attempts) {
		return
	}
	a := r.attempts[e.Attempt]
	if a.ended {
		return
	}
	r.began, r.wanted, a.first = a, false, max(e.Duration, 1)
	a.w.heard, a.w.doubted = d.now, false
	a.w.open = slices.DeleteFunc(a.w.open, func(o *attempt) bool { return o == a })
}

// ended takes the end of an attempt.
func (d *Dispatcher) ended(e AttemptEnded) {
	r := d.reqs[e.ID]
	if r == nil || e.Attempt < 0 || e.Attempt >= len(r.attempts) || r.attempts[e.Attempt].ended {
		return
	}
	a := r.attempts[e.Attempt]
	w, p := a.w, r.fn.place(a.w)
	if a.ended = true; a.first > 0 {
		e.Duration = a.first // what the client made of the stream is not the worker's time
	}
	r.out, p.inFlight = r.out-1, max(p.inFlight-1, 0)
	w.open = slices.DeleteFunc(w.open, func(o *attempt) bool { return o == a })
	weight := a.weight
	d.release(a)
	slow := e.LoadReport.InFlight >= 0 && e.LoadReport.InFlight < d.meanHeld && e.Duration > r.class.LatencyObjective/20
	odd := (a.warm || !d.set.WorkersLoadOnMiss) && (e.Result == Errored || e.Result == Rejected && slow)
	a.ran = !slices.Contains([]Result{Rejected, ConnectFailed, NotSent, NotResident}, e.Result)
	a.bad = e.Result != OK && e.Result != NotResident && e.Result != NotSent
	if e.Result != TimedOut && e.Result != NotSent && e.Result != Cancelled {
		w.heard, w.doubted = d.now, false
	}
	switch {
	case odd:
		d.bar(w, r.class)
	case e.LoadReport.InFlight >= 0:
		d.weigh(w, e.LoadReport.InFlight)
	}
	// Each of many routers has less than one attempt at a worker: one window for all bounds what is out (a
	// concurrency limit). It shrinks for what, light by its hint, comes never or later than a load explains.
	// Copies not known count by the chance that one stood. It hurts where few workers make many late.
	late := e.Duration > r.class.LatencyObjective && (!d.set.WorkersLoadOnMiss || e.Duration > d.loadsIn(r.fn)+r.runs())
	if late && r.ExpectedWork < r.class.LatencyObjective/4 {
		d.window = max(d.window-lateDown*weight/d.part, 2*windowMin)
	} else if e.Result == OK && !late && d.busy+1 > d.window*d.part/2 {
		d.window += windowUp * weight / d.part
	}
	switch e.Result {
	case OK:
		d.learn(r, a, e)
		d.work += r.class.work
		d.answers++
		w.bars[r.class] = bar{till: w.bars[r.class].till, times: max(w.bars[r.class].times-1, 0)}
		p.warmTill, p.failures = max(p.warmTill, d.now+d.set.IdleResidency), 0
	case NotResident:
		p.warmTill = 0
	case Rejected:
		if odd || a.warm {
			w.window = max(w.window*windowCut, windowMin/float64(d.set.Routers))
		} else {
			d.loadFailed(p) // no room for a load, more likely than a full queue
		}
	case ConnectFailed, ConnectionReset:
		d.suspect(w)
	}
	if e.CacheStatus == CacheLoadFailed {
		d.loadFailed(p)
	}
	if e.Final || r.done {
		d.close(r)
		return
	}
	switch {
	case r.out > 0:
	case d.spent(r):
		d.conclude(r)
	case e.Result == NotResident && d.load(r.fn, w, 1):
		d.route(r)
	case e.Result == NotResident && w.orders < pendingCap || e.Result == Rejected && len(r.attempts) >= 2:
		r.wanted, r.holds = true, r.holds+1 // wait a little, longer each time
		d.wakeAt(r, d.now+holdFor<<min(r.holds-1, 5))
	default:
		d.route(r)
	}
}

// release takes an attempt out of the windows when it ends or is overdue by what answers take of late: what
// silent workers, or a store that stands still, never answer would fill them.
func (d *Dispatcher) release(a *attempt) {
	if a.ended || (d.now-a.sent).Seconds() > patience*d.took {
		a.w.busy -= a.weight
		d.busy -= a.weight
		a.weight = 0
	}
}

// mayRun tells whether an attempt may have run or be running.
func (r *request) mayRun() bool {
	return slices.ContainsFunc(r.attempts, func(a *attempt) bool { return !a.ended || a.ran })
}

// learn takes an answer's time for the function's run time and the worker's slowness. An answer that may
// have waited on a load tells neither.
func (d *Dispatcher) learn(r *request, a *attempt, e AttemptEnded) {
	f := r.fn
	f.answered = true
	d.took += reportGain * (e.Duration.Seconds() - d.took)
	d.budget = min(d.budget+1, retryBurst)
	if stood := e.CacheStatus == CacheHit || e.CacheStatus == CacheUnknown && e.Duration < d.loadsIn(f)/2; !a.warm && stood {
		d.stands += reportGain * (1 - d.stands)
	} else if !a.warm {
		d.stands -= reportGain * d.stands
	}
	if d.set.CacheStatusReported && e.CacheStatus != CacheHit || !d.set.CacheStatusReported && !a.warm {
		return
	}
	took := e.Duration.Seconds()
	if late := lateAnswer * math.Exp(f.run) * r.unit; took > max(late, r.class.LatencyObjective.Seconds()*lateShare) {
		a.w.window = max(a.w.window-windowDown, windowMin/float64(d.set.Routers))
	} else if a.w.busy+1 > a.w.window/2 {
		a.w.window += windowUp
	}
	off := math.Log(max(e.Duration.Seconds(), 1e-4)/r.unit) - f.run - a.w.slowness
	off = min(max(off, -unitStep), unitStep)
	f.run += runGain * off / float64(1+a.others)
	a.w.slowness = min(max(a.w.slowness+workerGain*off, -1), 2.5)
	if r.ExpectedWork == 0 {
		r.class.work += workerGain * (e.Duration.Seconds() - r.class.work)
	}
}

// close ends a request: second copies still out are called off.
func (d *Dispatcher) close(r *request) {
	if r.out == 0 {
		delete(d.reqs, r.ID)
	}
	for _, a := range r.attempts {
		if !r.done && d.set.CancelAllowed && !a.ended {
			d.act(CancelAttempt{ID: r.ID, Attempt: a.n})
		}
	}
	r.done = true
}

// Health ------------------------------------------------------------------------------------------------

// doubt tells whether a worker is silent for longer than chance allows: answers overdue are summed in
// units of their expected time since it was last heard (an accrual failure detector). A doubted worker is
// asked now and then; any answer clears it.
func (d *Dispatcher) doubt(w *worker) bool {
	if !w.doubted && len(w.open) > 0 && d.now-max(w.heard, w.open[0].sent) > doubtAfter {
		phi := 0.0
		for _, a := range w.open {
			phi += (d.now - max(a.sent, w.heard)).Seconds() / max(a.expected, 0.02)
		}
		if phi > doubtPhi {
			d.suspect(w)
		}
	}
	if w.doubted && d.now-w.asked >= askEvery && d.set.HealthChecksAllowed {
		w.asked = d.now
		d.act(CheckHealth{Worker: w.ID})
	}
	return w.doubted
}

// suspect begins a doubt.
func (d *Dispatcher) suspect(w *worker) {
	w.doubted, w.asked = true, d.now
	d.tell(ReportSuspicion{Worker: w.ID})
}

func (d *Dispatcher) tell(a ReportSuspicion) {
	if d.set.SuspicionsReported {
		d.act(a)
	}
}

// peers takes what other routers' word led to. It lifts no doubt and raises no share: the routers that share
// the fleet are those of the settings, or more where more were seen, and stay so when they vanish, as they
// may only be cut off. A silent worker is doubted, unless this router has heard it since.
func (d *Dispatcher) peers(e GossipUpdate) {
	if e.Routers > d.set.Routers {
		less := float64(d.set.Routers) / float64(e.Routers)
		d.part, d.set.Routers = d.part*less, e.Routers
		for _, w := range d.workers {
			w.window *= less
		}
	}
	for _, id := range e.SuspectedWorkers {
		if w := d.workers[id]; w != nil && w.State == EndpointActive && d.now-w.heard > doubtAfter && !w.doubted {
			d.suspect(w)
		}
	}
}

// bar rests a class at a worker that fails it, or refuses it slowly with room to spare, longer each time; the
// walk then passes the worker over for it. Its other classes are served as usual. It hurts where an error was
// the request's own.
func (d *Dispatcher) bar(w *worker, c *class) {
	w.bars[c] = bar{till: d.now + d.spread(barredFor, w.bars[c].times), times: w.bars[c].times + 1}
	d.tell(ReportSuspicion{Worker: w.ID, Class: c.Name})
}

// unheard rests a class at a worker that answers others and leaves this class without any, several attempts
// in a row: the doubt never sees it, as the worker is heard. What is overdue there is tried elsewhere, where
// it may be, within the retry budget. It hurts where a class's requests take far longer than their hints.
func (d *Dispatcher) unheard(a *attempt) {
	w, c := a.w, a.r.class
	overdue := func(a *attempt) time.Duration {
		return a.sent + time.Duration((a.expected+patience*d.took)*float64(time.Second))
	}
	if a.ended || a.unheard || a.r.done || a.r.began != nil || d.now < w.bars[c].till {
		return
	}
	if at := overdue(a); at > d.now {
		d.wakeAt(a.r, at)
		return
	}
	if w.heard <= a.sent {
		return
	}
	b := w.bars[c]
	a.unheard, b.silent = true, b.silent+1
	if w.bars[c] = b; b.silent < silentRow {
		return
	}
	d.bar(w, c)
	for _, o := range slices.Clone(w.open) {
		if o.r.class == c && !o.r.done && o.r.out == 1 && d.now >= overdue(o) && d.budget >= 1 {
			sent := len(o.r.attempts)
			d.route(o.r)
			d.budget -= float64(len(o.r.attempts) - sent)
		}
	}
}

// spread is a rest that doubles each time, never two routers' in step.
func (d *Dispatcher) spread(first time.Duration, times int) time.Duration {
	return time.Duration(float64(first) * math.Exp2(float64(min(times, 4))) * (0.75 + d.rng.Float64()/2))
}

// manyDoubted tells that half the fleet looks bad: then the trouble is the store, the list or this
// router's own view, and passing workers over would only crowd the rest.
func (d *Dispatcher) manyDoubted() bool {
	sound := slices.DeleteFunc(slices.Clone(d.list), func(w *worker) bool { return w.doubted })
	return 2*len(sound) < len(d.list)
}

// Guards ------------------------------------------------------------------------------------------------

// maySend tells whether the rules let a request go to a worker now.
func (d *Dispatcher) maySend(r *request, w *worker) bool {
	if r.done || r.began != nil || d.now >= r.deadline || len(r.attempts) >= d.set.MaxAttempts ||
		w.State != EndpointActive || r.out > 0 && !d.set.HedgingAllowed {
		return false
	}
	for _, a := range r.attempts {
		same := r.class.DeduplicationScope == ScopeAll || r.class.DeduplicationScope == ScopeZone && a.w.Zone == w.Zone ||
			r.class.DeduplicationScope == ScopeCell && a.w.Cell == w.Cell
		again := r.class.Idempotency == Idempotent || r.class.Idempotency == IdempotentByKey && same && d.now-a.sent < r.class.DeduplicationWindow
		if (!a.ended || a.ran) && !again {
			return false
		}
	}
	return d.coldRoom(w)
}

// coldRoom keeps this router's part of what a worker that has just started can take: its fair share of the
// work that this router has served, which no overload raises, scaled to the capacity that it surely has. The
// part of one of many routers is far less than a request, so it is saved up from a seeded phase.
func (d *Dispatcher) coldRoom(w *worker) bool {
	rate := d.warmth(w) * d.workRate / float64(max(len(d.list), 1))
	w.saved = min(w.saved+rate*(d.now-w.savedAt).Seconds(), rate*d.set.OverloadWindow.Seconds())
	w.savedAt = d.now
	return !w.cold || w.saved > 0
}

// send is the gate of all attempts.
func (d *Dispatcher) send(r *request, w *worker) {
	if !d.maySend(r, w) {
		return
	}
	p := r.fn.place(w)
	a := &attempt{r: r, w: w, n: len(r.attempts), others: len(w.open), sent: d.now, warm: d.now < p.warmTill}
	a.expected = math.Exp(r.fn.run+w.slowness) * r.unit
	if !a.warm && d.set.WorkersLoadOnMiss {
		a.expected += d.loadsIn(r.fn).Seconds()
	}
	r.attempts = append(r.attempts, a)
	r.out++
	r.wanted = false
	p.inFlight++
	w.open = append(w.open, a)
	a.weight = d.stands
	if a.warm {
		a.weight = 1
	}
	w.busy += a.weight
	d.busy += a.weight
	d.wakeAt(r, d.now+time.Duration(patience*d.took*float64(time.Second))+patienceMin)
	if a.n > 0 && r.attempts[a.n-1].bad {
		d.budget--
	}
	w.saved -= r.class.work
	d.act(StartAttempt{ID: r.ID, Worker: w.ID})
}

// conclude is the gate of all final answers that are not served: a refusal where trying again is
// harmless, a failure elsewhere.
func (d *Dispatcher) conclude(r *request) {
	switch {
	case r.done:
		return
	case r.began != nil:
		d.act(FailRequest{ID: r.ID})
	case r.class.Idempotency == Idempotent || !r.mayRun() || r.class.Idempotency == IdempotentByKey && r.class.DeduplicationScope == ScopeAll:
		d.act(RejectRequest{ID: r.ID, RetryAfter: d.comeBack()})
	default:
		d.act(FailRequest{ID: r.ID})
	}
	d.close(r)
}

// comeBack advises a client when to try again: when what this router has in hand should be served at its
// pace, with jitter, as those sent away together must not return together.
func (d *Dispatcher) comeBack() time.Duration {
	wait := min(float64(len(d.reqs))/max(d.served, 1e-3), d.set.MaxRetryAfter.Seconds())
	return time.Duration(wait * (0.5 + d.rng.Float64()/2) * float64(time.Second))
}
