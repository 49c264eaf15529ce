package config

import "time"

// Milliseconds is a duration in milliseconds, the unit of the files.
type Milliseconds float64

// Duration converts m to a time.Duration.
func (m Milliseconds) Duration() time.Duration {
	return time.Duration(float64(m) * float64(time.Millisecond))
}

// Gateway holds the settings of one gateway; gateway.schema.json lists its keys. Some keys differ from the Go names;
// they are kept for compatibility with existing files.
type Gateway struct {
	Name         string           `json:"name"`
	Listen       string           `json:"listen"` // host:port of the gRPC server
	Zone         string           `json:"zone"`
	Seed         uint64           `json:"seed"`
	Routers      int              `json:"routers"` // routers that share the fleet, this one included
	Workers      WorkerSettings   `json:"workers"`
	WorkerKinds  []WorkerKind     `json:"kinds"`
	Classes      []Class          `json:"classes"`
	Tenants      []Tenant         `json:"tenants"`
	Models       map[string]Model `json:"models"`
	DefaultModel *Model           `json:"default_model"` // for models that are not listed; nil rejects calls to them
	Loading      LoadingSettings  `json:"loading"`
	LoadReports  string           `json:"reports"` // none, answers or probes
	Limits       Limits           `json:"limits"`
	Safety       SafetySettings   `json:"safety"`
	Gossip       *Gossip          `json:"gossip"` // nil if gossip is off
	Admin        AdminSettings    `json:"control"`
	Log          LogSettings      `json:"log"`
}

// WorkerSettings configure the worker list and the connections to workers.
type WorkerSettings struct {
	File               string       `json:"file"` // path of the worker list, which is reloaded when it changes
	ConnectTimeout     Milliseconds `json:"connect_timeout_ms"`
	MaxConnections     int          `json:"connections"`  // per worker
	CheckInterval      Milliseconds `json:"ask_after_ms"` // between health checks of a worker that reported draining
	HealthCheckTimeout Milliseconds `json:"probe_timeout_ms"`
}

// WorkerKind describes the workers of one kind.
type WorkerKind struct {
	Name     string  `json:"name"`
	MemoryMB float64 `json:"memory_mb"`
}

// Class describes a class of calls.
type Class struct {
	Name                string       `json:"name"`
	LatencyObjective    Milliseconds `json:"aim_ms"`
	Deadline            Milliseconds `json:"deadline_ms"`     // of a call whose client sets none
	PriorityWeight      float64      `json:"worth"`           // of a response within the latency objective
	LateValueFraction   float64      `json:"late_share"`      // of PriorityWeight, for a later response
	Idempotency         string       `json:"effect"`          // safe, keyed or unsafe
	DeduplicationScope  string       `json:"scope,omitempty"` // all, zone or cell; required if Idempotency is keyed
	DeduplicationWindow Milliseconds `json:"window_ms"`       // required if Idempotency is keyed
}

// Tenant describes one tenant.
type Tenant struct {
	Name           string  `json:"name"`
	QuotaPerSecond float64 `json:"quota_per_s"`
	Share          float64 `json:"share"`
}

// Model describes a model that workers load on demand.
type Model struct {
	Class                  string       `json:"class"`
	MemoryMB               float64      `json:"memory_mb"`
	ConcurrencyPerInstance int          `json:"lanes"`
	LoadTime               Milliseconds `json:"load_ms"`
	WorkTime               Milliseconds `json:"work_ms"`
	Versions               []string     `json:"versions,omitempty"`
}

// LoadingSettings configure how models are loaded at workers, and the load rate limit.
type LoadingSettings struct {
	OnCacheMiss         string       `json:"on_miss"` // load or refuse
	CommandsAllowed     bool         `json:"may_order"`
	CacheStatusReported bool         `json:"tells_warm"`
	IdleResidency       Milliseconds `json:"idle_keep_ms"`
	CommandTimeout      Milliseconds `json:"order_timeout_ms"`
	RateWindow          Milliseconds `json:"ration_span_ms"`
	RateBurst           float64      `json:"ration_free"`
	RateRatio           float64      `json:"ration_share"`
}

// Limits bound attempts, messages and streams, and allow or forbid hedging, cancellation and health checks.
type Limits struct {
	MaxAttempts         int          `json:"attempts"`
	HedgingAllowed      bool         `json:"second_copies"`
	CancelAllowed       bool         `json:"cancel"`
	HealthChecksAllowed bool         `json:"probe"`
	MaxRetryAfter       Milliseconds `json:"retry_after_ms"`
	ResponseMargin      Milliseconds `json:"answer_margin_ms"` // part of a client's deadline reserved for the response
	MaxMessageBytes     int          `json:"message_bytes"`
	MaxStreams          uint32       `json:"streams"` // concurrent streams per connection
	StreamWindowBytes   uint32       `json:"stream_window_bytes"`
}

// SafetySettings limit the load of workers that are draining or have just started, and configure overload detection.
type SafetySettings struct {
	DrainGrace        Milliseconds `json:"drain_grace_ms"`
	SlowStartShare    float64      `json:"cold_share"`
	SlowStartDuration Milliseconds `json:"cold_for_ms"`
	OverloadMultiple  float64      `json:"fall_multiple"`
	OverloadWindow    Milliseconds `json:"fall_span_ms"`
}

// AdminSettings configure the admin API.
type AdminSettings struct {
	Socket string `json:"socket"` // path of a Unix socket; empty if the API is not served
}

// LogSettings configure the log.
type LogSettings struct {
	Level  string `json:"level"`  // debug, info, warn or error
	Format string `json:"format"` // text or json
}

// Defaults returns the values of the settings that a file leaves out.
func Defaults() Gateway {
	return Gateway{
		Name:    "router",
		Routers: 1,
		Workers: WorkerSettings{
			ConnectTimeout:     250,
			MaxConnections:     4,
			CheckInterval:      5000,
			HealthCheckTimeout: 1000,
		},
		Loading: LoadingSettings{
			OnCacheMiss:     "load",
			CommandsAllowed: true,
			IdleResidency:   10000,
			CommandTimeout:  10000,
		},
		LoadReports: "answers",
		Limits: Limits{
			MaxAttempts:         5,
			CancelAllowed:       true,
			HealthChecksAllowed: true,
			MaxRetryAfter:       1000,
			ResponseMargin:      10,
			MaxMessageBytes:     16 << 20,
			MaxStreams:          1000,
			StreamWindowBytes:   128 << 10,
		},
		Safety: SafetySettings{
			DrainGrace:        250,
			SlowStartShare:    0.2,
			SlowStartDuration: 15000,
			OverloadMultiple:  2.5,
			OverloadWindow:    1500,
		},
		Log: LogSettings{Level: "info", Format: "text"},
	}
}
