package scenario

import (
	"fmt"
	"sync"
	"time"

	"github.com/topazfront/topazfront/internal/config"
	"github.com/topazfront/topazfront/internal/fake/fakeclient"
	"github.com/topazfront/topazfront/internal/grpcgateway"
	"github.com/topazfront/topazfront/internal/invariants"
	"github.com/topazfront/topazfront/internal/transport/http2"
)

const (
	// routerDrainTimeout limits the time of a router's shutdown. No call is pending at a shutdown unless a rule is
	// violated.
	routerDrainTimeout = 2 * time.Second
	// listCheckMS is how often a router checks the file of its endpoint list, in milliseconds.
	listCheckMS = 500
	// responseMarginMS is how long before a deadline a router answers at the latest, in milliseconds.
	responseMarginMS = 50
)

// routerSlot holds the current incarnation of a router. A kill ends an incarnation, and the restart begins the next.
type routerSlot struct {
	index, incarnations int
	endpointsFile       string

	mu          sync.Mutex
	name        string // of the current incarnation
	gateway     *grpcgateway.Gateway
	client      *fakeclient.Client
	listVersion int             // of the last endpoint list delivered
	notified    map[string]bool // by worker: whether that list has it as active
}

// startRouter starts a router's next incarnation.
func (h *Harness) startRouter(slot *routerSlot) error {
	slot.incarnations++
	name := routerID(slot.index)
	if slot.incarnations > 1 {
		name = fmt.Sprintf("%s.%d", name, slot.incarnations)
	}
	slot.mu.Lock()
	slot.name = name
	for id, active := range slot.notified { // a new incarnation starts with the last list delivered
		h.records.Add(invariants.Record{Kind: invariants.EndpointNotified, Router: name, Worker: id, Unavailable: !active})
	}
	slot.mu.Unlock()
	options := grpcgateway.Options{Logger: h.options.Logger, NewDispatcher: h.options.NewDispatcher,
		DrainTimeout: routerDrainTimeout}
	if h.gossip != nil {
		options.GossipHooks = h.gossip.hooks(slot.index)
	}
	gateway, err := grpcgateway.Start(h.routerSettings(slot), options)
	if err != nil {
		return err
	}
	if h.gossip != nil {
		h.gossip.routerStarted(slot.index, gateway)
	}
	client := fakeclient.New(gateway.Addr(), name, h.records, http2.Config{})
	slot.mu.Lock()
	slot.gateway, slot.client = gateway, client
	slot.mu.Unlock()
	return nil
}

// routerSettings returns the settings of a router's current incarnation.
func (h *Harness) routerSettings(slot *routerSlot) *config.Gateway {
	s, g := h.scenario, config.Defaults()
	g.Name, g.Listen, g.Routers = slot.name, "127.0.0.1:0", s.Routers
	g.Seed = s.Seed + uint64(100*slot.index+slot.incarnations)
	g.Zone = zoneName(slot.index % s.Fleet.Zones)
	g.Workers.File, g.Workers.CheckInterval = slot.endpointsFile, listCheckMS
	for _, k := range s.Fleet.Kinds {
		g.WorkerKinds = append(g.WorkerKinds, config.WorkerKind{Name: k.Name, MemoryMB: k.MemoryMB})
	}
	for _, c := range s.Classes {
		g.Classes = append(g.Classes, c.settings())
	}
	g.Models = map[string]config.Model{}
	for name, m := range h.models {
		g.Models[name] = config.Model{Class: m.Class, MemoryMB: m.MemoryMB,
			ConcurrencyPerInstance: m.ConcurrencyPerInstance, LoadTime: config.Milliseconds(m.LoadTime.Milliseconds())}
	}
	g.Loading.OnCacheMiss, g.Loading.CacheStatusReported = s.Fleet.OnCacheMiss, s.Fleet.ReportsCacheStatus
	g.Loading.IdleResidency = s.Fleet.IdleResidency.milliseconds()
	g.LoadReports, g.Limits.ResponseMargin = s.Fleet.LoadReports, responseMarginMS
	s.Limits.apply(&g)
	if h.gossip != nil {
		g.Gossip = h.gossip.routerSettings(slot.index)
	}
	if h.options.ChangeSettings != nil {
		h.options.ChangeSettings(&g)
	}
	return &g
}

func (s Seconds) milliseconds() config.Milliseconds { return config.Milliseconds(s * 1000) }

// settings returns the class as configured in routers.
func (c *Class) settings() config.Class {
	return config.Class{
		Name:                c.Name,
		LatencyObjective:    c.LatencyObjective.milliseconds(),
		Deadline:            c.Deadline.milliseconds(),
		PriorityWeight:      c.PriorityWeight,
		LateValueFraction:   c.LateValueFraction,
		Idempotency:         c.Idempotency,
		DeduplicationScope:  c.DeduplicationScope,
		DeduplicationWindow: c.DeduplicationWindow.milliseconds(),
	}
}

// apply sets the limits in a router's settings.
func (l *Limits) apply(g *config.Gateway) {
	g.Loading.RateWindow, g.Loading.RateBurst = l.LoadRateWindow.milliseconds(), l.LoadRateBurst
	g.Loading.RateRatio = l.LoadRateRatio
	g.Safety.DrainGrace = l.DrainGrace.milliseconds()
	g.Safety.SlowStartShare, g.Safety.SlowStartDuration = l.SlowStartShare, l.SlowStartDuration.milliseconds()
	g.Safety.OverloadMultiple, g.Safety.OverloadWindow = l.OverloadMultiple, l.OverloadWindow.milliseconds()
}

// Addresses returns the gRPC addresses of the routers.
func (h *Harness) Addresses() (addresses []string) {
	for _, slot := range h.routers {
		slot.mu.Lock()
		addresses = append(addresses, slot.gateway.Addr())
		slot.mu.Unlock()
	}
	return addresses
}

// restartRouters kills a share of the routers one after another and restarts each of them. A restarted router keeps
// only its last endpoint list.
func (h *Harness) restartRouters(f Fault) {
	n := max(int(f.Share*float64(len(h.routers))+0.5), 1)
	h.mu.Lock()
	order := h.rng.Perm(len(h.routers))[:n]
	h.mu.Unlock()
	for k, i := range order {
		h.afterFunc(f.Length.Duration()*time.Duration(k)/time.Duration(n), func() { h.restartRouter(h.routers[i]) })
	}
}

func (h *Harness) restartRouter(slot *routerSlot) {
	slot.mu.Lock()
	gateway, client, name := slot.gateway, slot.client, slot.name
	slot.mu.Unlock()
	if h.gossip != nil {
		h.gossip.routerStopping(gateway)
	}
	h.records.Add(invariants.Record{Kind: invariants.RouterKilled, Router: name})
	gateway.Kill()
	client.Close()
	if err := h.startRouter(slot); err != nil {
		h.options.Logger.Error("router not restarted", "router", name, "error", err)
	}
}
