package soak

import (
	"fmt"
	"sync/atomic"
	"time"

	"github.com/topazfront/topazfront/internal/fake/fakeplatform"
	"github.com/topazfront/topazfront/internal/invariants"
)

const (
	workDuration = 8 * time.Millisecond // of a request
	loadDuration = 40 * time.Millisecond
	slowFactor   = 10 // a slow worker's requests take this many times as long
	workerCells  = 4  // deduplication scopes of the fleet
	keyedClass   = "keyed"
	execCommand  = "exec"
	classField   = "cls" // of a call, on the wire
)

// behaviour is the way in which a worker handles messages.
type behaviour int32

const (
	healthy      behaviour = iota
	ignoresCalls           // but answers health checks and load commands
	ignoresEverything
	answersSlowly
	failsKeyedCalls // it runs them and answers with an error, except for one in servedKeyedCalls
)

// servedKeyedCalls is the number of keyed calls of which a worker that fails them serves one. If it failed all, routers
// would soon send it none.
const servedKeyedCalls = 5

// worker is a fake worker. It has a separate server and address for each router, so that its records can name the
// router that sent a message.
type worker struct {
	index       int
	cell        int
	id          string
	startedUnix uint64 // start time in Unix milliseconds; 0 means long before the run
	servers     []*fakeplatform.Worker
	addresses   []string
	behaviour   atomic.Int32
	keyedCalls  atomic.Int64
}

// start starts the worker at its addresses.
func (w *worker) start(records *invariants.Log, keys *fakeplatform.KeySet) error {
	for router, address := range w.addresses {
		server := &fakeplatform.Worker{ID: w.id, Router: routerName(router), Records: records, WorkDuration: workDuration,
			DeduplicatedClass: keyedClass, ExecutedKeys: keys}
		server.Handle = func(r fakeplatform.Request) { w.handle(server, r) }
		if err := server.Start(address); err != nil {
			w.stop()
			return fmt.Errorf("soak: worker %s: %w", w.id, err)
		}
		w.servers = append(w.servers, server)
	}
	return nil
}

// handle handles a message according to the worker's current behaviour.
func (w *worker) handle(server *fakeplatform.Worker, r fakeplatform.Request) {
	current := behaviour(w.behaviour.Load())
	isCall := r.Command == execCommand
	if current == ignoresEverything || current == ignoresCalls && isCall {
		return
	}
	go func() {
		if current == answersSlowly && isCall {
			time.Sleep((slowFactor - 1) * workDuration)
		}
		if current == failsKeyedCalls && isCall && r.Fields[classField] == keyedClass && w.keyedCalls.Add(1)%servedKeyedCalls > 0 {
			server.RunAndFail(r)
			return
		}
		server.HandleHealthy(r)
	}()
}

func (w *worker) setBehaviour(b behaviour) { w.behaviour.Store(int32(b)) }

// setDraining starts or ends the worker's drain.
func (w *worker) setDraining(draining bool) {
	for _, server := range w.servers {
		server.SetDraining(draining)
	}
}

// failConns applies a fault to all connections of the worker.
func (w *worker) failConns(fault fakeplatform.ConnFault) {
	for _, server := range w.servers {
		server.FailConns(fault)
	}
}

// stop simulates the end of the worker's process: all its connections are reset.
func (w *worker) stop() {
	for _, server := range w.servers {
		server.Stop()
	}
}

// listLine returns the worker's line in an event of the endpoint list, with its address for a router.
func (w *worker) listLine(router int, state string) string {
	return fmt.Sprintf("%s %s %s %d %d", w.id, w.addresses[router], state, w.cell, w.startedUnix)
}

func routerName(router int) string { return fmt.Sprintf("n%d", router) }
