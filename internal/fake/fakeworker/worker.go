// Package fakeworker is a fake model server for tests and scenarios. It speaks the Open Inference Protocol over real
// sockets and simulates cores, memory, copies of models and queues in real time. It records what it receives and does,
// for package invariants to check. Faults can be injected while it runs.
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
	// loadTimeRandomStream selects the random numbers for load times among the streams of a worker's seed.
	loadTimeRandomStream = 7

	maxStreams = 10000 // concurrent streams of a connection

	// warmAge is the apparent uptime of a worker that does not start cold.
	warmAge = time.Hour
)

// Config describes a worker's capacity and behaviour.
type Config struct {
	ID                  string
	Cores               int
	Speed               float64 // of each core; the work of calls is given for speed 1
	MemoryMB            float64
	QueueLength         int             // maximum number of calls that wait for a copy or a core
	ConcurrentLoads     int             // maximum number of loads in progress
	IdleResidency       time.Duration   // a copy stays loaded for this long after its last use
	LoadsOnCacheMiss    bool            // calls of a model that is not loaded wait for it; otherwise they are rejected
	AddsCopies          bool            // the worker loads another copy of a model when all its copies are busy
	StopsCancelledWork  bool            // a cancelled call stops running; otherwise it runs to its end
	SlowStartShare      float64         // fraction of its capacity that a worker has after a cold start
	SlowStartDuration   time.Duration   // time until it has its full capacity; 0 means no slow start
	OverloadMultiple    float64         // a worker that is warming up fails at this multiple of its current capacity,
	OverloadWindow      time.Duration   // measured over this time; 0 means that it never fails
	DeduplicationWindow time.Duration   // time during which a repeated idempotency key is not run again
	DeduplicatedClasses map[string]bool // classes whose repeated idempotency keys are not run again
	Store               *Store          // nil means that loads fetch nothing from a store
	Deduplicator        *Deduplicator   // nil means that repeated idempotency keys are run again
	Log                 *invariants.Log // nil means that nothing is recorded
	Seed                uint64
	ColdStart           bool                     // applies to the first start; a restart is always cold
	MeanWorkByClass     map[string]time.Duration // by which the worker estimates its load while it is warming up
	DefaultLoadTime     time.Duration            // of models without a LoadTime
	ReportsLoad         bool                     // responses include a load report
	Models              map[string]Model         // models in the worker's own settings, by name
}

// Worker is a running fake worker. Its methods may be called from any goroutine.
//
// It owns the goroutines of its listener, which end with Kill. Its timers have no effect after the end of the
// incarnation that set them.
type Worker struct {
	config Config

	mu           sync.Mutex
	server       *http2.Server
	addr         string
	rng          *rand.Rand
	models       map[string]*modelState
	jobs         map[*job]struct{}
	runnable     []*job   // assigned to a copy, waiting for a core
	running      int      // number of jobs that occupy a core
	loading      int      // number of loads in progress
	pendingLoads []func() // start the loads that wait until fewer than Config.ConcurrentLoads are in progress
	startedAt    time.Time
	incarnation  int // number of starts and kills
	down         bool
	overloaded   bool // has failed under load; it does not answer until it restarts
	draining     bool
	arrivals     []arrival              // since the start, while the worker is warming up
	routers      map[*http2.Conn]string // names of the routers, by connection

	faults         Faults
	pausedUntil    time.Time
	recentArrivals map[string][]time.Time // of throttled classes, by class, within the last second
}

// Start starts a worker that listens on a free loopback port.
func Start(config Config) (*Worker, error) {
	w := &Worker{config: config, rng: rand.New(rand.NewPCG(config.Seed, loadTimeRandomStream)), addr: "127.0.0.1:0"}
	return w, w.start(config.ColdStart)
}

// Restart starts a killed worker again at the same address, with a cold start and no models loaded.
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

// Kill simulates the death of the worker's process: connections break and loaded copies are lost.
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

// ID returns the worker's name.
func (w *Worker) ID() string { return w.config.ID }

// Addr returns the address that the worker listens on. A restart does not change it.
func (w *Worker) Addr() string { return w.addr }

// StartedAt returns the time of the last start. It lies in the past by warmAge for a start that was not cold.
func (w *Worker) StartedAt() time.Time {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.startedAt
}

// InFlight returns the number of calls that the worker has received and that have not ended.
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

// after runs f under w.mu once d has passed, unless the current incarnation has ended by then. w.mu is held.
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
