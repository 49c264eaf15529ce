package grpcgateway

import (
	"bytes"
	"crypto/ed25519"
	"encoding/base64"
	"encoding/json"
	"fmt"
	"maps"
	"os"
	"path/filepath"
	"reflect"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/topazfront/topazfront/internal/adminapi"
	"github.com/topazfront/topazfront/internal/config"
	"github.com/topazfront/topazfront/internal/gossip"
	"github.com/topazfront/topazfront/internal/gossip/agent"
	"github.com/topazfront/topazfront/internal/router"
	"github.com/topazfront/topazfront/internal/testsupport/golden"
)

// setAllFields sets every field of a value. Numbers and strings are derived from a counter, so that all differ.
func setAllFields(v reflect.Value, next *int) {
	*next++
	switch v.Kind() {
	case reflect.Struct:
		for i := range v.NumField() {
			if v.Field(i).CanSet() {
				setAllFields(v.Field(i), next)
			}
		}
	case reflect.Slice:
		v.Set(reflect.MakeSlice(v.Type(), 1, 1))
		setAllFields(v.Index(0), next)
	case reflect.Map:
		key, value := reflect.New(v.Type().Key()).Elem(), reflect.New(v.Type().Elem()).Elem()
		setAllFields(key, next)
		setAllFields(value, next)
		v.Set(reflect.MakeMap(v.Type()))
		v.SetMapIndex(key, value)
	case reflect.String:
		v.SetString(fmt.Sprint("text", *next))
	case reflect.Bool:
		v.SetBool(true)
	case reflect.Float64:
		v.SetFloat(float64(*next) + 0.5)
	case reflect.Uint8, reflect.Uint32, reflect.Uint64:
		v.SetUint(uint64(*next))
	case reflect.Int, reflect.Int8, reflect.Int64:
		v.SetInt(int64(*next))
	}
}

// TestGoldenAdminReplies compares the JSON of each method's reply when every field is set.
func TestGoldenAdminReplies(t *testing.T) {
	var out bytes.Buffer
	for _, c := range []struct {
		method string
		reply  any
	}{
		{"router.status", &router.Stats{}},
		{"gossip.status", &agent.Status{}},
		{"gossip.peers", &[]agent.Peer{}},
		{"gossip.suspicions", &[]gossip.Suspicion{}},
		{"gossip.keys", &agent.KeyList{}},
	} {
		next := 0
		setAllFields(reflect.ValueOf(c.reply).Elem(), &next)
		raw, err := json.MarshalIndent(c.reply, "", " ")
		if err != nil {
			t.Fatal(err)
		}
		fmt.Fprintf(&out, "%s %s\n", c.method, raw)
	}
	golden.Compare(t, "admin_replies.out", out.Bytes())
}

// topKeys returns the sorted top-level keys of a reply that is an object, and any other reply as it is.
func topKeys(raw json.RawMessage) string {
	var object map[string]json.RawMessage
	if err := json.Unmarshal(raw, &object); err == nil && object != nil {
		return "object " + strings.Join(slices.Sorted(maps.Keys(object)), " ")
	}
	return string(raw)
}

// TestGoldenAdminMethods compares the replies of each method at a gateway with gossip and at one without.
func TestGoldenAdminMethods(t *testing.T) {
	own := ed25519.NewKeyFromSeed(make([]byte, ed25519.SeedSize))
	public, _ := own.Public().(ed25519.PublicKey)
	pem, err := config.FormatKey(agent.Key{Name: "k1", Private: own})
	if err != nil {
		t.Fatal(err)
	}
	for name, withGossip := range map[string]bool{"with_gossip": true, "without_gossip": false} {
		t.Run(name, func(t *testing.T) {
			dir := t.TempDir()
			socket := filepath.Join(dir, "s")
			newHarness(t, 1, func(c *config.Gateway) {
				c.Admin.Socket = socket
				if !withGossip {
					return
				}
				c.Gossip = &config.Gossip{Listen: "127.0.0.1:0", MembersFile: filepath.Join(dir, "members.json"),
					KeyFile: filepath.Join(dir, "key.pem"), Preset: "local", VerificationTimeout: 400}
				members := config.MemberList{Members: []config.Member{{ID: "r0", Keys: []config.MemberKey{
					{ID: "k1", PublicKey: base64.StdEncoding.EncodeToString(public)}}}}}
				if err := config.WriteJSON(c.Gossip.MembersFile, members); err != nil {
					t.Fatal(err)
				}
				if err := os.WriteFile(c.Gossip.KeyFile, pem, 0o600); err != nil {
					t.Fatal(err)
				}
			}, nil)
			var out bytes.Buffer
			for _, method := range []string{"router.status", "gossip.status", "gossip.peers", "gossip.suspicions", "gossip.keys", "other"} {
				var raw json.RawMessage
				if err := adminapi.Call(socket, method, nil, &raw, 5*time.Second); err != nil {
					fmt.Fprintln(&out, method, "error", strings.TrimPrefix(err.Error(), socket))
					continue
				}
				fmt.Fprintln(&out, method, topKeys(raw))
			}
			golden.Compare(t, "admin_methods_"+name+".out", out.Bytes())
		})
	}
}
