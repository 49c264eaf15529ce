package dispatch

import (
	"errors"
	"fmt"
	"math"
	"math/rand/v2"
	"time"
)

// This file holds what a Dispatcher remembers. It takes no decision and has no tuned value.

// Dispatcher decides for one router. See the package comment for its caller's duties.
type Dispatcher struct {
	settings Settings
	random   *rand.Rand
	now      time.Duration
	started  bool     // the first Step has begun
	actions  []Action // of the Step under way
	timers   timers
	timerDue time.Duration // of the SetTimer in force; 0: none

	workers         map[string]*worker
	activeWorkers   []*worker          // those that attempts may go to, sorted by id
	suspectedCount  int                // of activeWorkers
	removedWorkers  map[string]*worker // those that the endpoint list no longer has, until they are forgotten
	changedWorkers  []*worker          // those whose state changed in the endpoint update under way
	endpointUpdates int                // counts the endpoint updates
	hashInput       []byte             // scratch space of rendezvousScore

	memoryByKind     map[string]float64
	classes          map[string]*class
	functions        map[string]*function
	functionsInOrder []*function // in the order of their first requests

	requests   map[RequestID]*request
	pending    []*request // those that wait for a worker to become available
	selections int        // counts the calls of selectWorker

	// The two sliding windows of the load rate limit.
	requestTimes     []time.Duration
	loadCommandTimes []time.Duration

	// Measured once every rebalance interval; the counts are of the interval under way.
	lastRebalance  time.Duration
	rebalanceCount float64
	requestRate    float64 // requests of this router a second
	workRate       float64 // seconds of work served a second
	workServed     float64
	servedRate     float64 // requests served a second
	servedCount    float64

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

// worker is what this router knows of one worker.
type worker struct {
	Endpoint
	memoryMB  float64 // of its kind
	active    bool    // it stands in Dispatcher.activeWorkers
	forgotten bool    // it is no longer in Dispatcher.workers
	listedIn  int     // the endpoint update that last listed it, see Dispatcher.endpointUpdates
	chosenIn  int     // the selection whose assigned candidates it was last among, see Dispatcher.selections

	lastHeard   time.Duration // last response of any kind
	lastChecked time.Duration // last health check sent because of a suspicion
	suspected   bool          // held to be unresponsive
	slowness    float64       // logarithm of its response times over the expected ones
	ejections   map[*class]ejection

	reportedAt       time.Duration // of its last load report
	reportedInFlight float64       // requests that it then held
	loadExcess       float64       // logarithm of what it reports over what the others report
	awaitingReport   []*request    // requests that wait for its next load report

	attempts          []*attempt // of this router, in flight, oldest first
	inFlight          float64    // their weights
	concurrencyLimit  float64    // for inFlight
	pendingLoads      int        // load commands of this router without a result
	remainingCapacity float64    // in MB, while capacity is being assigned

	warmingUp       bool          // started less than Settings.SlowStartDuration ago
	slowStartTokens float64       // seconds of work that may go there while it is warming up
	tokensUpdatedAt time.Duration // when slowStartTokens was brought up to date
}

// ejection keeps a class from a worker.
type ejection struct {
	until               time.Duration
	count               int // ejections of late, for the backoff
	consecutiveTimeouts int // attempts of the class without a response, while others got theirs
}

// function is what this router knows of one function.
type function struct {
	key           string
	lastClass     *class // of its last request
	lastRequestAt time.Duration
	served        bool // it has been served at least once

	memoryMB     float64 // of one copy
	concurrency  float64 // requests that one copy runs at a time
	loadTime     time.Duration
	requestCount int     // in the rebalance interval under way
	requestRate  float64 // requests of this router a second
	logRunTime   float64 // logarithm of the response time over request.workUnit
	meanWorkUnit float64 // seconds
	demand       float64 // memory, in MB, that this router's requests need

	ranking    ranking
	assignment []workerShare
	placements map[*worker]*placement // only where something is resident, in flight or backing off
}

// workerShare is the share of a function's demand that is assigned to a worker.
type workerShare struct {
	worker    *worker
	share     float64
	choiceKey float64 // the least is tried first by the request at hand
}

// placement is a function on a worker.
type placement struct {
	inFlight         int           // attempts of this router
	residentUntil    time.Duration // a copy was seen or used there, and stays until then
	loadCommandedAt  time.Duration // when the load command in flight was sent; 0: there is none
	loadBackoffUntil time.Duration // no load command before
	loadFailures     int           // in a row
	awaitingLoad     []*request    // requests that wait for the load command's result
}

// class is a class of requests.
type class struct {
	Class
	meanWork float64 // seconds, learned
}

// request is a request without its final answer, or with attempts still in flight.
type request struct {
	Request
	function   *function
	class      *class
	acceptedAt time.Duration
	deadline   time.Duration
	workUnit   float64 // seconds that its run time is measured in: its expected work, or one second if that is unknown

	attempts      []*attempt
	inFlight      int
	streaming     *attempt      // the one whose streamed response has begun
	needsAttempt  bool          // it waits for its next attempt
	healthChecked bool          // a worker was checked for it
	backoffs      int           // waits between its attempts so far
	retryOrder    time.Duration // its place among the pending requests, the latest first
	done          bool          // it has its final answer, or needs none
}

// attempt is one attempt of a request.
type attempt struct {
	request           *request
	worker            *worker
	number            int // from 0
	concurrent        int // attempts of this router that were in flight at the worker when it was started
	startedAt         time.Duration
	expectedSeconds   float64
	expectedResident  bool    // the worker was thought to hold the function
	weight            float64 // what it counts against the concurrency limits: the chance that it needs no load
	firstMessageAfter time.Duration
	countedAsTimeout  bool
	ended             bool
	mayHaveRun        bool // of an ended one: nothing proves that it did not run
	failed            bool // no retry goes to its worker
}

// selection is the state of choosing a worker for one request.
type selection struct {
	request           *request
	majoritySuspected bool
	avoidOverloaded   bool
	preferred         *worker // the first that may take the request after a load
	fallback          *worker // the first that is unlikely to serve it
	overloaded        *worker // the first that reports too many requests
	limited           bool    // a worker was passed over at its concurrency limit,
	residentLimited   bool    // and one of these holds the function
	backingOff        bool    // a worker was passed over because a load failed there
}

// New returns a Dispatcher with no knowledge but its settings. All its random draws follow from seed.
func New(s Settings, seed uint64) (*Dispatcher, error) {
	switch {
	case len(s.Classes) == 0:
		return nil, errors.New("dispatch: settings name no class")
	case s.MaxAttempts < 1:
		return nil, fmt.Errorf("dispatch: %d attempts allowed, at least 1 needed", s.MaxAttempts)
	case min(s.LoadRateWindow, s.OverloadWindow, s.SlowStartDuration, s.IdleResidency) < 0:
		return nil, errors.New("dispatch: a duration in the settings is negative")
	}
	s.Routers = max(s.Routers, 1)
	d := &Dispatcher{
		settings:         s,
		random:           rand.New(rand.NewPCG(seed, 0)),
		workers:          map[string]*worker{},
		removedWorkers:   map[string]*worker{},
		memoryByKind:     map[string]float64{},
		classes:          map[string]*class{},
		functions:        map[string]*function{},
		requests:         map[RequestID]*request{},
		meanResponseTime: defaultRunTime.Seconds(),
		logLoadTime:      math.Log(defaultLoadTime.Seconds()),
		fleetLimit:       initialLimit,
		retryBudget:      retryBudgetBurst,
	}
	for _, k := range s.WorkerKinds {
		d.memoryByKind[k.Name] = k.MemoryMB
	}
	for _, c := range s.Classes {
		d.classes[c.Name] = &class{Class: c, meanWork: defaultRunTime.Seconds()}
	}
	return d, nil
}
