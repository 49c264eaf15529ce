package httprouter

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/topazfront/topazfront/internal/fake/fakeplatform"
)

// optionalSettings returns settings in which optional parts are missing or unusual. All have a class c0.
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

// TestOptionalSettings guards against settings with missing or unusual optional parts that stop the router from
// starting, from loading a function and serving calls, or from answering every call at a shutdown.
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

// TestPollResponseLimitFitsLargeFleet checks that maxPollResponseBytes is enough for one poll response with all events
// of a large change: 3,200 workers are listed, and six in ten of them drain, leave and are replaced.
func TestPollResponseLimitFitsLargeFleet(t *testing.T) {
	const workers, replaced = 3200, 1920
	bytes := 0
	for state, lines := range map[string]int{"active": workers + replaced, "leaving": replaced, "left": replaced} {
		worker := "s-0123456789abcdef 255.255.255.255:65535 " + state + " 1000 1700000000000"
		bytes += lines * len(fakeplatform.EndpointsEvent(false, worker)) // one event per worker
	}
	if bytes > maxPollResponseBytes {
		t.Errorf("response has %d bytes, limit is %d", bytes, maxPollResponseBytes)
	}
}
