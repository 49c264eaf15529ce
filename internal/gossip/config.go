package gossip

import (
	"errors"
	"time"
)

// Config holds every constant of the protocol.
type Config struct {
	ProbeInterval          time.Duration // one member is probed in each interval
	ProbeTimeout           time.Duration // after this without an answer, indirect probes are sent
	IndirectProbes         int           // members asked to probe in this one's stead
	SuspicionMultiplier    float64       // shortest suspicion, in probe intervals times log10 of the members
	MaxSuspicionMultiplier float64       // longest suspicion, as a multiple of the shortest
	Confirmations          int           // independent confirmations that bring a suspicion to its shortest length
	MaxHealthPenalty       int           // most steps by which the local health slows probes down
	TransmitMultiplier     float64       // a statement is sent this times log10 of the members, rounded up
	PushInterval           time.Duration // urgent statements are pushed to PushFanout members in each interval
	PushFanout             int
	MaxPacketBytes         int           // largest datagram: below a usual MTU
	SyncInterval           time.Duration // state is exchanged with one member in each interval
	MaxSyncBytes           int           // largest message of a state exchange
	BytesPerSecond         float64       // sending rate of this member, whatever the others do,
	BurstBytes             float64       // and the burst
	MessagesPerSecond      float64       // likewise in messages
	BurstMessages          float64
	ReservedShare          float64       // share of both budgets that answers to others leave to own probes
	MaxMembers             int           // members known
	MaxQueuedStatements    int           // statements that wait to be passed on
	MaxEvidence            int           // statements about workers stored
	EvidenceLifetime       time.Duration // how long a statement about a worker is stored and passed on
	DeadMemberRetention    time.Duration // how long a dead member is remembered, so that old statements are recognised
}

// LocalConfig suits routers in one place.
var LocalConfig = Config{
	ProbeInterval:          time.Second,
	ProbeTimeout:           300 * time.Millisecond,
	IndirectProbes:         3,
	SuspicionMultiplier:    4,
	MaxSuspicionMultiplier: 6,
	Confirmations:          3,
	MaxHealthPenalty:       8,
	TransmitMultiplier:     4,
	PushInterval:           100 * time.Millisecond,
	PushFanout:             3,
	MaxPacketBytes:         1200,
	SyncInterval:           10 * time.Second,
	MaxSyncBytes:           8000,
	BytesPerSecond:         8000,
	BurstBytes:             16000,
	MessagesPerSecond:      40,
	BurstMessages:          80,
	ReservedShare:          0.25,
	MaxMembers:             10000,
	MaxQueuedStatements:    4096,
	MaxEvidence:            4096,
	EvidenceLifetime:       5 * time.Second,
	DeadMemberRetention:    time.Minute,
}

// WideConfig suits routers far apart.
var WideConfig = func() Config {
	c := LocalConfig
	c.ProbeInterval = 3 * time.Second
	c.ProbeTimeout = time.Second
	c.SuspicionMultiplier = 6
	c.PushInterval = 300 * time.Millisecond
	c.EvidenceLifetime = 10 * time.Second
	return c
}()

// Presets are the configurations by name.
var Presets = map[string]Config{"local": LocalConfig, "wide": WideConfig}

// validate reports the first setting that is out of range.
func (c Config) validate() error {
	switch {
	case c.ProbeTimeout <= 0 || c.ProbeTimeout >= c.ProbeInterval:
		return errors.New("gossip: the probe timeout must lie between 0 and the probe interval")
	case c.MaxPacketBytes < 512 || c.MaxPacketBytes > 1400:
		return errors.New("gossip: the packet size must be 512 to 1400 bytes")
	case c.BytesPerSecond < float64(c.MaxPacketBytes) || c.BurstBytes < 2*float64(c.MaxPacketBytes):
		return errors.New("gossip: the budget is less than one packet a second, or a burst of two")
	case c.MessagesPerSecond < 4 || c.BurstMessages < 8:
		return errors.New("gossip: the budget is less than 4 messages a second, or a burst of 8")
	case c.IndirectProbes < 0 || c.Confirmations < 1 || c.MaxHealthPenalty < 1 || c.MaxMembers < 1 ||
		c.MaxQueuedStatements < 1 || c.MaxEvidence < 1 || c.PushFanout < 0 || c.PushInterval <= 0 ||
		c.SyncInterval <= 0 || c.ReservedShare < 0 || c.ReservedShare >= 1:
		return errors.New("gossip: a count, an interval or a share is out of range")
	}
	return nil
}
