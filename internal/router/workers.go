package router

import "github.com/topazfront/topazfront/dispatch"

// loadFunction sends a load command to a worker. It ends as NotSent at once if nobody has called the function lately.
func (r *Router) loadFunction(action dispatch.LoadFunction) {
	startedAt := r.now
	if !r.functions.contains(action.Function) {
		r.events = append(r.events, dispatch.FunctionLoaded{
			Worker:   action.Worker,
			Function: action.Function,
			Result:   dispatch.NotSent,
		})
		return
	}
	r.stats.Loads++
	if r.debug {
		r.cfg.Logger.Debug("function load started", "endpoint", action.Worker, "function", action.Function,
			"copies", action.Copies)
	}
	r.upstream.LoadFunction(action.Worker, action.Function, action.Copies, r.cfg.LoadTimeout, func(result LoadResult) {
		r.post(func() {
			r.recordAlive(action.Worker, result.Result)
			r.events = append(r.events, dispatch.FunctionLoaded{
				Worker:   action.Worker,
				Function: action.Function,
				Result:   result.Result,
				Duration: r.now - startedAt,
				Copies:   result.Copies,
			})
		})
	})
}

// checkHealth checks a worker's health for the dispatcher.
func (r *Router) checkHealth(worker string) {
	startedAt := r.now
	r.stats.HealthChecks++
	r.upstream.CheckHealth(worker, r.cfg.HealthCheckTimeout, func(result HealthResult) {
		r.post(func() {
			r.recordAlive(worker, result.Result)
			r.events = append(r.events, dispatch.HealthChecked{
				Worker:     worker,
				Result:     result.Result,
				Duration:   r.now - startedAt,
				LoadReport: result.Report.LoadReport,
			})
		})
	})
}
