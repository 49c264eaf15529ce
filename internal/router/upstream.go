package router

import (
	"time"

	"github.com/topazfront/topazfront/dispatch"
	"github.com/topazfront/topazfront/internal/endpoints"
)

// Upstream sends attempts, load commands and health checks to the workers. Only the loop calls its methods, which must
// not block. Results may be reported from any goroutine.
type Upstream interface {
	// StartAttempt sends an attempt of a call to a worker. number counts the call's attempts from 0. The upstream must
	// report the end of the attempt by exactly one Router.AttemptEnded with the token.
	StartAttempt(token AttemptToken, call *Call, worker string, number int, limits SendLimits) UpstreamAttempt
	// LoadFunction commands a worker to hold the given number of copies of a function, and calls done once with the
	// result.
	LoadFunction(worker, function string, copies int, limits SendLimits, done func(LoadResult))
	// CheckHealth requests a worker's readiness and load, and calls done once with the result, at the latest after
	// timeout.
	CheckHealth(worker string, timeout time.Duration, done func(HealthResult))
	// KeepConnections sets whether idle connections to workers are kept. The upstream reports each change of the oldest
	// open connection to a worker by Router.ConnectionsChanged.
	KeepConnections(keep bool)
	// UpdateEndpoints passes the workers that were added to the endpoint list, changed in it or removed from it. A
	// removed worker gets no new connections; a worker that isn't active gets no new attempts.
	UpdateEndpoints(changed []endpoints.Worker)
}

// SendLimits holds the limits of an attempt or load command.
type SendLimits struct {
	Remaining  time.Duration // time until the attempt or load command times out
	SendBefore time.Time     // the first byte must be written before, else the result is NotSent; zero means no limit

	// ConnectedBefore is when the connection must have been opened at the latest, else the result is NotSent; zero means
	// no limit. It applies to attempts.
	ConnectedBefore time.Time

	Unproven bool // the worker may have been restarted unseen; for statistics and logs
}

// Expired reports whether it is too late to write the first byte.
func (l SendLimits) Expired(now time.Time) bool {
	return !l.SendBefore.IsZero() && !now.Before(l.SendBefore)
}

// AllowsConnection reports whether an attempt may be sent on a connection that was opened at a time.
func (l SendLimits) AllowsConnection(openedAt time.Time) bool {
	return l.ConnectedBefore.IsZero() || !openedAt.After(l.ConnectedBefore)
}

// UpstreamAttempt is the router's handle of an attempt. Only the loop calls its methods, which must not block.
type UpstreamAttempt interface {
	// ForwardTo forwards the response to a client: first the buffered part, then further bytes as they arrive. It is
	// called at most once, after Router.ResponseStarted.
	ForwardTo(client Client)
	// Cancel stops waiting for the response. The attempt's end must still be reported once.
	Cancel()
}

// AttemptToken identifies an attempt between the router and its upstream.
type AttemptToken struct{ attempt *attempt }

// AttemptResult is the result of an attempt.
type AttemptResult struct {
	Result         dispatch.Result
	Body           []byte // the part of the response not yet passed to a client; the router takes ownership
	Head           any    // head and trailer of the response, in the form that servers of the same protocol expect
	Trailer        any
	Report         WorkerReport
	WorkerDraining bool      // the worker reported that it is draining
	ConnectedAt    time.Time // when the connection that carried the attempt was opened; zero means unknown, or none
}

// WorkerReport is the load information that a response contains about its worker.
type WorkerReport struct {
	LoadReport       dispatch.LoadReport
	CacheStatus      dispatch.CacheStatus
	FunctionInFlight int // requests of the function in flight at the worker; -1 means unknown
}

// NoWorkerReport is a WorkerReport in which everything is unknown.
var NoWorkerReport = WorkerReport{LoadReport: dispatch.NoLoadReport, FunctionInFlight: -1}

// LoadResult is the result of a load command.
type LoadResult struct {
	Result dispatch.Result
	Copies int // number of copies that the worker now holds
}

// HealthResult is the result of a health check.
type HealthResult struct {
	Result dispatch.Result
	Ready  bool
	Report WorkerReport
}
