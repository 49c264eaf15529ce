package respupstream

import (
	"fmt"
	"testing"

	"github.com/topazfront/topazfront/dispatch"
	"github.com/topazfront/topazfront/internal/endpoints"
)

// newLargePool returns a pool with n workers and their endpoint list.
func newLargePool(b *testing.B, n int) (*Pool, []endpoints.Worker) {
	b.Helper()
	list := make([]endpoints.Worker, n)
	for i := range list {
		list[i] = endpoints.Worker{Endpoint: dispatch.Endpoint{ID: fmt.Sprintf("w-%08x", i)}, Address: "127.0.0.1:1"}
	}
	pool := New(Config{})
	b.Cleanup(pool.Close)
	pool.UpdateEndpoints(list)
	return pool, list
}

// BenchmarkPoolUpdate measures an update that changes one worker of n.
func BenchmarkPoolUpdate(b *testing.B) {
	for _, n := range []int{60, 960, 3200} {
		b.Run(fmt.Sprint(n, " workers"), func(b *testing.B) {
			pool, list := newLargePool(b, n)
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				list[i%n].StartedAt++
				pool.UpdateEndpoints(list[i%n : i%n+1])
			}
		})
	}
}

// BenchmarkSweep measures a sweep with n workers and no connections.
func BenchmarkSweep(b *testing.B) {
	for _, n := range []int{60, 960, 3200} {
		b.Run(fmt.Sprint(n, " workers"), func(b *testing.B) {
			pool, _ := newLargePool(b, n)
			for b.Loop() {
				pool.sweepOnce()
			}
		})
	}
}
