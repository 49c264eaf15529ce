// Package httprouter runs the gateway on its users' platform: one router on one small machine, told what it is by a
// configuration file, moved by SIGHUP and ended by SIGTERM. All bounds of memory and descriptors come from that
// file; what is asked of the system is set before the first socket opens.
package httprouter

import (
	"encoding/json"
	"fmt"
	"math"
	"net"
	"os"
	"strconv"
	"time"

	"github.com/topazfront/topazfront/dispatch"
	"github.com/topazfront/topazfront/internal/discovery"
	"github.com/topazfront/topazfront/internal/simwire"
)

// Config is what a router is told.
type Config struct {
	Name     string
	Listen   string
	Channel  string
	Seed     uint64
	Cores    float64
	MemoryMB float64
	Sockets  int
	Known    discovery.Batch
	Settings dispatch.Settings
	Limits   simwire.ConnectionLimits
}

// maxFile bounds the file, in bytes.
const maxFile = 16 << 20

// Load reads and checks the file.
func Load(path string) (*Config, error) {
	info, err := os.Stat(path)
	if err != nil {
		return nil, fmt.Errorf("platform: configuration: %w", err)
	}
	if info.Size() > maxFile {
		return nil, fmt.Errorf("platform: %s: %d bytes, at most %d", path, info.Size(), maxFile)
	}
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("platform: configuration: %w", err)
	}
	c, err := Parse(raw)
	if err != nil {
		return nil, fmt.Errorf("platform: %s: %w", path, err)
	}
	return c, nil
}

// Parse reads a configuration.
func Parse(raw []byte) (*Config, error) {
	var f struct {
		Name    string `json:"name"`
		Listen  string `json:"listen"`
		Channel string `json:"channel"`
		Seed    string `json:"seed"`
		Limits  struct {
			Cores    float64 `json:"cores"`
			MemoryMB float64 `json:"memory_mb"`
			Sockets  int     `json:"sockets"`
		} `json:"limits"`
		Known    json.RawMessage `json:"known"`
		Settings json.RawMessage `json:"settings"`
	}
	if err := json.Unmarshal(raw, &f); err != nil {
		return nil, err
	}
	c := &Config{Name: f.Name, Listen: f.Listen, Channel: f.Channel, Cores: f.Limits.Cores,
		MemoryMB: f.Limits.MemoryMB, Sockets: f.Limits.Sockets}
	var err error
	if c.Seed, err = strconv.ParseUint(f.Seed, 16, 64); err != nil {
		return nil, fmt.Errorf("seed: %w", err)
	}
	for name, addr := range map[string]string{"listen": c.Listen, "channel": c.Channel} {
		if _, _, err := net.SplitHostPort(addr); err != nil {
			return nil, fmt.Errorf("%s: %w", name, err)
		}
	}
	if c.Cores <= 0 || math.IsNaN(c.Cores) || c.MemoryMB < 16 || c.Sockets < 64 {
		return nil, fmt.Errorf("limits: %v cores, %v MB, %d sockets are too few", c.Cores, c.MemoryMB, c.Sockets)
	}
	if c.Known, err = discovery.Parse(f.Known); err != nil {
		return nil, fmt.Errorf("known: %w", err)
	}
	if len(f.Settings) == 0 {
		return nil, fmt.Errorf("settings: missing")
	}
	if c.Settings, c.Limits, err = simwire.ParseSettings(f.Settings); err != nil {
		return nil, err
	}
	if c.Limits.ConnectTimeout <= 0 {
		c.Limits.ConnectTimeout = time.Second
	}
	if c.Limits.LoadTimeout <= 0 {
		c.Limits.LoadTimeout = 10 * time.Second
	}
	if c.Limits.RequestsPerConn <= 0 {
		c.Limits.RequestsPerConn = 32
	}
	return c, nil
}

// Shares is how the limits are divided.
type Shares struct {
	Procs        int
	Memory       int64 // bytes that the collector keeps the heap below
	Clients      int   // connections
	Workers      int   // connections
	SocketBuffer int   // bytes that the system holds of what a peer sends ahead
}

// Shares divides the limits. Clients hold at most a third of the descriptors in use, so a little under half leaves
// room for others; as much is reserved for workers, and the rest for the listener, the channel, event loops,
// standard streams and what is being closed. The event loop's wait holds one processor, so there is one more of
// them than cores.
func (c *Config) Shares() Shares {
	return Shares{
		Procs:        max(int(math.Ceil(c.Cores)), 1) + 1,
		Memory:       int64(c.MemoryMB * 0.6 * (1 << 20)),
		Clients:      c.Sockets * 45 / 100,
		Workers:      c.Sockets * 42 / 100,
		SocketBuffer: 32 << 10,
	}
}
