package dispatch

import (
	"fmt"
	"testing"
	"time"
)

// BenchmarkStep takes a call and its answer, with 300 functions known.
func BenchmarkStep(b *testing.B) {
	for _, workers := range []int{16, 80} {
		b.Run(fmt.Sprintf("%d workers", workers), func(b *testing.B) {
			s := settings()
			s.Routers, s.WorkersLoadOnMiss = 100, true
			d, err := New(s, 1)
			if err != nil {
				b.Fatal(err)
			}
			var list []Endpoint
			for i := range workers {
				list = append(list, Endpoint{ID: fmt.Sprintf("w%02d", i), Kind: "big"})
			}
			now := time.Second
			d.Step(now, []Event{EndpointUpdate{Snapshot: true, Endpoints: list}})
			for n := 0; b.Loop(); n++ {
				now += 50 * time.Millisecond
				id := RequestID(n + 1)
				out := d.Step(now, []Event{Request{ID: id, Function: fmt.Sprintf("f%d", n%300), Class: "safe",
					MemoryMB: 300, ConcurrencyPerInstance: 1, RemainingDeadline: 3 * time.Second}})
				for _, a := range actionsOf[StartAttempt](out) {
					d.Step(now+40*time.Millisecond, []Event{AttemptEnded{ID: id, Worker: a.Worker, Duration: 40 * time.Millisecond,
						Final: true, FunctionInFlight: -1, LoadReport: NoLoadReport}})
				}
			}
		})
	}
}
