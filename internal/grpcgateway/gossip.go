package grpcgateway

import (
	"os"

	"github.com/topazfront/topazfront/internal/config"
	"github.com/topazfront/topazfront/internal/gossip/agent"
)

// startGossip starts the agent where the settings have gossip, and follows its files.
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
	g.followGossipFile(settings.KeyFile, nil, g.applyKey) // read again at once: it may have been replaced meanwhile
	return nil
}

// followGossipFile calls apply with a file's content after each change, until stopFollowing is closed. The first read
// is not applied where it finds applied, the content that is in use already.
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

// applyMembers replaces the admitted routers by those of the file's content.
func (g *Gateway) applyMembers(raw []byte) error {
	members, err := config.ParseMembers(g.cfg.Gossip.MembersFile, raw)
	if err == nil {
		g.gossipAgent.SetMembers(members)
	}
	return err
}

// applyKey replaces this router's key by that of the file's content.
func (g *Gateway) applyKey(raw []byte) error {
	key, err := config.ParseKey(g.cfg.Gossip.KeyFile, raw)
	if err == nil {
		g.gossipAgent.SetKey(key)
	}
	return err
}
