package soak

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"
)

const (
	functionCount      = 12  // functions that are called
	burstFactor        = 3   // multiplies the call rate during a traffic burst
	leavingClientShare = 0.2 // of the clients, during a fault that makes clients leave early
	maxLeaveDelay      = 40 * time.Millisecond
	zipfShift          = 1 // parameter v of rand.NewZipf
)

// traffic sends calls to one router at random times.
type traffic struct {
	schedule    Schedule
	clientGroup *clientGroup
	burst       atomic.Bool
	leaving     atomic.Bool
}

// run sends calls until the schedule's duration has passed or stop is closed, and returns when all calls have ended.
// The times and functions depend only on the seed and on when bursts start and end.
func (t *traffic) run(stop <-chan struct{}) {
	random := rand.New(rand.NewPCG(t.schedule.Seed, uint64(t.clientGroup.router)))
	popularity := rand.NewZipf(random, t.schedule.FunctionSkew, zipfShift, functionCount-1)
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
		calls.Go(func() { t.clientGroup.sendCall(next) })
	}
}

// drawCall draws the next call. It takes the same number of random values for each call, whether or not clients leave.
func (t *traffic) drawCall(random *rand.Rand, popularity *rand.Zipf, number int) call {
	drawn := call{
		id:       fmt.Sprintf("%08x%08x", t.clientGroup.router+1, number),
		class:    classNames[number%len(classNames)],
		function: fmt.Sprintf("%016x", popularity.Uint64()+1),
		deadline: t.schedule.Settings.Deadline,
	}
	leaves := random.Float64() < leavingClientShare
	after := time.Duration(random.Int64N(int64(maxLeaveDelay))) + 1
	if leaves && t.leaving.Load() {
		drawn.leaveAfter = after
	}
	return drawn
}
