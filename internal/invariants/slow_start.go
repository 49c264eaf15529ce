package invariants

import (
	"math"
	"time"
)

// arrival is an attempt that reached a worker.
type arrival struct {
	at   time.Duration
	work float64 // seconds on a core of speed 1
}

// workerStart is the latest start of a worker, with the attempts that arrived since.
type workerStart struct {
	at       time.Duration
	arrivals []arrival
	reported bool // at most one violation for each start
}

// checkSlowStart checks rule 4: while a worker is warming up, the work that reaches it within any overload window is at
// most the overload multiple of what it can do in that time. One call of the largest class is allowed in addition for
// each router, because routers decide independently.
func (c *checker) checkSlowStart() {
	if c.settings.SlowStartDuration == 0 || c.settings.OverloadWindow == 0 {
		return
	}
	starts := map[string]*workerStart{}
	routers := map[string]bool{}
	largestWork := 0.0
	for _, class := range c.settings.Classes {
		largestWork = max(largestWork, class.MeanWork.Seconds())
	}
	for _, r := range c.records {
		switch r.Kind {
		case CallSent:
			routers[r.Router] = true
		case WorkerStarted:
			starts[r.Worker] = &workerStart{at: r.At}
		case WorkerOverloaded:
			c.report(RuleSlowStart, r, r.At, "worker %s failed under load while it warmed up", r.Worker)
		case AttemptReceived:
			start := starts[r.Worker]
			if start == nil || r.At-start.at > c.settings.SlowStartDuration || start.reported {
				continue
			}
			start.arrivals = append(start.arrivals, arrival{r.At, c.settings.Classes[r.Class].MeanWork.Seconds()})
			c.checkOverloadWindow(r, start, largestWork*float64(len(routers)))
		case FinalAnswer, CallAbandoned, RunStarted, LoadCommandReceived, EndpointNotified, WorkerDraining, WorkerReady,
			RouterKilled, RouterStarted:
			// these neither start a worker nor bring work to one
		}
	}
}

// checkOverloadWindow compares the work in the overload window that ends with r to the worker's current capacity.
func (c *checker) checkOverloadWindow(r Record, start *workerStart, allowance float64) {
	s := c.settings
	age := float64(r.At - start.at)
	share := s.SlowStartShare + (1-s.SlowStartShare)*age/float64(s.SlowStartDuration)
	limit := s.OverloadMultiple * share * s.Capacity[r.Worker] * s.OverloadWindow.Seconds()
	if s.RandomArrivals {
		allowance = randomArrivalAllowance(limit, s.Classes[r.Class].MeanWork.Seconds())
	}
	limit += allowance
	sum := 0.0
	for i := len(start.arrivals) - 1; i >= 0 && start.arrivals[i].at > r.At-s.OverloadWindow; i-- {
		sum += start.arrivals[i].work
	}
	if sum <= limit {
		return
	}
	start.reported = true
	c.report(RuleSlowStart, r, r.At, "worker %s got %.2f s of work within %v while it warmed up, at most %.2f s", r.Worker, sum,
		s.OverloadWindow, limit)
}

// randomArrivalAllowance returns the work, in seconds, by which calls that arrive at random may exceed a limit.
func randomArrivalAllowance(limit, meanWork float64) float64 {
	const fewCalls = 30
	calls := limit / meanWork
	factor := 2.0
	if calls < fewCalls {
		factor = 3
	}
	return (factor*math.Sqrt(calls) + factor) * meanWork
}
