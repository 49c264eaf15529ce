package gossipsim

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/topazfront/topazfront/internal/gossip"
)

// maxSlowDelay is the maximum additional delay of messages to a slow member.
const maxSlowDelay = 2 * time.Second

// Trial is the configuration of one simulation run.
type Trial struct {
	Members         int           `json:"members"`
	Loss            float64       `json:"loss"` // fraction of the datagrams that are lost
	SlowShare       float64       `json:"slow"` // fraction of the members that receive messages up to maxSlowDelay late
	Seed            uint64        `json:"seed"`
	WarmUp          time.Duration `json:"-"`
	Steady          time.Duration `json:"-"` // time during which traffic is measured
	DetectionWindow time.Duration `json:"-"` // time during which detection of a death is measured
}

// Result holds the measurements of a trial. Times are in seconds; -1 means that the event did not occur.
type Result struct {
	Trial
	BytesPerSecond            float64 `json:"bytes_per_s"`      // sent by each member on average, in steady state
	MessagesPerSecond         float64 `json:"messages_per_s"`   // likewise
	PeakBytesPerSecond        float64 `json:"peak_bytes_per_s"` // maximum of any member in any second
	SpreadTo50                float64 `json:"spread_half_s"`    // until 50 % of the others received a worker claim
	SpreadTo99                float64 `json:"spread_99_s"`      // until 99 % received it
	Reached                   float64 `json:"reached"`          // fraction of the others that received it
	FirstDetection            float64 `json:"death_first_s"`    // until the first member declared a stopped one dead
	DetectionTo99             float64 `json:"death_99_s"`       // until 99 % of the others declared it dead
	FalseDeaths               int     `json:"false_deaths"`     // running members, slow or not, declared dead by any
	SuspicionsPerMemberMinute float64 `json:"suspicions_per_member_minute"`
	WallSeconds               float64 `json:"wall_s"`
}

// trialRun is the state of a trial in progress.
type trialRun struct {
	Trial
	network      *Network
	slow         []bool
	measuredFrom time.Duration   // start of the current measurement
	victim       int             // index of the stopped member; -1 before it is stopped
	receivedAt   []float64       // seconds since measuredFrom at which each member received the claim
	detectedAt   []float64       // seconds since measuredFrom at which each member declared the victim dead
	falselyDead  map[string]bool // IDs of running members that were declared dead
}

// Run runs a trial among members that know each other. It measures traffic without changes, then the spread of a claim
// about a worker, then the detection of a death.
func (t Trial) Run() Result {
	began := time.Now()
	run := newTrialRun(t)
	result := Result{Trial: t}
	run.network.StartAll(true)
	run.network.Run(t.WarmUp)
	run.measureTraffic(&result)
	run.measureSpread(&result)
	run.measureDeath(&result)
	for _, sent := range run.network.Sent {
		result.PeakBytesPerSecond = max(result.PeakBytesPerSecond, sent.PeakBytes)
	}
	result.WallSeconds = time.Since(began).Seconds()
	return result
}

func newTrialRun(t Trial) *trialRun {
	run := &trialRun{
		Trial:       t,
		network:     NewNetwork(gossip.LocalConfig, t.Members, t.Seed),
		slow:        make([]bool, t.Members),
		victim:      -1,
		falselyDead: map[string]bool{},
	}
	run.network.Loss = t.Loss
	rng := rand.New(rand.NewPCG(t.Seed, 11))
	for _, i := range rng.Perm(t.Members)[:int(t.SlowShare*float64(t.Members))] {
		run.slow[i] = true
	}
	run.network.Delay = func(_, to int) time.Duration {
		delay := drawDelay(rng)
		if run.slow[to] {
			delay += time.Duration(rng.Float64() * float64(maxSlowDelay))
		}
		return delay
	}
	run.network.OnAction = func(_ int, action gossip.Action) { run.observe(action) }
	return run
}

// observe records the time at which a member received the claim or declared another member dead.
func (run *trialRun) observe(action gossip.Action) {
	elapsed := (run.network.Now - run.measuredFrom).Seconds()
	switch a := action.(type) {
	case gossip.EvidenceReceived:
		run.receivedAt = append(run.receivedAt, elapsed)
	case gossip.MemberStateChanged:
		switch {
		case a.State != gossip.Dead:
		case run.victim >= 0 && a.ID == MemberID(run.victim):
			run.detectedAt = append(run.detectedAt, elapsed)
		default:
			run.falselyDead[a.ID] = true
		}
	}
}

// measureTraffic measures traffic and suspicions without membership changes or claims.
func (run *trialRun) measureTraffic(result *Result) {
	sentBefore, suspicionsBefore := run.network.totals()
	run.network.Run(run.Steady)
	sent, suspicions := run.network.totals()
	members := float64(run.Members)
	result.BytesPerSecond = (sent.Bytes - sentBefore.Bytes) / run.Steady.Seconds() / members
	result.MessagesPerSecond = (sent.Messages - sentBefore.Messages) / run.Steady.Seconds() / members
	result.SuspicionsPerMemberMinute = float64(suspicions-suspicionsBefore) / members / run.Steady.Minutes()
}

// measureSpread measures how fast a claim about a worker spreads from a member that is not slow.
func (run *trialRun) measureSpread(result *Result) {
	run.measuredFrom = run.network.Now
	claim := gossip.Statement{Kind: gossip.WorkerSilent, Subject: "worker"}
	run.network.Step(run.publisher(), gossip.Publish{Statement: claim})
	run.network.Run(gossip.LocalConfig.EvidenceLifetime)
	slices.Sort(run.receivedAt)
	others := run.Members - 1
	result.SpreadTo50 = quantile(run.receivedAt, 0.5, others)
	result.SpreadTo99 = quantile(run.receivedAt, 0.99, others)
	result.Reached = float64(len(run.receivedAt)) / float64(others)
}

// measureDeath stops the member that published the claim and measures how fast the others detect its death.
func (run *trialRun) measureDeath(result *Result) {
	run.measuredFrom, run.victim = run.network.Now, run.publisher()
	run.network.Stop(run.victim)
	run.network.Run(run.DetectionWindow)
	slices.Sort(run.detectedAt)
	others := run.Members - 1
	result.FirstDetection = quantile(run.detectedAt, 0, others)
	result.DetectionTo99 = quantile(run.detectedAt, 0.99, others)
	result.FalseDeaths = len(run.falselyDead)
}

// publisher returns the first member that is not slow.
func (run *trialRun) publisher() int { return slices.Index(run.slow, false) }

// quantile returns the time at which the given share of n members was reached, from a sorted list of times; -1 if it
// was not reached.
func quantile(times []float64, share float64, n int) float64 {
	if k := int(share * float64(n)); k < len(times) {
		return times[k]
	}
	return -1
}
