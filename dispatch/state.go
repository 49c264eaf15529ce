package dispatch

import (
	"math/rand/v2"
	"time"
)

// This file defines the state of a Dispatcher. worker.go, function.go and request.go define the records of workers,
// functions and requests. None of these files makes decisions or has tuning constants.

// Dispatcher is the decision core of one router. The package comment lists the rules that its caller must follow.
type Dispatcher struct {
	settings Settings
	random   *rand.Rand
	now      time.Duration
	started  bool     // Step has been called
	actions  []Action // result of the current Step
	timers   timers
	timerDue time.Duration // when the last SetTimer fires; 0 means that no timer is set

	list                endpointList
	connectionsReported bool          // the caller reports its connections
	proofsNeeded        bool          // connections have to prove that workers were not restarted
	meanTimeRatio       float64       // of the times of responses to the expected times; 0 means unknown
	proofsUpdatedFor    time.Duration // the confirmation of the list for which worker.proof was last updated
	workers             map[string]*worker
	activeWorkers       []*worker          // those that may get attempts, sorted by id
	suspectedCount      int                // number of suspected workers in activeWorkers
	removedWorkers      map[string]*worker // those that the endpoint list no longer has, until they are deleted
	changedWorkers      []*worker          // those whose state changed in the current endpoint update
	endpointUpdateCount int                // number of endpoint updates so far
	hashInput           []byte             // scratch space of rendezvousScore

	memoryByKind     map[string]float64
	classes          map[string]*class
	functions        map[string]*function
	functionsInOrder []*function // in the order of their first requests
	// unservedFunctions is the number of functions that were never served.
	unservedFunctions int

	requests       map[RequestID]*request
	pending        []*request // those that wait for an available worker
	selectionCount int        // number of calls of selectWorker so far
	acceptedCount  int        // number of requests accepted so far

	// Sliding windows of the load rate limit.
	requestTimes     []time.Duration
	loadCommandTimes []time.Duration

	// Rates are measured once per rebalance interval. Counts are of the current interval.
	lastRebalance   time.Duration
	assignedAt      time.Duration // when capacity was last assigned
	assignmentStale bool          // the active workers have changed since
	rebalanceCount  float64
	requestRate     float64 // requests of this router per second
	workRate        float64 // seconds of work served per second
	workServed      float64
	servedRate      float64 // requests served per second
	servedCount     float64

	// Estimates from responses and load reports.
	logLoadTime          float64 // logarithm of the usual time of a load in seconds
	meanResponseTime     float64 // seconds
	meanReportedInFlight float64 // mean number of requests that a worker reports
	residentChance       float64 // chance that a worker holds a copy that this router does not know of

	inFlight    float64 // weighted attempts of this router in flight, see attempt.weight
	fleetLimit  float64 // concurrency limit of an average worker, over all routers
	fleetShare  float64 // this router's share of the fleet's limit: active workers over routers
	retryBudget float64 // retries that may still be started
}

// endpointList tracks how current the endpoint list is.
type endpointList struct {
	confirmed   bool          // the caller confirms the list
	tracked     bool          // the caller confirms the list, and the settings have a drain grace
	confirmedAt time.Duration // the list contained all changes up to this time
	// confirmedInTime is whether the last confirmation was for a time shortly before it.
	confirmedInTime bool
	requestedAt     []time.Duration // requests for the list after confirmedAt, the oldest first
	pausedUntil     time.Duration   // end of the last pause of the process
	expired         bool            // the last EndpointListStateChanged reported that the list is out of date
}

// smooth returns an exponentially weighted mean after one more sample, which has the given weight.
func smooth(mean, sample, weight float64) float64 { return mean + float64(weight*(sample-mean)) }

// seconds converts seconds to a duration.
func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
