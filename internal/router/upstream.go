package router

import (
	"time"

	"github.com/topazfront/topazfront/dispatch"
	"github.com/topazfront/topazfront/internal/endpoints"
)

// Upstream talks to the workers. Only the loop calls its methods, and they don't block. The outcomes may be
// reported from any goroutine.
type Upstream interface {
	// StartAttempt starts an attempt of a call on a worker. number counts the call's attempts from 0. Its end is reported by
	// exactly one Router.AttemptEnded with the token.
	StartAttempt(token AttemptToken, call *Call, worker string, number int, limits SendLimits) UpstreamAttempt
	// LoadFunction commands a worker to hold copies of a function, and calls done once, with the result.
	LoadFunction(worker, function string, copies int, limits SendLimits, done func(LoadResult))
	// CheckHealth requests a worker's readiness and load, and calls done once, with the result. limit is how long the
	// result is waited for.
	CheckHealth(worker string, limit time.Duration, done func(HealthResult))
	// UpdateEndpoints takes the workers that are new or have changed in the endpoint list, and those that have been
	// removed from it. A removed one gets no new connections; one that isn't active gets no new attempts.
	UpdateEndpoints(changed []endpoints.Worker)
}

// SendLimits are the time limits of what is sent to a worker.
type SendLimits struct {
	Remaining  time.Duration // until an attempt times out, or the result of a load command is no longer waited for
	SendBefore time.Time     // the first byte is written before, or nothing is sent, which ends as NotSent; zero: no limit
}

// Expired reports whether it is too late to write the first byte.
func (l SendLimits) Expired(now time.Time) bool {
	return !l.SendBefore.IsZero() && !now.Before(l.SendBefore)
}

// UpstreamAttempt is the router's handle of an attempt. Only the loop calls its methods, and they don't block.
type UpstreamAttempt interface {
	// ForwardTo forwards the response to a client, first the buffered part and then further bytes as they arrive. It is called
	// at most once, after Router.ResponseStarted.
	ForwardTo(client Client)
	// Cancel stops waiting for the response. The attempt's end is still reported, once.
	Cancel()
}

// AttemptToken identifies an attempt between the router and its upstream.
type AttemptToken struct{ attempt *attempt }

// AttemptResult is how an attempt ended, by the evidence on the wire.
type AttemptResult struct {
	Result         dispatch.Result
	Body           []byte // the part of the response that no client has been passed; the router owns it from now on
	Head           any    // the response's head and trailer, in a form that the servers of the protocol understand
	Trailer        any
	Report         WorkerReport
	WorkerDraining bool // the worker reported that it takes nothing new
}

// WorkerReport is what a response reports of its worker.
type WorkerReport struct {
	LoadReport       dispatch.LoadReport
	CacheStatus      dispatch.CacheStatus
	FunctionInFlight int // requests of the function that the worker held; -1: unknown
}

// NoWorkerReport reports nothing.
var NoWorkerReport = WorkerReport{LoadReport: dispatch.NoLoadReport, FunctionInFlight: -1}

// LoadResult is how a load command ended.
type LoadResult struct {
	Result dispatch.Result
	Copies int // that the worker holds now
}

// HealthResult is how a health check ended.
type HealthResult struct {
	Result dispatch.Result
	Ready  bool
	Report WorkerReport
}
