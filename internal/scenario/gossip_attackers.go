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

	// liarInterval is the interval at which a liar withdraws its reports and reports all workers as silent again.
	liarInterval = 1500 * time.Millisecond

	// Steps of a key rotation, after its start: the start admits both keys, rotationSignDelay later the routers sign
	// with the new key, and rotationRemoveDelay after the start the old key is removed.
	rotationSignDelay   = 1500 * time.Millisecond
	rotationRemoveDelay = 4 * time.Second
)

func liarID(i int) string { return fmt.Sprintf("%s%d", liarPrefix, i) }

func isLiar(id string) bool { return len(id) > len(liarPrefix) && strings.HasPrefix(id, liarPrefix) }

// start starts the attackers and schedules the muting of routers and the key rotation. All routers must be running.
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
		h.afterFunc(c.settings.MutedAt.Duration(), c.muteRouters)
	}
	if at := c.settings.KeyRotationAt.Duration(); at > 0 {
		c.scheduleKeyRotation(h, at)
	}
	return nil
}

// startForger starts an outsider that sends forged packets of all routers to all routers.
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

// startLiar starts an admitted member that periodically reports every worker as silent and withdraws the report again,
// whether the worker is dead, draining or has just started.
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

// muteRouters drops all further packets of the routers with the highest indices.
func (c *gossipCluster) muteRouters() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, conn := range c.conns[len(c.conns)-c.settings.MutedRouters:] {
		conn.Mute()
	}
}

// scheduleKeyRotation schedules the replacement of all routers' keys. The steps are such that no packet is rejected.
func (c *gossipCluster) scheduleKeyRotation(h *Harness, at time.Duration) {
	routers := len(h.routers)
	logError := func(err error) {
		if err != nil {
			h.options.Logger.Error("gossip key not rotated", "error", err)
		}
	}
	h.afterFunc(at, func() { logError(c.writeMembers(routers, firstKey, secondKey)) })
	h.afterFunc(at+rotationSignDelay, func() {
		for i := range routers {
			logError(c.writeKey(i, secondKey))
		}
	})
	h.afterFunc(at+rotationRemoveDelay, func() { logError(c.writeMembers(routers, secondKey)) })
}

// stopAttackers stops the forgers and liars and waits for their goroutines. Further calls have no effect.
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
