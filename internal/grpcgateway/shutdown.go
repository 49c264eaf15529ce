package grpcgateway

import (
	"time"

	"github.com/topazfront/topazfront/internal/router"
)

// Bounds on the wait until the last responses are written to the clients: one second in total.
const (
	responsePolls        = 200
	responsePollInterval = 5 * time.Millisecond
)

// Stop shuts the gateway down gracefully: it sends GOAWAY to the clients, waits at most Options.DrainTimeout for the
// final responses of open calls, and then closes everything. It returns the router's statistics.
func (g *Gateway) Stop() router.Stats {
	g.closeOnce.Do(func() {
		g.logger.Info("draining", "open_calls", g.router.Stats().CallsInFlight, "connections", g.server.Connections())
		g.server.Drain()
		if unanswered := g.router.Stop(g.drainTimeout); unanswered > 0 {
			g.logger.Error("gateway stopped with calls that had no final response", "calls", unanswered)
		}
		g.waitForResponses()
		close(g.stopFollowing)
		g.followers.Wait()
		g.server.Close()
		g.pool.Close()
		g.closeAdminAndGossip()
		g.logger.Info("gateway stopped")
	})
	return g.router.Stats()
}

// Kill ends the gateway as a crash of its process would: connections break and open calls get no response.
func (g *Gateway) Kill() {
	g.closeOnce.Do(func() {
		g.router.Kill()
		if g.server != nil {
			g.server.Close()
		}
		g.pool.Close()
		close(g.stopFollowing)
		g.followers.Wait()
		g.closeAdminAndGossip()
	})
}

// closeAdminAndGossip closes the parts that no call passes through: the admin API and the gossip agent, if they were
// started.
func (g *Gateway) closeAdminAndGossip() {
	if g.adminServer != nil {
		g.adminServer.Close()
	}
	if g.gossipAgent != nil {
		g.gossipAgent.Close()
	}
}

// waitForResponses waits until the last responses are written to the clients, within the bounds above.
func (g *Gateway) waitForResponses() {
	for range responsePolls {
		if !g.server.HasPendingWork() {
			return
		}
		time.Sleep(responsePollInterval)
	}
}
