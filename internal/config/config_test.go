package config

import (
	"crypto/ed25519"
	"encoding/base64"
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/topazfront/topazfront/dispatch"
	"github.com/topazfront/topazfront/internal/gossip/agent"
)

const good = `{"listen": "127.0.0.1:9000", "workers": {"file": "w.json"},
 "classes": [{"name": "quote", "aim_ms": 1000, "deadline_ms": 3000, "effect": "safe"},
  {"name": "renew", "aim_ms": 800, "deadline_ms": 3000, "effect": "keyed", "scope": "cell", "window_ms": 6000}],
 "models": {"q": {"class": "quote", "memory_mb": 100, "lanes": 2}}}`

func TestGoodSettings(t *testing.T) {
	g, err := Parse("g.json", []byte(good))
	if err != nil {
		t.Fatal(err)
	}
	s := g.Settings()
	if len(s.Classes) != 2 || s.Classes[1].Idempotency != dispatch.IdempotentByKey || s.Classes[1].DeduplicationScope != dispatch.ScopeCell ||
		s.Classes[1].DeduplicationWindow != 6*time.Second || s.MaxAttempts != 5 || !s.CancelAllowed {
		t.Errorf("%+v", s)
	}
	if _, err := dispatch.New(s, 1); err != nil {
		t.Error(err)
	}
	if in := g.CallBuilder(); in.Models["q"].ConcurrencyPerInstance != 2 || in.Deadlines["quote"] != 3*time.Second {
		t.Errorf("%+v", in)
	}
}

// TestWrongValuesAreNamedByTheirPath changes one thing at a time.
func TestWrongValuesAreNamedByTheirPath(t *testing.T) {
	for _, c := range []struct{ from, to, path string }{
		{`"listen": "127.0.0.1:9000"`, `"listen": "9000"`, "/listen"},
		{`"listen": "127.0.0.1:9000"`, `"listen": 9000`, "/listen"},
		{`"listen"`, `"lisen"`, "/lisen"},
		{`"aim_ms": 1000`, `"aim_ms": "soon"`, "/classes/0/aim_ms"},
		{`"aim_ms": 1000`, `"aim_ms": 9000`, "/classes/0/deadline_ms"},
		{`"aim_ms": 1000`, `"aim_ms": -1`, "/classes/0/aim_ms"},
		{`"effect": "safe"`, `"effect": "harmless"`, "/classes/0/effect"},
		{`"window_ms": 6000`, `"window_ms": 0`, "/classes/1"},
		{`"name": "renew"`, `"name": "quote"`, "/classes/1/name"},
		{`"class": "quote"`, `"class": "quotes"`, "/models/q/class"},
		{`"lanes": 2`, `"lanes": 0`, "/models/q/lanes"},
		{`"lanes": 2`, `"lanes": 2, "speed": 1`, "/models/q/speed"},
		{`"models": {"q": {"class": "quote", "memory_mb": 100, "lanes": 2}}`, `"models": {}`, "/"},
		{`"workers": {"file": "w.json"},`, ``, "/"},
		{`"effect": "safe"},`, `"effect": "safe"}`, "line 3"},
		{`"lanes": 2}}}`, `"lanes": 2`, "line 4"},
	} {
		_, err := Parse("g.json", []byte(strings.Replace(good, c.from, c.to, 1)))
		var bad *InvalidError
		if !errors.As(err, &bad) || !strings.Contains(err.Error(), c.path) || !strings.HasPrefix(err.Error(), "g.json: ") {
			t.Errorf("%s: %v, want it to name %s", c.to, err, c.path)
		}
	}
}

const list = `{"workers": [{"id": "w1", "address": "127.0.0.1:1", "kind": "box", "cell": 2, "state": "draining",
 "started": "2026-12-01T08:00:00Z"}, {"id": "w2", "address": "127.0.0.1:2"}]}`

func TestWorkerLists(t *testing.T) {
	l, err := ParseWorkers("w.json", []byte(list))
	if err != nil {
		t.Fatal(err)
	}
	got := l.Roster(func(time.Time) time.Duration { return 7 })
	if len(got) != 2 || got[0].State != dispatch.EndpointDraining || got[0].StartedAt != 7 || got[0].Cell != 2 || got[1].State != dispatch.EndpointActive {
		t.Errorf("%+v", got)
	}
	for _, c := range []struct{ from, to, path string }{
		{`"w2"`, `"w1"`, "/workers/1/id"},
		{`127.0.0.1:2`, `nowhere`, "/workers/1/address"},
		{`draining`, `tired`, "/workers/0/state"},
		{`2026-12-01T08:00:00Z`, `this morning`, "/workers/0/started"},
		{`"id": "w1",`, ``, "/workers/0"},
		{`"w2"`, `""`, "/workers/1/id"},
	} {
		if _, err := ParseWorkers("w.json", []byte(strings.Replace(list, c.from, c.to, 1))); err == nil || !strings.Contains(err.Error(), c.path) {
			t.Errorf("%s: %v, want it to name %s", c.to, err, c.path)
		}
	}
}

// TestFollow replaces the list in every way that a file may change under a reader.
func TestFollow(t *testing.T) {
	file := filepath.Join(t.TempDir(), "w.json")
	write := func(s string) {
		t.Helper()
		if err := os.WriteFile(file+".tmp", []byte(s), 0o644); err != nil {
			t.Fatal(err)
		}
		if err := os.Rename(file+".tmp", file); err != nil {
			t.Fatal(err)
		}
	}
	write(list)
	lists, refused, stop := make(chan *WorkerList, 10), make(chan error, 100), make(chan struct{})
	ended := make(chan struct{})
	go func() {
		Follow(file, stop, func(l *WorkerList) { lists <- l }, func(err error) { refused <- err })
		close(ended)
	}()
	next := func(n int) {
		t.Helper()
		select {
		case l := <-lists:
			if len(l.Workers) != n {
				t.Fatalf("%d workers, want %d", len(l.Workers), n)
			}
		case <-time.After(20 * time.Second):
			t.Fatal("no list came")
		}
	}
	refusal := func() {
		t.Helper()
		select {
		case err := <-refused:
			if err == nil {
				t.Fatal("refused without an error")
			}
		case <-time.After(20 * time.Second):
			t.Fatal("nothing was refused")
		}
		if len(lists) > 0 {
			t.Fatal("a bad list was handed over")
		}
	}
	next(2)
	write(list[:40]) // truncated
	refusal()
	write(`{"workers": [{"id": "w1", "address": "127.0.0.1:1"}]}`)
	next(1)
	if err := os.Remove(file); err != nil { // gone, then back
		t.Fatal(err)
	}
	refusal()
	write(list)
	next(2)
	if err := os.WriteFile(file, []byte(`{"workers": []}`), 0o644); err != nil { // in place
		t.Fatal(err)
	}
	next(0)
	close(stop)
	<-ended
}

// TestFollowWithoutAWatch guards against lists that went unread where the system gave no watch: here the folder
// is not there yet.
func TestFollowWithoutAWatch(t *testing.T) {
	dir := filepath.Join(t.TempDir(), "later")
	got, refused, stop := make(chan string, 4), make(chan error, 4), make(chan struct{})
	ended := make(chan struct{})
	go func() {
		FollowFile(filepath.Join(dir, "f"), stop, func(raw []byte) error { got <- string(raw); return nil },
			func(err error) { refused <- err })
		close(ended)
	}()
	if err := <-refused; err == nil {
		t.Fatal("refused without an error")
	}
	if err := os.Mkdir(dir, 0o755); err != nil {
		t.Fatal(err)
	}
	for _, want := range []string{"one", "two"} {
		if err := os.WriteFile(filepath.Join(dir, "f.new"), []byte(want), 0o644); err != nil {
			t.Fatal(err)
		}
		if err := os.Rename(filepath.Join(dir, "f.new"), filepath.Join(dir, "f")); err != nil {
			t.Fatal(err)
		}
		select {
		case s := <-got:
			if s != want {
				t.Errorf("read %q, want %q", s, want)
			}
		case <-time.After(20 * time.Second):
			t.Fatal("never read")
		}
	}
	close(stop)
	<-ended
}

func FuzzParse(f *testing.F) {
	f.Add([]byte(good))
	f.Add([]byte(list))
	f.Add([]byte(`{"listen":"a:1","workers":{"file":"x"},"classes":[]}`))
	f.Fuzz(func(t *testing.T, raw []byte) {
		if g, err := Parse("g", raw); err == nil {
			if _, err := dispatch.New(g.Settings(), 1); err != nil {
				t.Fatalf("settings that pass the check are refused by the module: %v", err)
			}
		}
		if l, err := ParseWorkers("w", raw); err == nil {
			l.Roster(func(time.Time) time.Duration { return 0 })
		}
	})
}

func TestGossipSettings(t *testing.T) {
	with := func(gossip string) string {
		return strings.Replace(good, `"models"`, `"gossip": `+gossip+`, "models"`, 1)
	}
	g, err := Parse("g.json", []byte(with(`{"listen": "127.0.0.1:7000", "members": "m.json", "key": "k.pem", "preset": "wide", "bytes_per_s": 4000}`)))
	if err != nil {
		t.Fatal(err)
	}
	c := g.Gossip.Agent(g.Name, 1)
	if !g.Settings().SuspicionsReported || c.ID != g.Name || c.Gossip.BytesPerSecond != 4000 || c.Gossip.ProbeEvery != 3*time.Second ||
		c.Judge.Fresh != c.Gossip.Fresh || c.LookTimeout != 400*time.Millisecond {
		t.Errorf("%+v", c)
	}
	if plain, err := Parse("g.json", []byte(good)); err != nil || plain.Settings().SuspicionsReported || plain.Gossip != nil {
		t.Errorf("without gossip: %v", err)
	}
	for bad, path := range map[string]string{
		`{"listen": "127.0.0.1:7000", "members": "m.json"}`:                                    "/gossip: missing property 'key'",
		`{"listen": "localhost:7000", "members": "m", "key": "k"}`:                             "/gossip/listen",
		`{"listen": "0.0.0.0:7000", "members": "m", "key": "k"}`:                               "/gossip/advertise",
		`{"listen": "127.0.0.1:7000", "members": "m", "key": "k", "seeds": ["127.0.0.1"]}`:     "/gossip/seeds/0",
		`{"listen": "127.0.0.1:7000", "members": "m", "key": "k", "bytes_per_s": 10}`:          "/gossip/bytes_per_s",
		`{"listen": "127.0.0.1:7000", "members": "m", "key": "k", "preset": "interplanetary"}`: "/gossip/preset",
	} {
		if _, err := Parse("g.json", []byte(with(bad))); err == nil || !strings.Contains(err.Error(), path) {
			t.Errorf("%s: %v, want it to name %s", bad, err, path)
		}
	}
}

func TestKeysAndMembers(t *testing.T) {
	own := ed25519.NewKeyFromSeed(make([]byte, 32))
	raw, err := FormatKey(agent.Key{Name: "k1", Private: own})
	if err != nil {
		t.Fatal(err)
	}
	if k, err := ParseKey("k.pem", raw); err != nil || k.Name != "k1" || !k.Private.Equal(own) {
		t.Errorf("%+v, %v", k, err)
	}
	for _, bad := range []string{"", "no key", strings.Replace(string(raw), "Key-Id: k1", "Key-Id:", 1),
		strings.Replace(string(raw), "PRIVATE", "PUBLIC", 2), strings.Replace(string(raw), "MC4CAQ", "MC4CAA", 1)} {
		if _, err := ParseKey("k.pem", []byte(bad)); err == nil || !strings.HasPrefix(err.Error(), "k.pem: ") {
			t.Errorf("%q: %v", bad, err)
		}
	}
	pub := base64.StdEncoding.EncodeToString(own.Public().(ed25519.PublicKey))
	list := `{"members": [{"id": "a", "keys": [{"id": "k1", "public": "` + pub + `"}, {"id": "k2", "public": "` + pub + `"}]}]}`
	if m, err := ParseMembers("m.json", []byte(list)); err != nil || len(m["a"]) != 2 {
		t.Errorf("%v, %v", m, err)
	}
	for from, c := range map[string][2]string{
		`"k2"`:       {`"k1"`, "/members/0/keys/1/id"},
		`"a"`:        {`""`, "/members/0/id"},
		pub + `"}, `: {pub[:43] + `"}, `, "/members/0/keys/0/public"},
		`"keys"`:     {`"key"`, "/members/0/key"},
	} {
		if _, err := ParseMembers("m.json", []byte(strings.Replace(list, from, c[0], 1))); err == nil || !strings.Contains(err.Error(), c[1]) {
			t.Errorf("%s: %v, want it to name %s", c[0], err, c[1])
		}
	}
}
