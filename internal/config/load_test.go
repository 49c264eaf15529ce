package config

import (
	"errors"
	"strings"
	"testing"
	"time"

	"github.com/topazfront/topazfront/dispatch"
	"github.com/topazfront/topazfront/internal/endpoints"
)

const validGateway = `{"listen": "127.0.0.1:9000", "workers": {"file": "w.json"},
 "classes": [{"name": "quote", "aim_ms": 1000, "deadline_ms": 3000, "effect": "safe"},
  {"name": "renew", "aim_ms": 800, "deadline_ms": 3000, "effect": "keyed", "scope": "cell", "window_ms": 6000}],
 "models": {"q": {"class": "quote", "memory_mb": 100, "lanes": 2}}}`

func TestParseValidGateway(t *testing.T) {
	g, err := Parse("g.json", []byte(validGateway))
	if err != nil {
		t.Fatal(err)
	}
	settings := g.DispatchSettings()
	if len(settings.Classes) != 2 || settings.MaxAttempts != 5 || !settings.CancelAllowed {
		t.Errorf("%+v", settings)
	}
	if c := settings.Classes[1]; c.Idempotency != dispatch.IdempotentByKey || c.DeduplicationScope != dispatch.ScopeCell ||
		c.DeduplicationWindow != 6*time.Second {
		t.Errorf("%+v", c)
	}
	if _, err := dispatch.New(settings, 1); err != nil {
		t.Error(err)
	}
	if builder := g.CallBuilder(); builder.Models["q"].ConcurrencyPerInstance != 2 || builder.Deadlines["quote"] != 3*time.Second {
		t.Errorf("%+v", builder)
	}
}

// TestParseReportsPathOfInvalidValue makes one change at a time to valid settings.
func TestParseReportsPathOfInvalidValue(t *testing.T) {
	for _, c := range []struct{ name, from, to, path string }{
		{"listen without host", `"listen": "127.0.0.1:9000"`, `"listen": "9000"`, "/listen"},
		{"listen a number", `"listen": "127.0.0.1:9000"`, `"listen": 9000`, "/listen"},
		{"misspelt key", `"listen"`, `"lisen"`, "/lisen"},
		{"duration a string", `"aim_ms": 1000`, `"aim_ms": "soon"`, "/classes/0/aim_ms"},
		{"objective after deadline", `"aim_ms": 1000`, `"aim_ms": 9000`, "/classes/0/deadline_ms"},
		{"negative duration", `"aim_ms": 1000`, `"aim_ms": -1`, "/classes/0/aim_ms"},
		{"unknown effect", `"effect": "safe"`, `"effect": "harmless"`, "/classes/0/effect"},
		{"keyed class without window", `"window_ms": 6000`, `"window_ms": 0`, "/classes/1"},
		{"class named twice", `"name": "renew"`, `"name": "quote"`, "/classes/1/name"},
		{"unknown class", `"class": "quote"`, `"class": "quotes"`, "/models/q/class"},
		{"no lanes", `"lanes": 2`, `"lanes": 0`, "/models/q/lanes"},
		{"unknown key of a model", `"lanes": 2`, `"lanes": 2, "speed": 1`, "/models/q/speed"},
		{"no model", `"models": {"q": {"class": "quote", "memory_mb": 100, "lanes": 2}}`, `"models": {}`, "/"},
		{"no workers", `"workers": {"file": "w.json"},`, ``, "/"},
		{"syntax", `"effect": "safe"},`, `"effect": "safe"}`, "line 3"},
		{"cut short", `"lanes": 2}}}`, `"lanes": 2`, "line 4"},
	} {
		t.Run(c.name, func(t *testing.T) {
			_, err := Parse("g.json", []byte(strings.Replace(validGateway, c.from, c.to, 1)))
			var invalid *InvalidError
			if !errors.As(err, &invalid) || !strings.Contains(err.Error(), c.path) || !strings.HasPrefix(err.Error(), "g.json: ") {
				t.Errorf("%s: %v, want an error with %s", c.to, err, c.path)
			}
		})
	}
}

func FuzzParse(f *testing.F) {
	f.Add([]byte(validGateway))
	f.Add([]byte(validWorkers))
	f.Add([]byte(`{"listen":"a:1","workers":{"file":"x"},"classes":[]}`))
	f.Fuzz(func(t *testing.T, raw []byte) {
		if g, err := Parse("g", raw); err == nil {
			if _, err := dispatch.New(g.DispatchSettings(), 1); err != nil {
				t.Fatalf("the dispatcher rejects settings that Parse accepts: %v", err)
			}
		}
		if list, err := ParseWorkers("w", raw); err == nil {
			list.Endpoints(endpoints.NewStartTimes(decemberClock{}))
		}
	})
}
