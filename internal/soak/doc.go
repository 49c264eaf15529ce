// Package soak runs real router processes on the loopback interface under schedules of faults and checks the five rules
// of package invariants. It is used by `topazfront soak` and by the tests of this package.
//
// A Schedule holds the size of the fleet, the settings of the routers, and the faults with their start times and
// durations. DrawSchedule makes one from a seed; the same seed always makes the same schedule. Run starts fake workers,
// a fake discovery server for each router, the routers as processes, and clients that send calls at random times drawn
// from the same seed. It injects the faults and returns a Report. The rules are checked on what clients, workers and
// discovery servers recorded at their own ends of the sockets; nothing that a router says about itself is used. Shrink
// removes faults from a failing schedule as long as the rest still fails.
//
// A run owns its fleet, processes and records, and nothing outlives it. Concurrent runs use separate blocks of loopback
// addresses.
//
// The times at which messages arrive, and therefore the order of calls and faults within a few milliseconds, depend on
// the machine and are not reproducible.
package soak
