// Package scenario runs scripted scenarios over loopback sockets: a fleet of fake workers, routers, clients and an
// endpoint list, with faults injected at set times. What clients, workers and list recorded at their ends of the
// sockets is then checked against the five rules of package invariants.
//
// A scenario is a JSON file (see Parse); those that come with the program stand in the folder scenarios. Run plays one
// and returns its Report. All random choices are drawn from the scenario's seed, but runs are in real time: two runs
// of one scenario are alike, not equal.
package scenario

import "time"

// Seconds is a time as scenario files have it.
type Seconds float64

// Duration converts it.
func (s Seconds) Duration() time.Duration { return seconds(float64(s)) }

// Values of Class.Idempotency that the harness itself needs.
const (
	idempotent      = "safe"
	idempotentByKey = "keyed"
)

// Scenario is what is run, as a scenario file has it.
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
	Gossip       *Gossip      `json:"gossip,omitempty"` // nil: the routers share nothing
	Faults       []Fault      `json:"troubles"`
}

// Fleet is the workers and how they work.
type Fleet struct {
	Workers            int          `json:"workers"`
	CellSize           int          `json:"cell_size"`
	Zones              int          `json:"zones"`
	Kinds              []WorkerKind `json:"kinds"` // assigned to the workers in turn
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
	Speed    float64 `json:"speed"` // of a core; work is given for speed 1
	MemoryMB float64 `json:"memory_mb"`
}

// Store is the store from which all workers fetch functions.
type Store struct {
	FetchesPerSecond float64 `json:"fetches_per_s"`
	MaxInFlight      int     `json:"in_hand"`
}

// Class is a class of calls and the models that they call.
type Class struct {
	Name                   string  `json:"name"`
	Idempotency            string  `json:"effect"`
	DeduplicationScope     string  `json:"scope"`
	DeduplicationWindow    Seconds `json:"window_s"`
	LatencyObjective       Seconds `json:"aim_s"`
	Deadline               Seconds `json:"deadline_s"`
	PriorityWeight         float64 `json:"worth"`
	LateValueFraction      float64 `json:"late_share"`
	TrafficShare           float64 `json:"share"` // of all calls, relative to the other classes'
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

// meanWork is a call's mean work on a core of speed 1.
func (c *Class) meanWork() time.Duration {
	return time.Duration(c.MeanWorkMS * float64(time.Millisecond))
}

// Traffic is the rate of calls and the habits of clients.
type Traffic struct {
	CallsPerSecond   float64 `json:"calls_per_s"` // over all routers
	ZipfExponent     float64 `json:"zipf"`        // exponent of the models' popularity
	MaxRetries       int     `json:"retries"`
	Backoff          Seconds `json:"backoff_s"` // before the first retry; doubled for each further one
	WorkHints        bool    `json:"hints"`     // clients estimate the work of their calls
	CallTimeoutShare float64 `json:"try_share"` // of the class's deadline, after which a client gives a call up; 0: all of it
}

// EndpointList is how the routers get the list of workers.
type EndpointList struct {
	NotificationDelay Seconds `json:"delay_s"` // of a change; each router's differs by up to a fifth
}

// Limits are what the rules set; see invariants.Settings.
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

// Gossip is the gossip between the routers and the attacks on it.
type Gossip struct {
	Forgers         int     `json:"forgers"`        // outsiders that forge other members' packets
	ForgedPerSecond float64 `json:"forged_per_s"`   // of each forger
	Liars           int     `json:"liars"`          // admitted members that report every worker as silent
	MutedRouters    int     `json:"mute"`           // routers whose packets stop arriving
	MutedAt         Seconds `json:"mute_at_s"`      // when they do
	BytesPerSecond  float64 `json:"bytes_per_s"`    // each router's limit; 0: the preset's
	PacketLoss      float64 `json:"loss"`           // share of the datagrams
	KeyRotationAt   Seconds `json:"key_exchange_s"` // when all routers replace their keys; 0: never
}

// Fault is something that is made to fail.
type Fault struct {
	Kind      string  `json:"kind"` // one of FaultKindNames
	Start     Seconds `json:"at_s"`
	Length    Seconds `json:"for_s"`
	Share     float64 `json:"part"`  // of the workers, routers, models or calls concerned
	Magnitude float64 `json:"size"`  // how strong; its meaning depends on the kind
	Class     string  `json:"class"` // concerned; empty: the first
}
