package scenario

import (
	"fmt"
	"log/slog"
	"math/rand/v2"
	"os"
	"path/filepath"
	"sync"
	"time"

	"github.com/topazfront/topazfront/dispatch"
	"github.com/topazfront/topazfront/internal/config"
	"github.com/topazfront/topazfront/internal/fake/fakeworker"
	"github.com/topazfront/topazfront/internal/invariants"
	"github.com/topazfront/topazfront/internal/router"
)

// answerTimeout is how long, beyond the longest deadline, Run waits for requests that are pending when the traffic
// ends.
const answerTimeout = 3 * time.Second

// Options are the options of Run.
type Options struct {
	Dir    string       // for endpoint lists and keys; empty means a temporary directory
	Logger *slog.Logger // nil discards all messages
	// NewDispatcher returns the dispatcher of a router; nil means dispatch.New.
	NewDispatcher  func(dispatch.Settings, uint64) (router.Dispatcher, error)
	Progress       func(Progress)        // called four times a second, from one goroutine
	Started        func(*Harness)        // called once all routers and workers run
	Stop           <-chan struct{}       // closed to end the traffic early
	ChangeSettings func(*config.Gateway) // changes a router's settings before it starts
}

// Harness is a running scenario: workers, routers and clients on loopback.
//
// It owns the goroutine that watches the workers, and timers (see afterFunc). Run waits for the goroutine and for the
// timer functions that are running; timers that fire after the end of the scenario do nothing.
type Harness struct {
	scenario   *Scenario
	options    Options
	dir        string
	records    *invariants.Log
	store      *fakeworker.Store
	routers    []*routerSlot
	models     map[string]fakeworker.Model
	statistics *statistics
	gossip     *gossipCluster // nil: no gossip

	mu               sync.Mutex
	rng              *rand.Rand // for faults and for the endpoint list's delays
	workers          []*fleetWorker
	workersStarted   int
	deduplicators    map[int]*fakeworker.Deduplicator // by cell
	listVersion      int
	extraListDelay   overridden[time.Duration]         // added to the scenario's notification delay
	trafficMultiple  overridden[float64]               // of the scenario's call rate
	firstRouterShare overridden[float64]               // share of the traffic moved to the first router
	newModelShare    overridden[float64]               // share of calls moved to their class's extra model
	heavyTails       map[string]*overridden[heavyTail] // by class
	activeFaults     map[string]int                    // by kind
	hangs            []hang                            // of the workers, for the report
	stopped          bool
	timers           sync.WaitGroup // running functions of afterFunc; none starts once stopped is set
}

// Run runs a scenario to its end and returns its report, or an error if a worker, a router or the gossip fails to
// start.
func Run(s *Scenario, o Options) (*Report, error) {
	if o.Logger == nil {
		o.Logger = slog.New(slog.DiscardHandler)
	}
	h := newHarness(s, o)
	if h.dir == "" {
		dir, err := os.MkdirTemp("", "topazfront-scenario-")
		if err != nil {
			return nil, err
		}
		defer func() { _ = os.RemoveAll(dir) }()
		h.dir = dir
	}
	defer h.close()
	for i := range s.Fleet.Workers {
		if err := h.startWorker(i, false); err != nil {
			return nil, err
		}
	}
	if s.Gossip != nil {
		var err error
		if h.gossip, err = newGossipCluster(s, h.dir); err != nil {
			return nil, err
		}
		defer h.gossip.stopAttackers()
	}
	if err := h.startRouters(); err != nil {
		return nil, err
	}
	if o.Started != nil {
		o.Started(h)
	}
	h.runTrafficAndFaults()
	return h.finish(), nil
}

func newHarness(s *Scenario, o Options) *Harness {
	return &Harness{
		scenario:        s,
		options:         o,
		dir:             o.Dir,
		records:         invariants.NewLog(),
		store:           fakeworker.NewStore(s.Store.FetchesPerSecond, s.Store.MaxInFlight),
		models:          models(s),
		statistics:      newStatistics(s),
		rng:             rand.New(rand.NewPCG(s.Seed, randomFaults)),
		deduplicators:   map[int]*fakeworker.Deduplicator{},
		trafficMultiple: overridden[float64]{usual: 1},
		heavyTails:      map[string]*overridden[heavyTail]{},
		activeFaults:    map[string]int{},
	}
}

// Streams of random numbers drawn from a scenario's seed.
const (
	randomFaults = 1 + iota
	randomArrivals
	randomChoices
	randomModels
	randomWork
	randomClasses
)

// models returns the models of all classes. Each class has one more model, which is called only while a hot_key
// fault lasts.
func models(s *Scenario) map[string]fakeworker.Model {
	all := map[string]fakeworker.Model{}
	for _, c := range s.Classes {
		for i := range c.ModelCount + 1 {
			name := modelName(c.Name, i)
			if i == c.ModelCount {
				name = newModelName(c.Name)
			}
			all[name] = fakeworker.Model{Name: name, Class: c.Name, MemoryMB: c.MemoryMB,
				ConcurrencyPerInstance: c.ConcurrencyPerInstance, LoadTime: c.LoadTime.Duration()}
		}
	}
	return all
}

func modelName(class string, i int) string { return fmt.Sprintf("%s-%d", class, i) }

func newModelName(class string) string { return class + "-new" }

// startRouters starts the routers one after another and then the attackers on the gossip.
func (h *Harness) startRouters() error {
	for i := range h.scenario.Routers {
		slot := &routerSlot{
			index:         i,
			endpointsFile: filepath.Join(h.dir, fmt.Sprintf("workers-%d.json", i)),
			notified:      map[string]bool{},
		}
		h.routers = append(h.routers, slot)
		h.deliverEndpoints(slot, h.listVersion, h.endpointList())
		if err := h.startRouter(slot); err != nil {
			return err
		}
	}
	if h.gossip != nil {
		return h.gossip.start(h)
	}
	return nil
}

// runTrafficAndFaults schedules the faults, generates the traffic, and returns once no request is pending, or at the
// latest when the longest deadline and answerTimeout have passed after the end of the traffic.
func (h *Harness) runTrafficAndFaults() {
	startedAt := time.Now()
	for _, f := range h.scenario.Faults {
		h.afterFunc(f.Start.Duration(), func() { h.startFault(f) })
	}
	stop := make(chan struct{})
	var watcher sync.WaitGroup
	watcher.Go(func() { h.watchWorkers(stop, startedAt) })
	h.generateTraffic(startedAt)
	h.stopTimers()
	h.statistics.waitUntilIdle(h.longestDeadline() + answerTimeout)
	close(stop)
	watcher.Wait()
}

// finish stops the routers and returns the report. It reads the gossip counters first, while the routers still run.
func (h *Harness) finish() *Report {
	var gossip *GossipReport
	if h.gossip != nil {
		gossip = h.gossip.report(h)
	}
	for _, slot := range h.routers {
		slot.gateway.Stop()
	}
	report := h.report()
	report.Gossip = gossip
	return report
}

func (h *Harness) longestDeadline() (longest time.Duration) {
	for _, c := range h.scenario.Classes {
		longest = max(longest, c.Deadline.Duration())
	}
	return longest
}

// afterFunc runs f in its own goroutine once d has passed, unless the scenario has ended by then.
func (h *Harness) afterFunc(d time.Duration, f func()) {
	time.AfterFunc(d, func() {
		h.mu.Lock()
		if h.stopped {
			h.mu.Unlock()
			return
		}
		h.timers.Add(1)
		h.mu.Unlock()
		defer h.timers.Done()
		f()
	})
}

// stopTimers prevents further functions of afterFunc from starting, and waits for those that are running.
func (h *Harness) stopTimers() {
	h.mu.Lock()
	h.stopped = true
	h.mu.Unlock()
	h.timers.Wait()
}

// close kills the clients, routers and workers that are still running.
func (h *Harness) close() {
	h.stopTimers()
	for _, slot := range h.routers {
		slot.mu.Lock()
		client, gateway := slot.client, slot.gateway
		slot.mu.Unlock()
		if client != nil {
			client.Close()
		}
		if gateway != nil {
			gateway.Kill()
		}
	}
	h.mu.Lock()
	var workers []*fakeworker.Worker
	for _, w := range h.workers {
		workers = append(workers, w.worker)
	}
	h.mu.Unlock()
	for _, w := range workers {
		w.Kill()
	}
}
