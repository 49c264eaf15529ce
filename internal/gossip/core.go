package gossip

import (
	"math/rand/v2"
	"slices"
	"time"
)

// Core is the state of one member: membership, failure detection, dissemination and anti-entropy.
type Core struct {
	cfg          Config
	id, addr     string
	incarnation  uint64
	statementSeq uint64 // of the latest own statement
	ownAlive     Statement
	sign         func(*Statement)
	rng          *rand.Rand
	now          time.Duration
	admitted     func(string) bool
	seeds        []string // join addresses; pinged now and then, so that a partition heals

	members  map[string]*member
	notAlive []string // IDs of the members that are not alive, sorted
	raisedAt time.Duration

	probes        []*probe
	probeOrder    []string // order in which members are probed; shuffled anew each round
	probeIndex    int      // next in probeOrder
	probeRetries  []string // members whose probe failed once
	probeSeq      uint64
	nextProbe     time.Duration
	healthPenalty int // 0 is good; each step slows probes down by one more multiple

	queue              broadcastQueue
	nextPush           time.Duration
	evidence           map[statementKey]*evidence
	evidenceBySigner   map[string]int // stored statements of each signer
	relayedByWorker    map[string]int // stored or passed on statements about each worker
	nextEvidenceExpiry time.Duration
	byteBudget         tokenBucket
	messageBudget      tokenBucket

	nextSync     time.Duration
	syncInterval time.Duration
	syncIndex    int // where in probeOrder the next state exchange begins

	actions     []Action // of the present Step
	stats       Stats
	mostLive    int  // most members live at once
	recountLive bool // the count may have risen
}

// Stats counts what a core has done.
type Stats struct {
	MessagesSent uint64 `json:"messages_sent"`
	BytesSent    uint64 `json:"bytes_sent"` // by Message.Size, which is no less than what is sent
	Withheld     uint64 `json:"withheld"`   // messages not sent for lack of budget
	Suspicions   uint64 `json:"suspicions"`
	Deaths       uint64 `json:"deaths"`
	Refutations  uint64 `json:"refuted"` // suspicions of this member that it answered
	MostLive     int    `json:"most_live"`
}

// NewCore returns a core that knows only itself. incarnation must be higher than in any earlier process of this member:
// a start time will do; where it is not, other members report it (see [IncarnationRaised]). seed is of all random
// draws. sign completes a statement of this member with key name and signature.
func NewCore(cfg Config, id, addr string, incarnation, seed uint64, sign func(*Statement)) (*Core, error) {
	if err := cfg.validate(); err != nil {
		return nil, err
	}
	return &Core{
		cfg:              cfg,
		id:               id,
		addr:             addr,
		incarnation:      incarnation,
		sign:             sign,
		rng:              rand.New(rand.NewPCG(seed, 14)),
		admitted:         func(string) bool { return true },
		members:          map[string]*member{},
		raisedAt:         -cfg.ProbeInterval,
		queue:            newBroadcastQueue(cfg.MaxQueuedStatements),
		evidence:         map[statementKey]*evidence{},
		evidenceBySigner: map[string]int{},
		relayedByWorker:  map[string]int{},
		byteBudget:       tokenBucket{tokens: cfg.BurstBytes},
		messageBudget:    tokenBucket{tokens: cfg.BurstMessages},
		syncInterval:     cfg.ProbeInterval,
		mostLive:         1,
	}, nil
}

// Step processes events at a time, does what is due by then and returns what the caller is to do, in this order. The
// slice is the caller's.
func (c *Core) Step(now time.Duration, events []Event) []Action {
	c.now, c.actions = max(now, c.now), nil
	if c.ownAlive.Seq == 0 { // the first step
		c.announceAlive()
		c.nextProbe = c.now + time.Duration(c.rng.Float64()*float64(c.cfg.ProbeInterval))
		c.nextSync = c.now
	}
	for _, e := range events {
		c.process(e)
	}
	c.expireMembers()
	c.expireEvidence()
	c.advanceProbes()
	c.pushStatements()
	c.startSync()
	if c.recountLive {
		c.recountLive = false
		if n := c.Live(); n > c.mostLive {
			c.mostLive = n
			c.actions = append(c.actions, LiveCountIncreased{Count: n})
		}
	}
	return c.actions
}

func (c *Core) process(e Event) {
	switch e := e.(type) {
	case Join:
		c.join(e.Addresses)
	case MessageReceived:
		c.messageReceived(&e.Message)
	case StaleMessage:
		c.notifyStale(&e.Message, e.Seen)
	case Publish:
		c.publish(e.Statement)
	case AdmissionChanged:
		c.setAdmitted(e.Admitted)
	case KnownMembers:
		for i := range e.Statements {
			c.processAlive(&e.Statements[i], false)
		}
	}
}

// join pings addresses, other than the own one, and remembers them as seeds.
func (c *Core) join(addresses []string) {
	for _, addr := range addresses {
		if addr == c.addr {
			continue
		}
		if !slices.Contains(c.seeds, addr) {
			c.seeds = append(c.seeds, addr)
		}
		c.sendJoinPing(addr)
	}
}

// Due returns when Step has something to do without a further event: at least a millisecond after the latest Step.
func (c *Core) Due() time.Duration {
	at := min(c.nextProbe, c.nextSync)
	if c.queue.length >= pushBacklog || c.hasUrgentStatement() {
		at = min(at, c.nextPush)
	}
	for _, p := range c.probes {
		if !p.indirectSent && !p.acked {
			at = min(at, p.indirectAt)
		}
		at = min(at, p.endAt)
	}
	for _, id := range c.notAlive {
		at = min(at, c.members[id].stateEndsAt)
	}
	return max(at, c.now+time.Millisecond)
}

// HealthPenalty returns the local health: 0 is good; each step slows probes down by one more multiple.
func (c *Core) HealthPenalty() int { return c.healthPenalty }

// Stats returns what the core has done.
func (c *Core) Stats() Stats {
	c.stats.MostLive = c.mostLive
	return c.stats
}
