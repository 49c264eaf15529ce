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
	ID            string
	Cores         int
	Speed         float64 // of a core; 1 is the yardstick
	MemoryMB      float64
	Queue         int // calls that may wait
	LoadsAtOnce   int
	IdleKeep      time.Duration
	LoadsOnMiss   bool // a model that is not loaded is loaded while the call waits
	GrowsCopies   bool // starts another copy by itself when all lanes are taken
	StopsWork     bool // a cancelled call's work stops
	ColdShare     float64
	ColdFor       time.Duration
	FallMultiple  float64
	FallSpan      time.Duration
	KeyedFor      time.Duration // how long repeats of a keyed call are dropped
	Keyed         map[string]bool
	Store         *Store
	Cell          *Cell
	Log           *invariants.Log
	Seed          uint64
	Cold          bool // starts cold; one of long ago does not
	ClassWork     map[string]time.Duration
	DefaultLoad   time.Duration
	ServerMetrics bool             // answers bring a load report
	Models        map[string]Model // what the worker knows of models by itself
}

// Model is a model as the worker's own settings, or else a call, has it.
type Model struct {
	Name     string
	Class    string
	MemoryMB float64
	Lanes    int
	Load     time.Duration
}

// copyOf is one loaded, or loading, copy of a model.
type copyOf struct {
	loaded  bool
	running int
	idle    time.Time // since when nothing runs on it
	void    bool      // of an old release: goes when it is idle
}

// models is a model at this worker.
type modelAt struct {
	Model
	copies  []*copyOf
	waiting []*job
	orders  []*order
	image   bool // the store's bytes are on the disk
}

// order is a load order that waits for its copies.
type order struct {
	want int
	done func(ok bool, copies int, err error)
}

// job is one call at the worker.
type job struct {
	call, request, class, router string
	model                        Model
	work                         time.Duration
	key                          string
	streamed                     bool
	messages, bytes              int
	reply                        *reply

	m         *modelAt
	on        *copyOf
	company   int
	warmth    int
	began     bool
	cancelled bool
	gone      bool // finished
	timer     *time.Timer
}

// Worker is one running stand-in.
type Worker struct {
	cfg Config

	mu       sync.Mutex
	server   *http2.Server
	addr     string
	rng      *rand.Rand
	models   map[string]*modelAt
	jobs     map[*job]struct{}
	ready    []*job // have a lane, wait for a core
	running  int
	loading  int
	backlog  []func() // loads that wait their turn
	started  time.Time
	life     int // counts starts; timers of an earlier life do nothing
	down     bool
	fallen   bool
	draining bool
	arrivals []arrived // while cold
	faults   Faults
	pausedTo time.Time
	routers  map[*http2.Conn]string
	served   int
	shares   map[string][]time.Time // arrivals by class, for the throttle
}

type arrived struct {
	at   time.Time
	work float64
}

// Faults are what may be wrong with a worker.
type Faults struct {
	Hang        bool               // takes calls and answers none
	Slow        float64            // work takes this many times as long; 0: as usual
	FailClass   map[string]bool    // these classes get errors
	Throttle    map[string]float64 // these classes are turned away above so many a second,
	ThrottleLag time.Duration      // after this long
	Handshake   time.Duration      // a new connection's first call waits this long
	DieAfter    map[string]int     // a call of these classes kills the worker after so many messages
	DieStarted  map[string]bool    // a call of these classes kills the worker as it begins to run
	RefuseNew   bool               // streams are refused with REFUSED_STREAM
	LoadFails   bool               // loads fail
}

// Start opens the worker's listener on a loopback port, or again on the port it had.
func Start(cfg Config) (*Worker, error) {
	w := &Worker{cfg: cfg, rng: rand.New(rand.NewPCG(cfg.Seed, 7)), addr: "127.0.0.1:0"}
	return w, w.start(cfg.Cold)
}

func (w *Worker) start(cold bool) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	server, err := http2.Listen("tcp", w.addr, http2.Config{MaxConcurrentStreams: 10000}, func(c *http2.Conn) http2.Handler {
		return link{w}
	})
	if err != nil {
		return fmt.Errorf("worker %s: %w", w.cfg.ID, err)
	}
	w.server, w.addr = server, server.Addr().String()
	w.life++
	w.down, w.fallen, w.draining = false, false, false
	w.models, w.jobs, w.ready, w.backlog = map[string]*modelAt{}, map[*job]struct{}{}, nil, nil
	w.running, w.loading, w.arrivals = 0, 0, nil
	w.routers, w.shares = map[*http2.Conn]string{}, map[string][]time.Time{}
	w.started = time.Now()
	if !cold {
		w.started = w.started.Add(-time.Hour)
	} else if w.cfg.Log != nil {
		w.cfg.Log.Add(invariants.Record{Kind: invariants.Started, Worker: w.cfg.ID})
	}
	return nil
}

// ID is the worker's name.
func (w *Worker) ID() string { return w.cfg.ID }

// Addr is where it listens.
func (w *Worker) Addr() string { return w.addr }

// Started is when its process last began.
func (w *Worker) Started() time.Time {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.started
}

// Set changes the worker's faults.
func (w *Worker) Set(change func(*Faults)) {
	w.mu.Lock()
	defer w.mu.Unlock()
	change(&w.faults)
}

// Pause has the worker stand still for a while.
func (w *Worker) Pause(d time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.pausedTo = time.Now().Add(d)
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
		server.DrainConns()
		for _, r := range told {
			w.record(invariants.Record{Kind: invariants.Said, Worker: w.cfg.ID, Router: r})
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
	w.life++
	server := w.server
	w.mu.Unlock()
	server.Close()
}

// Restart begins a killed worker anew, cold and empty, at the same address.
func (w *Worker) Restart() error { return w.start(true) }

// Void makes copies and images of some models void, as a release does: those at work go when they are done.
func (w *Worker) Void(model func(string) bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for name, m := range w.models {
		if !model(name) {
			continue
		}
		m.image = false
		kept := m.copies[:0]
		for _, c := range m.copies {
			if c.running > 0 || !c.loaded {
				c.void = c.loaded
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
func (w *Worker) Held() int {
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
	if w.cfg.Log != nil {
		w.cfg.Log.Add(r)
	}
}

// after runs f later in the same life.
func (w *Worker) after(d time.Duration, f func()) *time.Timer {
	life := w.life
	return time.AfterFunc(d, func() {
		w.mu.Lock()
		if w.life == life && !w.down {
			f()
		}
		w.mu.Unlock()
	})
}

// capacity is the present share of full capacity.
func (w *Worker) capacity() float64 {
	if w.cfg.ColdFor == 0 {
		return 1
	}
	age := float64(time.Since(w.started)) / float64(w.cfg.ColdFor)
	return min(w.cfg.ColdShare+(1-w.cfg.ColdShare)*age, 1)
}

// pressed counts what reaches a cold worker, and has it fall over when it is too much for too long.
func (w *Worker) pressed(class string) {
	if w.cfg.FallSpan == 0 || w.capacity() >= 1 || w.fallen {
		return
	}
	now := time.Now()
	w.arrivals = append(w.arrivals, arrived{now, w.cfg.ClassWork[class].Seconds()})
	sum := 0.0
	for i := len(w.arrivals) - 1; i >= 0 && now.Sub(w.arrivals[i].at) < w.cfg.FallSpan; i-- {
		sum += w.arrivals[i].work
	}
	can := w.cfg.FallMultiple * w.capacity() * float64(w.cfg.Cores) * w.cfg.Speed * w.cfg.FallSpan.Seconds()
	if now.Sub(w.started) > w.cfg.FallSpan && sum > 1.3*can+0.5 {
		w.fallen = true
		w.record(invariants.Record{Kind: invariants.Fell, Worker: w.cfg.ID})
	}
}

// full is how the worker turns a call away.
var (
	full     = ending{grpc.Status{Code: grpc.ResourceExhausted, Message: "worker is full"}, oip.AdmissionFull}
	drains   = ending{grpc.Status{Code: grpc.Unavailable, Message: "worker drains"}, oip.AdmissionDraining}
	missing  = ending{grpc.Status{Code: grpc.NotFound, Message: "model is not loaded"}, oip.AdmissionNotResident}
	loadFail = ending{grpc.Status{Code: grpc.Internal, Message: "load failed"}, ""}
	broken   = ending{grpc.Status{Code: grpc.Internal, Message: "class fails here"}, ""}
)

type ending struct {
	status    grpc.Status
	admission string
}

// arrive takes a call. w.mu is held.
func (w *Worker) arrive(j *job) {
	w.record(invariants.Record{Kind: invariants.Got, Call: j.call, Request: j.request, Class: j.class, Router: j.router,
		Worker: w.cfg.ID})
	w.pressed(j.class)
	w.jobs[j] = struct{}{}
	switch {
	case w.fallen || w.faults.Hang: // silence
		return
	case w.draining:
		w.finish(j, drains)
		return
	case w.faults.FailClass[j.class]:
		w.after(5*time.Millisecond, func() { w.finish(j, broken) })
		return
	case w.throttled(j.class):
		w.after(w.faults.ThrottleLag, func() { w.finish(j, full) })
		return
	}
	m := w.model(j.model)
	j.m, j.company = m, len(m.waiting)
	loaded, coming := false, false
	for _, c := range m.copies {
		j.company += c.running
		loaded = loaded || c.loaded && !c.void
		coming = coming || !c.loaded
	}
	j.warmth = 1
	switch {
	case loaded:
	case coming:
		j.warmth = 3
	case !w.cfg.LoadsOnMiss:
		w.finish(j, missing)
		return
	case !w.begin(m):
		w.finish(j, full)
		return
	default:
		j.warmth = 2
	}
	m.waiting = append(m.waiting, j)
	w.lanes(m)
	if n := w.waits(); n > w.cfg.Queue && j.on == nil {
		w.forget(j)
		w.finish(j, full)
	}
}

func (w *Worker) throttled(class string) bool {
	rate, ok := w.faults.Throttle[class]
	if !ok {
		return false
	}
	now := time.Now()
	recent := w.shares[class]
	for len(recent) > 0 && now.Sub(recent[0]) > time.Second {
		recent = recent[1:]
	}
	if float64(len(recent)) >= rate {
		w.shares[class] = recent
		return true
	}
	w.shares[class] = append(recent, now)
	return false
}

// model finds or makes the worker's book of a model.
func (w *Worker) model(m Model) *modelAt {
	at := w.models[m.Name]
	if at == nil {
		if known, ok := w.cfg.Models[m.Name]; ok {
			m = known
		}
		at = &modelAt{Model: m}
		w.models[m.Name] = at
	}
	return at
}

func (w *Worker) waits() (n int) {
	for _, m := range w.models {
		n += len(m.waiting)
	}
	return n + len(w.ready)
}

// room makes room for a copy by unloading idle ones, the one idle longest first.
func (w *Worker) room(need float64) bool {
	for {
		used := 0.0
		var oldest *copyOf
		var of *modelAt
		for _, m := range w.models {
			used += float64(len(m.copies)) * m.MemoryMB
			for _, c := range m.copies {
				if c.loaded && c.running == 0 && (oldest == nil || c.idle.Before(oldest.idle)) {
					oldest, of = c, m
				}
			}
		}
		if used+need <= w.cfg.MemoryMB {
			return true
		}
		if oldest == nil {
			return false
		}
		of.unload(oldest)
	}
}

func (m *modelAt) unload(c *copyOf) {
	for i, o := range m.copies {
		if o == c {
			m.copies = append(m.copies[:i], m.copies[i+1:]...)
			return
		}
	}
}

// begin starts a load, now or when its turn comes.
func (w *Worker) begin(m *modelAt) bool {
	if len(w.backlog) >= 2*w.cfg.LoadsAtOnce || !w.room(m.MemoryMB) {
		return false
	}
	c := &copyOf{}
	m.copies = append(m.copies, c)
	run := func() { w.load(m, c) }
	if w.loading >= w.cfg.LoadsAtOnce {
		w.backlog = append(w.backlog, run)
		return true
	}
	run()
	return true
}

// load fetches a copy, unless its image is here, and starts it.
func (w *Worker) load(m *modelAt, c *copyOf) {
	w.loading++
	took := m.Load
	if took == 0 {
		took = w.cfg.DefaultLoad
	}
	took = time.Duration(float64(took) * math.Exp(0.2*w.rng.NormFloat64()))
	fetch, start := took*7/10, took*3/10
	life := w.life
	fails := w.faults.LoadFails
	finished := func(err error) {
		w.loading--
		if len(w.backlog) > 0 {
			next := w.backlog[0]
			w.backlog = w.backlog[1:]
			next()
		}
		if err != nil || fails {
			m.unload(c)
			w.loadFailed(m)
			return
		}
		c.loaded, c.idle, m.image = true, time.Now(), true
		w.linger(m, c)
		w.lanes(m)
		w.ordersDone(m)
	}
	if m.image || w.cfg.Store == nil {
		w.after(start, func() { finished(nil) })
		return
	}
	w.cfg.Store.Fetch(fetch, func(err error) {
		w.mu.Lock()
		defer w.mu.Unlock()
		if w.life != life || w.down {
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
func (w *Worker) loadFailed(m *modelAt) {
	if len(m.copies) > 0 {
		return
	}
	waiting := m.waiting
	m.waiting = nil
	for _, j := range waiting {
		j.warmth = 4
		w.finish(j, loadFail)
	}
	orders := m.orders
	m.orders = nil
	for _, o := range orders {
		o.done(false, 0, ErrStore)
	}
}

// linger unloads a copy that has lain idle for long.
func (w *Worker) linger(m *modelAt, c *copyOf) {
	w.after(w.cfg.IdleKeep, func() {
		if c.running > 0 || time.Since(c.idle) < w.cfg.IdleKeep-time.Millisecond {
			w.linger(m, c)
			return
		}
		m.unload(c)
	})
}

// Order has the worker hold copies of a model. done is called once they stand or it is clear that they won't.
func (w *Worker) order(m Model, want int, done func(ok bool, copies int, err error)) {
	at := w.model(m)
	loaded := at.loaded()
	if want == 0 || loaded >= want {
		for _, c := range at.copies {
			if c.running == 0 {
				c.idle = time.Now()
			}
		}
		done(true, loaded, nil)
		return
	}
	for len(at.copies) < want {
		if !w.begin(at) {
			done(false, loaded, nil)
			return
		}
	}
	at.orders = append(at.orders, &order{want: want, done: done})
}

func (m *modelAt) loaded() (n int) {
	for _, c := range m.copies {
		if c.loaded && !c.void {
			n++
		}
	}
	return n
}

func (w *Worker) ordersDone(m *modelAt) {
	n := m.loaded()
	left := m.orders[:0]
	for _, o := range m.orders {
		if n >= o.want {
			o.done(true, n, nil)
		} else {
			left = append(left, o)
		}
	}
	m.orders = left
}

// lanes gives waiting calls the free lanes of loaded copies.
func (w *Worker) lanes(m *modelAt) {
	defer w.cores()
	for len(m.waiting) > 0 {
		var free *copyOf
		coming := false
		for _, c := range m.copies {
			if c.loaded && !c.void && c.running < max(m.Lanes, 1) && (free == nil || c.running < free.running) {
				free = c
			}
			coming = coming || !c.loaded
		}
		if free == nil {
			if !coming && (w.cfg.GrowsCopies && len(m.waiting) > 0 || m.loaded() == 0) {
				w.begin(m)
			}
			return
		}
		j := m.waiting[0]
		m.waiting = m.waiting[1:]
		free.running++
		j.on = free
		w.ready = append(w.ready, j)
	}
}

// cores begins the calls that have a lane, as cores come free.
func (w *Worker) cores() {
	for w.running < w.cfg.Cores && len(w.ready) > 0 {
		j := w.ready[0]
		w.ready = w.ready[1:]
		w.running++
		w.run(j)
	}
}

func (w *Worker) run(j *job) {
	if j.key != "" && w.cfg.Keyed[j.class] && w.cfg.Cell != nil && !w.cfg.Cell.first(j.key, w.cfg.KeyedFor) {
		j.began = true
		w.after(time.Millisecond, func() { w.ran(j) }) // a repeat: answered, not run again
		return
	}
	j.began = true
	w.record(invariants.Record{Kind: invariants.Ran, Call: j.call, Request: j.request, Class: j.class, Router: j.router,
		Worker: w.cfg.ID})
	if w.faults.DieStarted[j.class] {
		go w.Kill()
		return
	}
	slow := max(w.faults.Slow, 1)
	took := time.Duration(float64(j.work) * slow / (w.cfg.Speed * max(w.capacity(), 0.05)))
	if wait := time.Until(w.pausedTo); wait > 0 {
		took += wait
	}
	if !j.streamed || j.messages <= 0 {
		j.timer = w.after(took, func() { w.ran(j) })
		return
	}
	step := took / time.Duration(j.messages)
	var next func(n int)
	next = func(n int) {
		if j.gone {
			w.release(j)
			return
		}
		if die, ok := w.faults.DieAfter[j.class]; ok && n == die {
			go w.Kill()
			return
		}
		if n == j.messages {
			w.ran(j)
			return
		}
		j.reply.message(j, n)
		j.timer = w.after(step, func() { next(n + 1) })
	}
	j.timer = w.after(step, func() { next(0) })
}

// ran ends a call's run with a result.
func (w *Worker) ran(j *job) {
	if !j.gone {
		if !j.streamed || j.messages <= 0 {
			j.reply.message(j, 0)
		}
		w.served++
		w.finish(j, ending{})
	}
	w.release(j)
}

// release gives back a run's core and lane.
func (w *Worker) release(j *job) {
	if j.on == nil {
		return
	}
	w.running--
	j.on.running--
	j.on.idle = time.Now()
	if j.on.void && j.on.running == 0 {
		j.m.unload(j.on)
	}
	on := j.on
	j.on = nil
	if on.running == 0 && !on.void {
		w.linger(j.m, on)
	}
	w.lanes(j.m)
	w.cores()
}

// finish answers a call; one that was cancelled has no reader any more.
func (w *Worker) finish(j *job, e ending) {
	if j.gone {
		return
	}
	j.gone = true
	delete(w.jobs, j)
	if !j.cancelled {
		j.reply.end(e, w.report(j))
	}
}

// cancel takes a client's leaving: what waits is dropped, what runs goes on unless the worker stops work.
func (w *Worker) cancel(j *job) {
	j.cancelled = true
	if j.gone {
		return
	}
	if !j.began {
		w.forget(j)
		w.finish(j, ending{})
		return
	}
	if w.cfg.StopsWork && j.on != nil {
		if j.timer != nil {
			j.timer.Stop()
		}
		w.finish(j, ending{})
		w.release(j)
	}
}

// forget takes a waiting call out of its queue.
func (w *Worker) forget(j *job) {
	if j.m == nil {
		return
	}
	for i, o := range j.m.waiting {
		if o == j {
			j.m.waiting = append(j.m.waiting[:i], j.m.waiting[i+1:]...)
			return
		}
	}
	for i, o := range w.ready {
		if o == j {
			w.ready = append(w.ready[:i], w.ready[i+1:]...)
			j.on.running--
			j.on = nil
			return
		}
	}
}

func (w *Worker) report(j *job) oip.LoadReport {
	r := oip.NoLoadReport
	if !w.cfg.ServerMetrics {
		return r
	}
	r.InFlight, r.Queued = float64(len(w.jobs)), float64(w.waits())
	r.Loading = float64(w.loading + len(w.backlog))
	if j != nil {
		r.FunctionInFlight, r.CacheStatus = float64(j.company), j.warmth
		if j.m != nil {
			r.Copies = float64(j.m.loaded())
		}
	}
	return r
}
