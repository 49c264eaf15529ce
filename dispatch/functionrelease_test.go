package dispatch

import (
	"fmt"
	"testing"
	"time"
)

const (
	releasedFunctions = 12
	releaseInterval   = 25 * time.Millisecond // between two requests
	releaseLoadTime   = 300 * time.Millisecond
	releaseRunTime    = 20 * time.Millisecond
	releaseTick       = 5 * time.Millisecond
	releaseDeadline   = 3 * time.Second // deadline of a request
)

// A function release under moderate load invalidates all loaded copies at once. It must not cause a load storm: the
// checker verifies the load rate limit, and each function is loaded on a few workers only. Every request still gets its
// final answer, and within seconds nearly all requests are served again.
func TestFunctionReleaseCausesNoLoadStorm(t *testing.T) {
	for name, loadOnMiss := range map[string]bool{"loads by command": false, "workers load on a miss": true} {
		t.Run(name, func(t *testing.T) {
			f := newReleaseFleet(t, loadOnMiss)
			f.run(20 * time.Second) // every function is loaded
			if requests := f.run(4 * time.Second); f.served < requests-5 {
				t.Fatalf("before the release %d of %d requests served", f.served, requests)
			}
			clear(f.loadedAt)
			f.loadCommands, f.workerLoads = 0, 0
			f.run(3 * time.Second)
			t.Logf("%d load commands and %d loads by the workers for %d functions in the 3 s after the release",
				f.loadCommands, f.workerLoads, releasedFunctions)
			if f.loadCommands > 3*releasedFunctions || f.workerLoads > 3*releasedFunctions {
				t.Errorf("%d load commands and %d loads by the workers for %d functions, want at most 3 each",
					f.loadCommands, f.workerLoads, releasedFunctions)
			}
			if requests := f.run(4 * time.Second); f.served < requests-10 {
				t.Errorf("three seconds after the release %d of %d requests served, %d rejected or failed", f.served,
					requests, f.unserved)
			}
		})
	}
}

// releaseFleet is one router and workers that load functions by command or on a miss.
type releaseFleet struct {
	*harness
	loadOnMiss bool
	loadedAt   map[string]time.Duration // by function and worker: when the load of the copy ends
	functions  map[RequestID]string
	attempts   map[RequestID]int
	answered   map[RequestID]bool
	queue      []dueEvent

	served, unserved          int // requests since the start of the last run
	loadCommands, workerLoads int
}

func newReleaseFleet(t *testing.T, loadOnMiss bool) *releaseFleet {
	t.Helper()
	s := testSettings()
	s.WorkersLoadOnMiss = loadOnMiss
	s.LoadRateWindow, s.LoadRateBurst, s.LoadRateRatio = 5*time.Second, 4, 0.1
	return &releaseFleet{harness: newHarness(t, s, "a", "b", "c", "d", "e", "f"), loadOnMiss: loadOnMiss,
		loadedAt: map[string]time.Duration{}, functions: map[RequestID]string{}, attempts: map[RequestID]int{},
		answered: map[RequestID]bool{}}
}

// run sends a request every releaseInterval, for one function after another, and returns the number of requests.
func (f *releaseFleet) run(span time.Duration) (requests int) {
	f.t.Helper()
	f.served, f.unserved = 0, 0
	next := f.now
	for end := f.now + span; f.now < end; {
		f.now += releaseTick
		events := append([]Event{TimerFired{}}, f.dueEvents()...)
		if f.now >= next {
			next += releaseInterval
			requests++
			events = append(events, f.functionRequest(fmt.Sprint("f", requests%releasedFunctions)))
		}
		f.executeActions(f.step(events...))
	}
	return requests
}

func (f *releaseFleet) functionRequest(function string) Request {
	r := f.newRequest(function, classIdempotent)
	r.ConcurrencyPerInstance, r.LoadTime, r.ExpectedWork = 4, releaseLoadTime, releaseRunTime
	r.RemainingDeadline = releaseDeadline
	f.functions[r.ID] = function
	return r
}

// dueEvents removes and returns the events that are due, and counts the requests that they answer.
func (f *releaseFleet) dueEvents() (due []Event) {
	remaining := f.queue[:0]
	for _, queued := range f.queue {
		if queued.at > f.now {
			remaining = append(remaining, queued)
			continue
		}
		if ended, ok := queued.event.(AttemptEnded); ok && ended.Result == OK && !f.answered[ended.ID] {
			f.served++
			f.answered[ended.ID] = true
		}
		due = append(due, queued.event)
	}
	f.queue = remaining
	return due
}

// executeActions executes the actions of the router.
func (f *releaseFleet) executeActions(actions []Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case StartAttempt:
			outcome := f.attemptOutcome(a)
			f.queue = append(f.queue, dueEvent{f.now + outcome.Duration, outcome})
		case LoadFunction:
			f.loadCommands++
			f.loadedAt[a.Function+"@"+a.Worker] = f.now + releaseLoadTime
			f.queue = append(f.queue, dueEvent{f.now + releaseLoadTime,
				FunctionLoaded{Worker: a.Worker, Function: a.Function, Copies: 1, Duration: releaseLoadTime}})
		case RejectRequest:
			f.unserved++
			f.answered[a.ID] = true
		case FailRequest:
			f.unserved++
			f.answered[a.ID] = true
		}
	}
}

// attemptOutcome returns how an attempt will end: after a load in progress, after a load that it starts, or as
// NotResident.
func (f *releaseFleet) attemptOutcome(a StartAttempt) AttemptEnded {
	outcome := outcomeOf(OK, releaseRunTime)
	outcome.ID, outcome.Attempt, outcome.Worker, outcome.Final = a.ID, f.attempts[a.ID], a.Worker, true
	f.attempts[a.ID]++
	placement := f.functions[a.ID] + "@" + a.Worker
	loadedAt, known := f.loadedAt[placement]
	switch {
	case known:
		outcome.Duration += max(loadedAt-f.now, 0)
	case f.loadOnMiss:
		f.workerLoads++
		f.loadedAt[placement] = f.now + releaseLoadTime
		outcome.Duration += releaseLoadTime
	default:
		outcome.Result, outcome.Final, outcome.Duration = NotResident, false, time.Millisecond
	}
	return outcome
}
