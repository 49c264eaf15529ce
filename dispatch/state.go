package dispatch

import (
	"math/rand/v2"
	"time"
)

// This file holds what a Dispatcher remembers. The records of workers, functions and requests stand in worker.go,
// function.go and request.go. None of these files takes a decision or has a tuned value.

// Dispatcher decides for one router. See the package comment for its caller's duties.
type Dispatcher struct {
	settings Settings
	random   *rand.Rand
	now      time.Duration
	started  bool     // the first Step has begun
	actions  []Action // of the Step under way
	timers   timers
	timerDue time.Duration // of the SetTimer in force; 0: none

	list                endpointList
	workers             map[string]*worker
	activeWorkers       []*worker          // those that attempts may go to, sorted by id
	suspectedCount      int                // of activeWorkers
	removedWorkers      map[string]*worker // those that the endpoint list no longer has, until they are forgotten
	changedWorkers      []*worker          // those whose state changed in the endpoint update under way
	endpointUpdateCount int                // counts the endpoint updates
	hashInput           []byte             // scratch space of rendezvousScore

	memoryByKind     map[string]float64
	classes          map[string]*class
	functions        map[string]*function
	functionsInOrder []*function // in the order of their first requests

	requests       map[RequestID]*request
	pending        []*request // those that wait for a worker to become available
	selectionCount int        // counts the calls of selectWorker

	// The two sliding windows of the load rate limit.
	requestTimes     []time.Duration
	loadCommandTimes []time.Duration

	// Measured once every rebalance interval; the counts are of the interval under way.
	lastRebalance   time.Duration
	assignedAt      time.Duration // when capacity was last assigned
	assignmentStale bool          // the fleet has changed since
	rebalanceCount  float64
	requestRate     float64 // requests of this router a second
	workRate        float64 // seconds of work served a second
	workServed      float64
	servedRate      float64 // requests served a second
	servedCount     float64

	// Learned from responses and load reports.
	logLoadTime          float64 // logarithm of the seconds that a load takes
	meanResponseTime     float64 // seconds
	meanReportedInFlight float64 // requests that a worker reports to hold
	residentChance       float64 // chance that a worker holds a copy that this router does not know of

	inFlight    float64 // weighted attempts of this router in flight, see attempt.weight
	fleetLimit  float64 // concurrency limit of an average worker, over all routers
	fleetShare  float64 // this router's share of the fleet's limit: active workers over routers
	retryBudget float64 // retries that may still be started
}

// endpointList is what is known of how current the endpoint list is.
type endpointList struct {
	tracked     bool            // the caller reports on it
	confirmedAt time.Duration   // the list held all changes up to then
	requestedAt []time.Duration // when it was asked for again after failures since then, the oldest first
	pausedUntil time.Duration   // when the process last went on after a pause
	expired     bool            // the list is not believed, as was last reported
}

// seconds converts to a duration.
func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
