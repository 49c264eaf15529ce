package dispatch

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// This file contains the routers of TestSlowStartBoundsAttemptsOfAllRouters.

// slowStartRouter is one router of a fleet in which a worker starts.
type slowStartRouter struct {
	t           *testing.T
	settings    Settings
	rng         *rand.Rand
	rate        float64 // requests per second
	endpoints   []Endpoint
	announcedAt time.Duration // when the router learns of the worker that starts

	dispatcher      *Dispatcher
	now             time.Duration
	queue           []dueEvent // sorted by time
	attempts        map[RequestID]int
	lastID          RequestID
	lastArrival     RequestID       // the last new request; the others are retries by clients
	warmingAttempts []time.Duration // when attempts at the worker that starts were started
}

// run runs the router until slowStartEnd. A killed router is restarted in the middle.
func (r *slowStartRouter) run(killed bool) {
	r.t.Helper()
	r.start()
	killAt := time.Duration(math.MaxInt64)
	if killed {
		killAt = slowStartBegin + routerKillDelay
	}
	for len(r.queue) > 0 && r.queue[0].at < slowStartEnd {
		next := r.queue[0]
		r.queue = r.queue[1:]
		r.now = max(r.now, next.at)
		if r.now >= killAt {
			r.now, killAt = killAt, math.MaxInt64
			r.start()
			continue
		}
		if request, ok := next.event.(Request); ok && request.ID == r.lastArrival {
			r.scheduleArrival()
		}
		r.step(next.event)
	}
}

// start starts the router with an empty state.
func (r *slowStartRouter) start() {
	r.t.Helper()
	var err error
	if r.dispatcher, err = New(r.settings, r.rng.Uint64()); err != nil {
		r.t.Fatal(err)
	}
	warming := Endpoint{ID: warmingWorkerID, Kind: "big", StartedAt: slowStartBegin}
	endpoints := r.endpoints
	if r.now >= r.announcedAt {
		endpoints = slices.DeleteFunc(slices.Clone(endpoints), func(e Endpoint) bool { return e.ID == warmingWorkerID })
		endpoints = append(endpoints, warming)
	}
	r.queue = nil
	r.step(EndpointUpdate{Snapshot: true, Endpoints: endpoints})
	r.scheduleArrival()
	if r.now < r.announcedAt {
		r.schedule(r.announcedAt, EndpointUpdate{Endpoints: []Endpoint{warming}})
	}
}

// schedule adds an event to the queue.
func (r *slowStartRouter) schedule(at time.Duration, e Event) { r.queue = insertDue(r.queue, at, e) }

// insertDue returns a queue with one more event, after those with the same or an earlier time.
func insertDue(queue []dueEvent, at time.Duration, e Event) []dueEvent {
	i, _ := slices.BinarySearchFunc(queue, at, func(queued dueEvent, at time.Duration) int {
		if queued.at <= at {
			return -1
		}
		return 1
	})
	return slices.Insert(queue, i, dueEvent{at, e})
}

func (r *slowStartRouter) newRequest() Request {
	r.lastID++
	function := fmt.Sprint("f", int(20*math.Pow(r.rng.Float64(), 3)))
	return Request{ID: r.lastID, Function: function, Class: classIdempotent, MemoryMB: 300, ConcurrencyPerInstance: 2,
		RemainingDeadline: 3 * time.Second}
}

func (r *slowStartRouter) scheduleArrival() {
	request := r.newRequest()
	r.lastArrival = request.ID
	r.schedule(r.now+time.Duration(r.rng.ExpFloat64()/r.rate*float64(time.Second)), request)
}

// step passes events to the router and executes the resulting actions. Half of the rejected clients retry.
func (r *slowStartRouter) step(events ...Event) {
	for _, a := range r.dispatcher.Step(r.now, events) {
		switch a := a.(type) {
		case StartAttempt:
			r.answerAttempt(a)
		case LoadFunction:
			r.schedule(r.now+100*time.Millisecond, FunctionLoaded{Worker: a.Worker, Function: a.Function, Copies: 1,
				Duration: 100 * time.Millisecond})
		case RejectRequest:
			if r.rng.Float64() < 0.5 {
				r.schedule(r.now+100*time.Millisecond, r.newRequest())
			}
		case SetTimer:
			r.schedule(r.now+a.After, TimerFired{})
		}
	}
}

// answerAttempt schedules the end of an attempt: a response, a rejection or a reset connection.
func (r *slowStartRouter) answerAttempt(a StartAttempt) {
	if a.Worker == warmingWorkerID && r.now >= r.announcedAt {
		r.warmingAttempts = append(r.warmingAttempts, r.now)
	}
	outcome := outcomeOf(OK, 50*time.Millisecond)
	switch p := r.rng.Float64(); {
	case p < 0.1:
		outcome = outcomeOf(Rejected, 3*time.Millisecond)
	case p < 0.15:
		outcome = outcomeOf(ConnectionReset, 20*time.Millisecond)
	}
	outcome.ID, outcome.Attempt, outcome.Worker, outcome.Final = a.ID, r.attempts[a.ID], a.Worker, outcome.Result == OK
	r.attempts[a.ID]++
	r.schedule(r.now+outcome.Duration, outcome)
}
