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
	StartedAt time.Duration // when its process last started; 0 means long ago
}

// LoadReport is a worker's report of its own load, in requests or loads. A negative value was not reported.
type LoadReport struct {
	InFlight, Queued, Loading float64
}

// NoLoadReport is a LoadReport without any reported value.
var NoLoadReport = LoadReport{InFlight: -1, Queued: -1, Loading: -1}

// Result is the result of an attempt, a load command or a health check.
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

// resultNames holds the names of the results in logs and metrics.
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

// provesNotRun reports whether r proves that the attempt never ran.
func (r Result) provesNotRun() bool {
	return r == Rejected || r == ConnectFailed || r == NotSent || r == NotResident
}

// CacheStatus reports whether the copy of the function that served a response had to be loaded first.
type CacheStatus int

// The cache statuses.
const (
	CacheUnknown     CacheStatus = iota
	CacheHit                     // a copy was already loaded
	CacheLoadStarted             // the request started a load
	CacheLoadJoined              // the request waited for a load that another request had started
	CacheLoadFailed              // the load that the request waited for failed
)

// Event is an input of Dispatcher.Step: one of the types below.
type Event interface{ event() }

// Request is a new request. It gets exactly one final answer: the response of its first OK attempt, a RejectRequest or
// a FailRequest.
type Request struct {
	ID                     RequestID
	Function               string
	Class                  string
	Tenant                 string
	MemoryMB               float64       // of one loaded copy of the function
	ConcurrencyPerInstance int           // requests that one copy runs at a time
	LoadTime               time.Duration // usual time of a load; 0 means unknown
	ExpectedWork           time.Duration // run time on a standard core; 0 means unknown
	RemainingDeadline      time.Duration // until the client gives up
}

// AttemptEnded reports the end of an attempt. There is exactly one for each StartAttempt.
type AttemptEnded struct {
	ID               RequestID
	Attempt          int
	Worker           string
	Result           Result
	Duration         time.Duration
	Final            bool          // the request has its final answer
	ConnectedAt      time.Duration // when the connection that carried the attempt was opened; 0 means unknown, or none
	CacheStatus      CacheStatus
	FunctionInFlight int // requests of the function that the worker held; -1 means unknown
	LoadReport       LoadReport
}

// RequestCancelled reports that the client has cancelled a request, which needs no answer any more.
type RequestCancelled struct{ ID RequestID }

// ResponseStarted reports that the client has received the start of a streamed response. The request is not retried
// from then on.
type ResponseStarted struct {
	ID       RequestID
	Attempt  int
	Worker   string
	Duration time.Duration // since the attempt was started
}

// FunctionLoaded reports the result of a LoadFunction, successful or not.
type FunctionLoaded struct {
	Worker   string
	Function string
	Result   Result
	Duration time.Duration
	Copies   int // number of copies that are loaded now
}

// HealthChecked reports the result of a CheckHealth.
type HealthChecked struct {
	Worker     string
	Result     Result
	Draining   bool // with an OK result: the worker answered that it is draining
	Duration   time.Duration
	LoadReport LoadReport
}

// EndpointListConfirmed reports that the endpoint list contained all changes up to At. A caller that has sent this event
// once has to keep sending it, together with EndpointListRequested; otherwise the list goes out of date. If a caller
// never sends it, the list always counts as current.
type EndpointListConfirmed struct{ At time.Duration }

// EndpointListRequested reports that the list was requested at At, for the first time or after a failed request. The
// answer is an EndpointListConfirmed with the same time.
type EndpointListRequested struct{ At time.Duration }

// ConnectionLost reports that a connection to a worker was closed, but not by this router. Each attempt on it still gets
// its AttemptEnded.
type ConnectionLost struct{ Worker string }

// ConnectionsChanged reports that a connection to a worker was opened or closed, by whichever side. OldestOpenedAt is when
// the oldest of those that may carry attempts was opened; 0 means that there is none. If a caller never sends this event,
// connections are not used as evidence.
type ConnectionsChanged struct {
	Worker         string
	OldestOpenedAt time.Duration
}

// EndpointUpdate carries the endpoint list or changes of it.
type EndpointUpdate struct {
	Snapshot         bool // Endpoints is the complete list: workers that are not in it have been removed
	SubscriptionLost bool
	Endpoints        []Endpoint
}

// GossipUpdate carries reports of other routers.
type GossipUpdate struct {
	Routers          int      // the highest number of live routers seen so far, 0 means unknown; it can only lower limits
	SuspectedWorkers []string // workers that did not answer a health check of this router either
}

// ShutdownStarted reports that this router shuts down. Each open request gets its final answer within AnswerWithin.
type ShutdownStarted struct{ AnswerWithin time.Duration }

// TimerFired reports that the timer of the last SetTimer has expired.
type TimerFired struct{}

func (Request) event()               {}
func (AttemptEnded) event()          {}
func (RequestCancelled) event()      {}
func (ResponseStarted) event()       {}
func (FunctionLoaded) event()        {}
func (HealthChecked) event()         {}
func (ConnectionLost) event()        {}
func (ConnectionsChanged) event()    {}
func (EndpointListConfirmed) event() {}
func (EndpointListRequested) event() {}
func (EndpointUpdate) event()        {}
func (GossipUpdate) event()          {}
func (ShutdownStarted) event()       {}
func (TimerFired) event()            {}
