package soak

import (
	"math/rand/v2"
	"slices"
	"strings"
	"time"
)

// Properties of drawn schedules.
const (
	drawnDuration     = 18 * time.Second // of the traffic
	firstFaultAt      = 1500 * time.Millisecond
	lastFaultAt       = 12 * time.Second
	discoveryFaultGap = 500 * time.Millisecond // minimum time between two faults of discovery
	drawnSkew         = 1.3                    // Schedule.FunctionSkew

	// movedWorkerStream numbers the random stream of drawMovedWorkers, which leaves the other draws as they are.
	movedWorkerStream = 1
	// movedAfter is the time from the start of an outage of discovery until a worker is moved. Routers count as notified
	// of the outage's changes before; until then they may rely on their list.
	movedAfter    = outageNotificationLimit + time.Second
	movedDuration = 2 * time.Second // minimum time for which the moved worker fails calls during the outage

	floodStream   = 2 // numbers the random stream of drawFlood
	floodChance   = 4 // one in this many schedules has a flood
	floodDuration = 4 * time.Second
	// Minimum shares of the calls that have to be served. The remaining calls may be lost at hung workers, in bursts,
	// and, without health checks, while the endpoint list is out of date, which loses most calls.
	minServedWithMildFaults      = 0.95 // only faults of discovery and the mild kinds in requiredServedShare
	minServedWithAnyFaults       = 0.6
	minServedWithoutHealthChecks = 0.2
)

// faultTemplate is a kind of fault with the range from which its duration is drawn.
type faultTemplate struct {
	kind                     FaultKind
	minDuration, maxDuration time.Duration
}

var discoveryTemplates = []faultTemplate{
	{DiscoveryRefused, 3 * time.Second, 11 * time.Second},
	{DiscoverySilent, 3 * time.Second, 11 * time.Second},
	{DiscoverySlow, 3 * time.Second, 8 * time.Second},
	{DiscoveryCut, 3 * time.Second, 8 * time.Second},
	{DiscoveryGarbage, 3 * time.Second, 8 * time.Second},
	{DiscoveryCrowded, 3 * time.Second, 8 * time.Second},
	{kind: DiscoveryMoved},
	{kind: DiscoveryRestarted},
}

var workerTemplates = []faultTemplate{
	{WorkerDrained, 1 * time.Second, 9 * time.Second}, // three entries, so that drains are three times as likely
	{WorkerDrained, 1 * time.Second, 9 * time.Second},
	{WorkerDrained, 4 * time.Second, 9 * time.Second},
	{WorkerReplaced, 500 * time.Millisecond, 4 * time.Second},
	{WorkerKilled, 300 * time.Millisecond, 3 * time.Second},
	{WorkerHung, 1 * time.Second, 5 * time.Second},
	{WorkerVanished, 1 * time.Second, 5 * time.Second},
	{WorkerSlow, 1 * time.Second, 5 * time.Second},
	{WorkerResets, 1 * time.Second, 4 * time.Second},
}

var routerTemplates = []faultTemplate{
	{kind: RouterTerminated},
	{kind: RouterKilled},
	{RouterStopped, 700 * time.Millisecond, 2500 * time.Millisecond},
	{kind: RouterReloaded},
	{ConnectionCrowd, 1 * time.Second, 4 * time.Second},
}

var trafficTemplates = []faultTemplate{
	{TrafficBurst, 1 * time.Second, 3 * time.Second},
	{ClientsLeave, 2 * time.Second, 6 * time.Second},
	{kind: ClockStepped},
}

// DrawSchedule returns the schedule of a seed. The same seed always gives the same schedule.
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
	workerFaults := drawFaultsOfTargets(random, workerTemplates, 2+random.IntN(max(s.Workers/4, 1)+1), s.Workers)
	moveIntoOutage(random, workerFaults, s.Faults[0])
	s.Faults = append(s.Faults, workerFaults...)
	s.Faults = append(s.Faults, drawFaultsOfTargets(random, routerTemplates, random.IntN(s.Routers+1), s.Routers)...)
	s.Faults = append(s.Faults, drawFaultsOfTargets(random, trafficTemplates, random.IntN(3), len(trafficTemplates))...)
	s.Faults = append(s.Faults, drawMovedWorkers(rand.New(rand.NewPCG(seed, movedWorkerStream)), s)...)
	s.Faults = append(s.Faults, drawFlood(rand.New(rand.NewPCG(seed, floodStream)), s)...)
	slices.SortFunc(s.Faults, func(a, b Fault) int { return int(a.At - b.At) })
	s.MinServedShare = s.requiredServedShare()
	return s
}

// drawDiscoveryFaults draws one or two faults of discovery that do not overlap.
func drawDiscoveryFaults(random *rand.Rand) (faults []Fault) {
	at := firstFaultAt + time.Duration(random.Int64N(int64(2*time.Second)))
	for range 1 + random.IntN(2) {
		fault := discoveryTemplates[random.IntN(len(discoveryTemplates))].draw(random)
		fault.At = at
		faults = append(faults, fault)
		at += fault.Duration + discoveryFaultGap + time.Duration(random.Int64N(int64(time.Second)))
	}
	return faults
}

// moveIntoOutage moves each fault, with a probability of one half, into the time of a fault of discovery.
func moveIntoOutage(random *rand.Rand, faults []Fault, discoveryFault Fault) {
	for i := range faults {
		if random.IntN(2) == 0 && discoveryFault.Duration > 0 {
			faults[i].At = discoveryFault.At + time.Duration(random.Int64N(int64(discoveryFault.Duration)))
		}
	}
}

// drawFaultsOfTargets draws count faults, each with a different target.
func drawFaultsOfTargets(random *rand.Rand, templates []faultTemplate, count, targets int) (faults []Fault) {
	for _, target := range random.Perm(targets)[:min(count, targets)] {
		fault := templates[random.IntN(len(templates))].draw(random)
		fault.At = firstFaultAt + time.Duration(random.Int64N(int64(lastFaultAt-firstFaultAt)))
		fault.Target = target
		faults = append(faults, fault)
	}
	return faults
}

// drawMovedWorkers draws, in one of two schedules with a long outage of discovery, a worker that dies during the outage
// and whose address is taken by a worker of another cell. No other fault concerns that worker.
func drawMovedWorkers(random *rand.Rand, s Schedule) (faults []Fault) {
	for _, outage := range s.Faults {
		isOutage := outage.Kind == DiscoveryRefused || outage.Kind == DiscoverySilent
		if !isOutage || outage.Duration < movedAfter+movedDuration || random.IntN(2) == 0 {
			continue
		}
		target := random.IntN(s.Workers)
		isTaken := func(f Fault) bool { return f.Target == target && strings.HasPrefix(string(f.Kind), "worker-") }
		if slices.ContainsFunc(s.Faults, isTaken) || slices.ContainsFunc(faults, isTaken) {
			continue
		}
		faults = append(faults, Fault{Kind: WorkerMoved, At: outage.At + movedAfter, Duration: outage.Duration - movedAfter,
			Target: target})
	}
	return faults
}

// drawFlood draws, in one of floodChance schedules, a router or a worker to which or from which input comes without end.
func drawFlood(random *rand.Rand, s Schedule) []Fault {
	if random.IntN(floodChance) > 0 {
		return nil
	}
	fault := Fault{Kind: ConnectionFlood, Duration: floodDuration, Target: random.IntN(s.Routers)}
	if random.IntN(2) == 0 {
		fault = Fault{Kind: WorkerFloods, Duration: floodDuration, Target: random.IntN(s.Workers)}
	}
	fault.At = firstFaultAt + time.Duration(random.Int64N(int64(lastFaultAt-firstFaultAt)))
	return []Fault{fault}
}

// draw returns a fault with a random duration. The caller sets its time and target.
func (f faultTemplate) draw(random *rand.Rand) Fault {
	fault := Fault{Kind: f.kind, Duration: f.minDuration}
	if f.maxDuration > f.minDuration {
		fault.Duration += time.Duration(random.Int64N(int64(f.maxDuration - f.minDuration)))
	}
	return fault
}

// requiredServedShare returns the share of the calls that has to be served under the faults and settings of the
// schedule.
func (s Schedule) requiredServedShare() float64 {
	if !s.Settings.HealthChecksAllowed {
		return minServedWithoutHealthChecks
	}
	mildKinds := []FaultKind{WorkerDrained, WorkerReplaced, WorkerKilled, RouterReloaded, RouterTerminated,
		ClientsLeave, ClockStepped}
	for _, fault := range s.Faults {
		if !fault.Kind.concernsDiscovery() && !slices.Contains(mildKinds, fault.Kind) {
			return minServedWithAnyFaults
		}
	}
	return minServedWithMildFaults
}
