package soak

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"
)

const (
	functions   = 12 // that are called
	burstFactor = 3
	leaveShare  = 0.2 // of the clients, while some leave early
	maxLeave    = 40 * time.Millisecond
	zipfShift   = 1
)

// traffic makes calls to one router at random times.
type traffic struct {
	schedule Schedule
	client   *client
	burst    atomic.Bool
	leaving  atomic.Bool
}

// run makes calls until the schedule's duration is over or stop is closed, and returns when all have ended. The times and
// functions follow from the seed, and from when bursts begin and end.
func (t *traffic) run(stop <-chan struct{}) {
	random := rand.New(rand.NewPCG(t.schedule.Seed, uint64(t.client.router)))
	popularity := rand.NewZipf(random, t.schedule.FunctionSkew, zipfShift, functions-1)
	var calls sync.WaitGroup
	defer calls.Wait()
	startedAt := time.Now()
	at := time.Duration(0)
	for number := 0; ; number++ {
		rate := t.schedule.CallRate
		if t.burst.Load() {
			rate *= burstFactor
		}
		at += time.Duration(random.ExpFloat64() / rate * float64(time.Second))
		next := t.drawCall(random, popularity, number)
		if at > t.schedule.Duration {
			return
		}
		select {
		case <-stop:
			return
		case <-time.After(time.Until(startedAt.Add(at))):
		}
		calls.Go(func() { t.client.make(next) })
	}
}

// drawCall draws the next call.
func (t *traffic) drawCall(random *rand.Rand, popularity *rand.Zipf, number int) call {
	drawn := call{
		id:       fmt.Sprintf("%08x%08x", t.client.router+1, number),
		class:    classNames[number%len(classNames)],
		function: fmt.Sprintf("%016x", popularity.Uint64()+1),
		deadline: t.schedule.Settings.Deadline,
	}
	leaves := random.Float64() < leaveShare
	after := time.Duration(random.Int64N(int64(maxLeave))) + 1
	if leaves && t.leaving.Load() {
		drawn.leaveAfter = after
	}
	return drawn
}
