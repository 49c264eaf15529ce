package grpcgateway

import (
	"os"

	"github.com/topazfront/topazfront/internal/config"
	"github.com/topazfront/topazfront/internal/gossip/agent"
)

// startGossip starts the gossip agent if the settings have gossip, and watches its files for changes.
func (g *Gateway) startGossip(hooks agent.Hooks) error {
	settings := g.cfg.Gossip
	if settings == nil {
		return nil
	}
	agentConfig := settings.AgentConfig(g.cfg.Name, g.cfg.Seed)
	agentConfig.Logger, agentConfig.Hooks = g.logger, hooks
	keyFile, err := os.ReadFile(settings.KeyFile)
	if err != nil {
		return err
	}
	if agentConfig.Key, err = config.ParseKey(settings.KeyFile, keyFile); err != nil {
		return err
	}
	membersFile, err := os.ReadFile(settings.MembersFile)
	if err != nil {
		return err
	}
	if agentConfig.Members, err = config.ParseMembers(settings.MembersFile, membersFile); err != nil {
		return err
	}
	if g.gossipAgent, err = agent.Start(agentConfig, g.router); err != nil {
		return err
	}
	g.router.SetGossip(g.gossipAgent)
	g.followGossipFile(settings.MembersFile, membersFile, g.applyMembers)
	// The key is applied again at once, because the file may have been replaced since it was read.
	g.followGossipFile(settings.KeyFile, nil, g.applyKey)
	return nil
}

// followGossipFile starts a goroutine that calls apply with a file's content after each change, until stopFollowing is
// closed. The content of the first read is skipped if it equals applied, the content that is already in use.
func (g *Gateway) followGossipFile(path string, applied []byte, apply func([]byte) error) {
	first := true
	applyChange := func(raw []byte) error {
		inUse := first && string(raw) == string(applied)
		first = false
		if inUse {
			return nil
		}
		return apply(raw)
	}
	reject := func(err error) {
		g.logger.Warn("gossip file rejected, its previous content stays in force", "error", err)
	}
	g.followers.Go(func() {
		config.FollowFile(path, g.stopFollowing, config.FileHandler{Apply: applyChange, Reject: reject})
	})
}

// applyMembers replaces the admitted routers with those in raw, the content of the members file.
func (g *Gateway) applyMembers(raw []byte) error {
	members, err := config.ParseMembers(g.cfg.Gossip.MembersFile, raw)
	if err == nil {
		g.gossipAgent.SetMembers(members)
	}
	return err
}

// applyKey replaces this router's key with the one in raw, the content of the key file.
func (g *Gateway) applyKey(raw []byte) error {
	key, err := config.ParseKey(g.cfg.Gossip.KeyFile, raw)
	if err == nil {
		g.gossipAgent.SetKey(key)
	}
	return err
}
