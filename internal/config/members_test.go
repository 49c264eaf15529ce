package config

import (
	"crypto/ed25519"
	"encoding/base64"
	"strings"
	"testing"

	"github.com/topazfront/topazfront/internal/gossip/agent"
)

// testPrivateKey returns the key whose seed is all zeros.
func testPrivateKey() ed25519.PrivateKey {
	return ed25519.NewKeyFromSeed(make([]byte, ed25519.SeedSize))
}

func TestParseKey(t *testing.T) {
	private := testPrivateKey()
	raw, err := FormatKey(agent.Key{Name: "k1", Private: private})
	if err != nil {
		t.Fatal(err)
	}
	if key, err := ParseKey("k.pem", raw); err != nil || key.Name != "k1" || !key.Private.Equal(private) {
		t.Errorf("%+v, %v", key, err)
	}
	for name, invalid := range map[string]string{
		"empty":          "",
		"no PEM":         "no key",
		"no name":        strings.Replace(string(raw), "Key-Id: k1", "Key-Id:", 1),
		"another block":  strings.Replace(string(raw), "PRIVATE", "PUBLIC", 2),
		"broken PKCS #8": strings.Replace(string(raw), "MC4CAQ", "MC4CAA", 1),
	} {
		t.Run(name, func(t *testing.T) {
			if _, err := ParseKey("k.pem", []byte(invalid)); err == nil || !strings.HasPrefix(err.Error(), "k.pem: ") {
				t.Errorf("%q: %v", invalid, err)
			}
		})
	}
}

func TestParseMembers(t *testing.T) {
	publicKey, _ := testPrivateKey().Public().(ed25519.PublicKey)
	public := base64.StdEncoding.EncodeToString(publicKey)
	list := `{"members": [{"id": "a", "keys": [{"id": "k1", "public": "` + public + `"}, {"id": "k2", "public": "` + public + `"}]}]}`
	if members, err := ParseMembers("m.json", []byte(list)); err != nil || len(members["a"]) != 2 {
		t.Errorf("%v, %v", members, err)
	}
	for name, c := range map[string]struct{ from, to, path string }{
		"key named twice": {`"k2"`, `"k1"`, "/members/0/keys/1/id"},
		"empty id":        {`"a"`, `""`, "/members/0/id"},
		"short key":       {public + `"}, `, public[:43] + `"}, `, "/members/0/keys/0/public"},
		"misspelt key":    {`"keys"`, `"key"`, "/members/0/key"},
	} {
		t.Run(name, func(t *testing.T) {
			_, err := ParseMembers("m.json", []byte(strings.Replace(list, c.from, c.to, 1)))
			if err == nil || !strings.Contains(err.Error(), c.path) {
				t.Errorf("%s: %v, want an error with %s", c.to, err, c.path)
			}
		})
	}
}
