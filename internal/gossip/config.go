package gossip

import (
	"errors"
	"time"
)

// Config holds the parameters of the protocol.
type Config struct {
	ProbeInterval          time.Duration // a member probes one other member in each interval
	ProbeTimeout           time.Duration // without an ack for this long, indirect probes are sent
	IndirectProbes         int           // members asked to probe the target indirectly
	SuspicionMultiplier    float64       // shortest suspicion, in probe intervals times log10 of the number of members
	MaxSuspicionMultiplier float64       // longest suspicion, as a multiple of the shortest
	Confirmations          int           // independent confirmations that shorten a suspicion to its minimum
	MaxHealthPenalty       int           // upper bound of Core.HealthPenalty
	TransmitMultiplier     float64       // a statement is sent this times log10 of the members, rounded up
	PushInterval           time.Duration // urgent statements are pushed to PushFanout members once per interval
	PushFanout             int
	MaxPacketBytes         int           // largest datagram; below common MTUs
	SyncInterval           time.Duration // state is exchanged with one random member about once per interval
	MaxSyncBytes           int           // largest message of a state exchange
	BytesPerSecond         float64       // sending rate of this member, regardless of the load from others
	BurstBytes             float64
	MessagesPerSecond      float64 // a second limit on the sending rate
	BurstMessages          float64
	ReservedShare          float64       // share of both bursts that replies to others leave for this member's probes
	MaxMembers             int           // other members stored
	MaxQueuedStatements    int           // statements waiting to be disseminated
	MaxEvidence            int           // statements about workers stored
	EvidenceLifetime       time.Duration // how long after signing a statement about a worker is stored and relayed
	DeadMemberRetention    time.Duration // how long a dead member is kept, so that its old statements are recognised
}

// LocalConfig is for routers in one local network.
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

// WideConfig is for routers connected by a wide-area network.
var WideConfig = func() Config {
	c := LocalConfig
	c.ProbeInterval = 3 * time.Second
	c.ProbeTimeout = time.Second
	c.SuspicionMultiplier = 6
	c.PushInterval = 300 * time.Millisecond
	c.EvidenceLifetime = 10 * time.Second
	return c
}()

// Presets maps preset names in the settings to configurations.
var Presets = map[string]Config{"local": LocalConfig, "wide": WideConfig}

// validate returns an error for the first parameter found out of range.
func (c Config) validate() error {
	switch {
	case c.ProbeTimeout <= 0 || c.ProbeTimeout >= c.ProbeInterval:
		return errors.New("gossip: the probe timeout must lie between 0 and the probe interval")
	case c.MaxPacketBytes < 512 || c.MaxPacketBytes > 1400:
		return errors.New("gossip: the packet size must be 512 to 1400 bytes")
	case c.BytesPerSecond < float64(c.MaxPacketBytes) || c.BurstBytes < 2*float64(c.MaxPacketBytes):
		return errors.New("gossip: the byte budget must allow one packet a second and a burst of two packets")
	case c.MessagesPerSecond < 4 || c.BurstMessages < 8:
		return errors.New("gossip: the message budget must allow 4 messages a second and a burst of 8")
	case c.IndirectProbes < 0 || c.Confirmations < 1 || c.MaxHealthPenalty < 1 || c.MaxMembers < 1 ||
		c.MaxQueuedStatements < 1 || c.MaxEvidence < 1 || c.PushFanout < 0 || c.PushInterval <= 0 ||
		c.SyncInterval <= 0 || c.ReservedShare < 0 || c.ReservedShare >= 1:
		return errors.New("gossip: a count, an interval or a share is out of range")
	}
	return nil
}
