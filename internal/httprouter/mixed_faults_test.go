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

// fleet is a group of routers that share workers. Each router has its own discovery server and client.
type fleet struct {
	t         *testing.T
	routers   []*harness
	silent    sync.Map // IDs of workers that answer nothing
	served    atomic.Int64
	callsMade int64
}

const (
	fleetDeadline      = 600 * time.Millisecond
	fleetCallsPerClass = 4       // per router and round
	idsPerRouter       = 1 << 20 // range of call IDs reserved for each router
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
		f.routers = append(f.routers, startHarness(t, harnessOptions{handle: handle, sharedWith: f.routers[0],
			router: fmt.Sprintf("r%d", i), firstCall: i * idsPerRouter}))
	}
	return f
}

// forEachRouter runs a function for all routers concurrently and waits for all of them.
func (f *fleet) forEachRouter(do func(*harness)) {
	var wg sync.WaitGroup
	for _, h := range f.routers {
		wg.Go(func() { do(h) })
	}
	wg.Wait()
}

// callDuring makes calls from all clients while fault runs.
func (f *fleet) callDuring(fault func()) {
	var wg sync.WaitGroup
	wg.Go(fault)
	const rounds = 2
	f.forEachRouter(func(h *harness) {
		for range rounds {
			f.served.Add(int64(h.makeCallsWithin(fleetCallsPerClass, fleetDeadline)))
		}
	})
	wg.Wait()
	f.callsMade += int64(len(f.routers) * rounds * 3 * fleetCallsPerClass)
}

// worker returns the worker with an ID.
func (f *fleet) worker(id string) *fakeplatform.Worker {
	for _, w := range f.routers[0].workers {
		if w.ID == id {
			return w
		}
	}
	f.t.Fatalf("no worker %s", id)
	return nil
}

// setWorkerState sends each router an endpoint update with a worker's state and waits until the routers have applied
// it.
func (f *fleet) setWorkerState(id, state string) {
	w := f.worker(id)
	f.forEachRouter(func(h *harness) {
		h.updateEndpoints(fmt.Sprintf("%s %s %s 0", id, h.addressOf(w), state))
		h.records.Add(invariants.Record{Kind: invariants.EndpointNotified, Router: h.routerName(), Worker: id,
			Unavailable: state != "active"})
	})
}

// replaceWorker drains a worker, stops it and starts another one in its place.
func (f *fleet) replaceWorker(old, replacement string) {
	f.setWorkerState(old, "leaving")
	f.worker(old).Stop()
	w := f.routers[0].startWorker(replacement)
	for _, h := range f.routers {
		h.workers = append(h.workers, w)
	}
	f.setWorkerState(old, "left")
	f.setWorkerState(replacement, "active")
}

// TestMixedFaults guards against violations of invariants that appear only when several faults follow each other.
// Connections fail in all ways; workers hang, drain and are replaced; discovery is down; routers are restarted and
// killed. At least a third of the calls must be served. It runs with one router and with five.
func TestMixedFaults(t *testing.T) {
	t.Parallel()
	for _, size := range []int{1, 5} {
		t.Run(fmt.Sprintf("routers=%d", size), func(t *testing.T) {
			t.Parallel()
			f := startFleet(t, size)
			f.callDuring(func() {})
			for _, fault := range connFaults {
				f.callDuring(func() { f.routers[0].failWorkerConns(fault) })
			}
			f.callDuring(func() { f.silent.Store("b", true) })
			f.silent.Delete("b")
			f.callDuring(func() { f.replaceWorker("a", "d") })
			f.callDuring(func() {
				f.forEachRouter(func(h *harness) { h.discovery.Suspend() })
				f.worker("c").Stop() // a crash that discovery doesn't report
			})
			f.resumeDiscovery()
			f.callDuring(func() { f.setWorkerState("c", "left") })
			f.restartRouters()
			f.callDuring(func() {})
			f.killRouters()
			f.callDuring(func() {})
			t.Logf("%d of %d served", f.served.Load(), f.callsMade)
			if f.served.Load() < f.callsMade/3 {
				t.Errorf("%d of %d served", f.served.Load(), f.callsMade)
			}
			f.routers[0].requireInvariants()
		})
	}
}

func (f *fleet) resumeDiscovery() {
	for _, h := range f.routers {
		if err := h.discovery.Resume(); err != nil {
			f.t.Skip("another process took the address:", err)
		}
	}
}

// restartRouters shuts down each router with calls in flight, which must all be answered, and starts it again.
func (f *fleet) restartRouters() {
	f.forEachRouter(func(h *harness) {
		var wg sync.WaitGroup
		wg.Go(func() { h.makeCallsWithin(fleetCallsPerClass, fleetDeadline) })
		if unanswered := h.server.Shutdown(); unanswered != 0 {
			f.t.Errorf("%d calls without an answer", unanswered)
		}
		wg.Wait()
	})
	for _, h := range f.routers {
		h.startServer()
	}
}

// killRouters kills each router with calls in flight and starts it again.
func (f *fleet) killRouters() {
	f.forEachRouter(func(h *harness) {
		var wg sync.WaitGroup
		wg.Go(func() { h.makeCallsWithin(fleetCallsPerClass, fleetDeadline) })
		h.server.Close()
		wg.Wait()
		h.records.Add(invariants.Record{Kind: invariants.RouterKilled, Router: h.routerName()})
	})
	for _, h := range f.routers {
		h.startServer()
	}
}
