// Package soak plays schedules of faults against real router processes on the loopback interface and judges what comes
// of it by the five rules.
//
// Job: a Schedule says how large the fleet is, what its settings are, and which faults begin and end at which times. Draw
// makes one from a seed, and the same seed always makes the same schedule. Run starts fake workers, one fake discovery
// server for each router, the routers as processes and clients that send calls at random times of the same seed; it
// carries out the faults and returns a Report. What clients, workers and discovery recorded at their own ends of the
// sockets is judged by package invariants; nothing that a router says of itself is. Shrink removes faults from a schedule
// that fails for as long as it goes on failing.
//
// State: one run owns its fleet, processes and records; nothing outlives it. Runs beside each other use loopback
// addresses of their own.
//
// Not reproducible: the moment at which a message arrives, and so how calls and faults interleave within some
// milliseconds, depends on the machine.
//
// Callers: `topazfront soak` and the tests of this package.
package soak
