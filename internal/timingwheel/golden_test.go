package timingwheel

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// TestGoldenOrder performs seeded random operations and compares a hash of which timers come due at each step, in which
// order, and of the results of Next and Len. The callback adds and removes timers too.
func TestGoldenOrder(t *testing.T) {
	const want = "a67ef56e0a15df4c80dc925e3ccbf58cc7555173c6f10d120fe80c361c5ac48a"
	sum := sha256.New()
	for seed := range uint64(40) {
		rng := rand.New(rand.NewPCG(seed, 13))
		now := time.Duration(rng.Int64N(int64(time.Hour)))
		w := New(time.Millisecond, now)
		timers := make([]Timer, 200)
		for i := range timers {
			timers[i].Value = i
		}
		randomDuration := func() time.Duration {
			return time.Duration(rng.ExpFloat64() * float64(time.Millisecond) * float64(int64(1)<<rng.IntN(28)))
		}
		for range 1000 {
			timer := &timers[rng.IntN(len(timers))]
			switch rng.IntN(5) {
			case 0, 1, 2:
				w.Add(timer, now+randomDuration()-time.Second)
			case 3:
				w.Remove(timer)
			default:
				now += randomDuration() / 64
				w.Advance(now, func(due *Timer) {
					sum.Write(fmt.Appendln(nil, "due", due.Value))
					if rng.IntN(4) == 0 {
						w.Add(due, now+randomDuration())
						w.Remove(&timers[rng.IntN(len(timers))])
					}
				})
			}
			next, ok := w.Next()
			sum.Write(fmt.Appendln(nil, int64(next), ok, w.Len()))
		}
	}
	if got := hex.EncodeToString(sum.Sum(nil)); got != want {
		t.Errorf("got %s, want %s", got, want)
	}
}
