package httprouter

import "time"

// Shutdown stops the router gracefully. Clients are served normally as long as they may send requests, and each
// accepted call is answered before the platform kills the process. Each phase has a time limit measured from the call
// of Shutdown, so that neither workers nor clients can delay the exit. Shutdown returns the number of calls that the
// dispatcher left without an answer, or 0 if the router has already been stopped.
func (s *Server) Shutdown() (unanswered int) {
	s.stopOnce.Do(func() {
		s.logger.Info("stopping", "calls", s.httpServer.Stats().OpenRequests)
		phases := newShutdownPhases(longestDeadline(s.cfg.Settings.Classes))
		startedAt := time.Now()
		until := func(end time.Duration) time.Duration { return max(end-time.Since(startedAt), 0) }
		s.router.StartShutdown(until(phases.answering))
		time.Sleep(until(phases.accepting))
		unanswered = s.router.Stop(until(phases.stopping))
		time.Sleep(until(min(acceptAfterSIGTERM, phases.draining))) // clients may still send requests
		if !s.httpServer.WaitForDrain(min(until(phases.draining), writeTimeout)) {
			s.logger.Warn("stopped before a client had received its answer")
		}
		s.closeWithin(until(phases.closing))
		s.logger.Info("stopped", "unanswered", unanswered)
	})
	return unanswered
}

// closeWithin closes the sockets of a router that has stopped. It waits no longer than limit, because a pending connect
// to the discovery server may delay the close. The exit of the process closes the remaining sockets.
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

// Close stops the router immediately without answering open calls, as a crash of the process would.
func (s *Server) Close() {
	s.stopOnce.Do(func() {
		s.router.Kill()
		s.closeSockets()
	})
}

// closeSockets stops the parts that Start started, the HTTP server first. After a failed Start some are nil.
func (s *Server) closeSockets() {
	if s.httpServer != nil {
		s.httpServer.Close()
	}
	if s.watcher != nil {
		s.watcher.Close()
	}
	s.upstream.Close()
}
