// Package router runs one router: a loop that owns the module (package brain), the book of calls and one
// timer. Fronts hand it calls, the upstream hands it how attempts end, the list of workers hands it changes;
// all through one queue. The loop drains what has come into one Step and carries out what the module decides.
// It decides nothing itself.
package router

import (
	"context"
	"errors"
	"log/slog"
	"maps"
	"sync"
	"time"

	"github.com/topazfront/topazfront/dispatch"
	"github.com/topazfront/topazfront/internal/endpoints"
	"github.com/topazfront/topazfront/internal/timingwheel"
)

// Upstream carries out what goes to workers. Its methods are called by the loop and don't block; what comes
// of them is told by the methods of Router named here.
type Upstream interface {
	// Send starts an attempt, which ends by one Router.AttemptEnded with the same token.
	StartAttempt(token AttemptToken, c *Call, worker string, n int, left time.Duration) UpstreamAttempt
	// Load orders copies of a function held; it ends by one Router.OrderEnded.
	LoadFunction(worker, function string, copies int, limit time.Duration, done func(LoadResult))
	// Ask asks a worker for its readiness and its load.
	CheckHealth(worker string, limit time.Duration, done func(HealthResult))
	// Workers replaces the list. A worker that is not in it gets no new connections; one that is not on, no new
	// attempts.
	SetEndpoints(list []endpoints.Worker)
}

// Token names an attempt between router and upstream.
type AttemptToken struct{ t *try }

// Order is how a load order ended.
type LoadResult struct {
	Result dispatch.Result
	Copies int
}

// Probe is how a probe ended.
type HealthResult struct {
	Result dispatch.Result
	Ready  bool
	Report WorkerReport
}

// Config is a router's share of the settings.
type Config struct {
	Name               string
	Seed               uint64
	Settings           dispatch.Settings
	LoadTimeout        time.Duration
	HealthCheckTimeout time.Duration
	Endpoints          endpoints.Settings
	NewDispatcher      func(dispatch.Settings, uint64) (Dispatcher, error) // nil: the module; baselines stand in for it
	Logger             *slog.Logger
	Gossip             Gossip                                                                      // nil: no gossip
	Observer           func(now time.Duration, events []dispatch.Event, actions []dispatch.Action) // nil, or told of each Step
}

// Peers is told by the loop what this router comes to hold against workers, and takes it back. Its methods don't
// block.
type Gossip interface {
	ReportSuspicion(dispatch.ReportSuspicion)
	ReportAlive(worker string)
}

// Decider is what decides: the module, or a baseline behind the same events.
type Dispatcher interface {
	Step(now time.Duration, events []dispatch.Event) []dispatch.Action
}

// Router is one router. Its exported methods may be called from any goroutine.
type Router struct {
	cfg   Config
	up    Upstream
	begin time.Time

	mu      sync.Mutex
	queue   []func() // what has come, each to be run by the loop
	wake    chan struct{}
	stopped bool
	ended   chan struct{}

	// Of the loop.
	core   Dispatcher
	roster *endpoints.Merger
	now    time.Duration
	events []dispatch.Event
	calls  map[dispatch.RequestID]*entry
	next   dispatch.RequestID
	wheel  *timingwheel.Wheel
	due    time.Duration // when the module asked to be woken; 0: not
	quit   bool          // the loop ends once no call is left
	closes time.Duration // when every call has its answer, as the router ends then; 0: it goes on
	killed bool
	fns    map[string]time.Duration // when each function was last called,
	most   int                      // and how many may be known before they are looked through
	stats  Stats
	debug  bool // the log takes lines of each call

	// With gossip only: when each worker last gave a sign of life, and those that peers were told are silent.
	peers  Gossip
	heard  map[string]time.Duration
	silent map[string]bool
}

// Stats are counters since the router's start and gauges of what is under way. As JSON, "router.status" of the admin API.
type Stats struct {
	Calls         uint64 `json:"Calls"`
	Served        uint64 `json:"Served"`
	Rejected      uint64 `json:"Refused"`
	Failed        uint64 `json:"Failed"`
	Cancelled     uint64 `json:"Dropped"` // by their clients
	Attempts      uint64 `json:"Attempts"`
	Loads         uint64 `json:"Orders"`
	HealthChecks  uint64 `json:"Probes"`
	Verifications uint64 `json:"Looks"` // health checks that gossip asked for

	Open             int           `json:"Open"` // calls under way
	AttemptsInFlight int           `json:"Out"`
	ServedDuration   time.Duration `json:"Took"` // sum over the served attempts, as told to the dispatcher
}

// epoch is what the clock shows at a router's start, so that start times of workers lie in the past.
const epoch = 1000 * time.Hour

// New starts a router's loop. Stop ends it.
func New(cfg Config, up Upstream) (*Router, error) {
	if cfg.NewDispatcher == nil {
		cfg.NewDispatcher = func(s dispatch.Settings, seed uint64) (Dispatcher, error) { return dispatch.New(s, seed) }
	}
	if cfg.Logger == nil {
		cfg.Logger = slog.New(slog.DiscardHandler)
	}
	core, err := cfg.NewDispatcher(cfg.Settings, cfg.Seed)
	if err != nil {
		return nil, err
	}
	r := &Router{cfg: cfg, up: up, begin: time.Now(), wake: make(chan struct{}, 1), ended: make(chan struct{}),
		core: core, roster: endpoints.New(cfg.Endpoints), calls: map[dispatch.RequestID]*entry{},
		wheel: timingwheel.New(time.Millisecond, epoch), fns: map[string]time.Duration{}, heard: map[string]time.Duration{},
		silent: map[string]bool{}, debug: cfg.Logger.Enabled(context.Background(), slog.LevelDebug)}
	go r.loop()
	return r, nil
}

// Clock is the router's time.
func (r *Router) Clock() time.Duration { return epoch + time.Since(r.begin) }

// At converts a moment to the router's time; one before its epoch is 0, long ago.
func (r *Router) At(t time.Time) time.Duration { return max(epoch+t.Sub(r.begin), 0) }

// post has the loop run f. It reports whether the loop still runs.
func (r *Router) post(f func()) bool {
	r.mu.Lock()
	if r.stopped {
		r.mu.Unlock()
		return false
	}
	r.queue = append(r.queue, f)
	first := len(r.queue) == 1
	r.mu.Unlock()
	if first {
		select {
		case r.wake <- struct{}{}:
		default:
		}
	}
	return true
}

func (r *Router) loop() {
	defer close(r.ended)
	timer := time.NewTimer(0)
	defer timer.Stop()
	var batch []func()
	for {
		select {
		case <-r.wake:
		case <-timer.C:
		}
		r.mu.Lock()
		batch, r.queue = r.queue, batch[:0]
		r.mu.Unlock()
		r.now = max(r.now, r.Clock())
		for _, f := range batch {
			f()
		}
		clear(batch)
		if r.killed {
			r.mu.Lock()
			r.stopped, r.queue = true, nil
			r.mu.Unlock()
			return
		}
		r.wheel.Advance(r.now, func(t *timingwheel.Timer) {
			if f, ok := t.Value.(func()); ok {
				f()
			}
		})
		if r.due > 0 && r.now >= r.due {
			r.due = 0
			r.events = append(r.events, dispatch.TimerFired{})
		}
		r.follow()
		r.step()
		if r.quit && len(r.calls) == 0 {
			r.mu.Lock()
			r.stopped = true
			rest := r.queue
			r.queue = nil
			r.mu.Unlock()
			for _, f := range rest {
				f()
			}
			if len(r.calls) == 0 {
				return
			}
			r.mu.Lock()
			r.stopped = false
			r.mu.Unlock()
		}
		timer.Reset(r.sleep())
	}
}

// sleep is how long until something comes due.
func (r *Router) sleep() time.Duration {
	next := r.now + time.Hour
	if at, ok := r.wheel.Next(); ok {
		next = min(next, at)
	}
	if r.due > 0 {
		next = min(next, r.due)
	}
	if at, ok := r.roster.NextCheck(); ok {
		next = min(next, at)
	}
	return max(next-r.Clock(), 0)
}

// step hands what has come to the module and carries out its actions, until they bring nothing new.
func (r *Router) step() {
	for len(r.events) > 0 {
		events := r.events
		r.events = nil
		actions := r.core.Step(r.now, events)
		if r.cfg.Observer != nil {
			r.cfg.Observer(r.now, events, actions)
		}
		for _, a := range actions {
			r.act(a)
		}
	}
}

func (r *Router) act(a dispatch.Action) {
	switch a := a.(type) {
	case dispatch.StartAttempt:
		r.send(a)
	case dispatch.CancelAttempt:
		if e := r.calls[a.ID]; e != nil && a.Attempt >= 0 && a.Attempt < len(e.attempts) {
			if t := e.attempts[a.Attempt]; !t.ended && e.answer != t {
				t.handle.Cancel()
			}
		}
	case dispatch.RejectRequest:
		if e := r.calls[a.ID]; e != nil && e.refuse(a.RetryAfter) {
			r.stats.Rejected++
			r.closeCall(e)
		}
	case dispatch.FailRequest:
		if e := r.calls[a.ID]; e != nil {
			was := e.answer
			if e.fail(r.now) {
				r.stats.Failed++
				if was != nil && !was.ended {
					was.handle.Cancel() // nobody is left to take the rest of the stream
				}
				r.closeCall(e)
			}
		}
	case dispatch.LoadFunction:
		r.order(a)
	case dispatch.CheckHealth:
		r.probe(a.Worker)
	case dispatch.SetTimer:
		r.due = r.now + a.After
	case dispatch.ReportSuspicion:
		if r.peers != nil {
			if !a.Slow && a.Class == "" {
				r.silent[a.Worker] = true
			}
			r.peers.ReportSuspicion(a)
		}
	case dispatch.LogNote:
		r.cfg.Logger.Info("module", "note", a.Text)
	case dispatch.SubscribeEndpoints: // the list comes by itself
	}
}

// Calls -----------------------------------------------------------------------------------------------

// Submit takes a call. It answers false when the router has stopped: nothing was taken.
func (r *Router) Submit(c *Call) (drop func(), ok bool) {
	e := &entry{call: c, deadline: r.Clock() + c.RemainingDeadline}
	ok = r.post(func() {
		r.next++
		e.id = r.next
		r.calls[e.id] = e
		if r.closes > 0 {
			e.deadline = min(e.deadline, r.closes)
		}
		r.stats.Calls++
		r.called(c.Function)
		r.events = append(r.events, dispatch.Request{ID: e.id, Function: c.Function, Class: c.Class, Tenant: c.Tenant,
			MemoryMB: c.MemoryMB, ConcurrencyPerInstance: c.ConcurrencyPerInstance, LoadTime: c.LoadTime, ExpectedWork: c.ExpectedWork,
			RemainingDeadline: e.deadline - r.now})
	})
	return func() { r.post(func() { r.drop(e) }) }, ok
}

// keepFor is how long a function is known after its last call: longer than the module has orders for it.
const keepFor = 3 * time.Minute

// called notes a call of a function. It guards against names without end: those not called for long are
// forgotten, each time that their number has doubled.
func (r *Router) called(key string) {
	r.fns[key] = r.now
	if len(r.fns) > r.most {
		maps.DeleteFunc(r.fns, func(_ string, at time.Duration) bool { return r.now-at > keepFor })
		r.most = max(2*len(r.fns), 1024)
	}
}

// drop takes a client's leaving: nothing is owed any more.
func (r *Router) drop(e *entry) {
	if e.state == done {
		return
	}
	was := e.answer
	e.state = done
	r.stats.Cancelled++
	r.events = append(r.events, dispatch.RequestCancelled{ID: e.id})
	if was != nil && !was.ended {
		was.handle.Cancel()
	}
	r.closeCall(e)
}

// closeCall forgets a call that has its final answer and no attempt out.
func (r *Router) closeCall(e *entry) {
	if e.state == done && e.out == 0 {
		delete(r.calls, e.id)
	}
}

func (r *Router) send(a dispatch.StartAttempt) {
	e := r.calls[a.ID]
	if e == nil {
		r.events = append(r.events, dispatch.AttemptEnded{ID: a.ID, Worker: a.Worker, Result: dispatch.NotSent, Final: true,
			FunctionInFlight: -1, LoadReport: dispatch.NoLoadReport})
		return
	}
	t := &try{e: e, n: len(e.attempts), worker: a.Worker, sent: r.now}
	e.attempts = append(e.attempts, t)
	e.out++
	left := e.deadline - r.now
	if a.Timeout > 0 {
		left = min(left, a.Timeout)
	}
	if e.state != waiting || left <= 0 || !e.call.ClientWaiting() {
		r.end(t, AttemptResult{Result: dispatch.NotSent, Report: NoWorkerReport})
		return
	}
	r.stats.Attempts++
	r.stats.AttemptsInFlight++
	if r.debug {
		r.cfg.Logger.Debug("attempt", "call", e.id, "attempt", t.n, "worker", t.worker, "class", e.call.Class)
	}
	t.timer.Value = func() { r.late(t) }
	r.wheel.Add(&t.timer, r.now+left)
	t.handle = r.up.StartAttempt(AttemptToken{t}, e.call, a.Worker, t.n, left)
}

// late ends the wait for an attempt. Once a stream has begun only the module ends it.
func (r *Router) late(t *try) {
	if !t.ended && t.e.answer != t {
		t.late = true
		t.handle.Cancel()
	}
}

// AttemptBegan tells that the first message of a streamed response has come.
func (r *Router) ResponseStarted(token AttemptToken, head any) {
	t := token.t
	r.post(func() {
		r.alive(t.worker, dispatch.OK)
		if t.e.began(t, head) {
			r.events = append(r.events, dispatch.ResponseStarted{ID: t.e.id, Attempt: t.n, Worker: t.worker,
				Duration: r.now - t.sent})
		}
	})
}

// AttemptEnded tells how an attempt ended.
func (r *Router) AttemptEnded(token AttemptToken, how AttemptResult) {
	r.post(func() { r.end(token.t, how) })
}

func (r *Router) end(t *try, how AttemptResult) {
	if t.ended {
		return
	}
	if r.wheel.Remove(&t.timer); t.handle != nil {
		r.stats.AttemptsInFlight--
	}
	if how.Result == dispatch.OK {
		r.stats.ServedDuration += r.now - t.sent
	}
	if t.late && how.Result == dispatch.Cancelled {
		how.Result = dispatch.TimedOut
	}
	e := t.e
	was := e.state
	final := e.ended(t, how)
	if final && was != done {
		if how.Result == dispatch.OK {
			r.stats.Served++
		} else {
			r.stats.Failed++
		}
	}
	r.alive(t.worker, how.Result)
	r.events = append(r.events, dispatch.AttemptEnded{ID: e.id, Attempt: t.n, Worker: t.worker, Result: how.Result,
		Duration: r.now - t.sent, Final: final, CacheStatus: how.Report.CacheStatus, FunctionInFlight: how.Report.FunctionInFlight,
		LoadReport: how.Report.LoadReport})
	if how.WorkerDraining {
		r.roster.WorkerDraining(r.now, t.worker)
	}
	r.closeCall(e)
}

// Orders and probes -----------------------------------------------------------------------------------

func (r *Router) order(a dispatch.LoadFunction) {
	begin := r.now
	if _, ok := r.fns[a.Function]; !ok {
		r.events = append(r.events, dispatch.FunctionLoaded{Worker: a.Worker, Function: a.Function, Result: dispatch.NotSent})
		return
	}
	r.stats.Loads++
	if r.debug {
		r.cfg.Logger.Debug("order", "worker", a.Worker, "function", a.Function, "copies", a.Copies)
	}
	r.up.LoadFunction(a.Worker, a.Function, a.Copies, r.cfg.LoadTimeout, func(o LoadResult) {
		r.post(func() {
			r.alive(a.Worker, o.Result)
			r.events = append(r.events, dispatch.FunctionLoaded{Worker: a.Worker, Function: a.Function, Result: o.Result,
				Duration: r.now - begin, Copies: o.Copies})
		})
	})
}

func (r *Router) probe(worker string) {
	begin := r.now
	r.stats.HealthChecks++
	r.up.CheckHealth(worker, r.cfg.HealthCheckTimeout, func(p HealthResult) {
		r.post(func() {
			r.alive(worker, p.Result)
			r.events = append(r.events, dispatch.HealthChecked{Worker: worker, Result: p.Result, Duration: r.now - begin,
				LoadReport: p.Report.LoadReport})
		})
	})
}

// Peers -----------------------------------------------------------------------------------------------

// answered tells whether a result shows that the worker lives.
func answered(res dispatch.Result) bool {
	return res == dispatch.OK || res == dispatch.Errored || res == dispatch.Rejected || res == dispatch.NotResident
}

// alive notes a sign of life, where peers are of any concern.
func (r *Router) alive(worker string, res dispatch.Result) {
	if r.peers == nil || !answered(res) {
		return
	}
	r.heard[worker] = r.now
	if len(r.silent) > 0 && r.silent[worker] {
		delete(r.silent, worker)
		r.peers.ReportAlive(worker)
	}
}

// SetPeers has peers told from now on. The module tells its doubts where its settings ask for it.
func (r *Router) SetGossip(p Gossip) { r.post(func() { r.peers = p }) }

// Look asks a worker for a sign of life, unless it gave one within heard: then void is told. The module is not
// told of an answer, so peers' word can bring it nothing good of a worker.
func (r *Router) VerifyWorker(worker string, heard, limit time.Duration, done func(alive, void bool)) {
	r.post(func() {
		if at, ok := r.heard[worker]; ok && r.now-at < heard {
			done(false, true)
			return
		}
		r.stats.Verifications++
		r.up.CheckHealth(worker, limit, func(p HealthResult) {
			r.post(func() {
				r.alive(worker, p.Result)
				done(answered(p.Result), false)
			})
		})
	})
}

// Peers hands the module what came of peers' word.
func (r *Router) ApplyGossip(e dispatch.GossipUpdate) {
	r.post(func() { r.events = append(r.events, e) })
}

// List ------------------------------------------------------------------------------------------------

// SetWorkers hands the router a new whole list.
func (r *Router) SetEndpoints(list []endpoints.Worker) {
	r.post(func() { r.roster.SetList(list) })
}

// WorkerDrains tells that a worker itself said that it takes nothing new.
func (r *Router) WorkerDraining(worker string) {
	r.post(func() { r.roster.WorkerDraining(r.now, worker) })
}

// follow hands what the roster's core decides to the module and the upstream.
func (r *Router) follow() {
	out := r.roster.Step(r.now)
	if out.List != nil {
		members := make([]dispatch.Endpoint, 0, len(out.List))
		listed := map[string]bool{}
		for _, w := range out.List {
			m := w.Endpoint
			members = append(members, m)
			listed[m.ID] = true
		}
		r.up.SetEndpoints(out.List)
		maps.DeleteFunc(r.heard, func(id string, _ time.Duration) bool { return !listed[id] })
		maps.DeleteFunc(r.silent, func(id string, _ bool) bool { return !listed[id] })
		r.events = append(r.events, dispatch.EndpointUpdate{Snapshot: true, Endpoints: members})
	}
	for _, id := range out.Check {
		r.up.CheckHealth(id, r.cfg.HealthCheckTimeout, func(p HealthResult) {
			r.post(func() { r.roster.HealthChecked(r.now, id, p.Result == dispatch.OK && p.Ready) })
		})
	}
}

// Life ------------------------------------------------------------------------------------------------

// Stats tells what the router has done so far.
func (r *Router) Stats() Stats {
	got := make(chan Stats, 1)
	if !r.post(func() { s := r.stats; s.Open = len(r.calls); got <- s }) {
		<-r.ended
		return r.stats
	}
	return <-got
}

// Closing has every call answered within a while, those that still come too: the process is ended then.
func (r *Router) StartShutdown(within time.Duration) {
	r.post(func() {
		r.closes = r.now + within
		r.events = append(r.events, dispatch.ShutdownStarted{AnswerWithin: within})
	})
}

// ErrStopped tells that a router has ended.
var ErrStopped = errors.New("router: stopped")

// Stop ends the loop once every call in hand has its final answer and no attempt is out; fronts must have
// stopped taking calls. It returns when the loop has ended. After limit it is ended all the same, and Stop
// tells how many calls were then without an answer.
func (r *Router) Stop(limit time.Duration) (lost int) {
	r.post(func() { r.quit = true })
	select {
	case <-r.ended:
		return 0
	case <-time.After(limit):
	}
	r.Kill()
	for _, e := range r.calls {
		if e.state != done {
			lost++
		}
	}
	return lost
}
