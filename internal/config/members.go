package config

import (
	"crypto/ed25519"
	"encoding/base64"
	"fmt"

	"github.com/topazfront/topazfront/internal/gossip/agent"
)

// Member is one router that is admitted to the gossip.
type Member struct {
	ID   string      `json:"id"`
	Keys []MemberKey `json:"keys"`
}

// MemberKey is one public key of an admitted router.
type MemberKey struct {
	ID        string `json:"id"`
	PublicKey string `json:"public"` // Ed25519, base64
}

// MemberList is the content of the members file.
type MemberList struct {
	Members []Member `json:"members"`
}

// ParseMembers parses and validates a list of admitted routers. An invalid list is reported as an InvalidError, in
// which file is the list's name.
func ParseMembers(file string, raw []byte) (agent.Members, error) {
	var list MemberList
	if err := decode(file, raw, membersSchema, &list); err != nil {
		return nil, err
	}
	invalid, members := &InvalidError{File: file}, agent.Members{}
	for i, m := range list.Members {
		path := fmt.Sprintf("/members/%d", i)
		if members[m.ID] != nil {
			invalid.add(path+"/id", "%q is named twice", m.ID)
		}
		members[m.ID] = m.publicKeys(path, invalid)
	}
	if err := invalid.orNil(); err != nil {
		return nil, err
	}
	return members, nil
}

// publicKeys decodes the member's keys into a map by key name. path is the JSON pointer to the member.
func (m Member) publicKeys(path string, invalid *InvalidError) map[string]ed25519.PublicKey {
	keys := map[string]ed25519.PublicKey{}
	for i, key := range m.Keys {
		keyPath := fmt.Sprintf("%s/keys/%d", path, i)
		public, err := base64.StdEncoding.DecodeString(key.PublicKey)
		switch {
		case err != nil:
			invalid.add(keyPath+"/public", "%v", err)
		case len(public) != ed25519.PublicKeySize:
			invalid.add(keyPath+"/public", "%d bytes, an Ed25519 public key has %d", len(public), ed25519.PublicKeySize)
		case keys[key.ID] != nil:
			invalid.add(keyPath+"/id", "%q is named twice", key.ID)
		}
		keys[key.ID] = public
	}
	return keys
}
