package growth

import (
	"fmt"
	"sync"
	"time"

	"github.com/topazfront/topazfront/internal/fake/fakeplatform"
	"github.com/topazfront/topazfront/internal/wallclock"
)

const (
	workDuration = 5 * time.Millisecond   // of a request
	loadDuration = 50 * time.Millisecond  // of a function's first request at a worker
	replaceStep  = 200 * time.Millisecond // between two changes of the endpoint list
	drainTime    = 2 * time.Second        // from the event that a worker drains until it is removed
	cells        = 4                      // of the fleet
)

// States of workers in the endpoint list.
const (
	stateActive   = "active"
	stateDraining = "leaving"
	stateRemoved  = "left"
)

// fleet is the workers of a fake platform and its discovery server.
type fleet struct {
	discovery *fakeplatform.DiscoveryServer
	stopPolls chan struct{}

	mu      sync.Mutex
	started int                        // workers started so far; numbers them
	active  []*fleetWorker             // oldest first
	all     []*fakeplatform.Worker     // the stopped ones too: their connections count
	pending map[*fleetWorker]time.Time // draining workers, and when they are removed
}

// fleetWorker is one worker that is in the endpoint list.
type fleetWorker struct {
	*fakeplatform.Worker
	cell      int
	startedAt uint64 // Unix milliseconds; 0: before the run
}

// startFleet starts workers, and a discovery server that lists them.
func startFleet(workers int) (*fleet, error) {
	f := &fleet{stopPolls: make(chan struct{}), pending: map[*fleetWorker]time.Time{}}
	lines := make([]string, 0, workers)
	for range workers {
		worker, err := f.startWorker(0)
		if err != nil {
			f.stop()
			return nil, err
		}
		lines = append(lines, worker.line(stateActive))
	}
	var err error
	if f.discovery, err = fakeplatform.StartDiscoveryServer(fakeplatform.EndpointsEvent(true, lines...)); err != nil {
		f.stop()
		return nil, err
	}
	go f.readPolls()
	return f, nil
}

// startWorker starts a worker on a port of its own and adds it to the active ones.
func (f *fleet) startWorker(startedAt uint64) (*fleetWorker, error) {
	w := &fleetWorker{
		Worker:    &fakeplatform.Worker{ID: fmt.Sprintf("w-%08x", f.started), WorkDuration: workDuration},
		cell:      f.started % cells,
		startedAt: startedAt,
	}
	w.Handle = loadOnFirstUse(w.Worker)
	if err := w.Start("127.0.0.1:0"); err != nil {
		return nil, fmt.Errorf("worker %d: %w", f.started, err)
	}
	f.started++
	f.active = append(f.active, w)
	f.all = append(f.all, w.Worker)
	return w, nil
}

// line returns the worker's line for EndpointsEvent.
func (w *fleetWorker) line(state string) string {
	return fmt.Sprintf("%s %s %s %d %d", w.ID, w.Addr(), state, w.cell, w.startedAt)
}

// loadOnFirstUse returns a handler that delays the first requests of each function by the time of a load.
func loadOnFirstUse(w *fakeplatform.Worker) func(fakeplatform.Request) {
	var mu sync.Mutex
	loadedAt := map[string]time.Time{}
	return func(r fakeplatform.Request) {
		function := r.Fields["item"]
		mu.Lock()
		at, known := loadedAt[function]
		if !known {
			at = time.Now().Add(loadDuration)
			loadedAt[function] = at
		}
		mu.Unlock()
		go func() {
			time.Sleep(time.Until(at))
			w.HandleHealthy(r)
		}()
	}
}

// readPolls reads and drops the polls that the discovery server reports. The server stops responding if too many are unread.
func (f *fleet) readPolls() {
	for {
		select {
		case <-f.discovery.Polls():
		case <-f.stopPolls:
			return
		}
	}
}

// replace replaces count of the oldest workers by new ones, evenly over duration, and removes those that have drained. It
// returns when stop is closed.
func (f *fleet) replace(count int, duration time.Duration, stop <-chan struct{}) error {
	ticker := time.NewTicker(replaceStep)
	defer ticker.Stop()
	startedAt := time.Now()
	replaced := 0
	for {
		select {
		case <-stop:
			return nil
		case now := <-ticker.C:
			due := min(int(float64(count)*float64(now.Sub(startedAt))/float64(duration)), count)
			lines, err := f.replaceOldest(now, due-replaced)
			if err != nil {
				return err
			}
			replaced = due
			lines = append(lines, f.removeDrained(now)...)
			if len(lines) > 0 {
				f.discovery.AddEvent(fakeplatform.EndpointsEvent(false, lines...))
			}
		}
	}
}

// loseDiscovery has connections to discovery refused for a while, after a delay. It returns when stop is closed.
func (f *fleet) loseDiscovery(after, duration time.Duration, stop <-chan struct{}) error {
	select {
	case <-time.After(after):
	case <-stop:
		return nil
	}
	f.discovery.Suspend()
	select {
	case <-time.After(duration):
	case <-stop:
	}
	err := f.discovery.Resume()
	<-stop
	return err
}

// replaceOldest starts new workers in place of the oldest ones, which drain, and returns the lines of the event.
func (f *fleet) replaceOldest(now time.Time, count int) (lines []string, err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for range count {
		worker, err := f.startWorker(wallclock.FromTime(now).UnixMilli())
		if err != nil {
			return nil, err
		}
		oldest := f.active[0]
		f.active = f.active[1:]
		f.pending[oldest] = now.Add(drainTime)
		lines = append(lines, worker.line(stateActive), oldest.line(stateDraining))
	}
	return lines, nil
}

// removeDrained stops the workers whose drain has ended, and returns the lines of the event.
func (f *fleet) removeDrained(now time.Time) (lines []string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for worker, at := range f.pending {
		if now.Before(at) {
			continue
		}
		delete(f.pending, worker)
		lines = append(lines, worker.line(stateRemoved))
		go worker.Stop()
	}
	return lines
}

// acceptedConnections returns how many connections all workers have accepted.
func (f *fleet) acceptedConnections() (total int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, worker := range f.all {
		total += worker.Accepted()
	}
	return total
}

// stop stops the discovery server and all workers.
func (f *fleet) stop() {
	close(f.stopPolls)
	if f.discovery != nil {
		f.discovery.Stop()
	}
	var wg sync.WaitGroup
	for _, worker := range f.active {
		wg.Go(worker.Stop)
	}
	for worker := range f.pending {
		wg.Go(worker.Stop)
	}
	wg.Wait()
}
