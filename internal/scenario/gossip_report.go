package scenario

import (
	"math"
	"slices"
	"time"

	"github.com/topazfront/topazfront/internal/gossip/agent"
)

// At the end, the report waits for forged packets in transit by polling the counters of dropped packets.
const (
	forgedPollCount    = 50
	forgedPollInterval = 20 * time.Millisecond
)

// GossipReport holds the figures of the gossip. Bytes are counted at a router's socket, over the whole scenario.
type GossipReport struct {
	CapBytesPerSecond  float64       `json:"cap_bytes_per_s"`
	MaxBytesPerSecond  float64       `json:"most_bytes_per_s"` // of any router
	MeanBytesPerSecond float64       `json:"mean_bytes_per_s"` // over the routers
	TimesOverCap       int           `json:"times_over_cap"`
	ForgedSent         int           `json:"forged_sent"`
	Dropped            agent.Dropped `json:"dropped"`
	Claims             uint64        `json:"claims"`
	Verifications      uint64        `json:"looks"` // health checks of workers after a quorum of suspicions
	ConfirmedSilent    uint64        `json:"found_silent"`
	Contradicted       uint64        `json:"looks_that_found_a_worker_well"`
	MinLiveMembers     int           `json:"least_live_seen"`
	MeanLiarWeight     float64       `json:"mean_weight_of_a_liar"`
	KeysInUse          []string      `json:"keys_in_use"`
}

// report stops the attackers, waits until packets in transit have arrived, and reads the routers' counters. The routers
// must still be running.
func (c *gossipCluster) report(h *Harness) *GossipReport {
	c.stopAttackers()
	report := &GossipReport{CapBytesPerSecond: c.meters[0].BytesPerSecond, MinLiveMembers: math.MaxInt32}
	for _, forger := range c.forgers {
		report.ForgedSent += forger.Sent
	}
	report.Dropped = c.waitForForged(h, uint64(report.ForgedSent))
	for i, slot := range h.routers {
		gossipAgent := slot.gateway.GossipAgent()
		status := gossipAgent.Status()
		_, _, rate, timesOver := c.meters[i].Totals()
		report.MaxBytesPerSecond = max(report.MaxBytesPerSecond, rate)
		report.MeanBytesPerSecond += rate / float64(len(h.routers))
		report.TimesOverCap += timesOver
		report.Claims += status.Quorum.Claims
		report.Verifications += status.Quorum.Checks
		report.ConfirmedSilent += status.Quorum.ConfirmedSilent
		report.Contradicted += status.Quorum.Contradicted
		report.MinLiveMembers = min(report.MinLiveMembers, status.Live)
		if !slices.Contains(report.KeysInUse, status.Key) {
			report.KeysInUse = append(report.KeysInUse, status.Key)
		}
		for _, peer := range gossipAgent.Peers() {
			if isLiar(peer.ID) {
				report.MeanLiarWeight += peer.Weight / float64(len(h.routers)*len(c.liars))
			}
		}
	}
	return report
}

// waitForForged waits until at least as many packets were dropped as were forged, or until its polls are used up. It
// returns the counts of dropped packets over all incarnations.
func (c *gossipCluster) waitForForged(h *Harness, forged uint64) (dropped agent.Dropped) {
	for range forgedPollCount {
		dropped = c.dropped
		for _, slot := range h.routers {
			dropped = dropped.Add(slot.gateway.GossipAgent().Status().Dropped)
		}
		if dropped.TotalPackets() >= forged {
			break
		}
		time.Sleep(forgedPollInterval)
	}
	return dropped
}
