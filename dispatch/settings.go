package dispatch

import "time"

// Idempotency says what repeating a request of a class does.
type Idempotency int

// The kinds of idempotency.
const (
	NonIdempotent   Idempotency = iota // must never run twice
	IdempotentByKey                    // workers of one deduplication scope drop a repeat for a while
	Idempotent                         // may run any number of times
)

// DeduplicationScope is the group of workers that drop each other's repeats of a request that is idempotent by key.
type DeduplicationScope int

// The deduplication scopes.
const (
	ScopeAll DeduplicationScope = iota
	ScopeZone
	ScopeCell
)

// covers reports whether workers a and b drop each other's repeats.
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

// ReportSource says how workers report their load.
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
	DeduplicationWindow time.Duration // how long a repeat of a request that is idempotent by key is dropped
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

// Settings are what a router is told at its start. A duration or rate of zero means that the rule it names does not
// apply.
type Settings struct {
	Zone            string
	Routers         int // routers that share the fleet, this one included
	Classes         []Class
	Tenants         []Tenant
	OverQuotaWeight float64 // priority weight of a request beyond its tenant's share
	WorkerKinds     []WorkerKind

	WorkersLoadOnMiss   bool // a worker that lacks a function loads it; otherwise it answers NotResident
	LoadCommandsAllowed bool
	CacheStatusReported bool          // responses carry a CacheStatus
	IdleResidency       time.Duration // a copy stays loaded for this long after its last use
	LoadRateWindow      time.Duration // span of the load rate limit; 0: no limit
	LoadRateBurst       float64       // load commands per window that are always allowed
	LoadRateRatio       float64       // further load commands for each request in the window

	LoadReports         ReportSource
	CancelAllowed       bool
	HealthChecksAllowed bool
	HealthCheckCost     float64 // price of one health check per request, as a fraction of the weight offered
	HedgingAllowed      bool    // two attempts of a request may be in flight at once
	MaxAttempts         int
	MaxRetryAfter       time.Duration // the longest Retry-After that clients follow; 0: they follow none
	ResponseGrace       time.Duration // a final answer may come this long after the deadline
	DrainGrace          time.Duration // attempts may start this long after a worker was reported as draining

	SlowStartShare    float64       // fraction of its capacity that a worker has, at the least, when it starts
	SlowStartDuration time.Duration // until it has all of its capacity
	OverloadMultiple  float64       // a starting worker fails at this multiple of its present capacity
	OverloadWindow    time.Duration // over which that is measured

	SuspicionsReported      bool // ReportSuspicion actions are wanted
	EndpointsBySubscription bool // endpoint updates come only after a SubscribeEndpoints
}
