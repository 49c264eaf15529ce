// Package grpcgateway assembles one gateway from its settings: the router's loop, the connections to the workers, the
// gRPC server, the gossip agent, the admin API, and the worker list that it follows.
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

// defaultDrainTimeout holds where Options have none.
const defaultDrainTimeout = time.Minute

// workerIdleTimeout is how long a connection to a worker is kept without a stream. Without it a gateway would come to hold
// one to each worker of a large fleet.
const workerIdleTimeout = 5 * time.Minute

// Options hold what the settings file does not: the caller's hooks and the ways to replace parts in tests.
type Options struct {
	Logger        *slog.Logger                                               // nil: nothing is logged
	NewDispatcher func(dispatch.Settings, uint64) (router.Dispatcher, error) // nil: dispatch.New
	DrainTimeout  time.Duration                                              // most that Stop waits for open calls; 0: a minute
	Observer      func(now time.Duration, events []dispatch.Event, actions []dispatch.Action)
	GossipHooks   agent.Hooks
}

// Gateway is one running gateway. Stop or Kill ends it and all its goroutines. Its methods may be called from any
// goroutine.
type Gateway struct {
	cfg          *config.Gateway
	logger       *slog.Logger
	drainTimeout time.Duration

	pool        *grpcupstream.Pool
	router      *router.Router
	server      *grpcserver.Server
	gossipAgent *agent.Agent     // nil: no gossip
	adminServer *adminapi.Server // nil: no admin API

	stopFollowing chan struct{}  // closed to end the followers
	followers     sync.WaitGroup // of files
	closeOnce     sync.Once
}

// Start runs a gateway until Stop or Kill. It returns once the worker list has been read, or rejected, and the server
// listens. cfg must not change afterwards.
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

// startRouter starts the router's loop with its connections to workers.
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

// startServers starts what feeds the router: gossip, the worker list, the gRPC server, and the admin API last. After an
// error the caller must call Kill.
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

// http2Config returns what the server's and the workers' connections have in common.
func (g *Gateway) http2Config() http2.Config {
	return http2.Config{MaxConcurrentStreams: g.cfg.Limits.MaxStreams, StreamWindow: g.cfg.Limits.StreamWindowBytes}
}

// followWorkers hands the worker list to the router, and to gossip, now and after each change, until stopFollowing is
// closed. The channel that it returns is closed when the list has first been applied or rejected.
func (g *Gateway) followWorkers() <-chan struct{} {
	firstRead := make(chan struct{})
	var once sync.Once
	starts, first := endpoints.NewStartTimes(g.router), true
	apply := func(list *config.WorkerList) {
		if !first { // a poll ago the file was as it had been
			starts.ListConfirmed(g.router.Now() - config.PollInterval)
		}
		first = false
		g.logger.Info("worker list applied", "workers", len(list.Workers))
		g.router.SetEndpoints(list.Endpoints(starts))
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
