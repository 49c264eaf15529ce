package httprouter

import (
	"cmp"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/topazfront/topazfront/dispatch"
	"github.com/topazfront/topazfront/internal/fake/fakeplatform"
	"github.com/topazfront/topazfront/internal/invariants"
	"github.com/topazfront/topazfront/internal/router"
	"github.com/topazfront/topazfront/internal/testsupport"
	"github.com/topazfront/topazfront/internal/testsupport/platformtest"
)

// defaultSettings are the settings of a small fleet. Times are in microseconds, as the simulator sends them.
const defaultSettings = `{"az":"z","balancers":1,"host_types":["k"],
 "classes":[{"name":"safe","semantics":"read_like","target":2000000,"deadline":8000000,"worth":1.0},
  {"name":"keyed","semantics":"idempotency_key","dedup_scope":"cell","window":6000000,"target":2000000,"deadline":8000000,"worth":1.0},
  {"name":"unsafe","semantics":"non_idempotent","target":2000000,"deadline":8000000,"worth":1.0}],
 "family_info":{"when_absent":"load","may_order":true,"free_loads":4,"load_ratio":0.1,"load_span":5000000,"linger_idle":4000000,
  "kind_memory_mb":[8000],"order_timeout":4000000},
 "feedback":{"how":"piggyback","fields":["active"]},
 "limits":{"send_cap":5,"may_probe":true,"cancel":true,"second_copies":true,"retry_after":true,"max_retry_after":1000000,
  "connect_timeout":2000000,"idle_close":15000000,"streams_per_conn":32},
 "safety":{"drain_grace":500000,"start_capacity":0.2,"warm_within":16000000,"overload_factor":3,"fall":1500000,"grace_to_answer":5000}}`

// configJSON returns a configuration file with defaultSettings. initial is the JSON of the initial endpoints.
func configJSON(discoveryAddress, initial string) string {
	return configJSONWith(defaultSettings, discoveryAddress, initial)
}

func configJSONWith(settings, discoveryAddress, initial string) string {
	return fmt.Sprintf(`{"name":"r","listen":"127.0.0.1:0","seed":"8c1f30d27a5be964",
 "limits":{"cores":1.0,"memory_mb":64,"sockets":256},"channel":%q,"known":%s,"settings":%s}`, discoveryAddress, initial, settings)
}

// initialSnapshot returns the JSON of initial endpoints that consist of one event.
func initialSnapshot(event string) string { return `{"cursor":1,"cmds":[{"cursor":1,` + event + `}]}` }

// hexID returns n as an ID of the protocols, which has 16 hexadecimal digits.
func hexID(n int) string { return fmt.Sprintf("%016x", n) }

// newDispatcher is the type of Options.NewDispatcher.
type newDispatcher func(dispatch.Settings, uint64) (router.Dispatcher, error)

// fixedDispatcher returns an Options.NewDispatcher that always returns d.
func fixedDispatcher(d router.Dispatcher) newDispatcher {
	return func(dispatch.Settings, uint64) (router.Dispatcher, error) { return d, nil }
}

// harness runs a router with three workers, a discovery server that lists them, and a client. The workers and the
// client record what they observe, for requireInvariants.
type harness struct {
	t         *testing.T
	options   harnessOptions
	records   *invariants.Log
	workers   []*fakeplatform.Worker
	addresses map[*fakeplatform.Worker]string // addresses for this router of workers shared with another harness
	discovery *fakeplatform.DiscoveryServer
	server    *Server
	client    *fakeplatform.Client
	mu        sync.Mutex
	nextCall  int
}

// harnessOptions changes the defaults of a harness.
type harnessOptions struct {
	settings   string                                           // "": defaultSettings
	dispatcher newDispatcher                                    // nil: the real one
	handle     func(*fakeplatform.Worker, fakeplatform.Request) // Worker.Handle of each worker
	sharedWith *harness                                         // source of workers and records; nil: its own
	router     string                                           // name in the records; "": fakeplatform.DefaultRouter
	unstarted  bool                                             // the test starts the router and sets client.BaseURL
	firstCall  int                                              // call IDs start after this number
}

// newHarness starts a harness with defaultSettings. A nil dispatcher is the real one.
func newHarness(t *testing.T, dispatcher newDispatcher) *harness {
	t.Helper()
	return startHarness(t, harnessOptions{dispatcher: dispatcher})
}

func startHarness(t *testing.T, options harnessOptions) *harness {
	t.Helper()
	h := &harness{t: t, options: options, addresses: map[*fakeplatform.Worker]string{}, nextCall: options.firstCall}
	if h.options.settings == "" {
		h.options.settings = defaultSettings
	}
	if options.sharedWith != nil {
		h.records, h.workers = options.sharedWith.records, slices.Clone(options.sharedWith.workers)
	} else {
		h.records = invariants.NewLog()
		for _, id := range []string{"a", "b", "c"} {
			h.workers = append(h.workers, h.startWorker(id))
		}
	}
	var list []string
	for cell, w := range h.workers {
		list = append(list, fmt.Sprintf("%s %s active %d", w.ID, h.addressOf(w), cell))
	}
	h.discovery = platformtest.StartDiscovery(t, fakeplatform.EndpointsEvent(true, list...))
	transport := &http.Transport{MaxIdleConnsPerHost: 64}
	t.Cleanup(transport.CloseIdleConnections)
	h.client = &fakeplatform.Client{Records: h.records, Router: options.router, HTTPClient: &http.Client{Transport: transport}}
	if !options.unstarted {
		h.startServer()
	}
	return h
}

// startWorker starts a worker that adds records to those of the harness.
func (h *harness) startWorker(id string) *fakeplatform.Worker {
	h.t.Helper()
	w := &fakeplatform.Worker{ID: id, Records: h.records, WorkDuration: 2 * time.Millisecond, DeduplicatedClass: "keyed"}
	if h.options.handle != nil {
		w.Handle = func(r fakeplatform.Request) { h.options.handle(w, r) }
	}
	return platformtest.StartWorker(h.t, w)
}

// addressOf returns the address at which the harness's router reaches a worker.
func (h *harness) addressOf(w *fakeplatform.Worker) string {
	h.t.Helper()
	if h.options.sharedWith == nil {
		return w.Addr()
	}
	if h.addresses[w] == "" {
		address, err := w.AddRouter(h.options.router)
		if err != nil {
			h.t.Fatal(err)
		}
		h.addresses[w] = address
	}
	return h.addresses[w]
}

// routerName returns the router's name in the records.
func (h *harness) routerName() string { return cmp.Or(h.options.router, fakeplatform.DefaultRouter) }

// startServer starts the router, with the discovery server's current events as initial endpoints, and connects the
// client to it.
func (h *harness) startServer() {
	h.t.Helper()
	cfg, err := ParseConfig([]byte(configJSONWith(h.options.settings, h.discovery.Addr(), h.discovery.AllEvents())))
	if err != nil {
		h.t.Fatal(err)
	}
	if h.server, err = Start(cfg, Options{NewDispatcher: h.options.dispatcher}); err != nil {
		h.t.Fatal(err)
	}
	h.t.Cleanup(h.server.Close)
	h.client.BaseURL = "http://" + h.server.httpServer.Addr()
}

// generousDeadline is the deadline of calls that must be served even on a loaded machine.
const generousDeadline = 8 * time.Second

// call makes one call of a class and returns its status.
func (h *harness) call(class string) int { return h.callWithin(class, generousDeadline) }

// callWithin makes one call with a deadline and returns its status. Calls alternate between five functions, so that
// loaded instances are reused.
func (h *harness) callWithin(class string, deadline time.Duration) int {
	h.mu.Lock()
	h.nextCall++
	id := hexID(h.nextCall)
	function := hexID(h.nextCall%5 + 1)
	h.mu.Unlock()
	status, body := h.client.Call(id, class, function, deadline)
	if status == 200 && body != "done "+id {
		h.t.Errorf("call %s was served with %q", id, body)
	}
	return status
}

// makeCalls makes n calls of each class, at most 12 at once, and returns how many were served.
func (h *harness) makeCalls(n int) (served int) { return h.makeCallsWithin(n, generousDeadline) }

// makeCallsWithin is like makeCalls, with a deadline.
func (h *harness) makeCallsWithin(n int, deadline time.Duration) (served int) {
	var wg sync.WaitGroup
	var mu sync.Mutex
	inFlight := make(chan struct{}, 12)
	for range n {
		for _, class := range []string{"safe", "keyed", "unsafe"} {
			inFlight <- struct{}{}
			wg.Go(func() {
				if h.callWithin(class, deadline) == 200 {
					mu.Lock()
					served++
					mu.Unlock()
				}
				<-inFlight
			})
		}
	}
	wg.Wait()
	return served
}

// updateEndpoints sends an endpoint update and waits until the router has applied it.
func (h *harness) updateEndpoints(workers ...string) {
	h.t.Helper()
	h.discovery.AddEvent(fakeplatform.EndpointsEvent(false, workers...))
	h.awaitEndpoints()
}

// awaitEndpoints waits until the router has applied all events of the discovery server.
func (h *harness) awaitEndpoints() {
	h.t.Helper()
	testsupport.WaitUntil(h.t, "the watcher has all events", func() bool {
		return h.server.watcher.Stats().Revision == h.discovery.Revision()
	})
	h.server.router.Stats() // the loop applies the events in the iteration after the one that answers the first call
	h.server.router.Stats()
}

// invariantSettings returns the settings of the invariant checker. The tolerances are wide, because a loaded machine
// may delay a record after the event that it records.
func (h *harness) invariantSettings() invariants.Settings {
	return invariants.Settings{Classes: map[string]invariants.Class{"safe": {Idempotency: "safe", RetryHarmless: true, MeanWork: 5 * time.Millisecond},
		"keyed": {Idempotency: "keyed", MeanWork: 5 * time.Millisecond}, "unsafe": {Idempotency: "unsafe", MeanWork: 5 * time.Millisecond}},
		ResponseGrace: 2 * time.Second, DrainGrace: 500 * time.Millisecond, LoadRateWindow: 5 * time.Second, LoadRateBurst: 4, LoadRateRatio: 0.1,
		RecordingDelay: time.Second}
}

// requireServedWithoutDraining makes n calls of each class and requires that all are served, and that the draining
// worker receives no message.
func (h *harness) requireServedWithoutDraining(worker *fakeplatform.Worker, n int) {
	h.t.Helper()
	before := len(worker.Received())
	if served := h.makeCalls(n); served < 3*n {
		h.t.Errorf("%d of %d served", served, 3*n)
	}
	if got := len(worker.Received()) - before; got > 0 {
		h.t.Errorf("%d messages to a draining worker", got)
	}
}

// recordDrain records that the router has been notified that a worker drains.
func (h *harness) recordDrain(worker string) {
	h.records.Add(invariants.Record{Kind: invariants.EndpointNotified, Router: "r", Worker: worker, Unavailable: true})
}

// requireInvariants reports a test error for each violation of an invariant in the records so far.
func (h *harness) requireInvariants() {
	h.t.Helper()
	for _, violation := range invariants.Check(h.invariantSettings(), h.records.Records()) {
		h.t.Error(violation)
	}
}

// awaitPoll waits for a poll from a revision, which shows that the router has received the events up to it.
func awaitPoll(t *testing.T, server *fakeplatform.DiscoveryServer, revision int) {
	t.Helper()
	timeout := time.After(20 * time.Second)
	for {
		select {
		case got := <-server.Polls():
			if got == revision {
				return
			}
		case <-timeout:
			t.Fatalf("no poll from revision %d", revision)
		}
	}
}
