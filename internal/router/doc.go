// Package router runs one router: an event loop that owns the dispatcher (package dispatch), the calls in flight and
// the timers.
//
// Each turn of the loop runs the queued work and the due timers, passes the resulting events to Step of the dispatcher,
// and executes the actions that Step returns. All decisions are the dispatcher's.
//
// The loop owns all state except the queue, which has a mutex. Exported methods may be called from any goroutine; they
// post closures to the queue. The loop must never block, so the methods of Upstream, Client and Gossip that it calls
// must not block either.
//
// Servers submit calls (Submit), an upstream reports the progress of attempts (ResponseStarted, AttemptEnded),
// discovery updates the endpoint list (UpdateEndpoints, SetEndpoints), and gossip exchanges suspicions (ApplyGossip,
// VerifyWorker). internal/httprouter and internal/grpcgateway start a router and shut it down.
package router
