package httprouter

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/topazfront/topazfront/internal/fake/fakeplatform"
)

// optionalSettings are settings with optional parts that are missing or odd, around a class c0.
func optionalSettings() map[string]string {
	class := func(i int) string {
		idempotency := []string{`"read_like"`, `"non_idempotent"`, `"idempotency_key","dedup_scope":"all","window":5000000`}
		return fmt.Sprintf(`{"name":"c%d","semantics":%s,"target":1000000,"deadline":20000000}`, i, idempotency[i%3])
	}
	twenty := make([]string, 20)
	for i := range twenty {
		twenty[i] = class(i)
	}
	one := `"classes":[` + class(0) + `]`
	return map[string]string{
		"one class and nothing else":   `{` + one + `}`,
		"twenty classes":               `{"classes":[` + strings.Join(twenty, ",") + `]}`,
		"loads, no load commands":      `{` + one + `,"family_info":{"when_absent":"load","may_order":false}}`,
		"load commands without a rate": `{` + one + `,"family_info":{"when_absent":"miss","may_order":true}}`,
		"load commands, rate of zero": `{` + one + `,"family_info":{"when_absent":"load","may_order":true,"free_loads":0,"load_ratio":0,
			"load_span":5000000}}`,
		"no health checks, no cancel": `{` + one + `,"limits":{"send_cap":2,"may_probe":false,"cancel":false},
			"feedback":{"how":"pull","fields":["waiting"]}}`,
		"unknown feedback":          `{` + one + `,"feedback":{"how":"carrier pigeon","fields":[]},"limits":{"send_cap":9}}`,
		"slow start without a rate": `{` + one + `,"safety":{"start_capacity":0,"warm_within":9000000,"overload_factor":0,"fall":0}}`,
		"nulls": `{` + one + `,"az":null,"azs":null,"projects":null,"host_types":null,"family_info":null,"limits":null,"safety":null,
			"feedback":null,"prices":null}`,
		"tenants, weights and costs of zero": `{"classes":[{"name":"c0","semantics":"read_like","target":0,"deadline":20000000,"worth":0,
			"late_share":0}],"projects":[{"name":"p","quota_per_s":0,"share":0}],"over_share_worth":0,"prices":{"probe":0,"handshake":0}}`,
		"three hundred routers": `{` + one + `,"balancers":300,"family_info":{"when_absent":"load"},"limits":{"send_cap":3,"may_probe":true,
			"cancel":true}}`,
	}
}

// TestOptionalSettings checks that, whatever optional part is missing or odd, the router starts, serves calls of its
// first class at a worker that it has to load, and shuts down with each call answered.
func TestOptionalSettings(t *testing.T) {
	for name, settings := range optionalSettings() {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			h := startHarness(t, harnessOptions{settings: settings})
			for i := range 3 {
				status, body := h.client.Call(hexID(i+1), "c0", hexID(7), 20*time.Second)
				if status != 200 || body != "done "+hexID(i+1) {
					t.Errorf("call %d: %d %q", i, status, body)
				}
			}
			if unanswered := h.server.Shutdown(); unanswered != 0 {
				t.Errorf("%d calls without an answer", unanswered)
			}
		})
	}
}

// TestPollResponseLimitHoldsLargeFleets: a poll that was silent while all of 3,200 workers were listed, and six in ten of
// them drained, left and were replaced, has all of it in one response.
func TestPollResponseLimitHoldsLargeFleets(t *testing.T) {
	const workers, replaced = 3200, 1920
	bytes := 0
	for state, lines := range map[string]int{"active": workers + replaced, "leaving": replaced, "left": replaced} {
		worker := "s-0123456789abcdef 255.255.255.255:65535 " + state + " 1000 1700000000000"
		bytes += lines * len(fakeplatform.EndpointsEvent(false, worker)) // as much as an event of its own for each
	}
	if bytes > maxPollResponseBytes {
		t.Errorf("%d bytes, at most %d", bytes, maxPollResponseBytes)
	}
}
