package dispatch

import (
	"math/rand/v2"
	"slices"
	"time"
)

// This file holds what a Dispatcher remembers, with plain accessors. It takes no decision and has no tuned value.

// Dispatcher decides for one router. See the package comment for its caller's duties.
type Dispatcher struct {
	settings Settings
	random   *rand.Rand
	now      time.Duration
	started  bool     // the first Step has begun
	actions  []Action // of the Step under way
	timers   timers
	timerDue time.Duration // of the SetTimer in force; 0: none

	workers          map[string]*worker
	activeWorkers    []*worker // those that attempts may go to, sorted by id
	endpointsVersion int       // counts the changes of activeWorkers
	memoryByKind     map[string]float64
	classes          map[string]*class
	functions        map[string]*function
	functionsInOrder []*function // in the order of their first requests

	requests map[RequestID]*request
	pending  []*request // those that wait for a worker to become available

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
	hashScore uint64  // in the ranking that is being made

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

	ranked        []*worker // activeWorkers in the order of the rendezvous hash
	rankedVersion int       // the endpointsVersion that ranked belongs to
	assignment    []workerShare
	placements    map[string]*placement // by worker
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

func (d *Dispatcher) emit(a Action) { d.actions = append(d.actions, a) }

// setRequestTimer has requestTimerFired called for a request, at the earliest in the next moment.
func (d *Dispatcher) setRequestTimer(r *request, at time.Duration) {
	d.timers.set(max(at, d.now+1), r.ID)
}

// failedOn reports whether an attempt of r failed at w or is in flight there.
func (r *request) failedOn(w *worker) bool {
	return slices.ContainsFunc(r.attempts, func(a *attempt) bool { return a.worker == w && (a.failed || !a.ended) })
}

// mayHaveRun reports whether an attempt of r may have run or may be running.
func (r *request) mayHaveRun() bool {
	return slices.ContainsFunc(r.attempts, func(a *attempt) bool { return !a.ended || a.mayHaveRun })
}

// placementOn returns the placement of f on w.
func (f *function) placementOn(w *worker) *placement {
	p := f.placements[w.ID]
	if p == nil {
		p = &placement{}
		f.placements[w.ID] = p
	}
	return p
}

// heard notes that w has responded.
func (d *Dispatcher) heard(w *worker) {
	w.lastHeard, w.suspected = d.now, false
}

// removeAttempt takes a out of the attempts in flight at its worker.
func (w *worker) removeAttempt(a *attempt) {
	w.attempts = slices.DeleteFunc(w.attempts, func(other *attempt) bool { return other == a })
}

// seconds converts to a duration.
func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
