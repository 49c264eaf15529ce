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

// platform holds the workers and discovery servers of a run, with the true state of each worker.
type platform struct {
	block     *addressBlock
	records   *invariants.Log
	discovery []*discovery // by router

	mu           sync.Mutex
	workers      []*worker
	states       []string                         // of the workers in the endpoint list, by index
	executedKeys [workerCells]fakeplatform.KeySet // of the requests that ran, by cell
	events       [][]string                       // of the endpoint list, by router
	changes      []listChange
	clockOffset  time.Duration // added to the clock for start times in the endpoint list
	replacements int           // workers that were replaced so far
}

// listChange is a change of a worker's state in the endpoint list, at the time when it happened.
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
		worker, err := p.startWorker(&worker{index: index, cell: index % workerCells, id: fmt.Sprintf("w%02d", index),
			addresses: addresses})
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

// startWorker starts a worker. It shares the keys of executed requests with the workers of its cell, which drop
// requests with a repeated key.
func (p *platform) startWorker(w *worker) (*worker, error) {
	return w, w.start(p.records, &p.executedKeys[w.cell])
}

// snapshot returns the event with all listed workers, at the addresses for a router.
func (p *platform) snapshot(router int) string {
	var lines []string
	for i, worker := range p.workers {
		if p.states[i] != stateRemoved {
			lines = append(lines, worker.listLine(router, p.states[i]))
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
		event := fakeplatform.EndpointsEvent(false, worker.listLine(router, state))
		p.events[router] = append(p.events[router], event)
		server.addEvent(event)
	}
}

// drain makes a worker drain and lists it as draining at the same time.
func (p *platform) drain(index int) {
	p.worker(index).setDraining(true)
	p.setState(index, stateDraining)
}

// worker returns the current worker at an index.
func (p *platform) worker(index int) *worker {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.workers[index]
}

// restartWorker starts a worker under the given id in place of one that was stopped, and lists it as active.
func (p *platform) restartWorker(index int, id string) error {
	oldWorker := p.worker(index)
	return p.replaceWorker(&worker{index: index, cell: oldWorker.cell, id: id, startedUnix: p.startTime(),
		addresses: oldWorker.addresses})
}

// startInNextCell starts a worker of the next cell, which fails keyed calls, at the address of one that was stopped,
// and lists it as active.
func (p *platform) startInNextCell(index int) error {
	oldWorker := p.worker(index)
	moved := &worker{index: index, cell: (oldWorker.cell + 1) % workerCells, id: p.replacementID(index),
		startedUnix: p.startTime(), addresses: oldWorker.addresses}
	moved.setBehaviour(failsKeyedCalls)
	return p.replaceWorker(moved)
}

// replaceWorker starts a worker in place of the one with the same index, and lists it as active.
func (p *platform) replaceWorker(w *worker) error {
	started, err := p.startWorker(w)
	if err != nil {
		return err
	}
	index, id := w.index, w.id
	p.records.Add(invariants.Record{Kind: invariants.WorkerStarted, Worker: id})
	p.mu.Lock()
	p.workers[index] = started
	p.mu.Unlock()
	p.setState(index, stateActive)
	return nil
}

// startTime returns the current time in Unix milliseconds, by the clock for start times in the endpoint list.
func (p *platform) startTime() uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return wallclock.FromTime(time.Now()).Add(p.clockOffset).UnixMilli()
}

// stepClock steps the clock for start times in the endpoint list.
func (p *platform) stepClock(by time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.clockOffset += by
}

// replacementID returns a new id for the worker that replaces the one at an index.
func (p *platform) replacementID(index int) string {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.replacements++
	return fmt.Sprintf("w%02dr%d", index, p.replacements)
}

// move moves all discovery servers to other addresses.
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

// listChanges returns the changes of the endpoint list so far.
func (p *platform) listChanges() []listChange {
	p.mu.Lock()
	defer p.mu.Unlock()
	return append([]listChange(nil), p.changes...)
}

// close stops the discovery servers and workers and releases the addresses.
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
