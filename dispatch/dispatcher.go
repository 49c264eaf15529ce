package dispatch

import (
	"errors"
	"fmt"
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

// This file holds a Dispatcher's life: its start, its step and its timer.

const (
	rebalanceInterval = 2 * time.Second  // short enough to follow a burst
	timerSlack        = time.Millisecond // timers are this exact
)

// New returns a Dispatcher with no knowledge but its settings. All its random draws follow from seed.
func New(s Settings, seed uint64) (*Dispatcher, error) {
	switch {
	case len(s.Classes) == 0:
		return nil, errors.New("dispatch: settings name no class")
	case s.MaxAttempts < 1:
		return nil, fmt.Errorf("dispatch: %d attempts allowed, at least 1 needed", s.MaxAttempts)
	case min(s.LoadRateWindow, s.OverloadWindow, s.SlowStartDuration, s.IdleResidency) < 0:
		return nil, errors.New("dispatch: a duration in the settings is negative")
	}
	s.Routers = max(s.Routers, 1)
	d := &Dispatcher{
		settings:         s,
		random:           rand.New(rand.NewPCG(seed, 0)),
		workers:          map[string]*worker{},
		removedWorkers:   map[string]*worker{},
		memoryByKind:     map[string]float64{},
		classes:          map[string]*class{},
		functions:        map[string]*function{},
		requests:         map[RequestID]*request{},
		meanResponseTime: defaultRunTime.Seconds(),
		logLoadTime:      math.Log(defaultLoadTime.Seconds()),
		fleetLimit:       initialLimit,
		retryBudget:      retryBudgetBurst,
	}
	for _, k := range s.WorkerKinds {
		d.memoryByKind[k.Name] = k.MemoryMB
	}
	for _, c := range s.Classes {
		d.classes[c.Name] = &class{Class: c, meanWork: defaultRunTime.Seconds()}
	}
	return d, nil
}

// Step takes the events up to now and returns what to do about them.
func (d *Dispatcher) Step(now time.Duration, events []Event) []Action {
	lastStep := d.now
	d.now = max(now, d.now)
	d.actions = nil
	d.detectPause(lastStep)
	if !d.started {
		d.started = true
		d.lastRebalance = d.now
		d.subscribe()
	}
	for _, e := range events {
		d.handle(e)
	}
	d.updateListState()
	for d.timers.due(d.now) {
		if r := d.requests[d.timers.pop()]; r != nil {
			d.requestTimerFired(r)
		}
	}
	if d.now-d.lastRebalance >= rebalanceInterval {
		d.rebalance()
	}
	d.reassignIfDue()
	d.retryPending()
	d.setTimer()
	return d.actions
}

// handle passes an event to the method that decides on it.
func (d *Dispatcher) handle(e Event) {
	switch e := e.(type) {
	case EndpointUpdate:
		d.updateEndpoints(e)
	case ConnectionLost:
		if w := d.workers[e.Worker]; w != nil {
			d.loseContact(w)
		}
	case EndpointListConfirmed:
		d.confirmList(e)
	case EndpointListRequested:
		d.askListAgain(e)
	case Request:
		d.acceptRequest(e)
	case AttemptEnded:
		d.attemptEnded(e)
	case ResponseStarted:
		d.responseStarted(e)
	case RequestCancelled:
		if r := d.requests[e.ID]; r != nil {
			d.closeRequest(r)
		}
	case FunctionLoaded:
		d.functionLoaded(e)
	case HealthChecked:
		d.recordHealthCheck(e)
	case GossipUpdate:
		d.applyGossip(e)
	case ShutdownStarted:
		d.shutDown(e)
	case TimerFired:
		d.timerFired()
	}
}

// shutDown brings the deadlines of all requests forward.
func (d *Dispatcher) shutDown(e ShutdownStarted) {
	for _, id := range slices.Sorted(maps.Keys(d.requests)) {
		r := d.requests[id]
		r.deadline = min(r.deadline, d.now+e.AnswerWithin)
		d.setRequestTimer(r, r.deadline)
	}
}

// timerFired notes that no timer is in force, if the one set is due: callers may round it down.
func (d *Dispatcher) timerFired() {
	if d.now > d.timerDue-timerSlack {
		d.timerDue = 0
	}
}

// setTimer asks for the next Step, unless the timer in force comes early enough.
func (d *Dispatcher) setTimer() {
	next := min(d.lastRebalance+rebalanceInterval, d.now+d.maxStepInterval())
	if at, ok := d.timers.next(); ok {
		next = min(next, at)
	}
	if len(d.pending) > 0 {
		next = min(next, d.now+pendingBackoff)
	}
	if d.timerDue <= d.now || next < d.timerDue {
		d.timerDue = max(next, d.now+timerSlack)
		d.emit(SetTimer{After: d.timerDue - d.now})
	}
}

// emit adds an action to those of the Step under way.
func (d *Dispatcher) emit(a Action) { d.actions = append(d.actions, a) }
