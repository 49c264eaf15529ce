package httprouter

import "time"

// Times of a graceful shutdown.
const (
	acceptAfterSIGTERM = 1200 * time.Millisecond // new requests keep arriving for so long
	sigkillDelay       = 3 * time.Second         // SIGKILL follows SIGTERM after the longest deadline, or this if that is longer,
	sigkillMargin      = 500 * time.Millisecond  // and after more than this in addition
	finalAnswersGrace  = 200 * time.Millisecond  // the dispatcher's last answers may take so long beyond the limit
)

// Shutdown stops the router gracefully. Clients are served normally until no more of them come, and each call that was
// accepted is answered before the process is killed. It returns the number of calls left without an answer, 0 where
// the router was stopped before.
func (s *Server) Shutdown() (unanswered int) {
	s.stopOnce.Do(func() {
		s.logger.Info("stopping", "calls", s.httpServer.Stats().OpenRequests)
		limit := s.shutdownLimit()
		s.router.StartShutdown(limit)
		accept := min(acceptAfterSIGTERM, limit)
		time.Sleep(accept)
		unanswered = s.router.Stop(limit - accept + finalAnswersGrace)
		if !s.httpServer.WaitForDrain(writeTimeout) {
			s.logger.Warn("stopped before a client had received its answer")
		}
		s.httpServer.Close()
		s.watcher.Close()
		s.upstream.Close()
		s.logger.Info("stopped", "unanswered", unanswered)
	})
	return unanswered
}

// shutdownLimit is the time from SIGTERM by which each call must be answered.
func (s *Server) shutdownLimit() time.Duration {
	longestDeadline := time.Duration(0)
	for _, class := range s.cfg.Settings.Classes {
		longestDeadline = max(longestDeadline, class.Deadline)
	}
	return min(longestDeadline, sigkillDelay) + sigkillMargin
}

// Close stops the router at once and answers no call, as a crash of its process would.
func (s *Server) Close() {
	s.stopOnce.Do(func() {
		s.router.Kill()
		if s.httpServer != nil {
			s.httpServer.Close()
		}
		if s.watcher != nil {
			s.watcher.Close()
		}
		s.upstream.Close()
	})
}
