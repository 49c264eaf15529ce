// Package fakeworker is a stand-in for a model server: it speaks the Open Inference Protocol over real sockets
// and models cores, memory, copies and queues in real time. It records what reaches it for the checker of the
// rules. Faults are switched on from outside.
package fakeworker

import (
	"fmt"
	"math"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/topazfront/topazfront/internal/invariants"
	"github.com/topazfront/topazfront/internal/oip"
	"github.com/topazfront/topazfront/internal/transport/grpc"
	"github.com/topazfront/topazfront/internal/transport/http2"
)

// Config is what a worker is like.
type Config struct {
	ID                  string
	Cores               int
	Speed               float64 // of a core; 1 is the yardstick
	MemoryMB            float64
	QueueLength         int // calls that may wait
	ConcurrentLoads     int
	IdleResidency       time.Duration
	LoadsOnCacheMiss    bool // a model that is not loaded is loaded while the call waits
	AddsCopies          bool // starts another copy by itself when all lanes are taken
	StopsCancelledWork  bool // a cancelled call's work stops
	SlowStartShare      float64
	SlowStartDuration   time.Duration
	OverloadMultiple    float64
	OverloadWindow      time.Duration
	DeduplicationWindow time.Duration // how long repeats of a keyed call are dropped
	DeduplicatedClasses map[string]bool
	Store               *Store
	Deduplicator        *Deduplicator
	Log                 *invariants.Log
	Seed                uint64
	ColdStart           bool // starts cold; one of long ago does not
	MeanWorkByClass     map[string]time.Duration
	DefaultLoadTime     time.Duration
	ReportsLoad         bool             // answers bring a load report
	Models              map[string]Model // what the worker knows of models by itself
}

// Model is a model as the worker's own settings, or else a call, has it.
type Model struct {
	Name                   string
	Class                  string
	MemoryMB               float64
	ConcurrencyPerInstance int
	LoadTime               time.Duration
}

// copyOf is one loaded, or loading, copy of a model.
type modelCopy struct {
	loaded    bool
	running   int
	idleSince time.Time // since when nothing runs on it
	outdated  bool      // of an old release: goes when it is idle
}

// models is a model at this worker.
type modelState struct {
	Model
	copies       []*modelCopy
	pending      []*job
	loadCommands []*loadCommand
	imageCached  bool // the store's bytes are on the disk
}

// order is a load order that waits for its copies.
type loadCommand struct {
	copies int
	done   func(ok bool, copies int, err error)
}

// job is one call at the worker.
type job struct {
	callID, requestID, class, router string
	model                            Model
	work                             time.Duration
	idempotencyKey                   string
	streamed                         bool
	messageCount, messageBytes       int
	stream                           *rpc

	state       *modelState
	assigned    *modelCopy
	concurrent  int
	cacheStatus int
	started     bool
	cancelled   bool
	finished    bool // finished
	timer       *time.Timer
}

// Worker is one running stand-in.
type Worker struct {
	config Config

	mu             sync.Mutex
	server         *http2.Server
	addr           string
	rng            *rand.Rand
	models         map[string]*modelState
	jobs           map[*job]struct{}
	runnable       []*job // have a lane, wait for a core
	running        int
	loading        int
	pendingLoads   []func() // loads that wait their turn
	startedAt      time.Time
	incarnation    int // counts starts; timers of an earlier life do nothing
	down           bool
	overloaded     bool
	draining       bool
	arrivals       []arrival // while cold
	faults         Faults
	pausedUntil    time.Time
	routers        map[*http2.Conn]string
	served         int
	recentArrivals map[string][]time.Time // arrivals by class, for the throttle
}

type arrival struct {
	at   time.Time
	work float64
}

// Faults are what may be wrong with a worker.
type Faults struct {
	Hang             bool               // takes calls and answers none
	Slowdown         float64            // work takes this many times as long; 0: as usual
	FailingClasses   map[string]bool    // these classes get errors
	ThrottledClasses map[string]float64 // these classes are turned away above so many a second,
	ThrottleDelay    time.Duration      // after this long
	HandshakeDelay   time.Duration      // a new connection's first call waits this long
	DieAfterMessages map[string]int     // a call of these classes kills the worker after so many messages
	DieOnStart       map[string]bool    // a call of these classes kills the worker as it begins to run
	RefuseStreams    bool               // streams are refused with REFUSED_STREAM
	FailLoads        bool               // loads fail
}

// Start opens the worker's listener on a loopback port, or again on the port it had.
func Start(cfg Config) (*Worker, error) {
	w := &Worker{config: cfg, rng: rand.New(rand.NewPCG(cfg.Seed, 7)), addr: "127.0.0.1:0"}
	return w, w.start(cfg.ColdStart)
}

func (w *Worker) start(cold bool) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	server, err := http2.Listen("tcp", w.addr, http2.Config{MaxStreams: 10000}, func(c *http2.Conn) http2.Handler {
		return connHandler{w}
	})
	if err != nil {
		return fmt.Errorf("worker %s: %w", w.config.ID, err)
	}
	w.server, w.addr = server, server.Addr().String()
	w.incarnation++
	w.down, w.overloaded, w.draining = false, false, false
	w.models, w.jobs, w.runnable, w.pendingLoads = map[string]*modelState{}, map[*job]struct{}{}, nil, nil
	w.running, w.loading, w.arrivals = 0, 0, nil
	w.routers, w.recentArrivals = map[*http2.Conn]string{}, map[string][]time.Time{}
	w.startedAt = time.Now()
	if !cold {
		w.startedAt = w.startedAt.Add(-time.Hour)
	} else if w.config.Log != nil {
		w.config.Log.Add(invariants.Record{Kind: invariants.WorkerStarted, Worker: w.config.ID})
	}
	return nil
}

// ID is the worker's name.
func (w *Worker) ID() string { return w.config.ID }

// Addr is where it listens.
func (w *Worker) Addr() string { return w.addr }

// Started is when its process last began.
func (w *Worker) StartedAt() time.Time {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.startedAt
}

// Set changes the worker's faults.
func (w *Worker) ChangeFaults(change func(*Faults)) {
	w.mu.Lock()
	defer w.mu.Unlock()
	change(&w.faults)
}

// Pause has the worker stand still for a while.
func (w *Worker) Pause(d time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.pausedUntil = time.Now().Add(d)
}

// Drain has the worker take nothing new; what it has goes on. With goAway it tells so on its connections.
func (w *Worker) Drain(goAway bool) {
	w.mu.Lock()
	w.draining = true
	server := w.server
	var told []string
	if goAway {
		for _, r := range w.routers {
			told = append(told, r)
		}
	}
	w.mu.Unlock()
	if goAway {
		server.Warn()
		for _, r := range told {
			w.record(invariants.Record{Kind: invariants.WorkerDraining, Worker: w.config.ID, Router: r})
		}
	}
}

// Resume ends a drain.
func (w *Worker) Resume() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.draining = false
}

// Kill ends the process at once: connections break, copies are lost.
func (w *Worker) Kill() {
	w.mu.Lock()
	if w.down {
		w.mu.Unlock()
		return
	}
	w.down = true
	w.incarnation++
	server := w.server
	w.mu.Unlock()
	server.Close()
}

// Restart begins a killed worker anew, cold and empty, at the same address.
func (w *Worker) Restart() error { return w.start(true) }

// Void makes copies and images of some models void, as a release does: those at work go when they are done.
func (w *Worker) Invalidate(model func(string) bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for name, m := range w.models {
		if !model(name) {
			continue
		}
		m.imageCached = false
		kept := m.copies[:0]
		for _, c := range m.copies {
			if c.running > 0 || !c.loaded {
				c.outdated = c.loaded
				kept = append(kept, c)
			}
		}
		m.copies = kept
	}
}

// Down tells whether the process is dead.
func (w *Worker) Down() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.down
}

// Held tells how many calls the worker holds, and Served how many it has answered.
func (w *Worker) InFlight() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.jobs)
}

// Served tells how many calls the worker has answered with a result.
func (w *Worker) Served() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.served
}

func (w *Worker) record(r invariants.Record) {
	if w.config.Log != nil {
		w.config.Log.Add(r)
	}
}

// after runs f later in the same life.
func (w *Worker) after(d time.Duration, f func()) *time.Timer {
	life := w.incarnation
	return time.AfterFunc(d, func() {
		w.mu.Lock()
		if w.incarnation == life && !w.down {
			f()
		}
		w.mu.Unlock()
	})
}

// capacity is the present share of full capacity.
func (w *Worker) capacityShare() float64 {
	if w.config.SlowStartDuration == 0 {
		return 1
	}
	age := float64(time.Since(w.startedAt)) / float64(w.config.SlowStartDuration)
	return min(w.config.SlowStartShare+(1-w.config.SlowStartShare)*age, 1)
}

// pressed counts what reaches a cold worker, and has it fall over when it is too much for too long.
func (w *Worker) checkOverload(class string) {
	if w.config.OverloadWindow == 0 || w.capacityShare() >= 1 || w.overloaded {
		return
	}
	now := time.Now()
	w.arrivals = append(w.arrivals, arrival{now, w.config.MeanWorkByClass[class].Seconds()})
	sum := 0.0
	for i := len(w.arrivals) - 1; i >= 0 && now.Sub(w.arrivals[i].at) < w.config.OverloadWindow; i-- {
		sum += w.arrivals[i].work
	}
	can := w.config.OverloadMultiple * w.capacityShare() * float64(w.config.Cores) * w.config.Speed * w.config.OverloadWindow.Seconds()
	if now.Sub(w.startedAt) > w.config.OverloadWindow && sum > 1.3*can+0.5 {
		w.overloaded = true
		w.record(invariants.Record{Kind: invariants.WorkerOverloaded, Worker: w.config.ID})
	}
}

// full is how the worker turns a call away.
var (
	workerFull     = outcome{grpc.Status{Code: grpc.ResourceExhausted, Message: "worker is full"}, oip.AdmissionFull}
	workerDraining = outcome{grpc.Status{Code: grpc.Unavailable, Message: "worker drains"}, oip.AdmissionDraining}
	modelNotLoaded = outcome{grpc.Status{Code: grpc.NotFound, Message: "model is not loaded"}, oip.AdmissionNotResident}
	loadFailed     = outcome{grpc.Status{Code: grpc.Internal, Message: "load failed"}, ""}
	classFailing   = outcome{grpc.Status{Code: grpc.Internal, Message: "class fails here"}, ""}
)

type outcome struct {
	status    grpc.Status
	admission string
}

// arrive takes a call. w.mu is held.
func (w *Worker) accept(j *job) {
	w.record(invariants.Record{Kind: invariants.AttemptReceived, Call: j.callID, Request: j.requestID, Class: j.class, Router: j.router,
		Worker: w.config.ID})
	w.checkOverload(j.class)
	w.jobs[j] = struct{}{}
	switch {
	case w.overloaded || w.faults.Hang: // silence
		return
	case w.draining:
		w.finish(j, workerDraining)
		return
	case w.faults.FailingClasses[j.class]:
		w.after(5*time.Millisecond, func() { w.finish(j, classFailing) })
		return
	case w.throttled(j.class):
		w.after(w.faults.ThrottleDelay, func() { w.finish(j, workerFull) })
		return
	}
	m := w.modelState(j.model)
	j.state, j.concurrent = m, len(m.pending)
	loaded, coming := false, false
	for _, c := range m.copies {
		j.concurrent += c.running
		loaded = loaded || c.loaded && !c.outdated
		coming = coming || !c.loaded
	}
	j.cacheStatus = 1
	switch {
	case loaded:
	case coming:
		j.cacheStatus = 3
	case !w.config.LoadsOnCacheMiss:
		w.finish(j, modelNotLoaded)
		return
	case !w.startLoad(m):
		w.finish(j, workerFull)
		return
	default:
		j.cacheStatus = 2
	}
	m.pending = append(m.pending, j)
	w.assignCopies(m)
	if n := w.queueLength(); n > w.config.QueueLength && j.assigned == nil {
		w.removePending(j)
		w.finish(j, workerFull)
	}
}

func (w *Worker) throttled(class string) bool {
	rate, ok := w.faults.ThrottledClasses[class]
	if !ok {
		return false
	}
	now := time.Now()
	recent := w.recentArrivals[class]
	for len(recent) > 0 && now.Sub(recent[0]) > time.Second {
		recent = recent[1:]
	}
	if float64(len(recent)) >= rate {
		w.recentArrivals[class] = recent
		return true
	}
	w.recentArrivals[class] = append(recent, now)
	return false
}

// model finds or makes the worker's book of a model.
func (w *Worker) modelState(m Model) *modelState {
	at := w.models[m.Name]
	if at == nil {
		if known, ok := w.config.Models[m.Name]; ok {
			m = known
		}
		at = &modelState{Model: m}
		w.models[m.Name] = at
	}
	return at
}

func (w *Worker) queueLength() (n int) {
	for _, m := range w.models {
		n += len(m.pending)
	}
	return n + len(w.runnable)
}

// room makes room for a copy by unloading idle ones, the one idle longest first.
func (w *Worker) freeMemory(need float64) bool {
	for {
		used := 0.0
		var oldest *modelCopy
		var of *modelState
		for _, m := range w.models {
			used += float64(len(m.copies)) * m.MemoryMB
			for _, c := range m.copies {
				if c.loaded && c.running == 0 && (oldest == nil || c.idleSince.Before(oldest.idleSince)) {
					oldest, of = c, m
				}
			}
		}
		if used+need <= w.config.MemoryMB {
			return true
		}
		if oldest == nil {
			return false
		}
		of.unload(oldest)
	}
}

func (m *modelState) unload(c *modelCopy) {
	for i, o := range m.copies {
		if o == c {
			m.copies = append(m.copies[:i], m.copies[i+1:]...)
			return
		}
	}
}

// begin starts a load, now or when its turn comes.
func (w *Worker) startLoad(m *modelState) bool {
	if len(w.pendingLoads) >= 2*w.config.ConcurrentLoads || !w.freeMemory(m.MemoryMB) {
		return false
	}
	c := &modelCopy{}
	m.copies = append(m.copies, c)
	run := func() { w.runLoad(m, c) }
	if w.loading >= w.config.ConcurrentLoads {
		w.pendingLoads = append(w.pendingLoads, run)
		return true
	}
	run()
	return true
}

// load fetches a copy, unless its image is here, and starts it.
func (w *Worker) runLoad(m *modelState, c *modelCopy) {
	w.loading++
	took := m.LoadTime
	if took == 0 {
		took = w.config.DefaultLoadTime
	}
	took = time.Duration(float64(took) * math.Exp(0.2*w.rng.NormFloat64()))
	fetch, start := took*7/10, took*3/10
	life := w.incarnation
	fails := w.faults.FailLoads
	finished := func(err error) {
		w.loading--
		if len(w.pendingLoads) > 0 {
			next := w.pendingLoads[0]
			w.pendingLoads = w.pendingLoads[1:]
			next()
		}
		if err != nil || fails {
			m.unload(c)
			w.failPending(m)
			return
		}
		c.loaded, c.idleSince, m.imageCached = true, time.Now(), true
		w.unloadWhenIdle(m, c)
		w.assignCopies(m)
		w.completeLoadCommands(m)
	}
	if m.imageCached || w.config.Store == nil {
		w.after(start, func() { finished(nil) })
		return
	}
	w.config.Store.Fetch(fetch, func(err error) {
		w.mu.Lock()
		defer w.mu.Unlock()
		if w.incarnation != life || w.down {
			return
		}
		if err != nil {
			finished(err)
			return
		}
		w.after(start, func() { finished(nil) })
	})
}

// loadFailed ends what waited for a load with no copy left to serve it.
func (w *Worker) failPending(m *modelState) {
	if len(m.copies) > 0 {
		return
	}
	waiting := m.pending
	m.pending = nil
	for _, j := range waiting {
		j.cacheStatus = 4
		w.finish(j, loadFailed)
	}
	orders := m.loadCommands
	m.loadCommands = nil
	for _, o := range orders {
		o.done(false, 0, ErrStoreFull)
	}
}

// linger unloads a copy that has lain idle for long.
func (w *Worker) unloadWhenIdle(m *modelState, c *modelCopy) {
	w.after(w.config.IdleResidency, func() {
		if c.running > 0 || time.Since(c.idleSince) < w.config.IdleResidency-time.Millisecond {
			w.unloadWhenIdle(m, c)
			return
		}
		m.unload(c)
	})
}

// Order has the worker hold copies of a model. done is called once they stand or it is clear that they won't.
func (w *Worker) ensureCopies(m Model, want int, done func(ok bool, copies int, err error)) {
	at := w.modelState(m)
	loaded := at.loadedCopies()
	if want == 0 || loaded >= want {
		for _, c := range at.copies {
			if c.running == 0 {
				c.idleSince = time.Now()
			}
		}
		done(true, loaded, nil)
		return
	}
	for len(at.copies) < want {
		if !w.startLoad(at) {
			done(false, loaded, nil)
			return
		}
	}
	at.loadCommands = append(at.loadCommands, &loadCommand{copies: want, done: done})
}

func (m *modelState) loadedCopies() (n int) {
	for _, c := range m.copies {
		if c.loaded && !c.outdated {
			n++
		}
	}
	return n
}

func (w *Worker) completeLoadCommands(m *modelState) {
	n := m.loadedCopies()
	left := m.loadCommands[:0]
	for _, o := range m.loadCommands {
		if n >= o.copies {
			o.done(true, n, nil)
		} else {
			left = append(left, o)
		}
	}
	m.loadCommands = left
}

// lanes gives waiting calls the free lanes of loaded copies.
func (w *Worker) assignCopies(m *modelState) {
	defer w.assignCores()
	for len(m.pending) > 0 {
		var free *modelCopy
		coming := false
		for _, c := range m.copies {
			if c.loaded && !c.outdated && c.running < max(m.ConcurrencyPerInstance, 1) && (free == nil || c.running < free.running) {
				free = c
			}
			coming = coming || !c.loaded
		}
		if free == nil {
			if !coming && (w.config.AddsCopies && len(m.pending) > 0 || m.loadedCopies() == 0) {
				w.startLoad(m)
			}
			return
		}
		j := m.pending[0]
		m.pending = m.pending[1:]
		free.running++
		j.assigned = free
		w.runnable = append(w.runnable, j)
	}
}

// cores begins the calls that have a lane, as cores come free.
func (w *Worker) assignCores() {
	for w.running < w.config.Cores && len(w.runnable) > 0 {
		j := w.runnable[0]
		w.runnable = w.runnable[1:]
		w.running++
		w.run(j)
	}
}

func (w *Worker) run(j *job) {
	if j.idempotencyKey != "" && w.config.DeduplicatedClasses[j.class] && w.config.Deduplicator != nil && !w.config.Deduplicator.isFirst(j.idempotencyKey, w.config.DeduplicationWindow) {
		j.started = true
		w.after(time.Millisecond, func() { w.complete(j) }) // a repeat: answered, not run again
		return
	}
	j.started = true
	w.record(invariants.Record{Kind: invariants.RunStarted, Call: j.callID, Request: j.requestID, Class: j.class, Router: j.router,
		Worker: w.config.ID})
	if w.faults.DieOnStart[j.class] {
		go w.Kill()
		return
	}
	slow := max(w.faults.Slowdown, 1)
	took := time.Duration(float64(j.work) * slow / (w.config.Speed * max(w.capacityShare(), 0.05)))
	if wait := time.Until(w.pausedUntil); wait > 0 {
		took += wait
	}
	if !j.streamed || j.messageCount <= 0 {
		j.timer = w.after(took, func() { w.complete(j) })
		return
	}
	step := took / time.Duration(j.messageCount)
	var next func(n int)
	next = func(n int) {
		if j.finished {
			w.release(j)
			return
		}
		if die, ok := w.faults.DieAfterMessages[j.class]; ok && n == die {
			go w.Kill()
			return
		}
		if n == j.messageCount {
			w.complete(j)
			return
		}
		j.stream.sendInferResponse(j, n)
		j.timer = w.after(step, func() { next(n + 1) })
	}
	j.timer = w.after(step, func() { next(0) })
}

// ran ends a call's run with a result.
func (w *Worker) complete(j *job) {
	if !j.finished {
		if !j.streamed || j.messageCount <= 0 {
			j.stream.sendInferResponse(j, 0)
		}
		w.served++
		w.finish(j, outcome{})
	}
	w.release(j)
}

// release gives back a run's core and lane.
func (w *Worker) release(j *job) {
	if j.assigned == nil {
		return
	}
	w.running--
	j.assigned.running--
	j.assigned.idleSince = time.Now()
	if j.assigned.outdated && j.assigned.running == 0 {
		j.state.unload(j.assigned)
	}
	on := j.assigned
	j.assigned = nil
	if on.running == 0 && !on.outdated {
		w.unloadWhenIdle(j.state, on)
	}
	w.assignCopies(j.state)
	w.assignCores()
}

// finish answers a call; one that was cancelled has no reader any more.
func (w *Worker) finish(j *job, e outcome) {
	if j.finished {
		return
	}
	j.finished = true
	delete(w.jobs, j)
	if !j.cancelled {
		j.stream.finish(e, w.loadReport(j))
	}
}

// cancel takes a client's leaving: what waits is dropped, what runs goes on unless the worker stops work.
func (w *Worker) cancel(j *job) {
	j.cancelled = true
	if j.finished {
		return
	}
	if !j.started {
		w.removePending(j)
		w.finish(j, outcome{})
		return
	}
	if w.config.StopsCancelledWork && j.assigned != nil {
		if j.timer != nil {
			j.timer.Stop()
		}
		w.finish(j, outcome{})
		w.release(j)
	}
}

// forget takes a waiting call out of its queue.
func (w *Worker) removePending(j *job) {
	if j.state == nil {
		return
	}
	for i, o := range j.state.pending {
		if o == j {
			j.state.pending = append(j.state.pending[:i], j.state.pending[i+1:]...)
			return
		}
	}
	for i, o := range w.runnable {
		if o == j {
			w.runnable = append(w.runnable[:i], w.runnable[i+1:]...)
			j.assigned.running--
			j.assigned = nil
			return
		}
	}
}

func (w *Worker) loadReport(j *job) oip.LoadReport {
	r := oip.NoLoadReport
	if !w.config.ReportsLoad {
		return r
	}
	r.InFlight, r.Queued = float64(len(w.jobs)), float64(w.queueLength())
	r.Loading = float64(w.loading + len(w.pendingLoads))
	if j != nil {
		r.FunctionInFlight, r.CacheStatus = float64(j.concurrent), j.cacheStatus
		if j.state != nil {
			r.Copies = float64(j.state.loadedCopies())
		}
	}
	return r
}
