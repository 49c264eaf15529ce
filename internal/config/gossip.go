package config

import (
	"crypto/ed25519"
	"crypto/x509"
	_ "embed"
	"encoding/base64"
	"encoding/json"
	"encoding/pem"
	"fmt"
	"net"
	"strings"

	"github.com/topazfront/topazfront/internal/gossip"
	"github.com/topazfront/topazfront/internal/gossip/agent"
)

//go:embed members.schema.json
var membersSchema []byte

// Gossip is the settings of gossip between routers.
type Gossip struct {
	ID          string   `json:"id"`
	Listen      string   `json:"listen"`
	Advertise   string   `json:"advertise"`
	Seeds       []string `json:"seeds"`
	Members     string   `json:"members"`
	Key         string   `json:"key"`
	Preset      string   `json:"preset"`
	Bytes       float64  `json:"bytes_per_s"`
	Messages    float64  `json:"messages_per_s"`
	LookTimeout Millis   `json:"look_timeout_ms"`
}

// check finds what the schema can't say.
func (g *Gossip) check(bad func(path, format string, args ...any)) {
	addr := func(path, a string) {
		host, _, err := net.SplitHostPort(a)
		if err == nil && net.ParseIP(host) == nil {
			err = fmt.Errorf("%q is no IP address", host)
		}
		if err != nil {
			bad(path, "%v", err)
		}
	}
	addr("/gossip/listen", g.Listen)
	if g.Advertise != "" {
		addr("/gossip/advertise", g.Advertise)
	}
	for i, s := range g.Seeds {
		addr(fmt.Sprintf("/gossip/seeds/%d", i), s)
	}
	if g.Advertise == "" && strings.HasPrefix(g.Listen, "0.0.0.0:") {
		bad("/gossip/advertise", "is needed where gossip listens on every address")
	}
}

// Agent is the agent's settings; what is read from files is not in them yet.
func (g *Gossip) Agent(name string, seed uint64) agent.Config {
	if g.ID != "" {
		name = g.ID
	}
	c := agent.Config{ID: name, Listen: g.Listen, Advertise: g.Advertise, Seeds: g.Seeds, Gossip: gossip.LocalConfig,
		Quorum: gossip.LocalSuspicionQuorumConfig, Limiter: gossip.LocalPacketLimiterConfig, Collector: gossip.LocalEvidenceCollectorConfig,
		CheckTimeout: g.LookTimeout.Duration(), Seed: seed}
	if p, ok := gossip.Presets[g.Preset]; ok {
		c.Gossip = p
	}
	if g.Bytes > 0 {
		c.Gossip.BurstBytes *= g.Bytes / c.Gossip.BytesPerSecond
		c.Gossip.BytesPerSecond = g.Bytes
	}
	if g.Messages > 0 {
		c.Gossip.BurstMessages *= g.Messages / c.Gossip.MessagesPerSecond
		c.Gossip.MessagesPerSecond = g.Messages
	}
	c.Quorum.ClaimLifetime = c.Gossip.EvidenceLifetime
	return c
}

// MemberLine is one admitted router.
type MemberLine struct {
	ID   string    `json:"id"`
	Keys []KeyLine `json:"keys"`
}

// KeyLine is one of its keys.
type KeyLine struct {
	ID     string `json:"id"`
	Public string `json:"public"`
}

// MemberList is the file of admitted routers.
type MemberList struct {
	Members []MemberLine `json:"members"`
}

// ParseMembers checks a list of admitted routers; name stands in errors.
func ParseMembers(name string, raw []byte) (agent.Members, error) {
	if err := validate(name, raw, membersSchema); err != nil {
		return nil, err
	}
	var l MemberList
	if err := json.Unmarshal(raw, &l); err != nil {
		return nil, &InvalidError{name, []Problem{{"", err.Error()}}}
	}
	wrong, out := &InvalidError{File: name}, agent.Members{}
	bad := func(path, format string, args ...any) {
		wrong.Problems = append(wrong.Problems, Problem{path, fmt.Sprintf(format, args...)})
	}
	for i, m := range l.Members {
		at := fmt.Sprintf("/members/%d", i)
		if out[m.ID] != nil {
			bad(at+"/id", "%q is named twice", m.ID)
		}
		out[m.ID] = map[string]ed25519.PublicKey{}
		for k, key := range m.Keys {
			pub, err := base64.StdEncoding.DecodeString(key.Public)
			switch {
			case err != nil:
				bad(fmt.Sprintf("%s/keys/%d/public", at, k), "%v", err)
			case len(pub) != ed25519.PublicKeySize:
				bad(fmt.Sprintf("%s/keys/%d/public", at, k), "%d bytes, an Ed25519 public key has %d", len(pub), ed25519.PublicKeySize)
			case out[m.ID][key.ID] != nil:
				bad(fmt.Sprintf("%s/keys/%d/id", at, k), "%q is named twice", key.ID)
			}
			out[m.ID][key.ID] = pub
		}
	}
	if len(wrong.Problems) > 0 {
		return nil, wrong
	}
	return out, nil
}

const (
	keyBlock  = "PRIVATE KEY"
	keyHeader = "Key-Id"
)

// ParseKey reads a router's own key: PEM with PKCS #8 (RFC 5958, RFC 8410), its name in the header Key-Id.
func ParseKey(name string, raw []byte) (agent.Key, error) {
	b, _ := pem.Decode(raw)
	if b == nil || b.Type != keyBlock {
		return agent.Key{}, fmt.Errorf("%s: no PEM block %q", name, keyBlock)
	}
	id := b.Headers[keyHeader]
	if id == "" || len(id) > 31 {
		return agent.Key{}, fmt.Errorf("%s: the header %s must name the key, in 1 to 31 bytes", name, keyHeader)
	}
	k, err := x509.ParsePKCS8PrivateKey(b.Bytes)
	if err != nil {
		return agent.Key{}, fmt.Errorf("%s: %w", name, err)
	}
	own, ok := k.(ed25519.PrivateKey)
	if !ok {
		return agent.Key{}, fmt.Errorf("%s: a key of type %T, Ed25519 is needed", name, k)
	}
	return agent.Key{Name: id, Private: own}, nil
}

// FormatKey writes a key as ParseKey reads it.
func FormatKey(k agent.Key) ([]byte, error) {
	raw, err := x509.MarshalPKCS8PrivateKey(k.Private)
	if err != nil {
		return nil, err
	}
	return pem.EncodeToMemory(&pem.Block{Type: keyBlock, Headers: map[string]string{keyHeader: k.Name}, Bytes: raw}), nil
}
