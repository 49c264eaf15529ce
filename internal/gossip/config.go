// Package gossip is the core by which routers find each other and pass on what they suspect of workers. It
// holds no I/O, clock or goroutine: the caller hands it events with the time and carries out what Step returns.
//
// Membership follows SWIM (Das, Gupta, Motivala, "SWIM: Scalable Weakly-consistent Infection-style Process
// Group Membership Protocol", DSN 2002) with Lifeguard's local health awareness (Dadgar, Phillips, Currey,
// "Lifeguard: Local Health Awareness for More Accurate Failure Detection", 2017): a member that is slow itself
// takes more time before it suspects others, and a suspicion that few confirm lasts longer.
//
// The caller's duties, in order: verify a packet's signature before it becomes an event (package gossip has
// the codec, and the verification with [Keys]); hand events over in the order of arrival; send what Step
// returns; call Step again at [Core.Due].
package gossip

import (
	"errors"
	"time"
)

// Config is every constant of the protocol.
type Config struct {
	ProbeEvery     time.Duration // one member is probed in each such time
	ProbeTimeout   time.Duration // a probe without an answer is helped by others after this
	Helpers        int           // members asked to probe in one's stead
	SuspectMult    float64       // least length of a suspicion, in probe times and log10 of the members
	SuspectMaxMult float64       // the longest, as a multiple of the least
	Confirmations  int           // independent confirmations that bring a suspicion to its least length
	HealthMax      int           // most that the own health may slow probes down, as a multiple
	SpreadMult     float64       // a rumour is passed on this times log2 of the members, rounded up
	PacketBytes    int           // largest packet: below a usual MTU
	BytesPerSecond float64       // sent by this member, whatever the others do,
	BurstBytes     float64       // and at once
	MaxMembers     int           // members known at the most
	MaxRumours     int           // rumours waiting to be passed on
	ForgetAfter    time.Duration // a dead member is remembered, so that old word of it is known for what it is
}

// Local suits routers in one place.
var Local = Config{ProbeEvery: time.Second, ProbeTimeout: 300 * time.Millisecond, Helpers: 3, SuspectMult: 4,
	SuspectMaxMult: 6, Confirmations: 3, HealthMax: 8, SpreadMult: 3, PacketBytes: 1200, BytesPerSecond: 8000,
	BurstBytes: 8000, MaxMembers: 10000, MaxRumours: 4096, ForgetAfter: time.Minute}

// Wide suits routers far apart.
var Wide = func() Config {
	c := Local
	c.ProbeEvery, c.ProbeTimeout, c.SuspectMult = 3*time.Second, time.Second, 6
	return c
}()

func (c Config) check() error {
	switch {
	case c.ProbeEvery <= 0 || c.ProbeTimeout <= 0 || c.ProbeTimeout >= c.ProbeEvery:
		return errors.New("gossip: the probe's time-out must lie between 0 and the time between probes")
	case c.PacketBytes < 256 || c.PacketBytes > 1400:
		return errors.New("gossip: packets of 256 to 1400 bytes")
	case c.BytesPerSecond < float64(c.PacketBytes) || c.BurstBytes < float64(c.PacketBytes):
		return errors.New("gossip: the budget is less than a packet")
	case c.Helpers < 0 || c.Confirmations < 1 || c.HealthMax < 1 || c.MaxMembers < 1 || c.MaxRumours < 1:
		return errors.New("gossip: a count is too small")
	}
	return nil
}
