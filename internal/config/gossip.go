package config

import (
	"fmt"
	"net"
	"strings"

	"github.com/topazfront/topazfront/internal/gossip"
	"github.com/topazfront/topazfront/internal/gossip/agent"
)

// Gossip holds the settings of the gossip between routers.
type Gossip struct {
	ID                  string       `json:"id"`        // of this router among the admitted ones; empty: the gateway's name
	Listen              string       `json:"listen"`    // IP address and port, for UDP and TCP
	Advertise           string       `json:"advertise"` // where other routers reach this one; empty: as it listens
	Seeds               []string     `json:"seeds"`     // addresses where other routers may be found
	MembersFile         string       `json:"members"`   // file of the admitted routers and their keys, followed
	KeyFile             string       `json:"key"`       // file of this router's private key, followed
	Preset              string       `json:"preset"`    // local or wide; empty: local
	BytesPerSecond      float64      `json:"bytes_per_s"`
	MessagesPerSecond   float64      `json:"messages_per_s"`
	VerificationTimeout Milliseconds `json:"look_timeout_ms"`
}

// check adds what is wrong in the settings and a schema cannot express.
func (g *Gossip) check(invalid *InvalidError) {
	checkAddress(invalid, "/gossip/listen", g.Listen)
	if g.Advertise != "" {
		checkAddress(invalid, "/gossip/advertise", g.Advertise)
	}
	for i, seed := range g.Seeds {
		checkAddress(invalid, fmt.Sprintf("/gossip/seeds/%d", i), seed)
	}
	if g.Advertise == "" && strings.HasPrefix(g.Listen, "0.0.0.0:") {
		invalid.add("/gossip/advertise", "is needed where gossip listens on every address")
	}
}

// checkAddress adds a problem where an address is not an IP address and a port.
func checkAddress(invalid *InvalidError, path, address string) {
	host, _, err := net.SplitHostPort(address)
	if err == nil && net.ParseIP(host) == nil {
		err = fmt.Errorf("%q is no IP address", host)
	}
	if err != nil {
		invalid.add(path, "%v", err)
	}
}

// AgentConfig returns the gossip agent's settings, without the key and the members, which are read from files. name is the
// gateway's.
func (g *Gossip) AgentConfig(name string, seed uint64) agent.Config {
	id := name
	if g.ID != "" {
		id = g.ID
	}
	agentConfig := agent.Config{
		ID:           id,
		Listen:       g.Listen,
		Advertise:    g.Advertise,
		Seeds:        g.Seeds,
		Gossip:       gossip.LocalConfig,
		Quorum:       gossip.LocalSuspicionQuorumConfig,
		Limiter:      gossip.LocalPacketLimiterConfig,
		Publisher:    gossip.LocalSuspicionPublisherConfig,
		CheckTimeout: g.VerificationTimeout.Duration(),
		Seed:         seed,
	}
	if preset, ok := gossip.Presets[g.Preset]; ok {
		agentConfig.Gossip = preset
	}
	if g.BytesPerSecond > 0 { // the burst keeps its ratio to the rate
		agentConfig.Gossip.BurstBytes *= g.BytesPerSecond / agentConfig.Gossip.BytesPerSecond
		agentConfig.Gossip.BytesPerSecond = g.BytesPerSecond
	}
	if g.MessagesPerSecond > 0 {
		agentConfig.Gossip.BurstMessages *= g.MessagesPerSecond / agentConfig.Gossip.MessagesPerSecond
		agentConfig.Gossip.MessagesPerSecond = g.MessagesPerSecond
	}
	agentConfig.Quorum.ClaimLifetime = agentConfig.Gossip.EvidenceLifetime
	return agentConfig
}
