package dispatch

import "time"

// RequestID identifies one request of one client. The caller never uses an id twice in a Dispatcher's life.
type RequestID uint64

// EndpointState is a worker's state in the endpoint list.
type EndpointState int

// The endpoint states.
const (
	EndpointActive EndpointState = iota
	EndpointDraining
	EndpointRemoved
)

// Endpoint is one worker of the endpoint list.
type Endpoint struct {
	ID        string
	Zone      string
	Kind      string
	Cell      int
	State     EndpointState
	Weight    float64
	StartedAt time.Duration // when its process last started; 0 for long ago
}

// LoadReport is what a worker reports of its load, in requests or loads; a negative field was not reported.
type LoadReport struct {
	InFlight, Queued, Loading float64
}

// NoLoadReport reports nothing.
var NoLoadReport = LoadReport{InFlight: -1, Queued: -1, Loading: -1}

// Result is how an attempt, a load command or a health check ended.
type Result int

// The results. Rejected, ConnectFailed, NotSent and NotResident prove that the attempt never ran.
const (
	OK Result = iota
	Errored
	Rejected // the worker is full, has no memory left, or drains
	TimedOut
	ConnectFailed
	ConnectionReset
	Cancelled
	NotSent
	NotResident // the worker does not hold the function
	resultCount
)

// ResultCount is the number of results.
const ResultCount = int(resultCount)

// resultNames are the results as logs and metrics have them.
var resultNames = [ResultCount]string{
	OK:              "ok",
	Errored:         "error",
	Rejected:        "rejected",
	TimedOut:        "timed_out",
	ConnectFailed:   "connect_failed",
	ConnectionReset: "connection_reset",
	Cancelled:       "cancelled",
	NotSent:         "not_sent",
	NotResident:     "not_resident",
}

func (r Result) String() string { return resultNames[r] }

// provesNotRun reports whether an attempt that ended so never ran.
func (r Result) provesNotRun() bool {
	return r == Rejected || r == ConnectFailed || r == NotSent || r == NotResident
}

// CacheStatus is what a response tells of the copy of the function that served it.
type CacheStatus int

// The cache statuses.
const (
	CacheUnknown     CacheStatus = iota
	CacheHit                     // a copy was loaded
	CacheLoadStarted             // this request started a load
	CacheLoadJoined              // it waited for a load that another request had started
	CacheLoadFailed              // the load that it waited for failed
)

// Event is something that happened: one of the types below.
type Event interface{ event() }

// Request is a new request. It gets exactly one final answer: its first OK attempt, a RejectRequest or a FailRequest.
type Request struct {
	ID                     RequestID
	Function               string
	Class                  string
	Tenant                 string
	MemoryMB               float64       // of one loaded copy of the function
	ConcurrencyPerInstance int           // requests that one copy runs at a time
	LoadTime               time.Duration // usual time of a load; 0: unknown
	ExpectedWork           time.Duration // on a standard core; 0: unknown
	RemainingDeadline      time.Duration // until the client gives up
}

// AttemptEnded is the end of an attempt; each StartAttempt gets exactly one.
type AttemptEnded struct {
	ID               RequestID
	Attempt          int
	Worker           string
	Result           Result
	Duration         time.Duration
	Final            bool // the request has ended
	CacheStatus      CacheStatus
	FunctionInFlight int // requests of the function that the worker held; -1: unknown
	LoadReport       LoadReport
}

// RequestCancelled says that the client has left; the request needs no answer any more.
type RequestCancelled struct{ ID RequestID }

// ResponseStarted says that a streamed response has begun: from now on the attempt belongs to the client.
type ResponseStarted struct {
	ID       RequestID
	Attempt  int
	Worker   string
	Duration time.Duration // since the attempt was started
}

// FunctionLoaded answers a LoadFunction.
type FunctionLoaded struct {
	Worker   string
	Function string
	Result   Result
	Duration time.Duration
	Copies   int // how many are loaded now
}

// HealthChecked answers a CheckHealth.
type HealthChecked struct {
	Worker     string
	Result     Result
	Draining   bool // of an OK: the worker answered that it takes nothing new
	Duration   time.Duration
	LoadReport LoadReport
}

// EndpointListConfirmed says that the endpoint list held all changes up to At. A caller that reports this once has to do so
// regularly, and with EndpointListRequested: without them the list is no longer believed. One that never does is taken
// to have a list that is always complete.
type EndpointListConfirmed struct{ At time.Duration }

// EndpointListRequested says that the list is asked for again at a time, after a failure, or for the first time. A
// confirmation for the same time is the answer.
type EndpointListRequested struct{ At time.Duration }

// ConnectionLost says that a connection to a worker was ended, and not by this router. The attempts on it end by events of
// their own.
type ConnectionLost struct{ Worker string }

// EndpointUpdate brings the endpoint list, or what changed in it.
type EndpointUpdate struct {
	Snapshot         bool // the list is complete: a worker that is absent has been removed
	SubscriptionLost bool
	Endpoints        []Endpoint
}

// GossipUpdate brings what other routers reported.
type GossipUpdate struct {
	Routers          int      // the highest number of live routers seen so far; 0: unknown. It only ever lowers this router's shares
	SuspectedWorkers []string // workers that did not answer a health check of this router either
}

// ShutdownStarted says that this router shuts down: each request, also one that is still to come, gets its final answer
// within AnswerWithin from now.
type ShutdownStarted struct{ AnswerWithin time.Duration }

// TimerFired says that a SetTimer has run out.
type TimerFired struct{}

func (Request) event()               {}
func (AttemptEnded) event()          {}
func (RequestCancelled) event()      {}
func (ResponseStarted) event()       {}
func (FunctionLoaded) event()        {}
func (HealthChecked) event()         {}
func (ConnectionLost) event()        {}
func (EndpointListConfirmed) event() {}
func (EndpointListRequested) event() {}
func (EndpointUpdate) event()        {}
func (GossipUpdate) event()          {}
func (ShutdownStarted) event()       {}
func (TimerFired) event()            {}
