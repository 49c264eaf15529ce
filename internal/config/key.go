package config

import (
	"crypto/ed25519"
	"crypto/x509"
	"encoding/pem"
	"fmt"

	"github.com/topazfront/topazfront/internal/gossip/agent"
)

const (
	keyBlockType  = "PRIVATE KEY"
	keyNameHeader = "Key-Id"
	// maxKeyNameBytes is the maximum length of a key's name. It equals the limit in members.schema.json.
	maxKeyNameBytes = 31
)

// ParseKey parses a router's private key: PEM with PKCS #8 (RFC 5958, RFC 8410) and the key's name in the header
// Key-Id. Errors start with the name of the file.
func ParseKey(file string, raw []byte) (agent.Key, error) {
	block, _ := pem.Decode(raw)
	if block == nil || block.Type != keyBlockType {
		return agent.Key{}, fmt.Errorf("%s: no PEM block %q", file, keyBlockType)
	}
	name := block.Headers[keyNameHeader]
	if name == "" || len(name) > maxKeyNameBytes {
		return agent.Key{}, fmt.Errorf("%s: the header %s must name the key, in 1 to %d bytes", file, keyNameHeader,
			maxKeyNameBytes)
	}
	parsed, err := x509.ParsePKCS8PrivateKey(block.Bytes)
	if err != nil {
		return agent.Key{}, fmt.Errorf("%s: %w", file, err)
	}
	private, ok := parsed.(ed25519.PrivateKey)
	if !ok {
		return agent.Key{}, fmt.Errorf("%s: a key of type %T, Ed25519 is needed", file, parsed)
	}
	return agent.Key{Name: name, Private: private}, nil
}

// FormatKey encodes a key in the format that ParseKey parses.
func FormatKey(key agent.Key) ([]byte, error) {
	raw, err := x509.MarshalPKCS8PrivateKey(key.Private)
	if err != nil {
		return nil, err
	}
	block := &pem.Block{Type: keyBlockType, Headers: map[string]string{keyNameHeader: key.Name}, Bytes: raw}
	return pem.EncodeToMemory(block), nil
}
