// Package scenario runs scripted scenarios over loopback sockets: a fleet of fake workers, routers, clients and an
// endpoint list, with faults injected at set times. The five rules of package invariants are then checked on what
// clients, workers and the endpoint list recorded at their own ends of the sockets.
//
// A scenario is a JSON file (see Parse); the folder scenarios holds those embedded in the program. Run runs one and
// returns its Report. All random choices are drawn from the scenario's seed, but runs happen in real time, so two runs
// of the same scenario differ in detail.
package scenario

import "time"

// Seconds is a duration in seconds, as in scenario files.
type Seconds float64

// Duration converts s to a time.Duration.
func (s Seconds) Duration() time.Duration { return seconds(float64(s)) }

// Values of Class.Idempotency that this package compares with.
const (
	idempotent      = "safe"
	idempotentByKey = "keyed"
)

// Scenario is the content of a scenario file.
type Scenario struct {
	Name         string       `json:"name"`
	Description  string       `json:"about"`
	Seed         uint64       `json:"seed"`
	Length       Seconds      `json:"length_s"`
	Routers      int          `json:"routers"`
	Fleet        Fleet        `json:"fleet"`
	Store        Store        `json:"store"`
	Classes      []Class      `json:"classes"`
	Traffic      Traffic      `json:"traffic"`
	EndpointList EndpointList `json:"list"`
	Limits       Limits       `json:"rules"`
	Gossip       *Gossip      `json:"gossip,omitempty"` // nil disables gossip between the routers
	Faults       []Fault      `json:"troubles"`
}

// Fleet describes the workers and their behaviour.
type Fleet struct {
	Workers            int          `json:"workers"`
	CellSize           int          `json:"cell_size"`
	Zones              int          `json:"zones"`
	Kinds              []WorkerKind `json:"kinds"` // assigned to the workers in rotation
	QueueLength        int          `json:"queue"`
	ConcurrentLoads    int          `json:"loads_at_once"`
	IdleResidency      Seconds      `json:"idle_keep_s"`
	OnCacheMiss        string       `json:"on_miss"` // "load" or "refuse"
	AddsCopies         bool         `json:"grows_copies"`
	StopsCancelledWork bool         `json:"stops_work"`
	LoadReports        string       `json:"reports"` // "answers" or "probes"
	ReportsCacheStatus bool         `json:"tells_warm"`
}

// WorkerKind is the hardware of a worker.
type WorkerKind struct {
	Name     string  `json:"name"`
	Cores    int     `json:"cores"`
	Speed    float64 `json:"speed"` // of each core; amounts of work are for speed 1
	MemoryMB float64 `json:"memory_mb"`
}

// Store limits the store from which all workers fetch functions.
type Store struct {
	FetchesPerSecond float64 `json:"fetches_per_s"`
	MaxInFlight      int     `json:"in_hand"`
}

// Class is a class of requests and the models that they call.
type Class struct {
	Name                   string  `json:"name"`
	Idempotency            string  `json:"effect"`
	DeduplicationScope     string  `json:"scope"`
	DeduplicationWindow    Seconds `json:"window_s"`
	LatencyObjective       Seconds `json:"aim_s"`
	Deadline               Seconds `json:"deadline_s"`
	PriorityWeight         float64 `json:"worth"`
	LateValueFraction      float64 `json:"late_share"`
	TrafficShare           float64 `json:"share"` // of all requests, relative to the other classes
	ModelCount             int     `json:"models"`
	MemoryMB               float64 `json:"memory_mb"`
	ConcurrencyPerInstance int     `json:"lanes"`
	LoadTime               Seconds `json:"load_s"`
	MeanWorkMS             float64 `json:"work_ms"`    // on a core of speed 1
	WorkSigma              float64 `json:"work_sigma"` // of its log-normal distribution
	StreamedShare          float64 `json:"streamed"`   // of its calls
	MessagesPerAnswer      int     `json:"messages"`
	BytesPerMessage        int     `json:"bytes"`
}

// meanWork returns the mean work of a call on a core of speed 1.
func (c *Class) meanWork() time.Duration {
	return time.Duration(c.MeanWorkMS * float64(time.Millisecond))
}

// Traffic describes the rate of requests and the behaviour of clients.
type Traffic struct {
	CallsPerSecond   float64 `json:"calls_per_s"` // over all routers
	ZipfExponent     float64 `json:"zipf"`        // exponent of the models' popularity
	MaxRetries       int     `json:"retries"`
	Backoff          Seconds `json:"backoff_s"` // before the first retry; doubled for each further one
	WorkHints        bool    `json:"hints"`     // whether clients send an estimate of the work of a call
	CallTimeoutShare float64 `json:"try_share"` // timeout of a call as a fraction of the class's deadline; 0 means 1
}

// EndpointList describes the delivery of the endpoint list to the routers.
type EndpointList struct {
	NotificationDelay Seconds `json:"delay_s"` // until a router gets a change; varies at random by up to 20%
}

// Limits are the limits of the rules; see invariants.Settings.
type Limits struct {
	DrainGrace        Seconds `json:"drain_grace_s"`
	SlowStartShare    float64 `json:"cold_share"`
	SlowStartDuration Seconds `json:"cold_for_s"`
	OverloadMultiple  float64 `json:"fall_multiple"`
	OverloadWindow    Seconds `json:"fall_span_s"`
	LoadRateWindow    Seconds `json:"load_span_s"`
	LoadRateBurst     float64 `json:"load_free"`
	LoadRateRatio     float64 `json:"load_share"`
}

// Gossip describes the gossip between the routers and the attacks on it.
type Gossip struct {
	Forgers         int     `json:"forgers"`        // outsiders that forge packets of members
	ForgedPerSecond float64 `json:"forged_per_s"`   // packets sent by each forger
	Liars           int     `json:"liars"`          // admitted members that report every worker as silent
	MutedRouters    int     `json:"mute"`           // routers whose packets are dropped from MutedAt on
	MutedAt         Seconds `json:"mute_at_s"`      // since the start of the gossip
	BytesPerSecond  float64 `json:"bytes_per_s"`    // limit of each router; 0 means the limit of the preset
	PacketLoss      float64 `json:"loss"`           // share of the datagrams that are lost
	KeyRotationAt   Seconds `json:"key_exchange_s"` // when all routers replace their keys; 0 means never
}

// Fault is a fault to inject.
type Fault struct {
	Kind      string  `json:"kind"` // one of FaultKindNames
	Start     Seconds `json:"at_s"`
	Length    Seconds `json:"for_s"`
	Share     float64 `json:"part"`  // of the workers, routers, models or calls that are affected
	Magnitude float64 `json:"size"`  // its meaning depends on the kind; see FaultDescription
	Class     string  `json:"class"` // of the calls that are affected; empty means the first class
}
