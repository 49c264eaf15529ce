package dispatch

import (
	"fmt"
	"testing"
	"time"
)

// TestARelease: on a quiet day every loaded copy goes void at once. There is no storm of load orders (the checker holds
// the ration, and no function is ordered at more than a few workers), every request still gets its answer, and service is
// back within seconds. It is played where workers say "miss" and wait for orders, and where they load by themselves.
func TestARelease(t *testing.T) {
	for name, loads := range map[string]bool{"by order": false, "on a miss": true} {
		t.Run(name, func(t *testing.T) {
			s := settings()
			s.WorkersLoadOnMiss = loads
			s.LoadRateWindow, s.LoadRateBurst, s.LoadRateRatio = 5*time.Second, 4, 0.1
			r := newHarness(t, s, "a", "b", "c", "d", "e", "f")
			const functions, gap, load, run = 12, 25 * time.Millisecond, 300 * time.Millisecond, 20 * time.Millisecond
			type due struct {
				at time.Duration
				e  Event
			}
			var queue []due
			stands := map[string]time.Duration{} // function at worker: since when
			class, tries, fn := map[RequestID]bool{}, map[RequestID]int{}, map[RequestID]string{}
			var served, ended, orders, began int
			handle := func(out []Action) {
				for _, a := range out {
					switch a := a.(type) {
					case StartAttempt:
						at := fn[a.ID] + "@" + a.Worker
						o := AttemptEnded{ID: a.ID, Attempt: tries[a.ID], Worker: a.Worker, Result: OK, Duration: run, Final: true,
							FunctionInFlight: -1, LoadReport: NoLoadReport}
						tries[a.ID]++
						since, ok := stands[at]
						switch {
						case ok:
							o.Duration += max(since-r.now, 0)
						case loads:
							began++
							stands[at] = r.now + load
							o.Duration += load
						default:
							o.Result, o.Final, o.Duration = NotResident, false, time.Millisecond
						}
						queue = append(queue, due{r.now + o.Duration, o})
					case LoadFunction:
						orders++
						stands[a.Function+"@"+a.Worker] = r.now + load
						queue = append(queue, due{r.now + load, FunctionLoaded{Worker: a.Worker, Function: a.Function, Copies: 1, Duration: load}})
					case RejectRequest:
						ended++
						class[a.ID] = true
					case FailRequest:
						ended++
						class[a.ID] = true
					}
				}
			}
			play := func(span time.Duration) (calls int) {
				served, ended = 0, 0
				next := r.now
				for end := r.now + span; r.now < end; {
					r.now += 5 * time.Millisecond
					events := []Event{TimerFired{}}
					rest := queue[:0]
					for _, q := range queue {
						if q.at > r.now {
							rest = append(rest, q)
							continue
						}
						if o, ok := q.e.(AttemptEnded); ok && o.Result == OK && !class[o.ID] {
							served++
							class[o.ID] = true
						}
						events = append(events, q.e)
					}
					queue = rest
					if r.now >= next {
						next += gap
						calls++
						r.next++
						fn[r.next] = fmt.Sprint("f", calls%functions)
						events = append(events, Request{ID: r.next, Function: fn[r.next], Class: "safe", MemoryMB: 300, ConcurrencyPerInstance: 4,
							LoadTime: load, ExpectedWork: run, RemainingDeadline: 3 * time.Second})
					}
					handle(r.step(events...))
				}
				return calls
			}
			play(20 * time.Second) // all is loaded
			if calls := play(4 * time.Second); served < calls-5 {
				t.Fatalf("before the release %d of %d served", served, calls)
			}
			clear(stands)
			orders, began = 0, 0
			play(3 * time.Second)
			t.Logf("%d orders and %d loads by the workers for %d functions in 3 s after it", orders, began, functions)
			if orders > 3*functions || began > 3*functions {
				t.Errorf("%d orders, %d loads by the workers, for %d functions", orders, began, functions)
			}
			if calls := play(4 * time.Second); served < calls-10 {
				t.Errorf("three seconds after the release %d of %d served, %d given up", served, calls, ended)
			}
		})
	}
}
