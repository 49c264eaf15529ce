package httprouter

import "time"

// logStats logs the router's counters and gauges. The keys are documented in docs/operators/platform.md and must not
// change when a Go name changes.
func (s *Server) logStats() {
	router := s.router.Stats()
	server := s.httpServer.Stats()
	upstream := s.upstream.Stats()
	watcher := s.watcher.Stats()
	memory := readMemoryUse()
	perServedMS := func(sum time.Duration) float64 { return sum.Seconds() * 1000 / float64(max(router.Served, 1)) }
	s.logger.Info("state",
		"list_age_ms", router.ListAge.Milliseconds(),
		"list_expired", router.ListExpired,
		"lease_checks", router.LeaseChecks,
		"drains_reported", router.DrainsReported,
		"restarts_assumed", router.RestartsAssumed,
		"unproven_attempts", router.UnprovenAttempts,
		"calls", router.Calls,
		"served", router.Served,
		"refused", router.Rejected,
		"failed", router.Failed,
		"dropped", router.Cancelled,
		"attempts", router.Attempts,
		"orders", router.Loads,
		"probes", router.HealthChecks,
		"open", router.CallsInFlight,
		"clients", server.Connections,
		"bad", server.BadRequests,
		"evicted", server.Evicted,
		"client_input", server.InputBytes,
		"input_rejected", server.InputRejected,
		"worker_input", upstream.InputBytes,
		"heap", memory.heapObjects,
		"resident", memory.resident,
		"worker_conns", upstream.Conns,
		"worker_open", upstream.InFlight,
		"waiting", upstream.Queued,
		"dials", upstream.Dials,
		"dials_failed", upstream.DialFailures,
		"conns_evicted", upstream.Evicted,
		"conns_idle", upstream.IdleClosed,
		"conns_lost", upstream.Lost,
		"conns_kept", upstream.Kept,
		"broken", upstream.ProtocolErrors,
		"unwritten", upstream.NeverWritten,
		"late", upstream.CancelledInFlight,
		"cursor", watcher.Revision,
		"questions", watcher.Polls,
		"channel_broken", watcher.FailedPolls,
		"out", router.AttemptsInFlight,
		"module_ms", perServedMS(router.ServedDuration),
		"waited_ms", perServedMS(upstream.QueueTime),
		"wire_ms", perServedMS(upstream.ResponseTime))
	if causes := router.Causes.Attributes(); len(causes) > 0 {
		s.logger.Info("causes", causes...)
	}
}
