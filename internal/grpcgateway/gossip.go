package grpcgateway

import (
	"encoding/json"
	"fmt"
	"os"

	"github.com/topazfront/topazfront/internal/adminapi"
	"github.com/topazfront/topazfront/internal/config"
	"github.com/topazfront/topazfront/internal/gossip/agent"
)

// gossip starts the agent where the settings ask for one, and follows the files of keys.
func (g *Gateway) gossip(o Options) error {
	set := g.cfg.Gossip
	if set == nil {
		return nil
	}
	c := set.Agent(g.cfg.Name, g.cfg.Seed)
	c.Logger, c.Hooks = g.log, o.Gossip
	raw, err := os.ReadFile(set.Key)
	if err == nil {
		c.Key, err = config.ParseKey(set.Key, raw)
	}
	if err != nil {
		return err
	}
	if raw, err = os.ReadFile(set.Members); err == nil {
		c.Members, err = config.ParseMembers(set.Members, raw)
	}
	if err != nil {
		return err
	}
	if g.peers, err = agent.Start(c, g.router); err != nil {
		return err
	}
	g.router.SetGossip(g.peers)
	refused := func(err error) { g.log.Warn("gossip: file refused; what it said before stands", "error", err) }
	follow := func(path string, first []byte, use func([]byte) error) {
		g.wg.Go(func() {
			begun := false
			config.FollowFile(path, g.stop, func(raw []byte) error {
				if !begun && string(raw) == string(first) {
					begun = true
					return nil // in use already
				}
				begun = true
				return use(raw)
			}, refused)
		})
	}
	follow(set.Members, raw, func(raw []byte) error {
		m, err := config.ParseMembers(set.Members, raw)
		if err == nil {
			g.peers.SetMembers(m)
		}
		return err
	})
	follow(set.Key, nil, func(raw []byte) error {
		k, err := config.ParseKey(set.Key, raw)
		if err == nil {
			g.peers.SetKey(k)
		}
		return err
	})
	return nil
}

// Peers is the gossip agent; nil without gossip.
func (g *Gateway) Peers() *agent.Agent { return g.peers }

// control opens the operators' socket where the settings ask for one.
func (g *Gateway) control() (err error) {
	path := g.cfg.Control.Socket
	if path == "" {
		return nil
	}
	methods := map[string]adminapi.Method{
		"router.status": func(json.RawMessage) (any, error) { return g.router.Stats(), nil },
	}
	for name, f := range map[string]func(*agent.Agent) any{
		"gossip.status":     func(a *agent.Agent) any { return a.Status() },
		"gossip.peers":      func(a *agent.Agent) any { return a.Peers() },
		"gossip.suspicions": func(a *agent.Agent) any { return a.Suspicions() },
		"gossip.keys":       func(a *agent.Agent) any { return a.Keys() },
	} {
		methods[name] = func(json.RawMessage) (any, error) {
			if g.peers == nil {
				return nil, fmt.Errorf("router %q runs without gossip", g.cfg.Name)
			}
			return f(g.peers), nil
		}
	}
	g.ctl, err = adminapi.Listen(path, methods, g.log)
	return err
}
