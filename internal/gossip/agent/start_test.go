package agent_test

import (
	"testing"

	"github.com/topazfront/topazfront/internal/gossip/agent"
)

// TestStartRejectsUnusableConfig checks that Start returns an error for a port in use and for too large packets.
func TestStartRejectsUnusableConfig(t *testing.T) {
	c := newCluster(t, 1)
	for name, change := range map[string]func(*agent.Config){
		"port in use":           func(cfg *agent.Config) { cfg.Listen = c.addrs[0] },
		"packets of 9000 bytes": func(cfg *agent.Config) { cfg.Gossip.MaxPacketBytes = 9000 },
	} {
		t.Run(name, func(t *testing.T) {
			cfg := c.config(0)
			change(&cfg)
			if a, err := agent.Start(cfg, c.routers[0]); err == nil {
				a.Close()
				t.Error("the agent started")
			}
		})
	}
}

// TestInvalidSeedAddressesAreIgnored checks that an agent starts with invalid seed addresses, and that it can be closed
// twice and returns no status afterwards.
func TestInvalidSeedAddressesAreIgnored(t *testing.T) {
	c := newCluster(t, 1)
	cfg := c.config(0)
	cfg.Seeds = []string{"nonsense", "127.0.0.1:99999", "[::1", "127.0.0.1:1"}
	a, err := agent.Start(cfg, c.routers[0])
	if err != nil {
		t.Fatal(err)
	}
	a.Close()
	a.Close()
	if a.Status().ID != "" || a.Peers() != nil {
		t.Error("a closed agent returned a status")
	}
}
