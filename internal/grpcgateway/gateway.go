// Package grpcgateway puts one gateway together from its settings: the router's loop, the connections to workers,
// the fronts, and the list of workers that it follows.
package grpcgateway

import (
	"log/slog"
	"sync"
	"time"

	"github.com/topazfront/topazfront/dispatch"
	"github.com/topazfront/topazfront/internal/adminapi"
	"github.com/topazfront/topazfront/internal/config"
	"github.com/topazfront/topazfront/internal/endpoints"
	"github.com/topazfront/topazfront/internal/gossip/agent"
	"github.com/topazfront/topazfront/internal/router"
	"github.com/topazfront/topazfront/internal/server/grpcserver"
	"github.com/topazfront/topazfront/internal/transport/http2"
	"github.com/topazfront/topazfront/internal/upstream/grpcupstream"
)

// Version is the program's.
const Version = "0.2.0"

// Options are what does not stand in a settings file.
type Options struct {
	Log     *slog.Logger
	Decider func(dispatch.Settings, uint64) (router.Dispatcher, error) // nil: the module
	Drain   time.Duration                                              // most that Stop waits for calls in hand; 0: a minute
	Tap     func(now time.Duration, events []dispatch.Event, actions []dispatch.Action)
	Gossip  agent.Hooks
}

// Gateway is one running gateway.
type Gateway struct {
	cfg    *config.Gateway
	log    *slog.Logger
	pool   *grpcupstream.Pool
	router *router.Router
	front  *grpcserver.Front
	peers  *agent.Agent     // nil: no gossip
	ctl    *adminapi.Server // nil: no operators' socket
	drain  time.Duration
	stop   chan struct{}
	once   sync.Once
	wg     sync.WaitGroup
}

// Start runs a gateway until Stop.
func Start(cfg *config.Gateway, o Options) (*Gateway, error) {
	if o.Log == nil {
		o.Log = slog.New(slog.DiscardHandler)
	}
	log := o.Log.With("router", cfg.Name)
	h2 := http2.Config{MaxConcurrentStreams: cfg.Limits.Streams, StreamWindow: cfg.Limits.StreamWindow}
	g := &Gateway{cfg: cfg, log: log, stop: make(chan struct{}), drain: o.Drain}
	if g.drain == 0 {
		g.drain = time.Minute
	}
	g.pool = grpcupstream.New(grpcupstream.Config{Router: cfg.Name, ConnectTimeout: cfg.Workers.ConnectTimeout.Duration(),
		MaxConns: cfg.Workers.Connections, MaxMessage: cfg.Limits.MessageBytes, HTTP2: h2, Log: log})
	var err error
	g.router, err = router.New(router.Config{Name: cfg.Name, Seed: cfg.Seed, Settings: cfg.Settings(),
		LoadTimeout: cfg.Loading.OrderTimeout.Duration(), HealthCheckTimeout: cfg.Workers.ProbeTimeout.Duration(),
		Endpoints: endpoints.Settings{CheckInterval: cfg.Workers.AskAfter.Duration()}, NewDispatcher: o.Decider, Logger: log,
		Observer: o.Tap}, g.pool)
	if err != nil {
		return nil, err
	}
	g.pool.Attach(g.router)
	if err := g.gossip(o); err != nil {
		g.Kill()
		return nil, err
	}
	first := make(chan struct{})
	var once sync.Once
	g.wg.Go(func() {
		config.Follow(cfg.Workers.File, g.stop, func(l *config.WorkerList) {
			log.Info("list of workers", "workers", len(l.Workers))
			g.router.SetEndpoints(l.Roster(g.router.At))
			if g.peers != nil {
				g.peers.SetWorkers(l.Starts())
			}
			once.Do(func() { close(first) })
		}, func(err error) {
			log.Warn("list of workers refused; the one before stands", "error", err)
			once.Do(func() { close(first) })
		})
	})
	<-first
	g.front, err = grpcserver.Listen(grpcserver.Config{Address: cfg.Listen, HTTP2: h2, Intake: cfg.Intake(),
		Version: Version, Log: log}, g.router)
	if err == nil {
		err = g.control()
	}
	if err != nil {
		g.Kill()
		return nil, err
	}
	log.Info("serving", "address", g.front.Addr(), "classes", len(cfg.Classes), "models", len(cfg.Models))
	return g, nil
}

// others ends what no call goes through.
func (g *Gateway) others() {
	if g.ctl != nil {
		g.ctl.Close()
	}
	if g.peers != nil {
		g.peers.Close()
	}
}

// Addr is the address of the gRPC front.
func (g *Gateway) Addr() string { return g.front.Addr() }

// Router is the gateway's router.
func (g *Gateway) Router() *router.Router { return g.router }

// Stop drains and ends the gateway: clients are told to go elsewhere, calls in hand get their final answers,
// then all is closed. It returns what the router has done.
func (g *Gateway) Stop() router.Stats {
	g.once.Do(func() {
		g.log.Info("draining", "calls", g.router.Stats().Open, "clients", g.front.Conns())
		g.front.Drain()
		if lost := g.router.Stop(g.drain); lost > 0 {
			g.log.Error("stopped with calls that had no final answer", "calls", lost)
		}
		g.settle()
		close(g.stop)
		g.wg.Wait()
		g.front.Close()
		g.pool.Close()
		g.others()
		g.log.Info("stopped")
	})
	return g.router.Stats()
}

// Kill ends the gateway as the death of its process would: connections break, nothing more is answered.
func (g *Gateway) Kill() {
	g.once.Do(func() {
		g.router.Kill()
		if g.front != nil {
			g.front.Close()
		}
		g.pool.Close()
		close(g.stop)
		g.wg.Wait()
		g.others()
	})
}

// settle waits, not for long, for the last answers to leave for their clients.
func (g *Gateway) settle() {
	for range 200 {
		if g.front.Streams() == 0 {
			return
		}
		time.Sleep(5 * time.Millisecond)
	}
}
