package gossip

import (
	"math/rand/v2"
	"slices"
	"time"
)

// Core is the protocol state of one member: membership, failure detection, dissemination and anti-entropy.
type Core struct {
	cfg          Config
	id, addr     string
	incarnation  uint64
	statementSeq uint64 // sequence number of the latest statement that this member signed
	ownAlive     Statement
	sign         func(*Statement)
	rng          *rand.Rand
	now          time.Duration
	admitted     func(string) bool
	seeds        []string // join addresses; pinged occasionally, so that a partition heals

	members             map[string]*member
	notAlive            []string // IDs of the members that are not alive, sorted
	incarnationRaisedAt time.Duration

	probes        []*probe
	probeOrder    []string // IDs in probe order; reshuffled each round
	probeIndex    int      // index in probeOrder of the next target
	probeRetries  []string // IDs of members to probe again after a failed probe
	probeSeq      uint64
	nextProbe     time.Duration
	healthPenalty int // see HealthPenalty

	queue              broadcastQueue
	nextPush           time.Duration
	evidence           map[statementKey]*evidence
	evidenceBySigner   map[string]int // by signer: number of stored statements
	relaysByWorker     map[string]int // by worker: number of statements about it that are stored or relayed
	nextEvidenceExpiry time.Duration
	byteBudget         tokenBucket
	messageBudget      tokenBucket

	nextSync     time.Duration
	syncInterval time.Duration
	syncIndex    int // index in probeOrder where the next state exchange starts

	actions     []Action // collected during the current Step
	stats       Stats
	mostLive    int  // highest value of Live so far
	recountLive bool // Live may have increased
}

// Stats are the counters of a [Core].
type Stats struct {
	MessagesSent uint64 `json:"messages_sent"`
	BytesSent    uint64 `json:"bytes_sent"` // by Message.Size, an upper bound of the bytes sent
	Withheld     uint64 `json:"withheld"`   // messages not sent because the budget was exhausted
	Suspicions   uint64 `json:"suspicions"`
	Deaths       uint64 `json:"deaths"`
	Refutations  uint64 `json:"refuted"` // suspicions of this member that it refuted
	MostLive     int    `json:"most_live"`
}

// NewCore returns a core that knows no other member. incarnation must be higher than that of any earlier process of
// this member, for example the start time; if it is lower, the core learns of the earlier incarnation from other
// members and raises its own (see [IncarnationRaised]). seed seeds all random draws. sign sets the key name and the
// signature of a statement of this member.
func NewCore(cfg Config, id, addr string, incarnation, seed uint64, sign func(*Statement)) (*Core, error) {
	if err := cfg.validate(); err != nil {
		return nil, err
	}
	return &Core{
		cfg:                 cfg,
		id:                  id,
		addr:                addr,
		incarnation:         incarnation,
		sign:                sign,
		rng:                 rand.New(rand.NewPCG(seed, 14)),
		admitted:            func(string) bool { return true },
		members:             map[string]*member{},
		incarnationRaisedAt: -cfg.ProbeInterval,
		queue:               newBroadcastQueue(cfg.MaxQueuedStatements),
		evidence:            map[statementKey]*evidence{},
		evidenceBySigner:    map[string]int{},
		relaysByWorker:      map[string]int{},
		byteBudget:          tokenBucket{tokens: cfg.BurstBytes},
		messageBudget:       tokenBucket{tokens: cfg.BurstMessages},
		syncInterval:        cfg.ProbeInterval,
		mostLive:            1,
	}, nil
}

// Step processes events, runs all timers that are due at now and returns actions, which the caller must carry out in
// order. The caller owns the returned slice.
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
		c.notifyStaleSender(&e.Message, e.HighestCounter)
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

// join pings all addresses except this member's own and stores them as seeds.
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

// Due returns when Step must be called next if no event arrives: at least a millisecond after the latest Step.
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

// HealthPenalty returns Lifeguard's local health score: 0 is healthy. A penalty of n multiplies the intervals and
// timeouts of this member's probes by n+1.
func (c *Core) HealthPenalty() int { return c.healthPenalty }

// Stats returns the counters.
func (c *Core) Stats() Stats {
	c.stats.MostLive = c.mostLive
	return c.stats
}
