package dispatch

import (
	"fmt"
	"testing"
	"time"
)

// FuzzStep plays odd but legal sequences, read off the bytes, under the rule checker.
func FuzzStep(f *testing.F) {
	f.Add([]byte("\x00\x10\x20\x31\x05\x42\x07\x53\x11\x64\x99\x02\x31\x44\x17\x2a"))
	f.Add([]byte("0123456789abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ"))
	f.Fuzz(func(t *testing.T, data []byte) {
		if len(data) > 2000 {
			return
		}
		s := settings()
		s.DrainGrace = 100 * time.Millisecond
		if len(data) > 0 {
			s.HedgingAllowed, s.WorkersLoadOnMiss = data[0]&1 == 0, data[0]&2 == 0
			if data[0]&4 == 0 {
				s.LoadRateWindow, s.LoadRateBurst, s.LoadRateRatio = 5*time.Second, 2, 0.1
			}
		}
		r := newHarness(t, s, "w0", "w1", "w2", "w3")
		type sent struct {
			id RequestID
			n  int
			w  string
		}
		var open []sent
		tries := map[RequestID]int{}
		final := map[RequestID]bool{}
		for i := 0; i+1 < len(data); i += 2 {
			op, x := data[i]%8, int(data[i+1])
			r.now += time.Duration(data[i]/8) * 5 * time.Millisecond
			var out []Action
			switch w := fmt.Sprintf("w%d", x%5); op {
			case 0, 1:
				class := []string{"safe", "once", "keyed", "unheard of"}[x%4]
				_, out = r.call(fmt.Sprintf("f%d", x/4%6), class)
			case 2, 3, 4:
				if len(open) == 0 {
					continue
				}
				k := x % len(open)
				a := open[k]
				open = append(open[:k], open[k+1:]...)
				res := Result(x / 8 % 9)
				final[a.id] = final[a.id] || res == OK
				out = r.step(AttemptEnded{ID: a.id, Attempt: a.n, Worker: a.w, Result: res, Final: final[a.id],
					Duration: 30 * time.Millisecond, CacheStatus: CacheStatus(x % 5), LoadReport: NoLoadReport})
			case 5:
				if x > 250 {
					out = r.step(ShutdownStarted{AnswerWithin: time.Duration(x-250) * 100 * time.Millisecond})
					break
				}
				if x > 220 {
					out = r.step(GossipUpdate{Routers: x % 7, SuspectedWorkers: []string{w, "w9"}})
					break
				}
				out = r.step(FunctionLoaded{Worker: w, Function: fmt.Sprintf("f%d", x%7), Result: Result(x / 8 % 8)})
			case 6:
				m := Endpoint{ID: w, Kind: "small", Cell: x % 5 / 2, State: EndpointState(x / 5 % 3)}
				if x > 200 {
					m.StartedAt = r.now
				}
				out = r.step(EndpointUpdate{Snapshot: x == 77, Endpoints: []Endpoint{m}})
			case 7:
				if x >= 128 && len(open) > 0 {
					a := open[x%len(open)]
					out = r.step(ResponseStarted{ID: a.id, Attempt: a.n, Worker: a.w, Duration: 20 * time.Millisecond})
					if q := r.checker.requests[a.id]; q != nil && !q.done {
						final[a.id] = true // whatever ends this attempt ends the request
					}
					break
				}
				id := RequestID(x) % (r.next + 1)
				final[id] = true
				out = r.step(RequestCancelled{ID: id}, HealthChecked{Worker: w, Result: Result(x % 9)})
			}
			for out = append(out, r.advance(10*time.Millisecond)...); len(out) > 0; out = out[1:] {
				switch a := out[0].(type) {
				case StartAttempt:
					open = append(open, sent{a.ID, tries[a.ID], a.Worker})
					tries[a.ID]++
				case RejectRequest:
					final[a.ID] = true
				case FailRequest:
					final[a.ID] = true
				}
			}
		}
		r.advance(4 * time.Second) // whatever is left is answered
	})
}
