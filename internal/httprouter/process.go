package httprouter

import (
	"context"
	"log/slog"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/cloudwego/netpoll"
)

const (
	statsInterval     = 5 * time.Second // between two lines of statistics in the log
	reloadAttempts    = 10
	reloadRetryDelay  = 50 * time.Millisecond
	netpollPollers    = 1
	netpollBufferSize = 4 << 10 // bytes of a connection's first buffer
	sighupBuffer      = 4       // signals that wait while the configuration is being reloaded; more make no difference
)

// Run is the main function of the process. It serves by the configuration file at path until ctx is done, which SIGTERM
// should cause, and then shuts down gracefully. It reloads the file on each SIGHUP, during the shutdown as well.
func Run(ctx context.Context, path string, logger *slog.Logger) error {
	sighup := catchSignals()
	cfg, err := LoadConfig(path)
	if err != nil {
		return err
	}
	if err := applyProcessLimits(cfg.Budget(), logger); err != nil {
		return err
	}
	server, err := Start(cfg, Options{Logger: logger})
	if err != nil {
		return err
	}
	server.serve(ctx, path, sighup, logger)
	return nil
}

// catchSignals returns a channel that gets a value for each SIGHUP. From then on neither SIGHUP nor a further SIGTERM ends
// the process. They stay caught after Run has returned, so that they don't cut off the exit either.
func catchSignals() <-chan os.Signal {
	sighup := make(chan os.Signal, sighupBuffer)
	signal.Notify(sighup, syscall.SIGHUP)
	ignored := make(chan os.Signal, 1) // never read: the first SIGTERM ends Run's context
	signal.Notify(ignored, syscall.SIGTERM)
	return sighup
}

// applyProcessLimits sets what applies to the whole process, before the first socket is opened.
func applyProcessLimits(budget Budget, logger *slog.Logger) error {
	runtime.GOMAXPROCS(budget.MaxProcs)
	debug.SetMemoryLimit(budget.HeapLimit)
	return netpoll.Configure(netpoll.Config{
		PollerNum:    netpollPollers,
		BufferSize:   netpollBufferSize,
		LoggerOutput: netpollLog{logger},
	})
}

// serve shuts the server down when ctx is done, and returns when that has ended. Until then it reloads the configuration on
// signals and logs statistics. It does not wait for a reload under way, which must not delay the exit.
func (s *Server) serve(ctx context.Context, path string, sighup <-chan os.Signal, logger *slog.Logger) {
	stopped := make(chan struct{})
	go s.reloadOnSignal(path, sighup, stopped, logger) // also during a shutdown, when workers may still drain
	go s.logStatsUntil(stopped)
	<-ctx.Done()
	s.Shutdown()
	close(stopped)
}

// reloadOnSignal applies the configuration file at path at each signal, until stopped is closed.
func (s *Server) reloadOnSignal(path string, sighup <-chan os.Signal, stopped <-chan struct{}, logger *slog.Logger) {
	for {
		select {
		case <-stopped:
			return
		case <-sighup:
		}
		cfg, err := reloadConfig(path)
		if err != nil {
			logger.Warn("configuration reload failed, keeping the previous one", "error", err)
			continue
		}
		s.UpdateConfig(cfg)
	}
}

// logStatsUntil logs statistics until stopped is closed.
func (s *Server) logStatsUntil(stopped <-chan struct{}) {
	ticker := time.NewTicker(statsInterval)
	defer ticker.Stop()
	for {
		select {
		case <-stopped:
			return
		case <-ticker.C:
			s.logStats()
		}
	}
}

// reloadConfig reads the file again. It retries a few times, because the file may be read while it is being written.
func reloadConfig(path string) (cfg *Config, err error) {
	for range reloadAttempts {
		if cfg, err = LoadConfig(path); err == nil {
			return cfg, nil
		}
		time.Sleep(reloadRetryDelay)
	}
	return nil, err
}

// netpollLog passes netpoll's log lines on at debug level.
type netpollLog struct{ logger *slog.Logger }

func (l netpollLog) Write(line []byte) (int, error) {
	l.logger.Debug("netpoll", "line", string(line))
	return len(line), nil
}
