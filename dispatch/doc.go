// Package dispatch is the decision core of one router: it chooses a worker for each request, decides when workers
// load functions, and decides how each request ends. It follows Algorithm 2.2 of "Consistent Load Balancing Via
// Spread Minimization" (Kleinberg, Leighton, STOC 2003).
//
// A [Dispatcher] is a deterministic state machine. It has no goroutines, clock, I/O or global state, and its random
// numbers come from a seed. Its caller must follow these rules:
//
//   - Only one goroutine at a time calls [Dispatcher.Step].
//   - Events are passed in the order in which they arrived, with the current time. Time is a duration since an
//     arbitrary fixed moment and never goes backwards.
//   - The returned actions are executed immediately, in order. The caller reports the result of each [StartAttempt]
//     with exactly one [AttemptEnded], of each [LoadFunction] with a [FunctionLoaded], and of each [CheckHealth] with
//     a [HealthChecked].
//   - When the timer of a [SetTimer] expires, the caller calls Step with a [TimerFired]. Each SetTimer replaces the
//     previous one.
//   - The caller may reuse events and their slices after Step returns. The returned slice is valid until the next call.
//
// settings.go, events.go, actions.go and causes.go define the interface. state.go, worker.go, function.go, request.go,
// requestqueue.go and timers.go hold the state and make no decisions. All decisions and tuning constants are in the
// other files, which deploy/balancer.toml lists under "policy":
//
//   - dispatcher.go: Step, which dispatches the events to their handlers and sets the timer
//   - listfreshness.go, leases.go, leasechecks.go: how long the endpoint list counts as current, which workers may get
//     new attempts and load commands, and the health checks that replace the list while it is out of date
//   - endpoints.go, slowstart.go, possiblerestarts.go: the known workers, and the reduced load of those that have just
//     started, or may have been restarted unseen
//   - ranking.go, assignment.go, selection.go: the order in which a function prefers workers, the share of its demand
//     that each worker is assigned, and the choice of a worker for a request
//   - loading.go: load commands
//   - acceptance.go, attemptrules.go, attempts.go, retries.go, completion.go: a request from its arrival to its final
//     answer
//   - limits.go, runtimes.go: concurrency limits, and the run time estimates that they depend on
//   - loadreports.go, failuredetection.go, ejection.go, gossip.go: the health and load of workers
package dispatch
