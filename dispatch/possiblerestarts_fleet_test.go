package dispatch

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// The timeline of an outage with an unseen restart. Calls come until quietFrom and again after the restart.
const (
	outageRouters     = 100
	outageWorkers     = 16
	quietFrom         = 9 * time.Second
	idleClosedAt      = quietFrom + 7500*time.Millisecond
	lastConfirmedAt   = idleClosedAt + time.Second
	restartedAt       = lastConfirmedAt + 2500*time.Millisecond
	outageEnd         = restartedAt + 5*time.Second
	warmResponse      = 150 * time.Millisecond
	capacityOfWorkers = 5.0 / 0.15 // requests per second of each
)

// outageRouter is one router of the fleet, with its connections to the workers.
type outageRouter struct {
	t          *testing.T
	rng        *rand.Rand
	rate       float64 // requests per second
	restarted  string  // the worker that is restarted, or ""
	dispatcher *Dispatcher
	now        time.Duration
	queue      []dueEvent // sorted by time
	connected  map[string]bool
	attempts   map[RequestID]int
	lastID     RequestID
	started    int             // attempts since the restart; each is served, so there is one for each request
	arrivals   []time.Duration // attempts at the restarted worker since its restart
}

func (r *outageRouter) schedule(at time.Duration, e Event) { r.queue = insertDue(r.queue, at, e) }

// run plays the timeline for one router and returns the number of requests that came after the restart.
func (r *outageRouter) run(s Settings) (late int) {
	r.t.Helper()
	var err error
	if r.dispatcher, err = New(s, r.rng.Uint64()); err != nil {
		r.t.Fatal(err)
	}
	var list []Endpoint
	for w := range outageWorkers {
		list = append(list, Endpoint{ID: fmt.Sprint("w", w), Kind: "big"})
	}
	r.now = time.Second
	r.step(EndpointUpdate{Snapshot: true, Endpoints: list}, EndpointListConfirmed{At: r.now})
	for at := r.now; at <= lastConfirmedAt; at += time.Second / 2 {
		r.schedule(at, EndpointListConfirmed{At: at})
	}
	for _, e := range list {
		r.schedule(idleClosedAt, ConnectionsChanged{Worker: e.ID})
	}
	next := func(at time.Duration) time.Duration {
		return at + time.Duration(r.rng.ExpFloat64()/r.rate*float64(time.Second))
	}
	for at := next(r.now); at < quietFrom; at = next(at) {
		r.schedule(at, r.newRequest())
	}
	for at := next(restartedAt); at < outageEnd; at = next(at) {
		r.schedule(at, r.newRequest())
		late++
	}
	for len(r.queue) > 0 && r.queue[0].at < outageEnd+3*time.Second {
		due := r.queue[0]
		r.queue = r.queue[1:]
		r.now = max(r.now, due.at)
		r.step(due.event)
	}
	return late
}

func (r *outageRouter) newRequest() Request {
	r.lastID++
	return Request{ID: r.lastID, Function: fmt.Sprint("f", r.rng.IntN(60)), Class: classIdempotent, MemoryMB: 300,
		ConcurrencyPerInstance: 2, RemainingDeadline: 3 * time.Second}
}

// step passes events to the router and executes the resulting actions.
func (r *outageRouter) step(events ...Event) {
	for _, e := range events {
		if closed, ok := e.(ConnectionsChanged); ok && closed.OldestOpenedAt == 0 {
			r.connected[closed.Worker] = false
		}
	}
	for _, a := range r.dispatcher.Step(r.now, events) {
		switch a := a.(type) {
		case StartAttempt:
			r.connect(a.Worker)
			r.answer(a)
		case CheckHealth:
			r.connect(a.Worker)
			r.schedule(r.now+time.Millisecond, HealthChecked{Worker: a.Worker, Duration: time.Millisecond, LoadReport: NoLoadReport})
		case SetTimer:
			r.schedule(r.now+a.After, TimerFired{})
		}
	}
}

// connect opens a connection to a worker, if there is none.
func (r *outageRouter) connect(worker string) {
	if !r.connected[worker] {
		r.connected[worker] = true
		r.schedule(r.now, ConnectionsChanged{Worker: worker, OldestOpenedAt: r.now})
	}
}

// answer schedules the response to an attempt. A restarted worker takes longer.
func (r *outageRouter) answer(a StartAttempt) {
	took := time.Duration(float64(warmResponse) * (0.6 + float64(0.8*r.rng.Float64())))
	if r.now >= restartedAt {
		r.started++
	}
	if a.Worker == r.restarted && r.now >= restartedAt {
		r.arrivals = append(r.arrivals, r.now)
		took = time.Duration(float64(took) / r.dispatcher.fractionAfter(r.now-restartedAt))
	}
	outcome := outcomeOf(OK, took)
	outcome.ID, outcome.Attempt, outcome.Worker, outcome.Final = a.ID, r.attempts[a.ID], a.Worker, true
	r.attempts[a.ID]++
	r.schedule(r.now+took, outcome)
}

// playOutage plays the timeline for a fleet. It returns the attempts at the restarted worker, the fraction of the
// requests that were served of those that came after the restart, and the settings.
func playOutage(t *testing.T, seed uint64, load float64, restarted string) (arrivals []time.Duration, served float64, s Settings) {
	t.Helper()
	rng := rand.New(rand.NewPCG(seed, 0))
	s = testSettings()
	s.Routers, s.WorkersLoadOnMiss, s.LoadCommandsAllowed = outageRouters, true, false
	s.DrainGrace, s.MaxRetryAfter = testDrainGrace, time.Second
	started, late := 0, 0
	for range outageRouters {
		r := &outageRouter{t: t, rng: rng, rate: load * outageWorkers * capacityOfWorkers / outageRouters, restarted: restarted,
			connected: map[string]bool{}, attempts: map[RequestID]int{}}
		late += r.run(s)
		started += r.started
		arrivals = append(arrivals, r.arrivals...)
	}
	slices.Sort(arrivals)
	return arrivals, float64(started) / float64(late), s
}

// TestUnseenRestartKeepsToSlowStart guards against an overload of a worker that was restarted while discovery was out of
// reach and the routers had closed their connections to it as idle: they took it for warm and sent its whole share.
func TestUnseenRestartKeepsToSlowStart(t *testing.T) {
	for _, load := range []float64{0.8, 1.2} {
		worst := 0.0
		for seed := range uint64(8) {
			arrivals, _, s := playOutage(t, seed, load, fmt.Sprint("w", seed))
			first := 0
			for i, at := range arrivals {
				for at-arrivals[first] > s.OverloadWindow {
					first++
				}
				progress := float64(at-restartedAt) / float64(s.SlowStartDuration)
				share := s.SlowStartShare + (1-s.SlowStartShare)*progress
				bound := slowStartBound(s.OverloadMultiple * share * capacityOfWorkers * s.OverloadWindow.Seconds())
				worst = max(worst, float64(i-first+1)/bound)
			}
			if len(arrivals) == 0 {
				t.Errorf("load %v, seed %d: no attempt at the restarted worker", load, seed)
			}
		}
		t.Logf("load %v: at worst %.2f of the bound", load, worst)
		if worst > 1 {
			t.Errorf("load %v: the restarted worker got %.2f times its bound", load, worst)
		}
	}
}

// TestSoundFleetIsServedWithoutProofs guards against a protection from unseen restarts that costs calls when there was
// none: the routers have no connection that proves anything, to any worker, and still serve each request.
func TestSoundFleetIsServedWithoutProofs(t *testing.T) {
	const load = 0.8
	for seed := range uint64(3) {
		if _, served, _ := playOutage(t, seed, load, ""); served < 1 {
			t.Errorf("seed %d: %.4f of the requests started, want all", seed, served)
		}
	}
}
