package router

import (
	"encoding/json"
	"testing"
	"time"
)

// TestStatsJSON checks the JSON keys of "router.status", which operators use.
func TestStatsJSON(t *testing.T) {
	stats := Stats{1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12 * time.Nanosecond, Causes{}, 13, 14, true, 15 * time.Nanosecond, 16, 17}
	const want = `{"Calls":1,"Served":2,"Refused":3,"Failed":4,"Dropped":5,"Attempts":6,"Orders":7,"Probes":8,"Looks":9,` +
		`"Open":10,"Out":11,"Took":12,"LeaseChecks":13,"DrainsReported":14,"ListExpired":true,"ListAge":15}`
	got, err := json.Marshal(stats)
	if err != nil || string(got) != want {
		t.Errorf("%s, want %s (%v)", got, want, err)
	}
}
