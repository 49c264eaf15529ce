// Package grpcgateway assembles one gateway from its settings: the router, the connections to the workers, the gRPC
// server, the gossip agent, the admin API, and the goroutines that watch the files of workers, gossip members and
// keys.
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

// Version is the program's version.
const Version = "0.2.0"

// defaultDrainTimeout is used if Options.DrainTimeout is 0.
const defaultDrainTimeout = time.Minute

// workerIdleTimeout is how long a connection to a worker is kept without a stream. Without the timeout a gateway
// would in time hold a connection to every worker of a large fleet.
const workerIdleTimeout = 5 * time.Minute

// Options holds what is not in the settings file: hooks of the caller, and replacements of parts for tests.
type Options struct {
	Logger        *slog.Logger                                               // nil disables logging
	NewDispatcher func(dispatch.Settings, uint64) (router.Dispatcher, error) // nil means dispatch.New
	DrainTimeout  time.Duration                                              // limit on Stop's wait; 0 means a minute
	Observer      func(now time.Duration, events []dispatch.Event, actions []dispatch.Action)
	GossipHooks   agent.Hooks
}

// Gateway is a running gateway. Stop or Kill ends it and all its goroutines. Its methods may be called from any
// goroutine.
type Gateway struct {
	cfg          *config.Gateway
	logger       *slog.Logger
	drainTimeout time.Duration

	pool        *grpcupstream.Pool
	router      *router.Router
	server      *grpcserver.Server
	gossipAgent *agent.Agent     // nil without gossip
	adminServer *adminapi.Server // nil without the admin API

	stopFollowing chan struct{}  // closed to end the followers
	followers     sync.WaitGroup // the goroutines that watch files for changes
	closeOnce     sync.Once
}

// Start starts a gateway, which runs until Stop or Kill. It returns when the worker list has been applied or rejected
// and the server listens. cfg must not be changed afterwards.
func Start(cfg *config.Gateway, options Options) (*Gateway, error) {
	if options.Logger == nil {
		options.Logger = slog.New(slog.DiscardHandler)
	}
	g := &Gateway{cfg: cfg, logger: options.Logger.With("router", cfg.Name), stopFollowing: make(chan struct{}),
		drainTimeout: options.DrainTimeout}
	if g.drainTimeout == 0 {
		g.drainTimeout = defaultDrainTimeout
	}
	if err := g.startRouter(options); err != nil {
		return nil, err
	}
	if err := g.startServers(options); err != nil {
		g.Kill()
		return nil, err
	}
	g.logger.Info("gateway started", "address", g.server.Addr(), "classes", len(cfg.Classes), "models", len(cfg.Models))
	return g, nil
}

// startRouter starts the router and its pool of connections to workers.
func (g *Gateway) startRouter(options Options) (err error) {
	cfg := g.cfg
	g.pool = grpcupstream.New(grpcupstream.Config{RouterName: cfg.Name, ConnectTimeout: cfg.Workers.ConnectTimeout.Duration(),
		MaxConnsPerWorker: cfg.Workers.MaxConnections, IdleTimeout: workerIdleTimeout, MaxMessageBytes: cfg.Limits.MaxMessageBytes, HTTP2: g.http2Config(), Logger: g.logger})
	g.router, err = router.New(router.Config{
		Name:               cfg.Name,
		Seed:               cfg.Seed,
		Settings:           cfg.DispatchSettings(),
		LoadTimeout:        cfg.Loading.CommandTimeout.Duration(),
		HealthCheckTimeout: cfg.Workers.HealthCheckTimeout.Duration(),
		Endpoints:          endpoints.Settings{CheckInterval: cfg.Workers.CheckInterval.Duration()},
		NewDispatcher:      options.NewDispatcher,
		Logger:             g.logger,
		Observer:           options.Observer,
	}, g.pool)
	if err != nil {
		return err
	}
	g.pool.Attach(g.router)
	return nil
}

// startServers starts the parts that give the router its input: gossip, the worker list and the gRPC server; and last
// the admin API. After an error the caller must call Kill.
func (g *Gateway) startServers(options Options) (err error) {
	if err := g.startGossip(options.GossipHooks); err != nil {
		return err
	}
	<-g.followWorkers()
	g.server, err = grpcserver.Listen(grpcserver.Config{Address: g.cfg.Listen, HTTP2: g.http2Config(), CallBuilder: g.cfg.CallBuilder(),
		Version: Version, Logger: g.logger}, g.router)
	if err != nil {
		return err
	}
	return g.startAdmin()
}

// http2Config returns the HTTP/2 settings of the connections to clients and to workers.
func (g *Gateway) http2Config() http2.Config {
	return http2.Config{MaxConcurrentStreams: g.cfg.Limits.MaxStreams, StreamWindow: g.cfg.Limits.StreamWindowBytes}
}

// followWorkers starts a goroutine that applies the worker list to the router and the gossip agent, first at once and
// then after each change of the file, until stopFollowing is closed. The returned channel is closed when the list was
// applied or rejected for the first time.
func (g *Gateway) followWorkers() <-chan struct{} {
	firstRead := make(chan struct{})
	var once sync.Once
	startTimes, first := endpoints.NewStartTimes(g.router), true
	apply := func(list *config.WorkerList) {
		if !first { // one poll interval ago the file still had its previous content
			startTimes.ListConfirmed(g.router.Now() - config.PollInterval)
		}
		first = false
		g.logger.Info("worker list applied", "workers", len(list.Workers))
		g.router.SetEndpoints(list.Endpoints(startTimes))
		if g.gossipAgent != nil {
			g.gossipAgent.SetWorkers(list.StartTimes())
		}
		once.Do(func() { close(firstRead) })
	}
	reject := func(err error) {
		g.logger.Warn("worker list rejected, the previous one stays in force", "error", err)
		once.Do(func() { close(firstRead) })
	}
	confirm := func(readAt time.Time) { g.router.EndpointListConfirmed(g.router.Now() - time.Since(readAt)) }
	handler := config.WorkerListHandler{Apply: apply, Reject: reject, Confirm: confirm}
	g.followers.Go(func() { config.FollowWorkers(g.cfg.Workers.File, g.stopFollowing, handler) })
	return firstRead
}

// Addr returns the address of the gRPC server.
func (g *Gateway) Addr() string { return g.server.Addr() }

// GossipAgent returns the gossip agent, nil without gossip.
func (g *Gateway) GossipAgent() *agent.Agent { return g.gossipAgent }
