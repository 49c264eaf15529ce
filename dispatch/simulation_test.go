package dispatch

import (
	"container/heap"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"
)

// This file simulates a seeded fleet for TestCharacterization: workers that fail in many ways, routers that are
// killed, and their requests. Each draw from the random source keeps its place, as the recorded sums depend on it.

// simulatedWorker is a worker as it is, which no router sees.
type simulatedWorker struct {
	id, zone, kind string
	cell           int
	state          EndpointState
	startedAt      time.Duration
	resident       map[string]time.Duration // by function: when its copy has been loaded
	inFlight       int
	silentUntil    time.Duration
	hangs, fails   string  // a class without responses, and one that gets only errors
	speed          float64 // multiple of the usual run time
}

// simulatedRouter is one Dispatcher and its requests.
type simulatedRouter struct {
	dispatcher *Dispatcher
	lastID     RequestID
	requests   map[RequestID]*simulatedRequest
}

// simulatedRequest is a request of one router.
type simulatedRequest struct {
	event    Request
	attempts int
	final    bool
	streamed bool
}

// scheduledEvent is an event that is due at a router, or a function that changes the fleet.
type scheduledEvent struct {
	at     time.Duration
	order  int
	router int // -1: of the fleet
	event  Event
	run    func()
}

// eventQueue is a heap of scheduled events, the earliest first, those of one moment in the order of their
// scheduling.
type eventQueue []scheduledEvent

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].order < q[j].order
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(scheduledEvent)) }
func (q *eventQueue) Pop() any {
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
	queue    eventQueue
	order    int
	workers  []*simulatedWorker
	routers  []*simulatedRouter
	rate     float64 // requests a second of one router
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
		w.startedAt = 0
	}
	for i := range simulationRouters {
		s.routers = append(s.routers, &simulatedRouter{})
		s.startRouter(i)
	}
	s.scheduleFaults()
	return s
}

// drawSettings covers, over the seeds, every idempotency, deduplication scope, report source and way to load.
func (s *simulation) drawSettings(seed uint64) Settings {
	bit := func(n uint) bool { return seed>>n&1 == 1 }
	drawn := Settings{
		Zone: "z0", Routers: []int{1, 3, 40, 300}[seed%4],
		Tenants:         []Tenant{{Name: "t", QuotaPerSecond: 10, Share: 0.5}},
		OverQuotaWeight: 0.5,
		WorkerKinds:     []WorkerKind{{"big", 16000}, {"small", 6000}},

		WorkersLoadOnMiss:   bit(0),
		LoadCommandsAllowed: !bit(0) || bit(2),
		CacheStatusReported: bit(1),
		IdleResidency:       6 * time.Second,

		LoadReports:             ReportSource(seed % 3),
		HealthChecksAllowed:     seed%5 != 0,
		HealthCheckCost:         []float64{0.01, 0.2}[seed/3%2],
		SuspicionsReported:      bit(1),
		EndpointsBySubscription: bit(3),

		CancelAllowed:  !bit(3),
		HedgingAllowed: bit(2),
		MaxAttempts:    2 + int(seed%4),
		MaxRetryAfter:  time.Duration(seed%3) * time.Second,
		ResponseGrace:  16 * time.Millisecond,
		DrainGrace:     100 * time.Millisecond,

		SlowStartShare:    0.1 + 0.1*float64(seed%3),
		SlowStartDuration: 8 * time.Second,
		OverloadMultiple:  3,
		OverloadWindow:    1500 * time.Millisecond,
	}
	if !bit(4) {
		drawn.LoadRateWindow, drawn.LoadRateBurst, drawn.LoadRateRatio = 5*time.Second, 3, 0.2
	}
	for i, name := range []string{"safe", "once", "cell", "zone", "all"} {
		c := Class{Name: name, LatencyObjective: 300 * time.Millisecond << (i % 3), Deadline: 2 * time.Second,
			PriorityWeight: 1 + float64(i), LateValueFraction: 0.4}
		switch name {
		case "safe":
			c.Idempotency = Idempotent
		case "once":
			c.Idempotency = NonIdempotent
		default:
			c.Idempotency, c.DeduplicationWindow = IdempotentByKey, 1500*time.Millisecond
			c.DeduplicationScope = map[string]DeduplicationScope{"cell": ScopeCell, "zone": ScopeZone, "all": ScopeAll}[name]
		}
		drawn.Classes = append(drawn.Classes, c)
	}
	return drawn
}

// scheduleAt schedules an event at a router, or, if there is none, a function.
func (s *simulation) scheduleAt(at time.Duration, router int, e Event, run func()) {
	s.order++
	heap.Push(&s.queue, scheduledEvent{max(at, s.now), s.order, router, e, run})
}

// uniform draws a duration of a uniform distribution.
func (s *simulation) uniform(from, to time.Duration) time.Duration {
	return from + time.Duration(s.rng.Float64()*float64(to-from))
}

// startWorker adds a worker to the fleet.
func (s *simulation) startWorker(i int) *simulatedWorker {
	w := &simulatedWorker{id: fmt.Sprintf("w%02d", i), zone: fmt.Sprint("z", i%2), kind: []string{"big", "small"}[i%2],
		cell: i / 3, startedAt: s.now, resident: map[string]time.Duration{}, speed: 0.8 + 0.4*s.rng.Float64()}
	s.workers = append(s.workers, w)
	return w
}

// endpoint is a worker's line of the endpoint list.
func (s *simulation) endpoint(w *simulatedWorker) Endpoint {
	return Endpoint{ID: w.id, Zone: w.zone, Kind: w.kind, Cell: w.cell, State: w.state, Weight: 1, StartedAt: w.startedAt}
}

// announceEndpoints sends the endpoint list, or what changed in it, to every router after a delay of its own.
func (s *simulation) announceEndpoints(snapshot bool, changed ...*simulatedWorker) {
	announced := changed
	if snapshot {
		announced = s.workers
	}
	var endpoints []Endpoint
	for _, w := range announced {
		if !snapshot || w.state != EndpointRemoved {
			endpoints = append(endpoints, s.endpoint(w))
		}
	}
	for i := range s.routers {
		at := s.now + s.uniform(0, 300*time.Millisecond)
		s.scheduleAt(at, i, EndpointUpdate{Snapshot: snapshot, Endpoints: endpoints}, nil)
	}
}

// startRouter starts a router, the first time or after a kill.
func (s *simulation) startRouter(i int) {
	r := s.routers[i]
	dispatcher, err := New(s.settings, s.rng.Uint64())
	if err != nil {
		s.t.Fatal(err)
	}
	*r = simulatedRouter{dispatcher: dispatcher, lastID: r.lastID, requests: map[RequestID]*simulatedRequest{}}
	var endpoints []Endpoint
	for _, w := range s.workers {
		endpoints = append(endpoints, s.endpoint(w))
	}
	s.step(i, EndpointUpdate{Snapshot: true, Endpoints: endpoints})
	s.scheduleAt(s.now, i, nil, func() { s.arrive(i, dispatcher) })
}

// arrive hands a new request to a router and schedules the next.
func (s *simulation) arrive(i int, dispatcher *Dispatcher) {
	r := s.routers[i]
	if r.dispatcher != dispatcher {
		return
	}
	next := s.now + time.Duration(s.rng.ExpFloat64()/s.rate*float64(time.Second))
	s.scheduleAt(next, i, nil, func() { s.arrive(i, dispatcher) })
	r.lastID++
	function := fmt.Sprint("f", int(simulatedFunctions*math.Pow(s.rng.Float64(), 2)))
	class := []string{"safe", "safe", "once", "cell", "zone", "all", "unheard of"}[s.rng.IntN(7)]
	simulated := &simulatedRequest{streamed: s.rng.IntN(8) == 0, event: Request{ID: r.lastID, Function: function,
		Class: class, Tenant: "t", MemoryMB: 200 + 100*float64(len(function)), ConcurrencyPerInstance: 1 + len(function)%3,
		RemainingDeadline: s.uniform(200*time.Millisecond, 2*time.Second)}}
	if s.rng.IntN(3) > 0 {
		simulated.event.ExpectedWork = s.uniform(5*time.Millisecond, 120*time.Millisecond)
	}
	if s.rng.IntN(2) > 0 {
		simulated.event.LoadTime = simulatedLoadTime
	}
	r.requests[r.lastID] = simulated
	s.step(i, simulated.event)
	if s.rng.IntN(25) == 0 {
		id := r.lastID
		s.scheduleAt(s.now+s.uniform(0, 400*time.Millisecond), i, nil, func() {
			if simulated.final || r.dispatcher != dispatcher {
				return
			}
			simulated.final = true
			s.step(i, RequestCancelled{ID: id})
		})
	}
}

// scheduleFaults draws the fleet's faults and schedules the graceful shutdown at its end.
func (s *simulation) scheduleFaults() {
	pick := func() *simulatedWorker { return s.workers[s.rng.IntN(len(s.workers))] }
	faults := []func(){
		func() { // a worker is restarted
			w := pick()
			w.startedAt, w.resident, w.inFlight = s.now, map[string]time.Duration{}, 0
			s.announceEndpoints(false, w)
		},
		func() { // a worker drains and is replaced
			w := pick()
			w.state = EndpointDraining
			s.announceEndpoints(false, w)
			s.scheduleAt(s.now+2*time.Second, -1, nil, func() {
				w.state = EndpointRemoved
				s.startWorker(len(s.workers))
				s.announceEndpoints(s.rng.IntN(2) == 0, w, s.workers[len(s.workers)-1])
			})
		},
		func() { pick().silentUntil = s.now + s.uniform(time.Second, 5*time.Second) },
		func() { pick().hangs = "safe" },
		func() { pick().fails = []string{"safe", "once", "all"}[s.rng.IntN(3)] },
		func() { pick().speed *= 6 },
		func() { // a function release: no loaded copy is valid any more
			for _, w := range s.workers {
				clear(w.resident)
			}
		},
		func() { // a burst
			s.rate *= 4
			s.scheduleAt(s.now+2*time.Second, -1, nil, func() { s.rate /= 4 })
		},
		func() { // a router is killed
			s.startRouter(s.rng.IntN(len(s.routers)))
		},
		func() {
			s.step(s.rng.IntN(len(s.routers)),
				GossipUpdate{Routers: s.rng.IntN(500), SuspectedWorkers: []string{pick().id, "unknown"}})
		},
		func() { s.step(s.rng.IntN(len(s.routers)), EndpointUpdate{SubscriptionLost: true}) },
		func() { s.announceEndpoints(true) },
	}
	for range 14 {
		fault := faults[s.rng.IntN(len(faults))]
		s.scheduleAt(s.uniform(3*time.Second, simulationEnd-6*time.Second), -1, nil, fault)
	}
	s.scheduleAt(simulationEnd-3*time.Second, -1, nil, func() {
		for i := range s.routers {
			s.step(i, ShutdownStarted{AnswerWithin: s.uniform(500*time.Millisecond, 2*time.Second)})
		}
	})
}

// play runs the simulation to its end and returns the hash of all actions.
func (s *simulation) play() string {
	for len(s.queue) > 0 {
		next := heap.Pop(&s.queue).(scheduledEvent)
		if next.at > simulationEnd {
			break
		}
		s.now = next.at
		if next.run != nil {
			next.run()
			continue
		}
		events := []Event{next.event} // events due at one moment are handed over in one step
		for len(s.queue) > 0 && s.queue[0].at == s.now && s.queue[0].router == next.router && s.queue[0].event != nil {
			events = append(events, heap.Pop(&s.queue).(scheduledEvent).event)
		}
		s.step(next.router, events...)
	}
	return hex.EncodeToString(s.hash.sum.Sum(nil))
}

// step hands events to a router and carries out what it decides.
func (s *simulation) step(router int, events ...Event) {
	r := s.routers[router]
	s.hash.number(int64(s.now), int64(router))
	for _, a := range r.dispatcher.Step(s.now, events) {
		s.hash.add(s.t, a)
		switch a := a.(type) {
		case StartAttempt:
			s.answerAttempt(router, a)
		case CancelAttempt:
			s.scheduleAfter(router, 0, AttemptEnded{ID: a.ID, Attempt: a.Attempt, Result: Cancelled,
				FunctionInFlight: -1, LoadReport: NoLoadReport})
		case RejectRequest:
			r.requests[a.ID].final = true
		case FailRequest:
			r.requests[a.ID].final = true
		case LoadFunction:
			s.answerLoadCommand(router, a)
		case CheckHealth:
			s.answerHealthCheck(router, a)
		case SetTimer:
			s.scheduleAfter(router, a.After.Truncate(time.Microsecond), TimerFired{})
		case SubscribeEndpoints:
			s.announceEndpoints(true)
		}
	}
}

// scheduleAfter schedules an event at a router; it is dropped if the router is killed before.
func (s *simulation) scheduleAfter(router int, after time.Duration, e Event) {
	r, dispatcher := s.routers[router], s.routers[router].dispatcher
	s.scheduleAt(s.now+after, router, nil, func() {
		if r.dispatcher != dispatcher {
			return
		}
		if outcome, ok := e.(AttemptEnded); ok && outcome.Result == OK {
			r.requests[outcome.ID].final = true
			outcome.Final = true
			e = outcome
		}
		s.scheduleAt(s.now, router, e, nil)
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

// answerLoadCommand schedules the result of a load command.
func (s *simulation) answerLoadCommand(router int, a LoadFunction) {
	w := s.worker(a.Worker)
	switch {
	case s.now < w.silentUntil:
		s.scheduleAfter(router, 3*time.Second, FunctionLoaded{Worker: a.Worker, Function: a.Function, Result: TimedOut})
	case s.rng.IntN(6) == 0:
		s.scheduleAfter(router, 5*time.Millisecond, FunctionLoaded{Worker: a.Worker, Function: a.Function,
			Result: Rejected, Duration: 5 * time.Millisecond})
	default:
		loadTime := s.uniform(simulatedLoadTime/2, 2*simulatedLoadTime)
		w.resident[a.Function] = s.now + loadTime
		s.scheduleAfter(router, loadTime, FunctionLoaded{Worker: a.Worker, Function: a.Function,
			Copies: a.Copies, Duration: loadTime})
	}
}

// answerHealthCheck schedules the result of a health check.
func (s *simulation) answerHealthCheck(router int, a CheckHealth) {
	w := s.worker(a.Worker)
	if s.now < w.silentUntil {
		s.scheduleAfter(router, 500*time.Millisecond, HealthChecked{Worker: a.Worker, Result: TimedOut,
			Duration: 500 * time.Millisecond, LoadReport: NoLoadReport})
		return
	}
	s.scheduleAfter(router, 2*time.Millisecond, HealthChecked{Worker: a.Worker, Duration: 2 * time.Millisecond,
		LoadReport: s.loadReport(w, ReportsFromHealthChecks)})
}

// loadReport is what a worker reports of its load, if the settings name this source of load reports.
func (s *simulation) loadReport(w *simulatedWorker, source ReportSource) LoadReport {
	if s.settings.LoadReports != source {
		return NoLoadReport
	}
	return LoadReport{InFlight: float64(w.inFlight), Queued: max(float64(w.inFlight-8), 0), Loading: -1}
}

// answerAttempt schedules the end of an attempt at its worker.
func (s *simulation) answerAttempt(router int, a StartAttempt) {
	r, w := s.routers[router], s.worker(a.Worker)
	simulated := r.requests[a.ID]
	outcome := AttemptEnded{ID: a.ID, Attempt: simulated.attempts, Worker: a.Worker, FunctionInFlight: -1,
		LoadReport: s.loadReport(w, ReportsWithResponses)}
	simulated.attempts++
	runTime := simulated.event.ExpectedWork
	if runTime == 0 {
		runTime = 40 * time.Millisecond
	}
	runTime = time.Duration(float64(runTime) * w.speed * s.rng.ExpFloat64())
	readyAt, resident := w.resident[simulated.event.Function]
	switch chance := s.rng.IntN(100); {
	case s.now < w.silentUntil || w.hangs == simulated.event.Class:
		outcome.Result, outcome.Duration, outcome.LoadReport = TimedOut, simulated.event.RemainingDeadline, NoLoadReport
	case w.state == EndpointRemoved || chance < 2:
		outcome.Result, outcome.Duration, outcome.LoadReport = ConnectFailed, time.Millisecond, NoLoadReport
	case chance < 4:
		outcome.Result, outcome.Duration, outcome.LoadReport = ConnectionReset, runTime, NoLoadReport
	case w.fails == simulated.event.Class || chance < 5:
		outcome.Result, outcome.Duration = Errored, runTime
	case w.inFlight > 16 || chance < 7:
		outcome.Result, outcome.Duration = Rejected, s.uniform(time.Millisecond, 80*time.Millisecond)
	case chance < 8:
		outcome.Result, outcome.Duration, outcome.LoadReport = NotSent, 0, NoLoadReport
	case !resident && !s.settings.WorkersLoadOnMiss:
		outcome.Result, outcome.Duration = NotResident, time.Millisecond
	case !resident:
		outcome.Duration, outcome.CacheStatus = runTime+simulatedLoadTime, CacheLoadStarted
		w.resident[simulated.event.Function] = s.now + simulatedLoadTime
		if s.rng.IntN(12) == 0 {
			outcome.Result, outcome.CacheStatus = Errored, CacheLoadFailed
			delete(w.resident, simulated.event.Function)
		}
	case readyAt > s.now:
		outcome.Duration, outcome.CacheStatus = runTime+readyAt-s.now, CacheLoadJoined
	default:
		outcome.Duration, outcome.CacheStatus, outcome.FunctionInFlight = runTime, CacheHit, w.inFlight
	}
	if !s.settings.CacheStatusReported {
		outcome.CacheStatus = CacheUnknown
	}
	w.inFlight++
	s.scheduleAt(s.now+outcome.Duration, -1, nil, func() { w.inFlight = max(w.inFlight-1, 0) })
	if simulated.streamed && outcome.Result == OK {
		s.scheduleAfter(router, outcome.Duration, ResponseStarted{ID: a.ID, Attempt: outcome.Attempt, Worker: a.Worker,
			Duration: outcome.Duration})
		outcome.Duration += s.uniform(10*time.Millisecond, 2*time.Second)
		if s.rng.IntN(5) == 0 {
			outcome.Result = ConnectionReset
		}
	}
	s.scheduleAfter(router, outcome.Duration, outcome)
}
