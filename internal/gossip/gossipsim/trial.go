package gossipsim

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/topazfront/topazfront/internal/gossip"
)

// maxSlowDelay is by how much slow members receive late at most.
const maxSlowDelay = 2 * time.Second

// Trial is a number of members and the faults between them.
type Trial struct {
	Members         int           `json:"members"`
	Loss            float64       `json:"loss"`
	SlowShare       float64       `json:"slow"` // share of the members that receive up to maxSlowDelay late
	Seed            uint64        `json:"seed"`
	WarmUp          time.Duration `json:"-"`
	Steady          time.Duration `json:"-"` // time over which traffic is measured
	DetectionWindow time.Duration `json:"-"` // time for which a death is followed
}

// Result holds the measurements of a trial. Times are in seconds; -1: not reached.
type Result struct {
	Trial
	BytesPerSecond            float64 `json:"bytes_per_s"`      // of a member, with nothing new
	MessagesPerSecond         float64 `json:"messages_per_s"`   // likewise
	PeakBytesPerSecond        float64 `json:"peak_bytes_per_s"` // most of any member in any second
	SpreadTo50                float64 `json:"spread_half_s"`    // until 50 % of the members had received a claim about a worker
	SpreadTo99                float64 `json:"spread_99_s"`      // until 99 %
	Reached                   float64 `json:"reached"`          // share of the members that received it at all
	FirstDetection            float64 `json:"death_first_s"`    // until the first member took a silent one for dead
	DetectionTo99             float64 `json:"death_99_s"`       // until 99 %
	FalseDeaths               int     `json:"false_deaths"`     // members, slow ones too, that at least one wrongly took for dead
	SuspicionsPerMemberMinute float64 `json:"suspicions_per_member_minute"`
	WallSeconds               float64 `json:"wall_s"`
}

// trialRun is a trial under way.
type trialRun struct {
	Trial
	network     *Network
	slow        []bool
	from        time.Duration // when the present measurement began
	victim      int           // member that was stopped; -1: none yet
	received    []float64     // when each member received the claim, since from
	detected    []float64     // when each member took the victim for dead, since from
	falselyDead map[string]bool
}

// Run plays a trial: all members know each other; a steady time; a claim about a worker; a death.
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
		delay := shortDelay(rng)
		if run.slow[to] {
			delay += time.Duration(rng.Float64() * float64(maxSlowDelay))
		}
		return delay
	}
	run.network.OnAction = func(_ int, action gossip.Action) { run.observe(action) }
	return run
}

// observe records what a member received or detected.
func (run *trialRun) observe(action gossip.Action) {
	sinceFrom := (run.network.Now - run.from).Seconds()
	switch a := action.(type) {
	case gossip.EvidenceReceived:
		run.received = append(run.received, sinceFrom)
	case gossip.MemberStateChanged:
		switch {
		case a.State != gossip.Dead:
		case run.victim >= 0 && a.ID == MemberID(run.victim):
			run.detected = append(run.detected, sinceFrom)
		default:
			run.falselyDead[a.ID] = true
		}
	}
}

// measureTraffic measures what members send and suspect while nothing happens.
func (run *trialRun) measureTraffic(result *Result) {
	sentBefore, suspicionsBefore := run.network.totals()
	run.network.Run(run.Steady)
	sent, suspicions := run.network.totals()
	members := float64(run.Members)
	result.BytesPerSecond = (sent.Bytes - sentBefore.Bytes) / run.Steady.Seconds() / members
	result.MessagesPerSecond = (sent.Messages - sentBefore.Messages) / run.Steady.Seconds() / members
	result.SuspicionsPerMemberMinute = float64(suspicions-suspicionsBefore) / members / run.Steady.Minutes()
}

// measureSpread has a member that is not slow publish a claim about a worker.
func (run *trialRun) measureSpread(result *Result) {
	run.from = run.network.Now
	claim := gossip.Statement{Kind: gossip.WorkerSilent, Subject: "worker"}
	run.network.Step(run.publisher(), gossip.Publish{Statement: claim})
	run.network.Run(gossip.LocalConfig.EvidenceLifetime)
	slices.Sort(run.received)
	others := run.Members - 1
	result.SpreadTo50 = quantile(run.received, 0.5, others)
	result.SpreadTo99 = quantile(run.received, 0.99, others)
	result.Reached = float64(len(run.received)) / float64(others)
}

// measureDeath stops the member that published the claim.
func (run *trialRun) measureDeath(result *Result) {
	run.from, run.victim = run.network.Now, run.publisher()
	run.network.Stop(run.victim)
	run.network.Run(run.DetectionWindow)
	slices.Sort(run.detected)
	others := run.Members - 1
	result.FirstDetection = quantile(run.detected, 0, others)
	result.DetectionTo99 = quantile(run.detected, 0.99, others)
	result.FalseDeaths = len(run.falselyDead)
}

// publisher returns the first member that is not slow.
func (run *trialRun) publisher() int { return slices.Index(run.slow, false) }

// quantile returns when a share of n members is reached in a sorted list of times; -1 if it is not.
func quantile(times []float64, share float64, n int) float64 {
	if k := int(share * float64(n)); k < len(times) {
		return times[k]
	}
	return -1
}
