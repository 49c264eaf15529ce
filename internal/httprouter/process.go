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
)

const (
	statsInterval    = 5 * time.Second // between two log lines with statistics
	reloadAttempts   = 10
	reloadRetryDelay = 50 * time.Millisecond
	sighupBuffer     = 4 // signals queued during a reload; more would be redundant
)

// Run is the main function of the process. It reads the configuration file at path, serves until ctx is done and then
// shuts down gracefully. The caller must cancel ctx on SIGTERM. Run reloads the file on each SIGHUP, also during the
// shutdown.
func Run(ctx context.Context, path string, logger *slog.Logger) error {
	sighup := catchSignals()
	cfg, err := LoadConfig(path)
	if err != nil {
		return err
	}
	applyProcessLimits(cfg.Budget())
	server, err := Start(cfg, Options{Logger: logger})
	if err != nil {
		return err
	}
	server.serve(ctx, path, sighup, logger)
	return nil
}

// catchSignals returns a channel that receives each SIGHUP. From then on neither SIGHUP nor a second SIGTERM terminates
// the process. Both stay caught after Run has returned, so that they don't interrupt the exit.
func catchSignals() <-chan os.Signal {
	sighup := make(chan os.Signal, sighupBuffer)
	signal.Notify(sighup, syscall.SIGHUP)
	ignored := make(chan os.Signal, 1) // never read: the first SIGTERM ends Run's context
	signal.Notify(ignored, syscall.SIGTERM)
	return sighup
}

// applyProcessLimits sets the process-wide limits.
func applyProcessLimits(budget Budget) {
	runtime.GOMAXPROCS(budget.MaxProcs)
	debug.SetMemoryLimit(budget.HeapLimit)
}

// serve reloads the configuration on signals and logs statistics until ctx is done. Then it shuts the server down and
// returns when the shutdown is complete. It doesn't wait for a reload in progress, which must not delay the exit.
func (s *Server) serve(ctx context.Context, path string, sighup <-chan os.Signal, logger *slog.Logger) {
	stopped := make(chan struct{})
	go s.reloadOnSignal(path, sighup, stopped, logger) // during the shutdown too, as workers may drain
	go s.logStatsUntil(stopped)
	<-ctx.Done()
	s.Shutdown()
	close(stopped)
}

// reloadOnSignal reloads the configuration file at path on each signal, until stopped is closed.
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

// logStatsUntil logs statistics at regular intervals until stopped is closed.
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

// reloadConfig reads the configuration file again. It retries, because the file may be read while it is being written.
func reloadConfig(path string) (cfg *Config, err error) {
	for range reloadAttempts {
		if cfg, err = LoadConfig(path); err == nil {
			return cfg, nil
		}
		time.Sleep(reloadRetryDelay)
	}
	return nil, err
}
