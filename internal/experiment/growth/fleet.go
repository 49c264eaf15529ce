package growth

import (
	"fmt"
	"sync"
	"time"

	"github.com/topazfront/topazfront/internal/fake/fakeplatform"
	"github.com/topazfront/topazfront/internal/wallclock"
)

const (
	workDuration    = 5 * time.Millisecond   // processing time of a request
	loadDuration    = 50 * time.Millisecond  // time to load a function on its first request to a worker
	replaceInterval = 200 * time.Millisecond // between two changes of the endpoint list
	drainDuration   = 2 * time.Second        // from the event that lists a worker as draining until its removal
	cells           = 4                      // number of cells in the fleet
)

// States of workers in the endpoint list.
const (
	stateActive   = "active"
	stateDraining = "leaving"
	stateRemoved  = "left"
)

// fleet holds the workers of a fake platform and its discovery server.
type fleet struct {
	discovery *fakeplatform.DiscoveryServer
	stopPolls chan struct{}

	mu       sync.Mutex
	started  int                        // number of workers started so far; the next worker's ID has this number
	active   []*fleetWorker             // oldest first
	all      []*fakeplatform.Worker     // includes stopped workers, as their connections count, too
	draining map[*fleetWorker]time.Time // by draining worker: time of its removal
}

// fleetWorker is one worker that is in the endpoint list.
type fleetWorker struct {
	*fakeplatform.Worker
	cell      int
	startedAt uint64 // Unix milliseconds; 0 means before the run
}

// startFleet starts workers and a discovery server that lists them.
func startFleet(workers int) (*fleet, error) {
	f := &fleet{stopPolls: make(chan struct{}), draining: map[*fleetWorker]time.Time{}}
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
	go f.discardPolls()
	return f, nil
}

// startWorker starts a worker on a free port and adds it to the active workers.
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

// loadOnFirstUse returns a handler that loads a function on its first request. Requests for a function wait until it is
// loaded.
func loadOnFirstUse(w *fakeplatform.Worker) func(fakeplatform.Request) {
	var mu sync.Mutex
	loadedAt := map[string]time.Time{}
	return func(r fakeplatform.Request) {
		function := r.Fields["item"]
		mu.Lock()
		readyTime, known := loadedAt[function]
		if !known {
			readyTime = time.Now().Add(loadDuration)
			loadedAt[function] = readyTime
		}
		mu.Unlock()
		go func() {
			time.Sleep(time.Until(readyTime))
			w.HandleHealthy(r)
		}()
	}
}

// discardPolls reads and discards the polls that the discovery server reports. The server would stop responding if too
// many were unread.
func (f *fleet) discardPolls() {
	for {
		select {
		case <-f.discovery.Polls():
		case <-f.stopPolls:
			return
		}
	}
}

// replace replaces the oldest count workers by new ones, evenly over duration, and removes the workers that have
// drained. It returns when stop is closed.
func (f *fleet) replace(count int, duration time.Duration, stop <-chan struct{}) error {
	ticker := time.NewTicker(replaceInterval)
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

// interruptDiscovery makes the discovery server refuse connections for duration, after a delay. It returns when stop is
// closed.
func (f *fleet) interruptDiscovery(after, duration time.Duration, stop <-chan struct{}) error {
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

// replaceOldest starts count new workers, marks as many of the oldest ones as draining, and returns the lines of the
// event with these changes.
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
		f.draining[oldest] = now.Add(drainDuration)
		lines = append(lines, worker.line(stateActive), oldest.line(stateDraining))
	}
	return lines, nil
}

// removeDrained stops the workers whose drain has ended and returns the lines of the event that removes them.
func (f *fleet) removeDrained(now time.Time) (lines []string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for worker, removalTime := range f.draining {
		if now.Before(removalTime) {
			continue
		}
		delete(f.draining, worker)
		lines = append(lines, worker.line(stateRemoved))
		go worker.Stop()
	}
	return lines
}

// acceptedConnections returns the number of connections that all workers together have accepted.
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
	for worker := range f.draining {
		wg.Go(worker.Stop)
	}
	wg.Wait()
}
