package timingwheel

import (
	"container/heap"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// TestAgainstSorted drives a wheel and a plain list by the same random script.
func TestAgainstSorted(t *testing.T) {
	for seed := range uint64(6) {
		rng := rand.New(rand.NewPCG(seed, 1))
		now := time.Duration(rng.Int64N(int64(time.Hour)))
		w := New(time.Millisecond, now)
		type entry struct {
			timer *Timer
			at    time.Duration
		}
		var want []entry
		for range 3000 {
			switch rng.IntN(4) {
			case 0, 1:
				at := now + time.Duration(rng.ExpFloat64()*float64(time.Second)*float64(int64(1)<<rng.IntN(18)))
				e := entry{&Timer{}, at}
				w.Add(e.timer, at)
				want = append(want, e)
			case 2:
				if len(want) > 0 {
					i := rng.IntN(len(want))
					w.Remove(want[i].timer)
					want = slices.Delete(want, i, i+1)
				}
			case 3:
				if next, ok := w.Next(); ok != (len(want) > 0) {
					t.Fatalf("Next tells %v with %d timers", ok, len(want))
				} else if ok {
					for _, e := range want {
						if e.at < next-time.Millisecond && e.at > now {
							t.Fatalf("a timer at %v comes before Next, %v", e.at, next)
						}
					}
				}
				now += time.Duration(rng.ExpFloat64() * float64(time.Second) * float64(int64(1)<<rng.IntN(12)))
				got := map[*Timer]bool{}
				w.Advance(now, func(x *Timer) { got[x] = true })
				want = slices.DeleteFunc(want, func(e entry) bool {
					due := (e.at+time.Millisecond-1)/time.Millisecond <= now/time.Millisecond
					if due != got[e.timer] {
						t.Fatalf("seed %d at %v: timer at %v due %v, came %v", seed, now, e.at, due, got[e.timer])
					}
					return due
				})
			}
			if w.Len() != len(want) {
				t.Fatalf("seed %d: %d timers held, want %d", seed, w.Len(), len(want))
			}
		}
	}
}

type plain []*Timer

func (h plain) Len() int           { return len(h) }
func (h plain) Less(i, j int) bool { return h[i].at < h[j].at }
func (h plain) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].Value, h[j].Value = i, j
}
func (h *plain) Push(x any) { t, _ := x.(*Timer); t.Value = len(*h); *h = append(*h, t) }
func (h *plain) Pop() any   { old := *h; t := old[len(old)-1]; *h = old[:len(old)-1]; return t }

// The benchmarks hold 5,000 deadlines; each operation adds one and removes the oldest, as calls do that end
// long before their deadline.
const held = 5000

func BenchmarkWheel(b *testing.B) {
	w := New(time.Millisecond, 0)
	ring := make([]Timer, held)
	for i := range b.N {
		t := &ring[i%held]
		now := time.Duration(i) * 20 * time.Microsecond
		if i%50 == 0 {
			w.Advance(now, func(*Timer) {})
		}
		w.Remove(t)
		w.Add(t, now+time.Second)
	}
}

func BenchmarkHeap(b *testing.B) {
	var h plain
	ring := make([]Timer, held)
	for i := range b.N {
		t := &ring[i%held]
		now := time.Duration(i) * 20 * time.Microsecond
		if i >= held {
			at, _ := t.Value.(int)
			heap.Remove(&h, at)
		}
		t.at = int64(now + time.Second)
		heap.Push(&h, t)
	}
}

func BenchmarkRuntimeTimers(b *testing.B) {
	ring := make([]*time.Timer, held)
	for i := range b.N {
		if t := ring[i%held]; t != nil {
			t.Stop()
		}
		ring[i%held] = time.AfterFunc(time.Second, func() {})
	}
}
