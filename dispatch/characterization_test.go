package dispatch

import (
	"container/heap"
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"flag"
	"fmt"
	"hash"
	"math"
	"math/rand/v2"
	"os"
	"strings"
	"testing"
	"time"
)

// The characterization test holds every decision of the module fixed while its text is changed: seeded fleets are
// played through New and Step, and all actions are hashed by fixed tags and numbers, without any name of the code.

var updateCharacterization = flag.Bool("characterization.update", false, "write the sums anew: only with a change of decisions that is meant")

const (
	characterizationFile  = "testdata/characterization.txt"
	characterizationSeeds = 40
)

func TestCharacterization(t *testing.T) {
	sums := make([]string, characterizationSeeds)
	t.Run("play", func(t *testing.T) {
		for seed := range sums {
			t.Run(fmt.Sprint(seed), func(t *testing.T) {
				t.Parallel()
				sums[seed] = newSimulation(t, uint64(seed)).play()
			})
		}
	})
	got := strings.Join(sums, "\n") + "\n"
	if *updateCharacterization {
		if err := os.WriteFile(characterizationFile, []byte(got), 0o644); err != nil {
			t.Fatal(err)
		}
		return
	}
	want, err := os.ReadFile(characterizationFile)
	if err != nil {
		t.Fatal(err)
	}
	for seed, sum := range strings.Fields(string(want)) {
		if sum != sums[seed] {
			t.Errorf("seed %d: actions hash to %s, recorded is %s", seed, sums[seed], sum)
		}
	}
	if len(strings.Fields(string(want))) != characterizationSeeds {
		t.Errorf("%s does not hold %d sums", characterizationFile, characterizationSeeds)
	}
}

// actionHash hashes actions by fixed tags.
type actionHash struct{ sum hash.Hash }

func (h actionHash) number(values ...int64) {
	for _, v := range values {
		h.sum.Write(binary.BigEndian.AppendUint64(nil, uint64(v)))
	}
}

func (h actionHash) text(s string) {
	h.number(int64(len(s)))
	h.sum.Write([]byte(s))
}

func (h actionHash) add(t *testing.T, a Action) {
	switch a := a.(type) {
	case StartAttempt:
		h.number(1, int64(a.ID), int64(a.Timeout))
		h.text(a.Worker)
	case CancelAttempt:
		h.number(2, int64(a.ID), int64(a.Attempt))
	case RejectRequest:
		h.number(3, int64(a.ID), int64(a.RetryAfter))
	case FailRequest:
		h.number(4, int64(a.ID))
	case LoadFunction:
		h.number(5, int64(a.Copies))
		h.text(a.Worker)
		h.text(a.Function)
	case CheckHealth:
		h.number(6)
		h.text(a.Worker)
	case SubscribeEndpoints:
		h.number(7)
	case SetTimer:
		h.number(8, int64(a.After))
	case ReportSuspicion:
		slow := int64(0)
		if a.Slow {
			slow = 1
		}
		h.number(9, slow)
		h.text(a.Worker)
		h.text(a.Class)
	default:
		t.Errorf("an action of an unknown kind: %T", a)
	}
}

// simulatedWorker is a worker as it truly is.
type simulatedWorker struct {
	id, zone, kind string
	cell           int
	state          EndpointState
	started        time.Duration
	resident       map[string]time.Duration // function: from when its copy is ready
	inFlight       int
	silentUntil    time.Duration
	hangs, fails   string  // a class that is never answered, and one that is answered with errors
	speed          float64 // multiple of the usual run time
}

// simulatedRouter is one Dispatcher and its requests.
type simulatedRouter struct {
	d        *Dispatcher
	next     RequestID
	requests map[RequestID]*simulatedRequest
}

type simulatedRequest struct {
	event    Request
	attempts int
	final    bool
	streamed bool
}

// scheduled is an event that is due at a router, or something that happens in the fleet.
type scheduled struct {
	at     time.Duration
	order  int
	router int // -1: of the fleet
	event  Event
	happen func()
}

type schedule []scheduled

func (q schedule) Len() int { return len(q) }
func (q schedule) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].order < q[j].order
}
func (q schedule) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *schedule) Push(x any)   { *q = append(*q, x.(scheduled)) }
func (q *schedule) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

// simulation is one seeded fleet.
type simulation struct {
	t        *testing.T
	rng      *rand.Rand
	hash     actionHash
	settings Settings
	now      time.Duration
	queue    schedule
	order    int
	workers  []*simulatedWorker
	routers  []*simulatedRouter
	rate     float64 // requests a second of one router
	closed   bool
}

const (
	simulationEnd      = 30 * time.Second
	simulationRouters  = 3
	simulatedFunctions = 14
	simulatedLoadTime  = 250 * time.Millisecond
)

func newSimulation(t *testing.T, seed uint64) *simulation {
	t.Helper()
	s := &simulation{t: t, rng: rand.New(rand.NewPCG(seed, 77)), hash: actionHash{sha256.New()}, now: time.Second}
	s.settings = s.drawSettings(seed)
	s.rate = 8 + 25*s.rng.Float64()
	for i := range 5 + s.rng.IntN(6) {
		w := s.startWorker(i)
		w.started = 0
	}
	for i := range simulationRouters {
		s.routers = append(s.routers, &simulatedRouter{})
		s.startRouter(i)
	}
	s.scheduleFaults()
	return s
}

// drawSettings covers all effects, scopes, report sources and ways to load over the seeds.
func (s *simulation) drawSettings(seed uint64) Settings {
	bit := func(n uint) bool { return seed>>n&1 == 1 }
	set := Settings{Zone: "z0", Routers: []int{1, 3, 40, 300}[seed%4], OverQuotaWeight: 0.5, WorkersLoadOnMiss: bit(0), LoadCommandsAllowed: !bit(0) || bit(2),
		CacheStatusReported: bit(1), IdleResidency: 6 * time.Second, LoadReports: ReportSource(seed % 3), CancelAllowed: !bit(3), HealthChecksAllowed: seed%5 != 0,
		HealthCheckCost: []float64{0.01, 0.2}[seed/3%2], HedgingAllowed: bit(2), MaxAttempts: 2 + int(seed%4),
		MaxRetryAfter: time.Duration(seed%3) * time.Second, ResponseGrace: 16 * time.Millisecond, DrainGrace: 100 * time.Millisecond,
		SlowStartShare: 0.1 + 0.1*float64(seed%3), SlowStartDuration: 8 * time.Second, OverloadMultiple: 3, OverloadWindow: 1500 * time.Millisecond,
		SuspicionsReported: bit(1), EndpointsBySubscription: bit(3), WorkerKinds: []WorkerKind{{"big", 16000}, {"small", 6000}},
		Tenants: []Tenant{{Name: "t", QuotaPerSecond: 10, Share: 0.5}}}
	if !bit(4) {
		set.LoadRateWindow, set.LoadRateBurst, set.LoadRateRatio = 5*time.Second, 3, 0.2
	}
	for i, name := range []string{"safe", "once", "cell", "zone", "all"} {
		c := Class{Name: name, LatencyObjective: 300 * time.Millisecond << (i % 3), Deadline: 2 * time.Second, PriorityWeight: 1 + float64(i), LateValueFraction: 0.4}
		switch name {
		case "safe":
			c.Idempotency = Idempotent
		case "once":
			c.Idempotency = NonIdempotent
		default:
			c.Idempotency, c.DeduplicationWindow = IdempotentByKey, 1500*time.Millisecond
			c.DeduplicationScope = map[string]DeduplicationScope{"cell": ScopeCell, "zone": ScopeZone, "all": ScopeAll}[name]
		}
		set.Classes = append(set.Classes, c)
	}
	return set
}

func (s *simulation) at(at time.Duration, router int, e Event, happen func()) {
	s.order++
	heap.Push(&s.queue, scheduled{max(at, s.now), s.order, router, e, happen})
}

func (s *simulation) uniform(from, to time.Duration) time.Duration {
	return from + time.Duration(s.rng.Float64()*float64(to-from))
}

func (s *simulation) startWorker(i int) *simulatedWorker {
	w := &simulatedWorker{id: fmt.Sprintf("w%02d", i), zone: fmt.Sprint("z", i%2), kind: []string{"big", "small"}[i%2], cell: i / 3,
		started: s.now, resident: map[string]time.Duration{}, speed: 0.8 + 0.4*s.rng.Float64()}
	s.workers = append(s.workers, w)
	return w
}

func (s *simulation) member(w *simulatedWorker) Endpoint {
	return Endpoint{ID: w.id, Zone: w.zone, Kind: w.kind, Cell: w.cell, State: w.state, Weight: 1, StartedAt: w.started}
}

// announce tells every router of the list, each a little later than the other.
func (s *simulation) announce(whole bool, changed ...*simulatedWorker) {
	list := changed
	if whole {
		list = s.workers
	}
	var members []Endpoint
	for _, w := range list {
		if !whole || w.state != EndpointRemoved {
			members = append(members, s.member(w))
		}
	}
	for i := range s.routers {
		s.at(s.now+s.uniform(0, 300*time.Millisecond), i, EndpointUpdate{Snapshot: whole, Endpoints: members}, nil)
	}
}

// startRouter begins a router's life, the first or one after a kill.
func (s *simulation) startRouter(i int) {
	r := s.routers[i]
	d, err := New(s.settings, s.rng.Uint64())
	if err != nil {
		s.t.Fatal(err)
	}
	*r = simulatedRouter{d: d, next: r.next, requests: map[RequestID]*simulatedRequest{}}
	var members []Endpoint
	for _, w := range s.workers {
		members = append(members, s.member(w))
	}
	s.step(i, EndpointUpdate{Snapshot: true, Endpoints: members})
	s.at(s.now, i, nil, func() { s.arrive(i, d) })
}

// arrive brings a request and schedules the next.
func (s *simulation) arrive(i int, d *Dispatcher) {
	r := s.routers[i]
	if r.d != d {
		return
	}
	s.at(s.now+time.Duration(s.rng.ExpFloat64()/s.rate*float64(time.Second)), i, nil, func() { s.arrive(i, d) })
	r.next++
	function := fmt.Sprint("f", int(simulatedFunctions*math.Pow(s.rng.Float64(), 2)))
	class := []string{"safe", "safe", "once", "cell", "zone", "all", "unheard of"}[s.rng.IntN(7)]
	q := &simulatedRequest{streamed: s.rng.IntN(8) == 0, event: Request{ID: r.next, Function: function, Class: class, Tenant: "t",
		MemoryMB: 200 + 100*float64(len(function)), ConcurrencyPerInstance: 1 + len(function)%3, RemainingDeadline: s.uniform(200*time.Millisecond, 2*time.Second)}}
	if s.rng.IntN(3) > 0 {
		q.event.ExpectedWork = s.uniform(5*time.Millisecond, 120*time.Millisecond)
	}
	if s.rng.IntN(2) > 0 {
		q.event.LoadTime = simulatedLoadTime
	}
	r.requests[r.next] = q
	s.step(i, q.event)
	if s.rng.IntN(25) == 0 {
		id := r.next
		s.at(s.now+s.uniform(0, 400*time.Millisecond), i, nil, func() {
			if q.final || r.d != d {
				return
			}
			q.final = true
			s.step(i, RequestCancelled{ID: id})
		})
	}
}

// scheduleFaults draws what befalls the fleet.
func (s *simulation) scheduleFaults() {
	pick := func() *simulatedWorker { return s.workers[s.rng.IntN(len(s.workers))] }
	faults := []func(){
		func() { // a worker is restarted
			w := pick()
			w.started, w.resident, w.inFlight = s.now, map[string]time.Duration{}, 0
			s.announce(false, w)
		},
		func() { // a worker drains and is replaced
			w := pick()
			w.state = EndpointDraining
			s.announce(false, w)
			s.at(s.now+2*time.Second, -1, nil, func() {
				w.state = EndpointRemoved
				s.startWorker(len(s.workers))
				s.announce(s.rng.IntN(2) == 0, w, s.workers[len(s.workers)-1])
			})
		},
		func() { pick().silentUntil = s.now + s.uniform(time.Second, 5*time.Second) },
		func() { pick().hangs = "safe" },
		func() { pick().fails = []string{"safe", "once", "all"}[s.rng.IntN(3)] },
		func() { pick().speed *= 6 },
		func() { // a release voids every copy
			for _, w := range s.workers {
				clear(w.resident)
			}
		},
		func() { // a burst
			s.rate *= 4
			s.at(s.now+2*time.Second, -1, nil, func() { s.rate /= 4 })
		},
		func() { // a router is killed
			s.startRouter(s.rng.IntN(len(s.routers)))
		},
		func() {
			s.step(s.rng.IntN(len(s.routers)), GossipUpdate{Routers: s.rng.IntN(500), SuspectedWorkers: []string{pick().id, "unknown"}})
		},
		func() { s.step(s.rng.IntN(len(s.routers)), EndpointUpdate{SubscriptionLost: true}) },
		func() { s.announce(true) },
	}
	for range 14 {
		fault := faults[s.rng.IntN(len(faults))]
		s.at(s.uniform(3*time.Second, simulationEnd-6*time.Second), -1, nil, fault)
	}
	s.at(simulationEnd-3*time.Second, -1, nil, func() {
		for i := range s.routers {
			s.step(i, ShutdownStarted{AnswerWithin: s.uniform(500*time.Millisecond, 2*time.Second)})
		}
	})
}

// play runs the fleet to its end and returns the hash of all actions.
func (s *simulation) play() string {
	for len(s.queue) > 0 {
		next := heap.Pop(&s.queue).(scheduled)
		if next.at > simulationEnd {
			break
		}
		s.now = next.at
		if next.happen != nil {
			next.happen()
			continue
		}
		events := []Event{next.event} // what is due at one moment is one step
		for len(s.queue) > 0 && s.queue[0].at == s.now && s.queue[0].router == next.router && s.queue[0].event != nil {
			events = append(events, heap.Pop(&s.queue).(scheduled).event)
		}
		s.step(next.router, events...)
	}
	return hex.EncodeToString(s.hash.sum.Sum(nil))
}

// step hands events to a router and carries out what it decides.
func (s *simulation) step(router int, events ...Event) {
	r := s.routers[router]
	s.hash.number(int64(s.now), int64(router))
	for _, a := range r.d.Step(s.now, events) {
		s.hash.add(s.t, a)
		switch a := a.(type) {
		case StartAttempt:
			s.attempt(router, a)
		case CancelAttempt:
			s.later(router, 0, AttemptEnded{ID: a.ID, Attempt: a.Attempt, Result: Cancelled, FunctionInFlight: -1, LoadReport: NoLoadReport})
		case RejectRequest:
			r.requests[a.ID].final = true
		case FailRequest:
			r.requests[a.ID].final = true
		case LoadFunction:
			s.load(router, a)
		case CheckHealth:
			s.probe(router, a)
		case SetTimer:
			s.later(router, a.After.Truncate(time.Microsecond), TimerFired{})
		case SubscribeEndpoints:
			s.announce(true)
		}
	}
}

// later schedules an event at a router, unless that is killed meanwhile.
func (s *simulation) later(router int, after time.Duration, e Event) {
	r, d := s.routers[router], s.routers[router].d
	s.at(s.now+after, router, nil, func() {
		if r.d != d {
			return
		}
		if o, ok := e.(AttemptEnded); ok && o.Result == OK {
			r.requests[o.ID].final = true
			o.Final = true
			e = o
		}
		s.at(s.now, router, e, nil)
	})
}

func (s *simulation) worker(id string) *simulatedWorker {
	for _, w := range s.workers {
		if w.id == id {
			return w
		}
	}
	return nil
}

func (s *simulation) load(router int, a LoadFunction) {
	w := s.worker(a.Worker)
	switch {
	case s.now < w.silentUntil:
		s.later(router, 3*time.Second, FunctionLoaded{Worker: a.Worker, Function: a.Function, Result: TimedOut})
	case s.rng.IntN(6) == 0:
		s.later(router, 5*time.Millisecond, FunctionLoaded{Worker: a.Worker, Function: a.Function, Result: Rejected, Duration: 5 * time.Millisecond})
	default:
		took := s.uniform(simulatedLoadTime/2, 2*simulatedLoadTime)
		w.resident[a.Function] = s.now + took
		s.later(router, took, FunctionLoaded{Worker: a.Worker, Function: a.Function, Copies: a.Copies, Duration: took})
	}
}

func (s *simulation) probe(router int, a CheckHealth) {
	w := s.worker(a.Worker)
	if s.now < w.silentUntil {
		s.later(router, 500*time.Millisecond, HealthChecked{Worker: a.Worker, Result: TimedOut, Duration: 500 * time.Millisecond, LoadReport: NoLoadReport})
		return
	}
	s.later(router, 2*time.Millisecond, HealthChecked{Worker: a.Worker, Duration: 2 * time.Millisecond, LoadReport: s.report(w, ReportsFromHealthChecks)})
}

// report is what a worker tells of its load where the settings have it tell.
func (s *simulation) report(w *simulatedWorker, by ReportSource) LoadReport {
	if s.settings.LoadReports != by {
		return NoLoadReport
	}
	return LoadReport{InFlight: float64(w.inFlight), Queued: max(float64(w.inFlight-8), 0), Loading: -1}
}

// attempt answers one send as the worker would.
func (s *simulation) attempt(router int, a StartAttempt) {
	r, w := s.routers[router], s.worker(a.Worker)
	q := r.requests[a.ID]
	o := AttemptEnded{ID: a.ID, Attempt: q.attempts, Worker: a.Worker, FunctionInFlight: -1, LoadReport: s.report(w, ReportsWithResponses)}
	q.attempts++
	run := q.event.ExpectedWork
	if run == 0 {
		run = 40 * time.Millisecond
	}
	run = time.Duration(float64(run) * w.speed * s.rng.ExpFloat64())
	ready, resident := w.resident[q.event.Function]
	switch chance := s.rng.IntN(100); {
	case s.now < w.silentUntil || w.hangs == q.event.Class:
		o.Result, o.Duration, o.LoadReport = TimedOut, q.event.RemainingDeadline, NoLoadReport
	case w.state == EndpointRemoved || chance < 2:
		o.Result, o.Duration, o.LoadReport = ConnectFailed, time.Millisecond, NoLoadReport
	case chance < 4:
		o.Result, o.Duration, o.LoadReport = ConnectionReset, run, NoLoadReport
	case w.fails == q.event.Class || chance < 5:
		o.Result, o.Duration = Errored, run
	case w.inFlight > 16 || chance < 7:
		o.Result, o.Duration = Rejected, s.uniform(time.Millisecond, 80*time.Millisecond)
	case chance < 8:
		o.Result, o.Duration, o.LoadReport = NotSent, 0, NoLoadReport
	case !resident && !s.settings.WorkersLoadOnMiss:
		o.Result, o.Duration = NotResident, time.Millisecond
	case !resident:
		o.Duration, o.CacheStatus = run+simulatedLoadTime, CacheLoadStarted
		w.resident[q.event.Function] = s.now + simulatedLoadTime
		if s.rng.IntN(12) == 0 {
			o.Result, o.CacheStatus = Errored, CacheLoadFailed
			delete(w.resident, q.event.Function)
		}
	case ready > s.now:
		o.Duration, o.CacheStatus = run+ready-s.now, CacheLoadJoined
	default:
		o.Duration, o.CacheStatus, o.FunctionInFlight = run, CacheHit, w.inFlight
	}
	if !s.settings.CacheStatusReported {
		o.CacheStatus = CacheUnknown
	}
	w.inFlight++
	s.at(s.now+o.Duration, -1, nil, func() { w.inFlight = max(w.inFlight-1, 0) })
	if q.streamed && o.Result == OK {
		s.later(router, o.Duration, ResponseStarted{ID: a.ID, Attempt: o.Attempt, Worker: a.Worker, Duration: o.Duration})
		o.Duration += s.uniform(10*time.Millisecond, 2*time.Second)
		if s.rng.IntN(5) == 0 {
			o.Result = ConnectionReset
		}
	}
	s.later(router, o.Duration, o)
}
