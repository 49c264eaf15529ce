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

func (nothing) Grant(Client) {}
func (nothing) Cancel()      {}

func (u *instant) is(worker string) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.dead[worker]
}

func (u *instant) Send(token Token, _ *Call, worker string, _ int, _ time.Duration) Attempt {
	how := Ended{Result: dispatch.OK, Report: NoReport}
	if u.is(worker) {
		how = Ended{Result: dispatch.Reset, Report: NoReport}
	}
	u.r.AttemptEnded(token, how)
	return nothing{}
}

func (u *instant) Load(_, _ string, copies int, _ time.Duration, done func(Order)) {
	done(Order{Result: dispatch.OK, Copies: copies})
}

func (u *instant) Ask(worker string, _ time.Duration, done func(Probe)) {
	u.mu.Lock()
	u.asks++
	u.mu.Unlock()
	res := dispatch.OK
	if u.is(worker) {
		res = dispatch.TimedOut
	}
	done(Probe{Result: res, Ready: true, Report: NoReport})
}

func (u *instant) Workers([]endpoints.Worker) {}

// waiter is a client that waits for its final answer.
type waiter chan Final

func (w waiter) Start(any)                         {}
func (w waiter) Message(p []byte, _ func(int)) int { return len(p) }
func (w waiter) Finish(f Final)                    { w <- f }

// told is a peer side that notes what it is told.
type told struct {
	mu     sync.Mutex
	doubts []dispatch.Doubt
	heard  []string
}

func (p *told) Doubted(d dispatch.Doubt) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.doubts = append(p.doubts, d)
}

func (p *told) HeardOf(w string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.heard = append(p.heard, w)
}

func start(t testing.TB, gossip bool) (*Router, *instant, *told) {
	t.Helper()
	u := &instant{dead: map[string]bool{}}
	r, err := New(Config{Name: "r", Seed: 1, Brain: dispatch.Settings{Routers: 2, MaxAttempts: 3, MayCancel: true, MayProbe: true,
		IdleKeep: time.Minute, LoadsOnMiss: true, TellsDoubts: gossip,
		Classes: []dispatch.Class{{Name: "c", Aim: time.Second, Deadline: 3 * time.Second, Worth: 1, Effect: dispatch.Safe}}}}, u)
	if err != nil {
		t.Fatal(err)
	}
	u.r = r
	p := &told{}
	if gossip {
		r.SetPeers(p)
	}
	list := []endpoints.Worker{}
	for _, id := range []string{"a", "b", "c", "d"} {
		list = append(list, endpoints.Worker{Member: dispatch.Member{ID: id, Kind: "k"}, Address: id})
	}
	r.SetWorkers(list)
	t.Cleanup(r.Kill)
	return r, u, p
}

func (w waiter) call(r *Router, model string) Final {
	r.Submit(&Call{Function: model, Class: "c", MemoryMB: 1, Lanes: 1, Left: 3 * time.Second, Client: w})
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
	r.Look(worker, 0, time.Second, func(alive, void bool) { ended <- [2]bool{alive, void} })
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
		r.Look(worker, heard, time.Second, func(a, v bool) { got <- end{a, v} })
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
