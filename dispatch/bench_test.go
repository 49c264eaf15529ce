package dispatch

import (
	"fmt"
	"testing"
	"time"
)

// BenchmarkStep measures a request and its response, with 300 functions known.
func BenchmarkStep(b *testing.B) {
	for _, workers := range []int{16, 80} {
		b.Run(fmt.Sprintf("%d workers", workers), func(b *testing.B) {
			s := testSettings()
			s.Routers, s.WorkersLoadOnMiss = 100, true
			d, err := New(s, 1)
			if err != nil {
				b.Fatal(err)
			}
			var endpoints []Endpoint
			for i := range workers {
				endpoints = append(endpoints, Endpoint{ID: fmt.Sprintf("w%02d", i), Kind: "big"})
			}
			now := time.Second
			d.Step(now, []Event{EndpointUpdate{Snapshot: true, Endpoints: endpoints}})
			for n := 0; b.Loop(); n++ {
				now += 50 * time.Millisecond
				id := RequestID(n + 1)
				actions := d.Step(now, []Event{Request{ID: id, Function: fmt.Sprintf("f%d", n%300),
					Class: classIdempotent, MemoryMB: 300, ConcurrencyPerInstance: 1, RemainingDeadline: 3 * time.Second}})
				for _, a := range actionsOf[StartAttempt](actions) {
					response := outcomeOf(OK, 40*time.Millisecond)
					response.ID, response.Worker, response.Final = id, a.Worker, true
					d.Step(now+40*time.Millisecond, []Event{response})
				}
			}
		})
	}
}
