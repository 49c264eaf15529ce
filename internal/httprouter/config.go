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
	Name             string
	ListenAddress    string
	DiscoveryAddress string
	Seed             uint64
	Cores            float64
	MemoryMB         float64
	MaxDescriptors   int
	InitialEndpoints discovery.PollResponse
	Settings         dispatch.Settings
	Limits           simwire.Limits
}

// maxFile bounds the file, in bytes.
const maxConfigBytes = 16 << 20

// Load reads and checks the file.
func LoadConfig(path string) (*Config, error) {
	info, err := os.Stat(path)
	if err != nil {
		return nil, fmt.Errorf("platform: configuration: %w", err)
	}
	if info.Size() > maxConfigBytes {
		return nil, fmt.Errorf("platform: %s: %d bytes, at most %d", path, info.Size(), maxConfigBytes)
	}
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("platform: configuration: %w", err)
	}
	c, err := ParseConfig(raw)
	if err != nil {
		return nil, fmt.Errorf("platform: %s: %w", path, err)
	}
	return c, nil
}

// Parse reads a configuration.
func ParseConfig(raw []byte) (*Config, error) {
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
	c := &Config{Name: f.Name, ListenAddress: f.Listen, DiscoveryAddress: f.Channel, Cores: f.Limits.Cores,
		MemoryMB: f.Limits.MemoryMB, MaxDescriptors: f.Limits.Sockets}
	var err error
	if c.Seed, err = strconv.ParseUint(f.Seed, 16, 64); err != nil {
		return nil, fmt.Errorf("seed: %w", err)
	}
	for name, addr := range map[string]string{"listen": c.ListenAddress, "channel": c.DiscoveryAddress} {
		if _, _, err := net.SplitHostPort(addr); err != nil {
			return nil, fmt.Errorf("%s: %w", name, err)
		}
	}
	if c.Cores <= 0 || math.IsNaN(c.Cores) || c.MemoryMB < 16 || c.MaxDescriptors < 64 {
		return nil, fmt.Errorf("limits: %v cores, %v MB, %d sockets are too few", c.Cores, c.MemoryMB, c.MaxDescriptors)
	}
	if c.InitialEndpoints, err = discovery.ParsePollResponse(f.Known); err != nil {
		return nil, fmt.Errorf("known: %w", err)
	}
	if len(f.Settings) == 0 {
		return nil, fmt.Errorf("settings: missing")
	}
	if c.Settings, c.Limits, err = simwire.SettingsOf(f.Settings); err != nil {
		return nil, err
	}
	if c.Limits.ConnectTimeout <= 0 {
		c.Limits.ConnectTimeout = time.Second
	}
	if c.Limits.OrderTimeout <= 0 {
		c.Limits.OrderTimeout = 10 * time.Second
	}
	if c.Limits.StreamsPerConn <= 0 {
		c.Limits.StreamsPerConn = 32
	}
	return c, nil
}

// Shares is how the limits are divided.
type Budget struct {
	MaxProcs          int
	HeapLimit         int64 // bytes that the collector keeps the heap below
	ClientConns       int   // connections
	WorkerConns       int   // connections
	SocketBufferBytes int   // bytes that the system holds of what a peer sends ahead
}

// Shares divides the limits. Clients hold at most a third of the descriptors in use, so a little under half leaves
// room for others; as much is reserved for workers, and the rest for the listener, the channel, event loops,
// standard streams and what is being closed. The event loop's wait holds one processor, so there is one more of
// them than cores.
func (c *Config) Budget() Budget {
	return Budget{
		MaxProcs:          max(int(math.Ceil(c.Cores)), 1) + 1,
		HeapLimit:         int64(c.MemoryMB * 0.6 * (1 << 20)),
		ClientConns:       c.MaxDescriptors * 45 / 100,
		WorkerConns:       c.MaxDescriptors * 42 / 100,
		SocketBufferBytes: 32 << 10,
	}
}
