// Package gossip holds the cores by which routers find each other and pass on what they suspect of workers.
// They hold no I/O, clock or goroutine: the caller hands them events with the time and carries out what Step
// returns.
//
//   - [Core]: membership and the spreading of signed [Statement]s, within a budget of traffic.
//   - [Gate] and [Keys]: what is read of what comes, and what is believed to be its sender's.
//   - [Witness]: which of this router's own doubts are told to others.
//   - [Judge]: what others' word of workers is worth.
//
// Membership follows SWIM (Das, Gupta, Motivala, "SWIM: Scalable Weakly-consistent Infection-style Process
// Group Membership Protocol", DSN 2002) with Lifeguard's local health awareness (Dadgar, Phillips, Currey,
// "Lifeguard: Local Health Awareness for More Accurate Failure Detection", 2017): a member that is slow itself
// takes more time before it suspects others, and a suspicion that few confirm lasts longer. It departs from
// SWIM where peers may lie: see [Statement].
package gossip

import (
	"errors"
	"time"
)

// Config is every constant of the protocol.
type Config struct {
	ProbeInterval          time.Duration // one member is probed in each such time
	ProbeTimeout           time.Duration // a probe without an answer is helped by others after this
	IndirectProbes         int           // members asked to probe in one's stead
	SuspicionMultiplier    float64       // least length of a suspicion, in probe times and log10 of the members
	MaxSuspicionMultiplier float64       // the longest, as a multiple of the least
	Confirmations          int           // independent confirmations that bring a suspicion to its least length
	MaxHealthPenalty       int           // most that the own health may slow probes down, as a multiple
	TransmitMultiplier     float64       // a statement is passed on this times log10 of the members, rounded up
	PushInterval           time.Duration // fresh word of workers is pushed to Fanout members in each such time
	PushFanout                 int
	MaxPacketBytes         int           // largest packet: below a usual MTU
	SyncInterval           time.Duration // state is exchanged with one member in each such time
	MaxSyncBytes           int           // most of it in one exchange
	BytesPerSecond         float64       // sent by this member, whatever the others do,
	BurstBytes             float64       // and at once
	MessagesPerSecond      float64       // likewise in messages
	BurstMessages          float64
	ReservedShare          float64       // share of both that answers to others leave to the own probes
	MaxMembers             int           // members known at the most
	MaxQueuedStatements    int           // statements waiting to be passed on
	MaxEvidence            int           // statements on workers held
	EvidenceLifetime       time.Duration // a statement on a worker is held and passed on for so long
	DeadMemberRetention    time.Duration // a dead member is remembered, so that old word of it is known for what it is
}

// Local suits routers in one place.
var LocalConfig = Config{ProbeInterval: time.Second, ProbeTimeout: 300 * time.Millisecond, IndirectProbes: 3, SuspicionMultiplier: 4,
	MaxSuspicionMultiplier: 6, Confirmations: 3, MaxHealthPenalty: 8, TransmitMultiplier: 4, PushInterval: 100 * time.Millisecond, PushFanout: 3,
	MaxPacketBytes: 1200, SyncInterval: 10 * time.Second, MaxSyncBytes: 8000, BytesPerSecond: 8000, BurstBytes: 16000,
	MessagesPerSecond: 40, BurstMessages: 80, ReservedShare: 0.25, MaxMembers: 10000, MaxQueuedStatements: 4096, MaxEvidence: 4096,
	EvidenceLifetime: 5 * time.Second, DeadMemberRetention: time.Minute}

// Wide suits routers far apart.
var WideConfig = func() Config {
	c := LocalConfig
	c.ProbeInterval, c.ProbeTimeout, c.SuspicionMultiplier = 3*time.Second, time.Second, 6
	c.PushInterval, c.EvidenceLifetime = 300*time.Millisecond, 10*time.Second
	return c
}()

// Presets are the configurations by name.
var Presets = map[string]Config{"local": LocalConfig, "wide": WideConfig}

func (c Config) validate() error {
	switch {
	case c.ProbeInterval <= 0 || c.ProbeTimeout <= 0 || c.ProbeTimeout >= c.ProbeInterval:
		return errors.New("gossip: the probe's time-out must lie between 0 and the time between probes")
	case c.MaxPacketBytes < 512 || c.MaxPacketBytes > 1400:
		return errors.New("gossip: packets of 512 to 1400 bytes")
	case c.BytesPerSecond < float64(c.MaxPacketBytes) || c.BurstBytes < 2*float64(c.MaxPacketBytes):
		return errors.New("gossip: the budget is less than a packet a second, or two at once")
	case c.MessagesPerSecond < 4 || c.BurstMessages < 8:
		return errors.New("gossip: the budget is less than 4 messages a second, or 8 at once")
	case c.IndirectProbes < 0 || c.Confirmations < 1 || c.MaxHealthPenalty < 1 || c.MaxMembers < 1 || c.MaxQueuedStatements < 1 ||
		c.MaxEvidence < 1 || c.PushFanout < 0 || c.PushInterval <= 0 || c.SyncInterval <= 0 || c.ReservedShare < 0 || c.ReservedShare >= 1:
		return errors.New("gossip: a count or a share is out of its range")
	}
	return nil
}
