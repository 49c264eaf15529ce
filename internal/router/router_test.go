package router

import (
	"sync"
	"testing"
	"time"

	"github.com/topazfront/topazfront/dispatch"
	"github.com/topazfront/topazfront/internal/endpoints"
	"github.com/topazfront/topazfront/internal/gossip"
)

const (
	testFunction = "m"
	testClass    = "c"
	testDeadline = 3 * time.Second
)

var testWorkers = []string{"a", "b", "c", "d"}

// fakeUpstream is an upstream whose workers answer immediately, unless they are dead.
type fakeUpstream struct {
	router   *Router
	mu       sync.Mutex
	dead     map[string]bool
	draining map[string]bool // workers that answer health checks as not ready
}

func (u *fakeUpstream) setDead(workers ...string) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.dead = map[string]bool{}
	for _, worker := range workers {
		u.dead[worker] = true
	}
}

func (u *fakeUpstream) isDead(worker string) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.dead[worker]
}

func (u *fakeUpstream) StartAttempt(token AttemptToken, _ *Call, worker string, _ int, _ SendLimits) UpstreamAttempt {
	result := AttemptResult{Result: dispatch.OK, Report: NoWorkerReport}
	if u.isDead(worker) {
		result.Result = dispatch.ConnectionReset
	}
	u.router.AttemptEnded(token, result)
	return endedAttempt{}
}

func (u *fakeUpstream) LoadFunction(_, _ string, copies int, _ SendLimits, done func(LoadResult)) {
	done(LoadResult{Result: dispatch.OK, Copies: copies})
}

func (u *fakeUpstream) KeepConnections(bool) {}
func (u *fakeUpstream) CheckHealth(worker string, _ time.Duration, done func(HealthResult)) {
	result := dispatch.OK
	if u.isDead(worker) {
		result = dispatch.TimedOut
	}
	u.mu.Lock()
	ready := !u.draining[worker]
	u.mu.Unlock()
	done(HealthResult{Result: result, Ready: ready, Report: NoWorkerReport})
}

func (u *fakeUpstream) UpdateEndpoints([]endpoints.Worker) {}

// endedAttempt is the handle of an attempt that has already ended.
type endedAttempt struct{}

func (endedAttempt) ForwardTo(Client) {}
func (endedAttempt) Cancel()          {}

// answerChannel is a client that sends its final answer to the channel.
type answerChannel chan FinalAnswer

func (c answerChannel) Start(any)                           {}
func (c answerChannel) WriteBody(p []byte, _ func(int)) int { return len(p) }
func (c answerChannel) Finish(answer FinalAnswer)           { c <- answer }

// call submits a call of testFunction and waits for its final answer.
func (c answerChannel) call(r *Router) {
	r.Submit(&Call{Function: testFunction, Class: testClass, MemoryMB: 1, ConcurrencyPerInstance: 1,
		RemainingDeadline: testDeadline, Client: c})
	<-c
}

// recordingGossip is a Gossip that records the reports.
type recordingGossip struct {
	mu         sync.Mutex
	suspicions []dispatch.ReportSuspicion
	alive      []string
}

func (g *recordingGossip) ReportSuspicion(suspicion dispatch.ReportSuspicion) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.suspicions = append(g.suspicions, suspicion)
}

func (g *recordingGossip) ReportAlive(worker string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.alive = append(g.alive, worker)
}

// startRouter starts a router with testWorkers, and kills it at the end of the test.
func startRouter(t testing.TB, withGossip bool) (*Router, *fakeUpstream, *recordingGossip) {
	t.Helper()
	upstream := &fakeUpstream{}
	settings := dispatch.Settings{
		Routers:             2,
		MaxAttempts:         3,
		CancelAllowed:       true,
		HealthChecksAllowed: true,
		IdleResidency:       time.Minute,
		WorkersLoadOnMiss:   true,
		SuspicionsReported:  withGossip,
		Classes: []dispatch.Class{{Name: testClass, LatencyObjective: time.Second, Deadline: testDeadline,
			PriorityWeight: 1, Idempotency: dispatch.Idempotent}},
	}
	r, err := New(Config{Name: "r", Seed: 1, Settings: settings}, upstream)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(r.Kill)
	upstream.router = r
	reporter := &recordingGossip{}
	if withGossip {
		r.SetGossip(reporter)
	}
	list := []endpoints.Worker{}
	for _, id := range testWorkers {
		list = append(list, endpoints.Worker{Endpoint: dispatch.Endpoint{ID: id, Kind: "k"}, Address: id})
	}
	r.SetEndpoints(list)
	return r, upstream, reporter
}

func verifyWorker(r *Router, worker string, maxAge time.Duration) gossip.CheckResult {
	checked := make(chan gossip.CheckResult, 1)
	r.VerifyWorker(worker, maxAge, time.Second, func(result gossip.CheckResult) { checked <- result })
	return <-checked
}

// TestSuspicionsAreReportedAndWithdrawn checks that the dispatcher's suspicion of a worker is reported to gossip, and
// withdrawn when the worker proves to be alive.
func TestSuspicionsAreReportedAndWithdrawn(t *testing.T) {
	r, upstream, reporter := startRouter(t, true)
	client := make(answerChannel, 1)
	client.call(r)
	upstream.setDead(testWorkers...)
	for range 3 {
		client.call(r)
	}
	r.Stats() // once it returns, the loop has reported the suspicions
	reporter.mu.Lock()
	if len(reporter.suspicions) == 0 || len(reporter.alive) > 0 {
		t.Fatalf("suspicions %v, reported alive %v; want a suspicion and nothing alive", reporter.suspicions, reporter.alive)
	}
	worker := reporter.suspicions[0].Worker
	reporter.mu.Unlock()

	upstream.setDead()
	if got, want := verifyWorker(r, worker, 0), gossip.CheckFoundAlive; got != want {
		t.Errorf("verification %v, want %v", got, want)
	}
	r.Stats()
	reporter.mu.Lock()
	defer reporter.mu.Unlock()
	if len(reporter.alive) != 1 || reporter.alive[0] != worker {
		t.Errorf("reported alive %v, want %s", reporter.alive, worker)
	}
}

// TestVerifyWorker checks that a worker recently found alive isn't checked again, and that an unanswered check finds
// the worker silent.
func TestVerifyWorker(t *testing.T) {
	r, upstream, _ := startRouter(t, true)
	make(answerChannel, 1).call(r)
	skipped := 0
	for _, id := range testWorkers {
		if verifyWorker(r, id, time.Hour) == gossip.CheckSkipped {
			skipped++
		}
	}
	if skipped != 1 {
		t.Errorf("one call proved %d of 4 workers alive, want 1", skipped)
	}
	upstream.setDead("a")
	if got, want := verifyWorker(r, "a", 0), gossip.CheckFoundSilent; got != want {
		t.Errorf("verification of a dead worker %v, want %v", got, want)
	}
}

// BenchmarkCall measures a call's processing by the loop, with an upstream that answers immediately.
func BenchmarkCall(b *testing.B) {
	for name, withGossip := range map[string]bool{"alone": false, "gossip": true} {
		b.Run(name, func(b *testing.B) {
			r, _, _ := startRouter(b, withGossip)
			client := make(answerChannel, 1)
			b.ReportAllocs()
			for b.Loop() {
				client.call(r)
			}
		})
	}
}
