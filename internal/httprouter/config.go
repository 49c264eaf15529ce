package httprouter

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"os"
	"strconv"
	"time"

	"github.com/topazfront/topazfront/dispatch"
	"github.com/topazfront/topazfront/internal/discovery"
	"github.com/topazfront/topazfront/internal/simwire"
)

// Config is the configuration of one router.
type Config struct {
	Name             string
	ListenAddress    string // for clients, host:port
	DiscoveryAddress string // of the discovery server, host:port
	Seed             uint64
	Cores            float64
	MemoryMB         float64
	MaxDescriptors   int                    // file descriptors of the process
	InitialEndpoints discovery.PollResponse // used until the discovery server answers the first poll
	Settings         dispatch.Settings
	Limits           simwire.ConnectionLimits
}

const (
	maxConfigBytes = 16 << 20 // maximum size of the configuration file

	// Minimum resources of a router.
	minMemoryMB    = 16
	minDescriptors = 64

	// Defaults of limits that the settings omit.
	defaultConnectTimeout  = time.Second
	defaultLoadTimeout     = 10 * time.Second
	defaultRequestsPerConn = 32
)

// configFile is the JSON structure of the configuration file.
type configFile struct {
	Name             string          `json:"name"`
	ListenAddress    string          `json:"listen"`
	DiscoveryAddress string          `json:"channel"`
	Seed             string          `json:"seed"` // 64-bit hexadecimal number
	Limits           processLimits   `json:"limits"`
	InitialEndpoints json.RawMessage `json:"known"`
	Settings         json.RawMessage `json:"settings"`
}

// processLimits limits the machine resources that the process may use.
type processLimits struct {
	Cores          float64 `json:"cores"`
	MemoryMB       float64 `json:"memory_mb"`
	MaxDescriptors int     `json:"sockets"`
}

// areSufficient reports whether a router can run within the limits.
func (l processLimits) areSufficient() bool {
	hasCores := l.Cores > 0 // also false for NaN
	return hasCores && l.MemoryMB >= minMemoryMB && l.MaxDescriptors >= minDescriptors
}

// LoadConfig reads and validates the configuration file at path. Errors include the path.
func LoadConfig(path string) (*Config, error) {
	info, err := os.Stat(path)
	if err != nil {
		return nil, fmt.Errorf("httprouter: configuration: %w", err)
	}
	if info.Size() > maxConfigBytes {
		return nil, fmt.Errorf("httprouter: %s: file has %d bytes, limit is %d", path, info.Size(), maxConfigBytes)
	}
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("httprouter: configuration: %w", err)
	}
	cfg, err := ParseConfig(raw)
	if err != nil {
		return nil, fmt.Errorf("httprouter: %s: %w", path, err)
	}
	return cfg, nil
}

// ParseConfig decodes and validates a configuration. Errors name the invalid key.
func ParseConfig(raw []byte) (*Config, error) {
	var file configFile
	if err := json.Unmarshal(raw, &file); err != nil {
		return nil, err
	}
	cfg := &Config{
		Name:             file.Name,
		ListenAddress:    file.ListenAddress,
		DiscoveryAddress: file.DiscoveryAddress,
		Cores:            file.Limits.Cores,
		MemoryMB:         file.Limits.MemoryMB,
		MaxDescriptors:   file.Limits.MaxDescriptors,
	}
	var err error
	if cfg.Seed, err = strconv.ParseUint(file.Seed, 16, 64); err != nil {
		return nil, fmt.Errorf("seed: %w", err)
	}
	for key, address := range map[string]string{"listen": cfg.ListenAddress, "channel": cfg.DiscoveryAddress} {
		if _, _, err := net.SplitHostPort(address); err != nil {
			return nil, fmt.Errorf("%s: %w", key, err)
		}
	}
	if !file.Limits.areSufficient() {
		return nil, fmt.Errorf("limits: %v cores, %v MB, %d sockets are below the minimum",
			cfg.Cores, cfg.MemoryMB, cfg.MaxDescriptors)
	}
	if cfg.InitialEndpoints, err = discovery.ParsePollResponse(file.InitialEndpoints); err != nil {
		return nil, fmt.Errorf("known: %w", err)
	}
	if len(file.Settings) == 0 {
		return nil, errors.New("settings: missing")
	}
	if cfg.Settings, cfg.Limits, err = simwire.ParseSettings(file.Settings); err != nil {
		return nil, err
	}
	cfg.setDefaultLimits()
	return cfg, nil
}

// setDefaultLimits sets the connection limits that the settings omit.
func (c *Config) setDefaultLimits() {
	if c.Limits.ConnectTimeout <= 0 {
		c.Limits.ConnectTimeout = defaultConnectTimeout
	}
	if c.Limits.LoadTimeout <= 0 {
		c.Limits.LoadTimeout = defaultLoadTimeout
	}
	if c.Limits.RequestsPerConn <= 0 {
		c.Limits.RequestsPerConn = defaultRequestsPerConn
	}
}
