package httprouter

import (
	"context"
	"log/slog"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"sync"
	"syscall"
	"time"

	"github.com/cloudwego/netpoll"

	"github.com/topazfront/topazfront/dispatch"
	"github.com/topazfront/topazfront/internal/discovery"
	"github.com/topazfront/topazfront/internal/endpoints"
	"github.com/topazfront/topazfront/internal/router"
	"github.com/topazfront/topazfront/internal/server/httpserver"
	"github.com/topazfront/topazfront/internal/transport/http1"
	"github.com/topazfront/topazfront/internal/upstream/respupstream"
)

// Times of this package and the parts it puts together. They are bounds of form: none decides where a call goes.
const (
	firstRequestTimeout  = 1500 * time.Millisecond // a client's first request must be whole by then
	clientIdleTimeout    = 4500 * time.Millisecond // beyond the 4 s after which clients close by themselves
	writeTimeout         = time.Second             // a peer must take what it is sent
	responseStallTimeout = 250 * time.Millisecond  // an answer that began must be whole
	pollWait             = time.Second             // the command channel may hold a question for so long,
	pollResponseGrace    = 400 * time.Millisecond  // and its answer may take so much longer
	maxPollRetryDelay    = 500 * time.Millisecond  // most between questions that fail
	acceptAfterSIGTERM   = 1200 * time.Millisecond // clients still come so long after SIGTERM
	sigkillDelay         = 3 * time.Second         // SIGKILL follows SIGTERM by the longest deadline, this where that is longer,
	sigkillMargin        = 500 * time.Millisecond  // and by more than this beyond
	lastAnswersGrace     = 200 * time.Millisecond  // the module's last answers come within this beyond the longest deadline
)

// Options are what does not stand in the configuration.
type Options struct {
	Logger        *slog.Logger
	NewDispatcher func(dispatch.Settings, uint64) (router.Dispatcher, error) // nil: the module
}

// Node is one running router.
type Server struct {
	cfg      *Config
	logger   *slog.Logger
	upstream *respupstream.Pool
	router   *router.Router
	watcher  *discovery.Watcher
	server   *httpserver.Front
	stopOnce sync.Once
}

// Start runs a router until Stop.
func Start(cfg *Config, o Options) (*Server, error) {
	if o.Logger == nil {
		o.Logger = slog.New(slog.DiscardHandler)
	}
	n := &Server{cfg: cfg, logger: o.Logger.With("router", cfg.Name)}
	share := cfg.Budget()
	n.upstream = respupstream.New(respupstream.Config{ConnectTimeout: cfg.Limits.ConnectTimeout, IdleClose: cfg.Limits.IdleClose / 2,
		WriteTimeout: writeTimeout, StallAfter: responseStallTimeout, MaxConns: share.WorkerConns, MaxOpen: cfg.Limits.StreamsPerConn,
		MaxAnswer: 64 << 10, Buffer: share.SocketBufferBytes, Log: n.logger})
	var err error
	n.router, err = router.New(router.Config{Name: cfg.Name, Seed: cfg.Seed, Settings: cfg.Settings,
		LoadTimeout: cfg.Limits.OrderTimeout, HealthCheckTimeout: cfg.Limits.ConnectTimeout,
		Endpoints: endpoints.Settings{CheckInterval: time.Second}, NewDispatcher: o.NewDispatcher, Logger: n.logger}, n.upstream)
	if err != nil {
		n.upstream.Close()
		return nil, err
	}
	n.upstream.Attach(n.router)
	n.watcher, err = discovery.Start(discovery.Config{Address: cfg.DiscoveryAddress, ConnectTimeout: cfg.Limits.ConnectTimeout, PollWait: pollWait,
		ResponseGrace: pollResponseGrace, MaxRetryDelay: maxPollRetryDelay, MaxResponseBytes: 1 << 20, RouterTime: n.router.At, OnUpdate: n.router.SetEndpoints,
		Logger: n.logger}, cfg.InitialEndpoints)
	if err == nil {
		classes := map[string]dispatch.Idempotency{}
		for _, c := range cfg.Settings.Classes {
			classes[c.Name] = c.Idempotency
		}
		n.server, err = httpserver.Listen(httpserver.Config{Address: cfg.ListenAddress, Classes: classes, MaxConns: share.ClientConns,
			Limits: http1.Limits{Head: 8 << 10, Fields: 64, Body: 16 << 10, Pending: 8 << 10}, First: firstRequestTimeout,
			Idle: clientIdleTimeout, Write: writeTimeout, Buffer: share.SocketBufferBytes, Log: n.logger}, n.router)
	}
	if err != nil {
		n.Close()
		return nil, err
	}
	n.logger.Info("serving", "address", n.server.Addr(), "classes", len(cfg.Settings.Classes), "clients", share.ClientConns,
		"worker connections", share.WorkerConns, "memory", share.HeapLimit)
	return n, nil
}

// Addr is the address that clients connect to.
func (n *Server) Addr() string { return n.server.Addr() }

// Move follows a new configuration: the channel's address is all that may change in service.
func (n *Server) UpdateConfig(cfg *Config) {
	n.logger.Info("new configuration", "channel", cfg.DiscoveryAddress)
	n.watcher.SetAddress(cfg.DiscoveryAddress)
}

// Stop ends the router at a planned restart: clients are served as ever until no more of them come, and every call that
// was taken gets its answer before the process is killed. It returns how many had none.
func (n *Server) Shutdown() (lost int) {
	n.stopOnce.Do(func() {
		n.logger.Info("stopping", "calls", n.server.Stats().Open)
		limit := time.Duration(0)
		for _, c := range n.cfg.Settings.Classes {
			limit = max(limit, c.Deadline)
		}
		limit = min(limit, sigkillDelay) + sigkillMargin
		n.router.StartShutdown(limit)
		accept := min(acceptAfterSIGTERM, limit)
		time.Sleep(accept)
		lost = n.router.Stop(limit - accept + lastAnswersGrace)
		if !n.server.Settle(writeTimeout) {
			n.logger.Warn("stopped while a client had not taken its answer")
		}
		n.server.Close()
		n.watcher.Close()
		n.upstream.Close()
		n.logger.Info("stopped", "lost", lost)
	})
	return lost
}

// Kill ends the router as the death of its process would.
func (n *Server) Close() {
	n.stopOnce.Do(func() {
		n.router.Kill()
		if n.server != nil {
			n.server.Close()
		}
		if n.watcher != nil {
			n.watcher.Close()
		}
		n.upstream.Close()
	})
}

// Run is the life of the process: it serves by the file until SIGTERM, and follows it at each SIGHUP.
func Run(ctx context.Context, path string, log *slog.Logger) error {
	hup := make(chan os.Signal, 4)
	signal.Notify(hup, syscall.SIGHUP)
	defer signal.Stop(hup)
	cfg, err := LoadConfig(path)
	if err != nil {
		return err
	}
	share := cfg.Budget()
	runtime.GOMAXPROCS(share.MaxProcs)
	debug.SetMemoryLimit(share.HeapLimit)
	if err := netpoll.Configure(netpoll.Config{PollerNum: 1, BufferSize: 4 << 10, LoggerOutput: netpollLog{log}}); err != nil {
		return err
	}
	n, err := Start(cfg, Options{Logger: log})
	if err != nil {
		return err
	}
	tick := time.NewTicker(5 * time.Second)
	defer tick.Stop()
	term, ended := ctx.Done(), make(chan struct{})
	for {
		select {
		case <-term: // the file and the channel are followed until the end: workers still drain
			term = nil
			go func() {
				n.Shutdown()
				close(ended)
			}()
		case <-ended:
			return nil
		case <-hup:
			next, err := reloadConfig(path)
			if err != nil {
				log.Warn("new configuration refused; the one before stands", "error", err)
				continue
			}
			n.UpdateConfig(next)
		case <-tick.C:
			n.logStats()
		}
	}
}

// reload reads the file again. One that is being written is looked at a few times.
func reloadConfig(path string) (cfg *Config, err error) {
	for range 10 {
		if cfg, err = LoadConfig(path); err == nil {
			return cfg, nil
		}
		time.Sleep(50 * time.Millisecond)
	}
	return nil, err
}

// report logs what the router holds and has done.
func (n *Server) logStats() {
	r, f, p, c := n.router.Stats(), n.server.Stats(), n.upstream.Stats(), n.watcher.Stats()
	each := func(d time.Duration) float64 { return d.Seconds() * 1000 / float64(max(r.Served, 1)) }
	n.logger.Info("state", "calls", r.Calls, "served", r.Served, "refused", r.Rejected, "failed", r.Failed, "dropped", r.Cancelled,
		"attempts", r.Attempts, "orders", r.Loads, "probes", r.HealthChecks, "open", r.Open, "clients", f.Conns, "bad", f.Bad,
		"evicted", f.Evicted, "worker_conns", p.Conns, "worker_open", p.Open, "waiting", p.Waiting, "dials", p.Dials,
		"dials_failed", p.Failed, "broken", p.Broken, "unwritten", p.Unwritten, "late", p.Late, "cursor", c.Revision,
		"questions", c.Polls, "channel_broken", c.FailedPolls,
		"out", r.AttemptsInFlight, "module_ms", each(r.ServedDuration), "waited_ms", each(p.Waited), "wire_ms", each(p.Wire))
}

// quiet takes netpoll's own log lines.
type netpollLog struct{ logger *slog.Logger }

func (q netpollLog) Write(p []byte) (int, error) {
	q.logger.Debug("netpoll", "line", string(p))
	return len(p), nil
}
