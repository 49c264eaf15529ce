package grpcgateway

import (
	"encoding/json"
	"fmt"

	"github.com/topazfront/topazfront/internal/adminapi"
	"github.com/topazfront/topazfront/internal/gossip/agent"
)

// startAdmin starts the server of the admin API if the settings name a socket for it.
func (g *Gateway) startAdmin() (err error) {
	if g.cfg.Admin.Socket == "" {
		return nil
	}
	methods := map[string]adminapi.Method{
		"router.status":     func(json.RawMessage) (any, error) { return g.router.Stats(), nil },
		"gossip.status":     g.gossipMethod(func(a *agent.Agent) any { return a.Status() }),
		"gossip.peers":      g.gossipMethod(func(a *agent.Agent) any { return a.Peers() }),
		"gossip.suspicions": g.gossipMethod(func(a *agent.Agent) any { return a.Suspicions() }),
		"gossip.keys":       g.gossipMethod(func(a *agent.Agent) any { return a.Keys() }),
	}
	g.adminServer, err = adminapi.Listen(g.cfg.Admin.Socket, methods, g.logger)
	return err
}

// gossipMethod returns an admin method that replies with what read returns, or with an error if the gateway runs
// without gossip.
func (g *Gateway) gossipMethod(read func(*agent.Agent) any) adminapi.Method {
	return func(json.RawMessage) (any, error) {
		if g.gossipAgent == nil {
			return nil, fmt.Errorf("router %q runs without gossip", g.cfg.Name)
		}
		return read(g.gossipAgent), nil
	}
}
