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
			s.Routers, s.LoadsOnMiss = 100, true
			d, err := New(s, 1)
			if err != nil {
				b.Fatal(err)
			}
			var list []Member
			for i := range workers {
				list = append(list, Member{ID: fmt.Sprintf("w%02d", i), Kind: "big"})
			}
			now := time.Second
			d.Step(now, []Event{Roster{Whole: true, Members: list}})
			for n := 0; b.Loop(); n++ {
				now += 50 * time.Millisecond
				id := RequestID(n + 1)
				out := d.Step(now, []Event{Request{ID: id, Function: fmt.Sprintf("f%d", n%300), Class: "safe",
					MemoryMB: 300, Lanes: 1, Left: 3 * time.Second}})
				for _, a := range all[Send](out) {
					d.Step(now+40*time.Millisecond, []Event{Outcome{ID: id, Worker: a.Worker, Took: 40 * time.Millisecond,
						Final: true, Company: -1, Load: NoLoad}})
				}
			}
		})
	}
}
