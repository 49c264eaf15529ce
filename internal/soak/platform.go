package soak

import (
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/topazfront/topazfront/internal/fake/fakeplatform"
	"github.com/topazfront/topazfront/internal/invariants"
	"github.com/topazfront/topazfront/internal/wallclock"
)

// States of workers in the endpoint list.
const (
	stateActive   = "active"
	stateDraining = "leaving"
	stateRemoved  = "left"
)

// platform is the workers and discovery servers of a run. It knows the true state of each worker.
type platform struct {
	block     *addressBlock
	records   *invariants.Log
	discovery []*discovery // by router

	mu       sync.Mutex
	workers  []*worker
	states   []string                         // of workers, by index
	keys     [workerCells]fakeplatform.KeySet // of the requests that ran, by cell
	events   [][]string
	changes  []listChange
	clock    time.Duration // by which the clock of start times is ahead
	replaced int           // workers that others have replaced so far
}

// listChange is a change of a worker's state in the endpoint list, as it truly was.
type listChange struct {
	at     time.Duration
	worker string
	state  string
}

func startPlatform(routers, workers int) (*platform, error) {
	block, err := reserveBlock()
	if err != nil {
		return nil, err
	}
	p := &platform{block: block, records: invariants.NewLog(), events: make([][]string, routers)}
	if err := p.start(routers, workers); err != nil {
		p.close()
		return nil, err
	}
	return p, nil
}

func (p *platform) start(routers, workers int) error {
	for index := range workers {
		var addresses []string
		for router := range routers {
			addresses = append(addresses, p.block.worker(router, index))
		}
		worker, err := p.startWorker(index, fmt.Sprintf("w%02d", index), 0, addresses)
		if err != nil {
			return err
		}
		p.workers = append(p.workers, worker)
		p.states = append(p.states, stateActive)
	}
	for router := range routers {
		p.events[router] = []string{p.snapshot(router)}
		server, err := startDiscovery(p.block.discovery(router, 0), p.events[router][0], p.records)
		if err != nil {
			return err
		}
		p.discovery = append(p.discovery, server)
	}
	return nil
}

// startWorker starts a worker whose cell drops the repeats of its requests.
func (p *platform) startWorker(index int, id string, startedUnix uint64, addresses []string) (*worker, error) {
	w := &worker{index: index, id: id, startedUnix: startedUnix, addresses: addresses}
	return w, w.start(p.records, &p.keys[index%workerCells])
}

// snapshot returns the event that has all listed workers, as a router sees them.
func (p *platform) snapshot(router int) string {
	var lines []string
	for i, worker := range p.workers {
		if p.states[i] != stateRemoved {
			lines = append(lines, worker.line(router, p.states[i]))
		}
	}
	return fakeplatform.EndpointsEvent(true, lines...)
}

// setState changes a worker's state in the endpoint list.
func (p *platform) setState(index int, state string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.states[index] = state
	worker := p.workers[index]
	p.changes = append(p.changes, listChange{p.records.Now(), worker.id, state})
	for router, server := range p.discovery {
		event := fakeplatform.EndpointsEvent(false, worker.line(router, state))
		p.events[router] = append(p.events[router], event)
		server.addEvent(event)
	}
}

// drain has a worker drain, which the list shows at once.
func (p *platform) drain(index int) {
	p.worker(index).setDraining(true)
	p.setState(index, stateDraining)
}

// worker returns the worker that is at an index now.
func (p *platform) worker(index int) *worker {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.workers[index]
}

// startAgain starts a worker's process in place of one that was stopped, under the given id, and lists it.
func (p *platform) startAgain(index int, id string) error {
	old := p.worker(index)
	started, err := p.startWorker(index, id, p.startTime(), old.addresses)
	if err != nil {
		return err
	}
	p.records.Add(invariants.Record{Kind: invariants.WorkerStarted, Worker: id})
	p.mu.Lock()
	p.workers[index] = started
	p.mu.Unlock()
	p.setState(index, stateActive)
	return nil
}

// startTime returns the present time in Unix milliseconds, by the clock of start times.
func (p *platform) startTime() uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return wallclock.FromTime(time.Now()).Add(p.clock).UnixMilli()
}

// stepClock steps the clock of start times.
func (p *platform) stepClock(by time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.clock += by
}

// replacementID returns the id of the worker that comes in place of the one at an index.
func (p *platform) replacementID(index int) string {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.replaced++
	return fmt.Sprintf("w%02dr%d", index, p.replaced)
}

// move has all discovery servers move to other addresses.
func (p *platform) move() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	var errs []error
	for router, server := range p.discovery {
		errs = append(errs, server.move(p.block, router, p.events[router]))
	}
	return errors.Join(errs...)
}

// restartDiscovery replaces all discovery servers by ones that number their events from 1 again.
func (p *platform) restartDiscovery() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	var errs []error
	for router, server := range p.discovery {
		p.events[router] = []string{p.snapshot(router)}
		errs = append(errs, server.restart(p.events[router][0]))
	}
	return errors.Join(errs...)
}

// history returns the changes of the list so far.
func (p *platform) history() []listChange {
	p.mu.Lock()
	defer p.mu.Unlock()
	return append([]listChange(nil), p.changes...)
}

// close stops everything.
func (p *platform) close() {
	for _, server := range p.discovery {
		server.close()
	}
	var stopped sync.WaitGroup
	for _, worker := range p.workers {
		stopped.Go(worker.stop)
	}
	stopped.Wait()
	p.block.release()
}
