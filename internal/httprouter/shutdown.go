package httprouter

import "time"

// Shutdown stops the router gracefully. Clients are served normally as long as they may still come, and each accepted call is
// answered before the process is killed. Each phase has an end counted from now, so that neither workers nor clients can
// delay the exit. It returns the number of calls that the dispatcher left without an answer, or 0 if the router was stopped
// before.
func (s *Server) Shutdown() (unanswered int) {
	s.stopOnce.Do(func() {
		s.logger.Info("stopping", "calls", s.httpServer.Stats().OpenRequests)
		phases := newShutdownPhases(longestDeadline(s.cfg.Settings.Classes))
		startedAt := time.Now()
		until := func(end time.Duration) time.Duration { return max(end-time.Since(startedAt), 0) }
		s.router.StartShutdown(until(phases.answering))
		time.Sleep(until(phases.accepting))
		unanswered = s.router.Stop(until(phases.stopping))
		time.Sleep(until(min(acceptAfterSIGTERM, phases.draining))) // clients may still come
		if !s.httpServer.WaitForDrain(min(until(phases.draining), writeTimeout)) {
			s.logger.Warn("stopped before a client had received its answer")
		}
		s.closeWithin(until(phases.closing))
		s.logger.Info("stopped", "unanswered", unanswered)
	})
	return unanswered
}

// closeWithin closes the sockets of a router that has stopped. It waits no longer than limit, because a connect to the
// discovery server may delay the close. The end of the process closes the sockets that are left.
func (s *Server) closeWithin(limit time.Duration) {
	closed := make(chan struct{})
	go func() {
		s.closeSockets()
		close(closed)
	}()
	timer := time.NewTimer(limit)
	defer timer.Stop()
	select {
	case <-closed:
	case <-timer.C:
		s.logger.Warn("stopped before all sockets were closed")
	}
}

// Close stops the router at once and answers no call, as a crash of its process would.
func (s *Server) Close() {
	s.stopOnce.Do(func() {
		s.router.Kill()
		s.closeSockets()
	})
}

// closeSockets closes what Start opened, clients first. After a failed Start a part may be missing.
func (s *Server) closeSockets() {
	if s.httpServer != nil {
		s.httpServer.Close()
	}
	if s.watcher != nil {
		s.watcher.Close()
	}
	s.upstream.Close()
}
