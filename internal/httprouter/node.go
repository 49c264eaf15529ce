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
	firstWithin  = 1500 * time.Millisecond // a client's first request must be whole by then
	idleClient   = 4500 * time.Millisecond // beyond the 4 s after which clients close by themselves
	writeWithin  = time.Second             // a peer must take what it is sent
	stallWithin  = 250 * time.Millisecond  // an answer that began must be whole
	channelBlock = time.Second             // the command channel may hold a question for so long,
	channelGrace = 400 * time.Millisecond  // and its answer may take so much longer
	channelPause = 500 * time.Millisecond  // most between questions that fail
	acceptFor    = 1200 * time.Millisecond // clients still come so long after SIGTERM
	killedAfter  = 3 * time.Second         // SIGKILL follows SIGTERM by the longest deadline, this where that is longer,
	killedSpare  = 500 * time.Millisecond  // and by more than this beyond
	settleFor    = 200 * time.Millisecond  // the module's last answers come within this beyond the longest deadline
)

// Options are what does not stand in the configuration.
type Options struct {
	Log     *slog.Logger
	Decider func(dispatch.Settings, uint64) (router.Dispatcher, error) // nil: the module
}

// Node is one running router.
type Node struct {
	cfg    *Config
	log    *slog.Logger
	pool   *respupstream.Pool
	router *router.Router
	feed   *discovery.Feed
	front  *httpserver.Front
	once   sync.Once
}

// Start runs a router until Stop.
func Start(cfg *Config, o Options) (*Node, error) {
	if o.Log == nil {
		o.Log = slog.New(slog.DiscardHandler)
	}
	n := &Node{cfg: cfg, log: o.Log.With("router", cfg.Name)}
	share := cfg.Shares()
	n.pool = respupstream.New(respupstream.Config{ConnectTimeout: cfg.Limits.ConnectTimeout, IdleClose: cfg.Limits.IdleClose / 2,
		WriteTimeout: writeWithin, StallAfter: stallWithin, MaxConns: share.Workers, MaxOpen: cfg.Limits.RequestsPerConn,
		MaxAnswer: 64 << 10, Buffer: share.SocketBuffer, Log: n.log})
	var err error
	n.router, err = router.New(router.Config{Name: cfg.Name, Seed: cfg.Seed, Settings: cfg.Settings,
		LoadTimeout: cfg.Limits.LoadTimeout, HealthCheckTimeout: cfg.Limits.ConnectTimeout,
		Endpoints: endpoints.Settings{CheckInterval: time.Second}, NewDispatcher: o.Decider, Logger: n.log}, n.pool)
	if err != nil {
		n.pool.Close()
		return nil, err
	}
	n.pool.Attach(n.router)
	n.feed, err = discovery.Start(discovery.Config{Address: cfg.Channel, Connect: cfg.Limits.ConnectTimeout, Block: channelBlock,
		Grace: channelGrace, Pause: channelPause, MaxBody: 1 << 20, At: n.router.At, Use: n.router.SetEndpoints,
		Log: n.log}, cfg.Known)
	if err == nil {
		classes := map[string]dispatch.Idempotency{}
		for _, c := range cfg.Settings.Classes {
			classes[c.Name] = c.Idempotency
		}
		n.front, err = httpserver.Listen(httpserver.Config{Address: cfg.Listen, Classes: classes, MaxConns: share.Clients,
			Limits: http1.Limits{Head: 8 << 10, Fields: 64, Body: 16 << 10, Pending: 8 << 10}, First: firstWithin,
			Idle: idleClient, Write: writeWithin, Buffer: share.SocketBuffer, Log: n.log}, n.router)
	}
	if err != nil {
		n.Kill()
		return nil, err
	}
	n.log.Info("serving", "address", n.front.Addr(), "classes", len(cfg.Settings.Classes), "clients", share.Clients,
		"worker connections", share.Workers, "memory", share.Memory)
	return n, nil
}

// Addr is the address that clients connect to.
func (n *Node) Addr() string { return n.front.Addr() }

// Move follows a new configuration: the channel's address is all that may change in service.
func (n *Node) Move(cfg *Config) {
	n.log.Info("new configuration", "channel", cfg.Channel)
	n.feed.Move(cfg.Channel)
}

// Stop ends the router at a planned restart: clients are served as ever until no more of them come, and every call that
// was taken gets its answer before the process is killed. It returns how many had none.
func (n *Node) Stop() (lost int) {
	n.once.Do(func() {
		n.log.Info("stopping", "calls", n.front.Stats().Open)
		limit := time.Duration(0)
		for _, c := range n.cfg.Settings.Classes {
			limit = max(limit, c.Deadline)
		}
		limit = min(limit, killedAfter) + killedSpare
		n.router.StartShutdown(limit)
		accept := min(acceptFor, limit)
		time.Sleep(accept)
		lost = n.router.Stop(limit - accept + settleFor)
		if !n.front.Settle(writeWithin) {
			n.log.Warn("stopped while a client had not taken its answer")
		}
		n.front.Close()
		n.feed.Close()
		n.pool.Close()
		n.log.Info("stopped", "lost", lost)
	})
	return lost
}

// Kill ends the router as the death of its process would.
func (n *Node) Kill() {
	n.once.Do(func() {
		n.router.Kill()
		if n.front != nil {
			n.front.Close()
		}
		if n.feed != nil {
			n.feed.Close()
		}
		n.pool.Close()
	})
}

// Run is the life of the process: it serves by the file until SIGTERM, and follows it at each SIGHUP.
func Run(ctx context.Context, path string, log *slog.Logger) error {
	hup := make(chan os.Signal, 4)
	signal.Notify(hup, syscall.SIGHUP)
	defer signal.Stop(hup)
	cfg, err := Load(path)
	if err != nil {
		return err
	}
	share := cfg.Shares()
	runtime.GOMAXPROCS(share.Procs)
	debug.SetMemoryLimit(share.Memory)
	if err := netpoll.Configure(netpoll.Config{PollerNum: 1, BufferSize: 4 << 10, LoggerOutput: quiet{log}}); err != nil {
		return err
	}
	n, err := Start(cfg, Options{Log: log})
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
				n.Stop()
				close(ended)
			}()
		case <-ended:
			return nil
		case <-hup:
			next, err := reload(path)
			if err != nil {
				log.Warn("new configuration refused; the one before stands", "error", err)
				continue
			}
			n.Move(next)
		case <-tick.C:
			n.report()
		}
	}
}

// reload reads the file again. One that is being written is looked at a few times.
func reload(path string) (cfg *Config, err error) {
	for range 10 {
		if cfg, err = Load(path); err == nil {
			return cfg, nil
		}
		time.Sleep(50 * time.Millisecond)
	}
	return nil, err
}

// report logs what the router holds and has done.
func (n *Node) report() {
	r, f, p, c := n.router.Stats(), n.front.Stats(), n.pool.Stats(), n.feed.Stats()
	each := func(d time.Duration) float64 { return d.Seconds() * 1000 / float64(max(r.Served, 1)) }
	n.log.Info("state", "calls", r.Calls, "served", r.Served, "refused", r.Rejected, "failed", r.Failed, "dropped", r.Cancelled,
		"attempts", r.Attempts, "orders", r.Loads, "probes", r.HealthChecks, "open", r.Open, "clients", f.Conns, "bad", f.Bad,
		"evicted", f.Evicted, "worker_conns", p.Conns, "worker_open", p.Open, "waiting", p.Waiting, "dials", p.Dials,
		"dials_failed", p.Failed, "broken", p.Broken, "unwritten", p.Unwritten, "late", p.Late, "cursor", c.Cursor,
		"questions", c.Questions, "channel_broken", c.Broken,
		"out", r.AttemptsInFlight, "module_ms", each(r.ServedDuration), "waited_ms", each(p.Waited), "wire_ms", each(p.Wire))
}

// quiet takes netpoll's own log lines.
type quiet struct{ log *slog.Logger }

func (q quiet) Write(p []byte) (int, error) {
	q.log.Debug("netpoll", "line", string(p))
	return len(p), nil
}
