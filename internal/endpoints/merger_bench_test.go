package endpoints

import (
	"fmt"
	"testing"
	"time"

	"github.com/topazfront/topazfront/dispatch"
)

// BenchmarkMergerUpdate measures the merge of an update that changes one worker of n.
func BenchmarkMergerUpdate(b *testing.B) {
	for _, n := range []int{60, 960, 3200} {
		b.Run(fmt.Sprint(n, " workers"), func(b *testing.B) {
			list := make([]Worker, n)
			for i := range list {
				list[i] = Worker{Endpoint: dispatch.Endpoint{ID: fmt.Sprintf("w-%08x", i)}, Address: "127.0.0.1:1"}
			}
			m := New(Settings{CheckInterval: time.Second})
			m.Update(Update{Snapshot: true, Workers: list})
			m.Step(0)
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				list[i%n].StartedAt++
				m.Update(Update{Workers: list[i%n : i%n+1]})
				if m.Step(0).Update == nil {
					b.Fatal("no update")
				}
			}
		})
	}
}
