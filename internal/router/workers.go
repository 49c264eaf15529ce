package router

import "github.com/topazfront/topazfront/dispatch"

// loadFunction sends a load command to a worker. If the function has not been called recently, the command ends
// immediately as NotSent.
func (r *Router) loadFunction(action dispatch.LoadFunction) {
	startedAt := r.turnTime
	if !r.functions.contains(action.Function) {
		r.events = append(r.events, dispatch.FunctionLoaded{
			Worker:   action.Worker,
			Function: action.Function,
			Result:   dispatch.NotSent,
		})
		return
	}
	r.stats.Loads++
	r.stats.Causes.Loads[action.Cause]++
	if r.debug {
		r.cfg.Logger.Debug("function load started", "endpoint", action.Worker, "function", action.Function,
			"copies", action.Copies, "cause", action.Cause)
	}
	limits := SendLimits{Remaining: r.cfg.LoadTimeout, SendBefore: r.timeAt(action.SendBefore)}
	r.upstream.LoadFunction(action.Worker, action.Function, action.Copies, limits, func(result LoadResult) {
		r.post(func() {
			r.recordAlive(action.Worker, result.Result)
			r.events = append(r.events, dispatch.FunctionLoaded{
				Worker:   action.Worker,
				Function: action.Function,
				Result:   result.Result,
				Duration: r.turnTime - startedAt,
				Copies:   result.Copies,
			})
		})
	})
}

// checkHealth checks a worker's health for the dispatcher. A worker that answers that it is not ready is treated as
// draining until it is ready again.
func (r *Router) checkHealth(action dispatch.CheckHealth) {
	worker := action.Worker
	startedAt := r.turnTime
	r.stats.HealthChecks++
	if action.ForLease {
		r.stats.LeaseChecks++
	}
	r.upstream.CheckHealth(worker, r.cfg.HealthCheckTimeout, func(result HealthResult) {
		r.post(func() {
			r.recordAlive(worker, result.Result)
			r.logHealthCheck(worker, result, action.ForLease)
			draining := result.Result == dispatch.OK && !result.Ready
			if draining {
				r.stats.DrainsReported++
				r.endpoints.WorkerDraining(r.turnTime, worker)
			}
			r.events = append(r.events, dispatch.HealthChecked{
				Worker:     worker,
				Result:     result.Result,
				Draining:   draining,
				Duration:   r.turnTime - startedAt,
				LoadReport: result.Report.LoadReport,
			})
		})
	})
}

// restartAssumed records and logs that the dispatcher assumes a restart of a worker.
func (r *Router) restartAssumed(action dispatch.RestartAssumed) {
	r.stats.RestartsAssumed++
	r.cfg.Logger.Info("worker may have been restarted, slow start begins", "endpoint", action.Worker)
}

// logHealthCheck logs the result of a health check at debug level.
func (r *Router) logHealthCheck(worker string, result HealthResult, forLease bool) {
	if r.debug {
		r.cfg.Logger.Debug("health check ended", "endpoint", worker, "result", result.Result, "ready", result.Ready,
			"for_lease", forLease)
	}
}
