package dispatch

import "time"

// Idempotency is whether a request of a class may run more than once.
type Idempotency int

// The kinds of idempotency.
const (
	NonIdempotent   Idempotency = iota // must never run twice
	IdempotentByKey                    // workers of one deduplication scope drop repeats within a time window
	Idempotent                         // may run any number of times
)

// DeduplicationScope is the group of workers that recognize and drop repeats of a request that is idempotent by key.
type DeduplicationScope int

// The deduplication scopes.
const (
	ScopeAll DeduplicationScope = iota
	ScopeZone
	ScopeCell
)

// covers reports whether b drops a repeat of a request that ran on a.
func (s DeduplicationScope) covers(a, b Endpoint) bool {
	switch s {
	case ScopeAll:
		return true
	case ScopeZone:
		return a.Zone == b.Zone
	case ScopeCell:
		return a.Cell == b.Cell
	}
	return false
}

// ReportSource is how workers report their load.
type ReportSource int

// The sources of load reports.
const (
	ReportsNone ReportSource = iota
	ReportsWithResponses
	ReportsFromHealthChecks
)

// Class is a class of requests. A response within LatencyObjective earns PriorityWeight; a later one, up to Deadline,
// earns LateValueFraction of it.
type Class struct {
	Name                string
	LatencyObjective    time.Duration
	Deadline            time.Duration
	PriorityWeight      float64
	LateValueFraction   float64
	Idempotency         Idempotency
	DeduplicationScope  DeduplicationScope
	DeduplicationWindow time.Duration // how long repeats of a request that is idempotent by key are dropped
}

// Tenant is one of several customers that share the fleet.
type Tenant struct {
	Name           string
	QuotaPerSecond float64 // requests over all routers that count as within the tenant's share
	Share          float64
}

// WorkerKind is a kind of worker.
type WorkerKind struct {
	Name     string
	MemoryMB float64
}

// Settings configure a Dispatcher. A duration or rate of zero disables the rule that it belongs to.
type Settings struct {
	Zone            string
	Routers         int // routers that share the fleet, including this one
	Classes         []Class
	Tenants         []Tenant
	OverQuotaWeight float64 // priority weight of a request beyond its tenant's share
	WorkerKinds     []WorkerKind

	WorkersLoadOnMiss   bool // a worker without the function loads it; otherwise the attempt ends as NotResident
	LoadCommandsAllowed bool
	CacheStatusReported bool          // responses carry a CacheStatus
	IdleResidency       time.Duration // a copy stays loaded for this long after its last use
	LoadRateWindow      time.Duration // sliding window of the load rate limit; 0 means no limit
	LoadRateBurst       float64       // load commands per window that are always allowed
	LoadRateRatio       float64       // additional load commands per request in the window

	LoadReports         ReportSource
	CancelAllowed       bool
	HealthChecksAllowed bool
	HealthCheckCost     float64 // cost of one health check per request, as a fraction of the offered priority weight
	HedgingAllowed      bool    // two attempts of a request may be in flight at once
	MaxAttempts         int
	MaxRetryAfter       time.Duration // the longest Retry-After that clients obey; 0 means that they obey none
	ResponseGrace       time.Duration // a final answer may arrive this long after the deadline
	DrainGrace          time.Duration // a worker may get attempts for this long after it was reported as draining

	SlowStartShare    float64       // minimum fraction of its capacity that a worker has when it starts
	SlowStartDuration time.Duration // time from the start of a worker until it has its full capacity
	OverloadMultiple  float64       // a starting worker fails at this multiple of its present capacity
	OverloadWindow    time.Duration // window over which the load of a starting worker is measured

	SuspicionsReported      bool // Step returns ReportSuspicion actions
	EndpointsBySubscription bool // endpoint updates arrive only after a SubscribeEndpoints
}
