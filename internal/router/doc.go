// Package router runs one router: a loop that owns the dispatcher (package dispatch), the calls under way and one timer.
//
// Job: each turn of the loop runs the work that is queued and the timers that are due, passes the resulting events to one
// Step of the dispatcher, and carries out the actions that it returns. The router takes no decision itself.
//
// State: all of it belongs to the loop, except for the queue, which has a mutex. Exported methods may be called from any
// goroutine; they post closures to the queue. The loop must never block, so neither do the methods of Upstream, Client and
// Gossip that it calls.
//
// Callers: servers submit calls (Submit), an upstream reports how attempts end (ResponseStarted, AttemptEnded), discovery
// updates the endpoint list (UpdateEndpoints, SetEndpoints), and gossip exchanges suspicions (ApplyGossip, VerifyWorker).
// internal/httprouter and internal/grpcgateway start a router and shut it down.
package router
