package httprouter

import (
	"log/slog"
	"sync"
	"time"

	"github.com/topazfront/topazfront/dispatch"
	"github.com/topazfront/topazfront/internal/discovery"
	"github.com/topazfront/topazfront/internal/endpoints"
	"github.com/topazfront/topazfront/internal/router"
	"github.com/topazfront/topazfront/internal/server/httpserver"
	"github.com/topazfront/topazfront/internal/transport/http1"
	"github.com/topazfront/topazfront/internal/upstream/respupstream"
	"github.com/topazfront/topazfront/internal/wallclock"
)

// Timeouts of the parts. They protect resources; none affects which worker a call is sent to.
const (
	firstRequestTimeout  = 1500 * time.Millisecond // to receive a client's first request completely
	clientIdleTimeout    = 4500 * time.Millisecond // clients close idle connections after 4 s, so they close first
	writeTimeout         = time.Second             // for a peer to accept the bytes written to it
	responseStallTimeout = 250 * time.Millisecond  // to receive a worker's response completely once it has begun
	pollWait             = time.Second             // how long the discovery server may hold a long poll
	pollResponseGrace    = 400 * time.Millisecond  // added to pollWait for the response to arrive
	maxPollRetryDelay    = 500 * time.Millisecond  // between failed polls
	workerCheckInterval  = time.Second             // between health checks of a worker that reported that it drains
)

// Limits on messages.
const (
	maxRequestHeadBytes    = 8 << 10
	maxRequestFields       = 64 // number of header fields
	maxRequestBodyBytes    = 16 << 10
	maxPendingRequestBytes = 8 << 10 // buffered beyond the size of one request; see http1.Limits
	maxWorkerResponseBytes = 64 << 10
	maxPollResponseBytes   = 4 << 20 // enough for a list of about 20,000 workers
)

// Options are the parts of a Server that the configuration file doesn't define.
type Options struct {
	Logger        *slog.Logger                                               // nil: logs are discarded
	NewDispatcher func(dispatch.Settings, uint64) (router.Dispatcher, error) // nil: dispatch.New; the number is the seed
	WallClock     wallclock.Clock                                            // nil: the system clock
}

// Server is one running router: the HTTP server, the router's loop, the RESP upstream and the endpoint watcher.
type Server struct {
	cfg        *Config
	logger     *slog.Logger
	upstream   *respupstream.Pool
	router     *router.Router
	watcher    *discovery.Watcher
	httpServer *httpserver.Server
	stopOnce   sync.Once // for Shutdown or Close, whichever comes first
}

// Start starts a router that serves until Shutdown or Close. The HTTP server starts last, when the router has the
// configured endpoints.
func Start(cfg *Config, options Options) (*Server, error) {
	if options.Logger == nil {
		options.Logger = slog.New(slog.DiscardHandler)
	}
	ownConfig := *cfg
	s := &Server{cfg: &ownConfig, logger: options.Logger.With("router", cfg.Name)}
	budget := cfg.Budget()
	if err := s.startRouter(budget, options); err != nil {
		return nil, err
	}
	err := s.startWatcher()
	if err == nil {
		err = s.startHTTPServer(budget)
	}
	if err != nil {
		s.Close()
		return nil, err
	}
	s.logger.Info("serving",
		"address", s.httpServer.Addr(),
		"classes", len(cfg.Settings.Classes),
		"clients", budget.ClientConns,
		"worker_connections", budget.WorkerConns,
		"memory", budget.HeapLimit)
	return s, nil
}

// startRouter starts the upstream and the router. On an error, neither is left running.
func (s *Server) startRouter(budget Budget, options Options) error {
	limits := s.cfg.Limits
	s.upstream = respupstream.New(respupstream.Config{
		ConnectTimeout:     limits.ConnectTimeout,
		IdleTimeout:        limits.WorkerIdleTimeout / 2,
		WriteTimeout:       writeTimeout,
		StallTimeout:       responseStallTimeout,
		MaxConns:           budget.WorkerConns,
		MaxRequestsPerConn: limits.RequestsPerConn,
		MaxResponseBytes:   maxWorkerResponseBytes,
		MaxInputBytes:      budget.InputBytes,
		ReceiveBuffer:      budget.SocketBufferBytes,
		Logger:             s.logger,
	})
	var err error
	s.router, err = router.New(router.Config{
		Name:               s.cfg.Name,
		Seed:               s.cfg.Seed,
		Settings:           s.cfg.Settings,
		LoadTimeout:        limits.LoadTimeout,
		HealthCheckTimeout: limits.ConnectTimeout,
		Endpoints:          endpoints.Settings{CheckInterval: workerCheckInterval},
		NewDispatcher:      options.NewDispatcher,
		WallClock:          options.WallClock,
		Logger:             s.logger,
	}, s.upstream)
	if err != nil {
		s.upstream.Close()
		return err
	}
	s.upstream.Attach(s.router)
	return nil
}

// startWatcher starts the endpoint watcher. When it returns, the router has received the configured endpoints.
func (s *Server) startWatcher() (err error) {
	s.watcher, err = discovery.Start(discovery.Config{
		Address:          s.cfg.DiscoveryAddress,
		ConnectTimeout:   s.cfg.Limits.ConnectTimeout,
		PollWait:         pollWait,
		ResponseGrace:    pollResponseGrace,
		MaxRetryDelay:    maxPollRetryDelay,
		MaxResponseBytes: maxPollResponseBytes,
		RouterClock:      s.router,
		OnUpdate:         s.router.UpdateEndpoints,
		OnConfirmed:      s.router.EndpointListConfirmed,
		OnRequested:      s.router.EndpointListRequested,
		Logger:           s.logger,
	}, s.cfg.InitialEndpoints)
	if err == nil {
		s.router.SetEndpointListAttributes(s.watcher.Attributes)
	}
	s.cfg.InitialEndpoints = discovery.PollResponse{} // frees memory; the router has its own copy of the list
	return err
}

// startHTTPServer starts the HTTP server for clients.
func (s *Server) startHTTPServer(budget Budget) (err error) {
	classes := map[string]dispatch.Idempotency{}
	for _, class := range s.cfg.Settings.Classes {
		classes[class.Name] = class.Idempotency
	}
	s.httpServer, err = httpserver.Listen(httpserver.Config{
		Address:        s.cfg.ListenAddress,
		Classes:        classes,
		MaxConnections: budget.ClientConns,
		Limits: http1.Limits{Head: maxRequestHeadBytes, Fields: maxRequestFields, Body: maxRequestBodyBytes,
			Pending: maxPendingRequestBytes},
		RequestTimeout:     firstRequestTimeout,
		IdleTimeout:        clientIdleTimeout,
		WriteTimeout:       writeTimeout,
		ReceiveBufferBytes: budget.SocketBufferBytes,
		MaxInputBytes:      budget.InputBytes,
		Logger:             s.logger,
	}, s.router)
	return err
}

// UpdateConfig applies the discovery server's address of a new configuration, which is the only setting that may change
// while the router serves. It ignores the other settings.
func (s *Server) UpdateConfig(cfg *Config) {
	s.logger.Info("configuration reloaded", "discovery_address", cfg.DiscoveryAddress)
	s.watcher.SetAddress(cfg.DiscoveryAddress)
}
