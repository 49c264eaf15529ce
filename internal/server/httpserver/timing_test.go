package httpserver

import (
	"testing"
	"time"

	"github.com/topazfront/topazfront/internal/transport/http1"
)

// TestDeadlineCountsFromArrival: what waited in the system before it was read has used up some of its time.
func TestDeadlineCountsFromArrival(t *testing.T) {
	s, _ := startServer(t, nil)
	reader := http1.NewReader(s.cfg.Limits)
	_ = reader.Add([]byte(newRequest(servedFunction, "", "X-Deadline-Ms: 1500")))
	m, err := reader.Next()
	if err != nil {
		t.Fatal(err)
	}
	call, _, err := s.parseCall(m, time.Now().Add(-400*time.Millisecond))
	if err != nil || call.RemainingDeadline > 1100*time.Millisecond || call.RemainingDeadline < 500*time.Millisecond {
		t.Errorf("remaining %v, %v", call.RemainingDeadline, err)
	}
}
