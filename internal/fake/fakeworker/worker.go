// Package fakeworker is a fake model server for tests and scenarios. It speaks the Open Inference Protocol over real
// sockets and models cores, memory, copies of models and queues in real time. It records what reaches it for the
// checker of the rules. Faults are switched on from outside.
package fakeworker

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/topazfront/topazfront/internal/invariants"
	"github.com/topazfront/topazfront/internal/transport/http2"
)

const (
	// randomLoads is the stream of random numbers, within a worker's seed, of load times.
	randomLoads = 7

	maxStreams = 10000

	// warmAge is the age of a worker that does not start cold.
	warmAge = time.Hour
)

// Config is what a worker is like.
type Config struct {
	ID                  string
	Cores               int
	Speed               float64 // of a core; work is given for speed 1
	MemoryMB            float64
	QueueLength         int // calls that may wait
	ConcurrentLoads     int
	IdleResidency       time.Duration // a copy stays loaded for this long after its last use
	LoadsOnCacheMiss    bool          // a model that is not loaded is loaded while the call waits; otherwise the call is rejected
	AddsCopies          bool          // loads another copy by itself when all copies are busy
	StopsCancelledWork  bool          // a cancelled call's work stops
	SlowStartShare      float64       // fraction of its capacity that a worker has when it starts cold
	SlowStartDuration   time.Duration // until it has all of it; 0: it has all of it at once
	OverloadMultiple    float64       // a worker that warms up fails at this multiple of its present capacity,
	OverloadWindow      time.Duration // measured over this time; 0: it never fails
	DeduplicationWindow time.Duration // how long repeats of a call are dropped
	DeduplicatedClasses map[string]bool
	Store               *Store          // nil: loads fetch nothing
	Deduplicator        *Deduplicator   // nil: no repeats are dropped
	Log                 *invariants.Log // nil: nothing is recorded
	Seed                uint64
	ColdStart           bool // the first start; a restart is always cold
	MeanWorkByClass     map[string]time.Duration
	DefaultLoadTime     time.Duration    // of models without one
	ReportsLoad         bool             // responses carry a load report
	Models              map[string]Model // what the worker's own settings say of models
}

// Worker is a running fake worker. Its methods may be called from any goroutine.
//
// It owns the goroutines of its listener, which end with Kill, and timers, which do nothing once the incarnation that
// set them has ended.
type Worker struct {
	config Config

	mu           sync.Mutex
	server       *http2.Server
	addr         string
	rng          *rand.Rand
	models       map[string]*modelState
	jobs         map[*job]struct{}
	runnable     []*job   // assigned to a copy, waiting for a core
	running      int      // jobs that have a core
	loading      int      // loads under way
	pendingLoads []func() // loads that wait for their turn
	startedAt    time.Time
	incarnation  int // number of starts and kills
	down         bool
	overloaded   bool // has failed under load; it answers nothing until it restarts
	draining     bool
	arrivals     []arrival // while warming up
	routers      map[*http2.Conn]string

	faults         Faults
	pausedUntil    time.Time
	recentArrivals map[string][]time.Time // of throttled classes, within the last second
}

// Start starts a worker that listens on a loopback port.
func Start(config Config) (*Worker, error) {
	w := &Worker{config: config, rng: rand.New(rand.NewPCG(config.Seed, randomLoads)), addr: "127.0.0.1:0"}
	return w, w.start(config.ColdStart)
}

// Restart starts a killed worker again, cold and empty, at the same address.
func (w *Worker) Restart() error { return w.start(true) }

func (w *Worker) start(cold bool) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	server, err := http2.Listen("tcp", w.addr, http2.Config{MaxConcurrentStreams: maxStreams}, func(*http2.Conn) http2.Handler {
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
		w.startedAt = w.startedAt.Add(-warmAge)
	} else {
		w.record(invariants.Record{Kind: invariants.WorkerStarted, Worker: w.config.ID})
	}
	return nil
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

// Down reports whether the worker has been killed.
func (w *Worker) Down() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.down
}

// ID is the worker's name.
func (w *Worker) ID() string { return w.config.ID }

// Addr is the address that the worker listens on; a restart keeps it.
func (w *Worker) Addr() string { return w.addr }

// StartedAt is the time of the last start.
func (w *Worker) StartedAt() time.Time {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.startedAt
}

// InFlight is the number of calls that the worker holds.
func (w *Worker) InFlight() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.jobs)
}

func (w *Worker) record(r invariants.Record) {
	if w.config.Log != nil {
		w.config.Log.Add(r)
	}
}

// after runs f under w.mu once d has passed, unless the present incarnation has ended by then. w.mu is held.
func (w *Worker) after(d time.Duration, f func()) *time.Timer {
	incarnation := w.incarnation
	return time.AfterFunc(d, func() {
		w.mu.Lock()
		if w.incarnation == incarnation && !w.down {
			f()
		}
		w.mu.Unlock()
	})
}
