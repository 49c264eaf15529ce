package grpcgateway

import (
	"time"

	"github.com/topazfront/topazfront/internal/router"
)

// Bounds of the wait for the last responses to leave for their clients: a second in all.
const (
	responsePolls        = 200
	responsePollInterval = 5 * time.Millisecond
)

// Stop shuts the gateway down gracefully: clients are sent GOAWAY, open calls get their final responses, then
// everything is closed. It waits at most Options.DrainTimeout for the calls. It returns the router's statistics.
func (g *Gateway) Stop() router.Stats {
	g.closeOnce.Do(func() {
		g.logger.Info("draining", "open_calls", g.router.Stats().CallsInFlight, "connections", g.server.NumConns())
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

// Kill ends the gateway as the death of its process would: connections break and open calls get no response.
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

// closeAdminAndGossip ends the parts that no call passes through.
func (g *Gateway) closeAdminAndGossip() {
	if g.adminServer != nil {
		g.adminServer.Close()
	}
	if g.gossipAgent != nil {
		g.gossipAgent.Close()
	}
}

// waitForResponses waits for the last responses to leave for their clients, within the bounds above.
func (g *Gateway) waitForResponses() {
	for range responsePolls {
		if !g.server.HasPendingWork() {
			return
		}
		time.Sleep(responsePollInterval)
	}
}
