package timingwheel

import (
	"container/heap"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// TestWheelMatchesPlainList compares a wheel with a plain list of timers under the same random operations.
func TestWheelMatchesPlainList(t *testing.T) {
	for seed := range uint64(6) {
		m := newModel(t, seed)
		for range 3000 {
			switch m.rng.IntN(4) {
			case 0, 1:
				m.add()
			case 2:
				m.remove()
			case 3:
				m.checkNext()
				m.advance()
			}
			if m.wheel.Len() != len(m.want) {
				t.Fatalf("seed %d: %d timers, want %d", seed, m.wheel.Len(), len(m.want))
			}
		}
	}
}

// model is a wheel and a plain list of the timers that it should hold.
type model struct {
	t     *testing.T
	seed  uint64
	rng   *rand.Rand
	now   time.Duration
	wheel *Wheel
	want  []expectedTimer
}

// expectedTimer is a timer and the time for which it is scheduled.
type expectedTimer struct {
	timer *Timer
	at    time.Duration
}

// newModel returns a model that starts at a random time.
func newModel(t *testing.T, seed uint64) *model {
	rng := rand.New(rand.NewPCG(seed, 1))
	now := time.Duration(rng.Int64N(int64(time.Hour)))
	return &model{t: t, seed: seed, rng: rng, now: now, wheel: New(time.Millisecond, now)}
}

// randomDuration returns a random duration whose scale is also random, up to 2^(scales-1) seconds.
func (m *model) randomDuration(scales int) time.Duration {
	return time.Duration(m.rng.ExpFloat64() * float64(time.Second) * float64(int64(1)<<m.rng.IntN(scales)))
}

// add adds a timer.
func (m *model) add() {
	e := expectedTimer{&Timer{}, m.now + m.randomDuration(18)}
	m.wheel.Add(e.timer, e.at)
	m.want = append(m.want, e)
}

// remove removes a random timer, if there is one.
func (m *model) remove() {
	if len(m.want) == 0 {
		return
	}
	i := m.rng.IntN(len(m.want))
	m.wheel.Remove(m.want[i].timer)
	m.want = slices.Delete(m.want, i, i+1)
}

// checkNext fails the test if a timer comes due before the time that Next returns.
func (m *model) checkNext() {
	m.t.Helper()
	next, ok := m.wheel.Next()
	if ok != (len(m.want) > 0) {
		m.t.Fatalf("Next returns %v with %d timers", ok, len(m.want))
	}
	if !ok {
		return
	}
	for _, e := range m.want {
		if e.at < next-time.Millisecond && e.at > m.now {
			m.t.Fatalf("timer at %v comes due before the time of Next, %v", e.at, next)
		}
	}
}

// advance advances the time and fails the test if other timers than expected come due.
func (m *model) advance() {
	m.t.Helper()
	m.now += m.randomDuration(12)
	got := map[*Timer]bool{}
	m.wheel.Advance(m.now, func(timer *Timer) { got[timer] = true })
	m.want = slices.DeleteFunc(m.want, func(e expectedTimer) bool {
		due := (e.at+time.Millisecond-1)/time.Millisecond <= m.now/time.Millisecond
		if due != got[e.timer] {
			m.t.Fatalf("seed %d at %v: timer at %v due %v, came due %v", m.seed, m.now, e.at, due, got[e.timer])
		}
		return due
	})
}

// timerHeap is a binary heap of timers, for comparison with the wheel. A timer's Value is its index in the heap.
type timerHeap []*Timer

func (h timerHeap) Len() int           { return len(h) }
func (h timerHeap) Less(i, j int) bool { return h[i].dueTick < h[j].dueTick }
func (h timerHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].Value, h[j].Value = i, j
}
func (h *timerHeap) Push(x any) { t, _ := x.(*Timer); t.Value = len(*h); *h = append(*h, t) }
func (h *timerHeap) Pop() any   { old := *h; t := old[len(old)-1]; *h = old[:len(old)-1]; return t }

// benchmarkTimers is the number of timers that the benchmarks hold. Each operation adds one and removes the oldest, as
// for calls that end long before their deadline.
const benchmarkTimers = 5000

func BenchmarkWheel(b *testing.B) {
	w := New(time.Millisecond, 0)
	ring := make([]Timer, benchmarkTimers)
	for i := range b.N {
		t := &ring[i%benchmarkTimers]
		now := time.Duration(i) * 20 * time.Microsecond
		if i%50 == 0 {
			w.Advance(now, func(*Timer) {})
		}
		w.Remove(t)
		w.Add(t, now+time.Second)
	}
}

func BenchmarkHeap(b *testing.B) {
	var h timerHeap
	ring := make([]Timer, benchmarkTimers)
	for i := range b.N {
		t := &ring[i%benchmarkTimers]
		now := time.Duration(i) * 20 * time.Microsecond
		if i >= benchmarkTimers {
			at, _ := t.Value.(int)
			heap.Remove(&h, at)
		}
		t.dueTick = int64(now + time.Second)
		heap.Push(&h, t)
	}
}

func BenchmarkRuntimeTimers(b *testing.B) {
	ring := make([]*time.Timer, benchmarkTimers)
	for i := range b.N {
		if t := ring[i%benchmarkTimers]; t != nil {
			t.Stop()
		}
		ring[i%benchmarkTimers] = time.AfterFunc(time.Second, func() {})
	}
}
