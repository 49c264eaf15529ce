package config

import (
	"strings"
	"testing"
	"time"

	"github.com/topazfront/topazfront/dispatch"
	"github.com/topazfront/topazfront/internal/endpoints"
)

const validWorkers = `{"workers": [{"id": "w1", "address": "127.0.0.1:1", "kind": "box", "cell": 2, "state": "draining",
 "started": "2026-12-01T08:00:00Z"}, {"id": "w2", "address": "127.0.0.1:2"}]}`

func TestParseValidWorkers(t *testing.T) {
	list, err := ParseWorkers("w.json", []byte(validWorkers))
	if err != nil {
		t.Fatal(err)
	}
	workers := list.Endpoints(endpoints.NewStartTimes(decemberClock{}))
	if len(workers) != 2 || workers[0].State != dispatch.EndpointDraining || workers[0].StartedAt != 8*time.Hour ||
		workers[0].Cell != 2 || workers[1].State != dispatch.EndpointActive {
		t.Errorf("%+v", workers)
	}
}

// TestParseWorkersReportsPathOfInvalidValue makes one change at a time to a valid list.
func TestParseWorkersReportsPathOfInvalidValue(t *testing.T) {
	for _, c := range []struct{ name, from, to, path string }{
		{"worker named twice", `"w2"`, `"w1"`, "/workers/1/id"},
		{"address without port", `127.0.0.1:2`, `nowhere`, "/workers/1/address"},
		{"unknown state", `draining`, `tired`, "/workers/0/state"},
		{"no time", `2026-12-01T08:00:00Z`, `this morning`, "/workers/0/started"},
		{"no id", `"id": "w1",`, ``, "/workers/0"},
		{"empty id", `"w2"`, `""`, "/workers/1/id"},
	} {
		t.Run(c.name, func(t *testing.T) {
			_, err := ParseWorkers("w.json", []byte(strings.Replace(validWorkers, c.from, c.to, 1)))
			if err == nil || !strings.Contains(err.Error(), c.path) {
				t.Errorf("%s: %v, want an error with %s", c.to, err, c.path)
			}
		})
	}
}
