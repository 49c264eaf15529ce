package router

import (
	"sync"
	"testing"
	"time"

	"github.com/topazfront/topazfront/dispatch"
	"github.com/topazfront/topazfront/internal/endpoints"
)

// instant is an upstream whose workers answer at once, unless they are dead.
type instant struct {
	r    *Router
	mu   sync.Mutex
	dead map[string]bool
	asks int
}

type nothing struct{}

func (nothing) ForwardTo(Client) {}
func (nothing) Cancel()          {}

func (u *instant) is(worker string) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.dead[worker]
}

func (u *instant) StartAttempt(token AttemptToken, _ *Call, worker string, _ int, _ time.Duration) UpstreamAttempt {
	how := AttemptResult{Result: dispatch.OK, Report: NoWorkerReport}
	if u.is(worker) {
		how = AttemptResult{Result: dispatch.ConnectionReset, Report: NoWorkerReport}
	}
	u.r.AttemptEnded(token, how)
	return nothing{}
}

func (u *instant) LoadFunction(_, _ string, copies int, _ time.Duration, done func(LoadResult)) {
	done(LoadResult{Result: dispatch.OK, Copies: copies})
}

func (u *instant) CheckHealth(worker string, _ time.Duration, done func(HealthResult)) {
	u.mu.Lock()
	u.asks++
	u.mu.Unlock()
	res := dispatch.OK
	if u.is(worker) {
		res = dispatch.TimedOut
	}
	done(HealthResult{Result: res, Ready: true, Report: NoWorkerReport})
}

func (u *instant) SetEndpoints([]endpoints.Worker) {}

// waiter is a client that waits for its final answer.
type waiter chan FinalAnswer

func (w waiter) Start(any)                         {}
func (w waiter) Message(p []byte, _ func(int)) int { return len(p) }
func (w waiter) Finish(f FinalAnswer)              { w <- f }

// told is a peer side that notes what it is told.
type told struct {
	mu     sync.Mutex
	doubts []dispatch.ReportSuspicion
	heard  []string
}

func (p *told) ReportSuspicion(d dispatch.ReportSuspicion) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.doubts = append(p.doubts, d)
}

func (p *told) ReportAlive(w string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.heard = append(p.heard, w)
}

func start(t testing.TB, gossip bool) (*Router, *instant, *told) {
	t.Helper()
	u := &instant{dead: map[string]bool{}}
	r, err := New(Config{Name: "r", Seed: 1, Settings: dispatch.Settings{Routers: 2, MaxAttempts: 3, CancelAllowed: true, HealthChecksAllowed: true,
		IdleResidency: time.Minute, WorkersLoadOnMiss: true, SuspicionsReported: gossip,
		Classes: []dispatch.Class{{Name: "c", LatencyObjective: time.Second, Deadline: 3 * time.Second, PriorityWeight: 1, Idempotency: dispatch.Idempotent}}}}, u)
	if err != nil {
		t.Fatal(err)
	}
	u.r = r
	p := &told{}
	if gossip {
		r.SetGossip(p)
	}
	list := []endpoints.Worker{}
	for _, id := range []string{"a", "b", "c", "d"} {
		list = append(list, endpoints.Worker{Endpoint: dispatch.Endpoint{ID: id, Kind: "k"}, Address: id})
	}
	r.SetEndpoints(list)
	t.Cleanup(r.Kill)
	return r, u, p
}

func (w waiter) call(r *Router, model string) FinalAnswer {
	r.Submit(&Call{Function: model, Class: "c", MemoryMB: 1, ConcurrencyPerInstance: 1, RemainingDeadline: 3 * time.Second, Client: w})
	return <-w
}

// TestDoubtsAreToldAndTakenBack: what the module holds against a worker reaches the peers, and a sign of life
// takes it back.
func TestDoubtsAreToldAndTakenBack(t *testing.T) {
	r, u, p := start(t, true)
	w := make(waiter, 1)
	w.call(r, "m")
	u.mu.Lock()
	for _, id := range []string{"a", "b", "c", "d"} {
		u.dead[id] = true
	}
	u.mu.Unlock()
	for range 3 {
		w.call(r, "m")
	}
	r.Stats() // the loop has told by then
	p.mu.Lock()
	if len(p.doubts) == 0 || len(p.heard) > 0 {
		t.Fatalf("doubts %v, heard %v", p.doubts, p.heard)
	}
	worker := p.doubts[0].Worker
	p.mu.Unlock()
	u.mu.Lock()
	u.dead = map[string]bool{}
	u.mu.Unlock()
	ended := make(chan [2]bool, 1)
	r.VerifyWorker(worker, 0, time.Second, func(alive, void bool) { ended <- [2]bool{alive, void} })
	if got := <-ended; !got[0] || got[1] {
		t.Errorf("the look ended with %v", got)
	}
	r.Stats()
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.heard) != 1 || p.heard[0] != worker {
		t.Errorf("heard %v, want %s", p.heard, worker)
	}
}

// TestLookIsNotTakenWhereTheWorkerWasHeard, and without an answer it tells so.
func TestLookIsNotTakenWhereTheWorkerWasHeard(t *testing.T) {
	r, u, _ := start(t, true)
	w := make(waiter, 1)
	w.call(r, "m")
	type end struct{ alive, void bool }
	look := func(worker string, heard time.Duration) end {
		got := make(chan end, 1)
		r.VerifyWorker(worker, heard, time.Second, func(a, v bool) { got <- end{a, v} })
		return <-got
	}
	voids := 0
	for _, id := range []string{"a", "b", "c", "d"} {
		if look(id, time.Hour).void {
			voids++
		}
	}
	if voids != 1 {
		t.Errorf("%d of 4 workers were heard of by one call", voids)
	}
	u.mu.Lock()
	u.dead["a"] = true
	u.mu.Unlock()
	if got := look("a", 0); got.alive || got.void {
		t.Errorf("a dead worker: %+v", got)
	}
}

// BenchmarkCall is a call's way through the loop with an upstream that answers at once.
func BenchmarkCall(b *testing.B) {
	for name, gossip := range map[string]bool{"alone": false, "gossip": true} {
		b.Run(name, func(b *testing.B) {
			r, _, _ := start(b, gossip)
			w := make(waiter, 1)
			b.ReportAllocs()
			for b.Loop() {
				w.call(r, "m")
			}
		})
	}
}
