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
	ID                  string       `json:"id"`        // of this router in the members file; empty means Gateway.Name
	Listen              string       `json:"listen"`    // IP address and port, for UDP and TCP
	Advertise           string       `json:"advertise"` // address for other routers to connect to; empty means Listen
	Seeds               []string     `json:"seeds"`     // addresses of other routers to join through
	MembersFile         string       `json:"members"`   // path of the admitted routers' list; reloaded when it changes
	KeyFile             string       `json:"key"`       // path of this router's private key; reloaded when it changes
	Preset              string       `json:"preset"`    // local or wide; empty means local
	BytesPerSecond      float64      `json:"bytes_per_s"`
	MessagesPerSecond   float64      `json:"messages_per_s"`
	VerificationTimeout Milliseconds `json:"look_timeout_ms"` // of a health check that verifies a suspicion
}

// check adds the problems that the schema cannot express.
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

// checkAddress adds a problem if an address is not an IP address with a port.
func checkAddress(invalid *InvalidError, path, address string) {
	host, _, err := net.SplitHostPort(address)
	if err == nil && net.ParseIP(host) == nil {
		err = fmt.Errorf("%q is no IP address", host)
	}
	if err != nil {
		invalid.add(path, "%v", err)
	}
}

// AgentConfig converts the settings to those of the gossip agent, except for the key and the members, which are read
// from files. name is the gateway's name.
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
	if g.BytesPerSecond > 0 { // the burst is scaled with the rate
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
