package httprouter

import (
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/topazfront/topazfront/internal/fake/fakeplatform"
	"github.com/topazfront/topazfront/internal/invariants"
)

// fleet is routers that share workers. Each has a discovery server and a client of its own.
type fleet struct {
	t       *testing.T
	routers []*harness
	silent  sync.Map // of ids of workers that answer nothing
	served  atomic.Int64
	made    int64
}

const (
	fleetDeadline      = 600 * time.Millisecond
	fleetCallsPerClass = 4       // of each router in a round
	callsOfRouter      = 1 << 20 // ids of each router's calls begin at another multiple
)

func startFleet(t *testing.T, size int) *fleet {
	t.Helper()
	f := &fleet{t: t}
	handle := func(w *fakeplatform.Worker, r fakeplatform.Request) {
		if _, silent := f.silent.Load(w.ID); !silent {
			go w.HandleHealthy(r)
		}
	}
	f.routers = []*harness{startHarness(t, harnessOptions{handle: handle})}
	for i := 1; i < size; i++ {
		f.routers = append(f.routers, startHarness(t, harnessOptions{handle: handle, beside: f.routers[0],
			router: fmt.Sprintf("r%d", i), firstCall: i * callsOfRouter}))
	}
	return f
}

// eachRouter runs a function for all routers at once.
func (f *fleet) eachRouter(act func(*harness)) {
	var wg sync.WaitGroup
	for _, h := range f.routers {
		wg.Go(func() { act(h) })
	}
	wg.Wait()
}

// callThrough has all clients call while a fault strikes.
func (f *fleet) callThrough(fault func()) {
	var wg sync.WaitGroup
	wg.Go(fault)
	const rounds = 2
	f.eachRouter(func(h *harness) {
		for range rounds {
			f.served.Add(int64(h.callsWithin(fleetCallsPerClass, fleetDeadline)))
		}
	})
	wg.Wait()
	f.made += int64(len(f.routers) * rounds * 3 * fleetCallsPerClass)
}

// worker returns the worker with an id.
func (f *fleet) worker(id string) *fakeplatform.Worker {
	for _, w := range f.routers[0].workers {
		if w.ID == id {
			return w
		}
	}
	f.t.Fatalf("no worker %s", id)
	return nil
}

// listWorker has discovery tell each router of a worker's state, and waits until it is known.
func (f *fleet) listWorker(id, state string) {
	w := f.worker(id)
	f.eachRouter(func(h *harness) {
		h.updateEndpoints(fmt.Sprintf("%s %s %s 0", id, h.addressOf(w), state))
		h.records.Add(invariants.Record{Kind: invariants.EndpointNotified, Router: h.recordName(), Worker: id, Unavailable: state != "active"})
	})
}

// replaceWorker drains a worker, stops it and has another take its place.
func (f *fleet) replaceWorker(old, replacement string) {
	f.listWorker(old, "leaving")
	f.worker(old).Stop()
	w := f.routers[0].startWorker(replacement)
	for _, h := range f.routers {
		h.workers = append(h.workers, w)
	}
	f.listWorker(old, "left")
	f.listWorker(replacement, "active")
}

// TestMixedDay has one router, and five, go through a short day in which connections fail in all ways, workers hang,
// drain and are replaced, discovery is down, and routers are restarted and killed. The invariants hold, and a third of
// all calls are served.
func TestMixedDay(t *testing.T) {
	t.Parallel()
	for _, size := range []int{1, 5} {
		t.Run(fmt.Sprintf("routers=%d", size), func(t *testing.T) {
			t.Parallel()
			f := startFleet(t, size)
			f.callThrough(func() {})
			for _, fault := range connFaults {
				f.callThrough(func() { f.routers[0].failWorkerConns(fault) })
			}
			f.callThrough(func() { f.silent.Store("b", true) })
			f.silent.Delete("b")
			f.callThrough(func() { f.replaceWorker("a", "d") })
			f.callThrough(func() {
				f.eachRouter(func(h *harness) { h.discovery.Suspend() })
				f.worker("c").Stop() // a crash of which nothing is told
			})
			f.resumeDiscovery()
			f.callThrough(func() { f.listWorker("c", "left") })
			f.restartRouters()
			f.callThrough(func() {})
			f.killRouters()
			f.callThrough(func() {})
			t.Logf("%d of %d served", f.served.Load(), f.made)
			if f.served.Load() < f.made/3 {
				t.Errorf("%d of %d served", f.served.Load(), f.made)
			}
			f.routers[0].requireInvariants()
		})
	}
}

func (f *fleet) resumeDiscovery() {
	for _, h := range f.routers {
		if err := h.discovery.Resume(); err != nil {
			f.t.Skip("the address was taken by another process:", err)
		}
	}
}

// restartRouters shuts each router down with calls under way, all of which have to be answered, and starts it again.
func (f *fleet) restartRouters() {
	f.eachRouter(func(h *harness) {
		var wg sync.WaitGroup
		wg.Go(func() { h.callsWithin(fleetCallsPerClass, fleetDeadline) })
		if unanswered := h.server.Shutdown(); unanswered != 0 {
			f.t.Errorf("%d calls without an answer", unanswered)
		}
		wg.Wait()
	})
	for _, h := range f.routers {
		h.startServer()
	}
}

// killRouters ends each router with calls under way, and starts it again.
func (f *fleet) killRouters() {
	f.eachRouter(func(h *harness) {
		var wg sync.WaitGroup
		wg.Go(func() { h.callsWithin(fleetCallsPerClass, fleetDeadline) })
		h.server.Close()
		wg.Wait()
		h.records.Add(invariants.Record{Kind: invariants.RouterKilled, Router: h.recordName()})
	})
	for _, h := range f.routers {
		h.startServer()
	}
}
