package dispatch

import (
	"flag"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

var slowStartSeeds = flag.Float64("cold.seeds", 1, "how many times as many seeds TestAColdWorkerUnderTheSumOfAllRouters plays")

// TestAColdWorkerUnderTheSumOfAllRouters: a worker starts while 3, 30 or 300 routers serve. They hear of it at different
// times, attempts fail and are repeated by router and client, and seven in ten routers are killed and start anew in the
// middle. In no span of the settings does the worker get more than N + 2 root N + 2 requests from all of them, N being
// what the settings allow it at the span's beginning.
func TestAColdWorkerUnderTheSumOfAllRouters(t *testing.T) {
	for routers, seeds := range map[int]float64{3: 900, 30: 90, 300: 10} {
		t.Run(fmt.Sprint(routers), func(t *testing.T) {
			t.Parallel()
			worst, all := 0.0, 0
			for seed := range int(seeds * *slowStartSeeds) {
				most, n := playSlowStart(t, routers, uint64(seed))
				worst, all = max(worst, most), all+n
			}
			t.Logf("%d routers: %d sends to the cold worker, at worst %.2f of the bound", routers, all, worst)
			if worst > 1 || all == 0 {
				t.Errorf("%d routers: %.2f of what a cold worker stands, %d sends", routers, worst, all)
			}
		})
	}
}

// coldStart plays one start under one seed. It returns the most that a span held, as a share of the bound, and how many
// requests the worker got.
func playSlowStart(t *testing.T, routers int, seed uint64) (most float64, n int) {
	t.Helper()
	const workers, load = 12, 0.9
	rng := rand.New(rand.NewPCG(seed, uint64(routers)))
	s := settings()
	s.Routers, s.WorkersLoadOnMiss, s.HealthChecksAllowed, s.SlowStartShare = routers, true, false, 0.1
	rate := 4.0 // calls a second of one router
	capacity := rate * float64(routers) / load / workers
	var members []Endpoint
	for w := range workers {
		members = append(members, Endpoint{ID: fmt.Sprint("w", w), Kind: "big", Cell: w / 3})
	}
	const begin, end = 8 * time.Second, 18 * time.Second
	cold := Endpoint{ID: "cold", Kind: "big", StartedAt: begin}
	var sends []time.Duration
	for range routers {
		own := rate * (0.3 + 1.4*rng.Float64())
		told := begin + time.Duration(rng.Float64()*float64(3*time.Second))
		sends = append(sends, playRouter(t, s, rng, own, told, rng.Float64() < 0.7, end, members, cold)...)
	}
	slices.Sort(sends)
	for i, from := range sends {
		in := 0
		for _, at := range sends[i:] {
			if at-from < s.OverloadWindow {
				in++
			}
		}
		share := s.SlowStartShare + (1-s.SlowStartShare)*float64(from-begin)/float64(s.SlowStartDuration)
		allowed := s.OverloadMultiple * share * capacity * s.OverloadWindow.Seconds()
		most = max(most, float64(in)/(allowed+2*math.Sqrt(allowed)+2))
	}
	return most, len(sends)
}

// coldRouter plays one router until the end and returns when it sent to the cold worker.
func playRouter(t *testing.T, s Settings, rng *rand.Rand, rate float64, told time.Duration, killed bool, end time.Duration,
	members []Endpoint, cold Endpoint) (sends []time.Duration) {
	t.Helper()
	type due struct {
		at time.Duration
		e  Event
	}
	var d *Dispatcher
	var queue []due // in order
	tries := map[RequestID]int{}
	later := func(at time.Duration, e Event) {
		i, _ := slices.BinarySearchFunc(queue, at, func(q due, at time.Duration) int {
			if q.at <= at {
				return -1
			}
			return 1
		})
		queue = slices.Insert(queue, i, due{at, e})
	}
	id, arrival := RequestID(0), RequestID(0) // the newest, and the one after which the next arrives
	call := func() Request {
		id++
		return Request{ID: id, Function: fmt.Sprint("f", int(20*math.Pow(rng.Float64(), 3))), Class: "safe", MemoryMB: 300,
			ConcurrencyPerInstance: 2, RemainingDeadline: 3 * time.Second}
	}
	now := time.Duration(0)
	arrive := func() {
		r := call()
		arrival = r.ID
		later(now+time.Duration(rng.ExpFloat64()/rate*float64(time.Second)), r)
	}
	step := func(events ...Event) {
		for _, a := range d.Step(now, events) {
			switch a := a.(type) {
			case StartAttempt:
				if a.Worker == cold.ID {
					sends = append(sends, now)
				}
				res, took := OK, 50*time.Millisecond
				switch p := rng.Float64(); {
				case p < 0.1:
					res, took = Rejected, 3*time.Millisecond
				case p < 0.15:
					res, took = ConnectionReset, 20*time.Millisecond
				}
				later(now+took, AttemptEnded{ID: a.ID, Attempt: tries[a.ID], Worker: a.Worker, Result: res, Duration: took,
					Final: res == OK, FunctionInFlight: -1, LoadReport: NoLoadReport})
				tries[a.ID]++
			case LoadFunction:
				later(now+100*time.Millisecond, FunctionLoaded{Worker: a.Worker, Function: a.Function, Copies: 1,
					Duration: 100 * time.Millisecond})
			case RejectRequest:
				if rng.Float64() < 0.5 {
					later(now+100*time.Millisecond, call())
				}
			case SetTimer:
				later(now+a.After, TimerFired{})
			}
		}
	}
	begin := func() {
		var err error
		if d, err = New(s, rng.Uint64()); err != nil {
			t.Fatal(err)
		}
		list := members
		if now >= told {
			list = append(slices.Clone(members), cold)
		}
		queue = nil
		step(EndpointUpdate{Snapshot: true, Endpoints: list})
		arrive()
		if now < told {
			later(told, EndpointUpdate{Endpoints: []Endpoint{cold}})
		}
	}
	begin()
	kill := time.Duration(math.MaxInt64)
	if killed {
		kill = cold.StartedAt + 4*time.Second
	}
	for len(queue) > 0 && queue[0].at < end {
		q := queue[0]
		queue = queue[1:]
		now = max(now, q.at)
		if now >= kill {
			now, kill = kill, math.MaxInt64
			begin()
			continue
		}
		if r, ok := q.e.(Request); ok && r.ID == arrival {
			arrive()
		}
		step(q.e)
	}
	return sends
}
