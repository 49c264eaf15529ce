package config

import (
	"strings"
	"testing"
	"time"
)

// gatewayWithGossip returns valid gateway settings with the given gossip settings.
func gatewayWithGossip(gossip string) []byte {
	return []byte(strings.Replace(validGateway, `"models"`, `"gossip": `+gossip+`, "models"`, 1))
}

func TestParseValidGossip(t *testing.T) {
	g, err := Parse("g.json", gatewayWithGossip(
		`{"listen": "127.0.0.1:7000", "members": "m.json", "key": "k.pem", "preset": "wide", "bytes_per_s": 4000}`))
	if err != nil {
		t.Fatal(err)
	}
	c := g.Gossip.AgentConfig(g.Name, 1)
	if !g.DispatchSettings().SuspicionsReported || c.ID != g.Name || c.Gossip.BytesPerSecond != 4000 ||
		c.Gossip.ProbeInterval != 3*time.Second || c.Quorum.ClaimLifetime != c.Gossip.EvidenceLifetime || c.CheckTimeout != 400*time.Millisecond {
		t.Errorf("%+v", c)
	}
	without, err := Parse("g.json", []byte(validGateway))
	if err != nil || without.DispatchSettings().SuspicionsReported || without.Gossip != nil {
		t.Errorf("without gossip: %v", err)
	}
}

func TestParseReportsPathOfInvalidGossipSetting(t *testing.T) {
	for name, c := range map[string]struct{ gossip, path string }{
		"no key":                {`{"listen": "127.0.0.1:7000", "members": "m.json"}`, "/gossip: missing property 'key'"},
		"host by name":          {`{"listen": "localhost:7000", "members": "m", "key": "k"}`, "/gossip/listen"},
		"nothing to advertise":  {`{"listen": "0.0.0.0:7000", "members": "m", "key": "k"}`, "/gossip/advertise"},
		"seed without port":     {`{"listen": "127.0.0.1:7000", "members": "m", "key": "k", "seeds": ["127.0.0.1"]}`, "/gossip/seeds/0"},
		"rate below a datagram": {`{"listen": "127.0.0.1:7000", "members": "m", "key": "k", "bytes_per_s": 10}`, "/gossip/bytes_per_s"},
		"unknown preset":        {`{"listen": "127.0.0.1:7000", "members": "m", "key": "k", "preset": "interplanetary"}`, "/gossip/preset"},
	} {
		t.Run(name, func(t *testing.T) {
			if _, err := Parse("g.json", gatewayWithGossip(c.gossip)); err == nil ||
				!strings.Contains(err.Error(), c.path) {
				t.Errorf("%s: %v, want an error with %s", c.gossip, err, c.path)
			}
		})
	}
}
