// Package dispatch decides for one router where each request goes, when workers load functions, and how a request
// ends. It follows Algorithm 2.2 of "Consistent Load Balancing Via Spread Minimization" (Kleinberg, Leighton, STOC 2003).
//
// A [Dispatcher] is a state machine without goroutines, clock, I/O or globals; its randomness comes from a seed. Its
// caller has these duties:
//
//   - All calls of [Dispatcher.Step] come from one goroutine at a time.
//   - Events are handed over in the order in which they arrived, with the time of the call. Time is a duration since
//     any fixed moment and never runs backwards.
//   - The returned actions are carried out in their order, at the time of the call. Each [StartAttempt] is answered by
//     exactly one [AttemptEnded], each [LoadFunction] by a [FunctionLoaded], each [CheckHealth] by a [HealthChecked].
//   - After a [SetTimer] has run out, Step is called with a [TimerFired]; the newest SetTimer replaces the ones before.
//   - Events and their slices belong to the caller again when Step returns. The returned slice is valid until the next
//     call.
//
// The interface stands in settings.go, events.go, actions.go and causes.go. What is remembered stands in state.go, worker.go,
// function.go, request.go and timers.go, which take no decision. Every decision and every tuned value stands in the other
// files, which deploy/balancer.toml lists under "policy":
//
//   - dispatcher.go: the step, which passes events on and sets the timer
//   - listfreshness.go, leases.go, leasechecks.go: how long the endpoint list is believed, which workers may get something
//     new, and the health checks that show it while the list can't be reached
//   - endpoints.go, slowstart.go: which workers there are, and how much those that have just started may get
//   - ranking.go, assignment.go, selection.go: the order in which a function prefers workers, the share of its demand
//     that each is assigned, and the choice of one for a request
//   - loading.go: load commands
//   - acceptance.go, attemptrules.go, attempts.go, retries.go, completion.go: a request from its arrival to its answer
//   - limits.go, runtimes.go: concurrency limits, and the run times that they are judged by
//   - loadreports.go, failuredetection.go, ejection.go, gossip.go: what is learned of the workers' health
package dispatch
