package soak

import (
	"math/rand/v2"
	"slices"
	"time"
)

// The parts of a drawn schedule.
const (
	drawnDuration  = 18 * time.Second // of the traffic
	firstFaultAt   = 1500 * time.Millisecond
	lastFaultAt    = 12 * time.Second
	discoveryAfter = 500 * time.Millisecond // least time between two faults of discovery
	drawnSkew      = 1.3
	// The least share of the calls that has to be served. What clients lose beside it are calls at workers that hang, calls
	// in a burst, and, without health checks, most calls while the endpoint list is out of date.
	minServedOfDrains  = 0.95 // with faults of discovery, drains and restarts of routers only
	minServedOfFaults  = 0.6
	minServedUnchecked = 0.2
)

// shape is how a kind of fault is drawn.
type shape struct {
	kind           FaultKind
	shortest, most time.Duration
}

var discoveryShapes = []shape{
	{DiscoveryRefused, 3 * time.Second, 11 * time.Second},
	{DiscoverySilent, 3 * time.Second, 11 * time.Second},
	{DiscoverySlow, 3 * time.Second, 8 * time.Second},
	{DiscoveryCut, 3 * time.Second, 8 * time.Second},
	{DiscoveryGarbage, 3 * time.Second, 8 * time.Second},
	{DiscoveryCrowded, 3 * time.Second, 8 * time.Second},
	{kind: DiscoveryMoved},
	{kind: DiscoveryRestarted},
}

var workerShapes = []shape{
	{WorkerDrained, 1 * time.Second, 9 * time.Second},
	{WorkerDrained, 1 * time.Second, 9 * time.Second}, // three times as often as the others
	{WorkerDrained, 4 * time.Second, 9 * time.Second},
	{WorkerReplaced, 500 * time.Millisecond, 4 * time.Second},
	{WorkerKilled, 300 * time.Millisecond, 3 * time.Second},
	{WorkerHung, 1 * time.Second, 5 * time.Second},
	{WorkerVanished, 1 * time.Second, 5 * time.Second},
	{WorkerSlow, 1 * time.Second, 5 * time.Second},
	{WorkerResets, 1 * time.Second, 4 * time.Second},
}

var routerShapes = []shape{
	{kind: RouterTerminated},
	{kind: RouterKilled},
	{RouterStopped, 700 * time.Millisecond, 2500 * time.Millisecond},
	{kind: RouterReloaded},
	{ConnectionCrowd, 1 * time.Second, 4 * time.Second},
}

var trafficShapes = []shape{
	{TrafficBurst, 1 * time.Second, 3 * time.Second},
	{ClientsLeave, 2 * time.Second, 6 * time.Second},
	{kind: ClockStepped},
}

// DrawSchedule returns the schedule of a seed.
func DrawSchedule(seed uint64) Schedule {
	random := rand.New(rand.NewPCG(seed, 0))
	pick := func(values ...time.Duration) time.Duration { return values[random.IntN(len(values))] }
	s := Schedule{
		Seed:         seed,
		Routers:      1 + random.IntN(4),
		Workers:      6 + random.IntN(12),
		CallRate:     20 + 60*random.Float64(),
		Duration:     drawnDuration,
		FunctionSkew: drawnSkew,
		Settings: Settings{
			DrainGrace:          pick(250*time.Millisecond, 500*time.Millisecond, time.Second, 2*time.Second),
			Deadline:            pick(300*time.Millisecond, 780*time.Millisecond, 1500*time.Millisecond, 3*time.Second),
			HealthChecksAllowed: random.IntN(8) > 0,
		},
	}
	s.Faults = drawDiscoveryFaults(random)
	workerFaults := drawTargeted(random, workerShapes, 2+random.IntN(max(s.Workers/4, 1)+1), s.Workers)
	moveIntoOutage(random, workerFaults, s.Faults[0])
	s.Faults = append(s.Faults, workerFaults...)
	s.Faults = append(s.Faults, drawTargeted(random, routerShapes, random.IntN(s.Routers+1), s.Routers)...)
	s.Faults = append(s.Faults, drawTargeted(random, trafficShapes, random.IntN(3), len(trafficShapes))...)
	slices.SortFunc(s.Faults, func(a, b Fault) int { return int(a.At - b.At) })
	s.MinServedShare = s.leastServed()
	return s
}

// drawDiscoveryFaults draws one or two faults of discovery, one after the other.
func drawDiscoveryFaults(random *rand.Rand) (faults []Fault) {
	at := firstFaultAt + time.Duration(random.Int64N(int64(2*time.Second)))
	for range 1 + random.IntN(2) {
		fault := discoveryShapes[random.IntN(len(discoveryShapes))].draw(random)
		fault.At = at
		faults = append(faults, fault)
		at += fault.Duration + discoveryAfter + time.Duration(random.Int64N(int64(time.Second)))
	}
	return faults
}

// moveIntoOutage lets half of the faults begin while discovery is out of reach.
func moveIntoOutage(random *rand.Rand, faults []Fault, outage Fault) {
	for i := range faults {
		if random.IntN(2) == 0 && outage.Duration > 0 {
			faults[i].At = outage.At + time.Duration(random.Int64N(int64(outage.Duration)))
		}
	}
}

// drawTargeted draws faults of so many different targets.
func drawTargeted(random *rand.Rand, shapes []shape, count, targets int) (faults []Fault) {
	for _, target := range random.Perm(targets)[:min(count, targets)] {
		fault := shapes[random.IntN(len(shapes))].draw(random)
		fault.At = firstFaultAt + time.Duration(random.Int64N(int64(lastFaultAt-firstFaultAt)))
		fault.Target = target
		faults = append(faults, fault)
	}
	return faults
}

// draw returns a fault of the shape, without a time and a target.
func (s shape) draw(random *rand.Rand) Fault {
	fault := Fault{Kind: s.kind, Duration: s.shortest}
	if s.most > s.shortest {
		fault.Duration += time.Duration(random.Int64N(int64(s.most - s.shortest)))
	}
	return fault
}

// leastServed returns the least share of the calls that has to be served.
func (s Schedule) leastServed() float64 {
	if !s.Settings.HealthChecksAllowed {
		return minServedUnchecked
	}
	mild := []FaultKind{WorkerDrained, WorkerReplaced, WorkerKilled, RouterReloaded, RouterTerminated, ClientsLeave, ClockStepped}
	for _, fault := range s.Faults {
		if !fault.Kind.concernsDiscovery() && !slices.Contains(mild, fault.Kind) {
			return minServedOfFaults
		}
	}
	return minServedOfDrains
}
