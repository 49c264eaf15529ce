package scenario

import (
	"fmt"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/topazfront/topazfront/internal/config"
	"github.com/topazfront/topazfront/internal/fake/fakepeer"
	"github.com/topazfront/topazfront/internal/gossip/agent"
)

const (
	liarPrefix = "liar"

	// liarInterval is how often a liar withdraws its suspicions and reports all workers as silent again.
	liarInterval = 1500 * time.Millisecond

	// Steps of a key rotation: first both keys are admitted, then routers sign with the new one, then the old one goes.
	rotationSignDelay   = 1500 * time.Millisecond
	rotationRemoveDelay = 4 * time.Second
)

func liarID(i int) string { return fmt.Sprintf("%s%d", liarPrefix, i) }

func isLiar(id string) bool { return len(id) > len(liarPrefix) && strings.HasPrefix(id, liarPrefix) }

// start starts the attackers and schedules what else is to happen to the gossip, once all routers run.
func (c *gossipCluster) start(h *Harness) error {
	c.mu.Lock()
	addrs := slices.Clone(c.addrs)
	c.mu.Unlock()
	for i := range c.settings.Forgers {
		if err := c.startForger(i, addrs); err != nil {
			return err
		}
	}
	list := h.endpointList()
	started := list.StartTimes()
	for i := range c.settings.Liars {
		if err := c.startLiar(h, i, addrs, started); err != nil {
			return err
		}
	}
	if c.settings.MutedRouters > 0 {
		h.after(c.settings.MutedAt.Duration(), c.muteRouters)
	}
	if at := c.settings.KeyRotationAt.Duration(); at > 0 {
		c.scheduleKeyRotation(h, at)
	}
	return nil
}

// startForger starts an outsider that forges packets of all routers to all routers.
func (c *gossipCluster) startForger(i int, addrs []string) error {
	var names, keyNames []string
	for i := range addrs {
		names, keyNames = append(names, routerID(i)), append(keyNames, firstKey)
	}
	forger, err := fakepeer.NewForger(c.seed+uint64(i), names, keyNames)
	if err != nil {
		return err
	}
	c.forgers = append(c.forgers, forger)
	interval := time.Duration(float64(time.Second) * float64(len(addrs)) / max(c.settings.ForgedPerSecond, 1))
	c.wg.Go(func() { c.repeat(interval, func() { forger.Send(addrs, 1) }) })
	return nil
}

// startLiar starts an admitted member that reports every worker as silent, and in turn as well again: the dead, the
// drained and the fresh ones alike.
func (c *gossipCluster) startLiar(h *Harness, i int, addrs []string, started map[string]uint64) error {
	id := liarID(i)
	settings := c.agentConfig(&config.Gossip{Listen: loopbackAddress, Preset: gossipPreset,
		Seeds: addrs[:min(maxSeeds, len(addrs))]}, id)
	settings.Key = agent.Key{Name: firstKey, Private: c.privateKey(id, firstKey)}
	raw, err := os.ReadFile(c.membersPath())
	if err != nil {
		return err
	}
	if settings.Members, err = config.ParseMembers(membersFile, raw); err != nil {
		return err
	}
	liar, err := fakepeer.NewLiar(settings)
	if err != nil {
		return err
	}
	liar.ReportSilent(started)
	c.liars = append(c.liars, liar)
	c.wg.Go(func() {
		c.repeat(liarInterval, func() {
			list := h.endpointList()
			now := list.StartTimes()
			for id := range now {
				liar.WithdrawReport(id)
			}
			liar.ReportSilent(now)
		})
	})
	return nil
}

// repeat calls f at an interval until the attackers are stopped.
func (c *gossipCluster) repeat(interval time.Duration, f func()) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-c.stop:
			return
		case <-ticker.C:
			f()
		}
	}
}

// muteRouters drops all further packets of the last routers.
func (c *gossipCluster) muteRouters() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, conn := range c.conns[len(c.conns)-c.settings.MutedRouters:] {
		conn.Mute()
	}
}

// scheduleKeyRotation replaces the keys of all routers; no packet is to be rejected meanwhile.
func (c *gossipCluster) scheduleKeyRotation(h *Harness, at time.Duration) {
	routers := len(h.routers)
	logError := func(err error) {
		if err != nil {
			h.options.Logger.Error("gossip key not rotated", "error", err)
		}
	}
	h.after(at, func() { logError(c.writeMembers(routers, firstKey, secondKey)) })
	h.after(at+rotationSignDelay, func() {
		for i := range routers {
			logError(c.writeKey(i, secondKey))
		}
	})
	h.after(at+rotationRemoveDelay, func() { logError(c.writeMembers(routers, secondKey)) })
}

// stopAttackers stops forgers and liars and waits for their goroutines. Further calls do nothing.
func (c *gossipCluster) stopAttackers() {
	select {
	case <-c.stop:
		return
	default:
	}
	close(c.stop)
	c.wg.Wait()
	for _, forger := range c.forgers {
		forger.Close()
	}
	for _, liar := range c.liars {
		liar.Close()
	}
}
