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

// This file creates a Dispatcher, passes events to their handlers and sets the timer.

const (
	rebalanceInterval = 2 * time.Second  // short enough to follow a burst
	timerSlack        = time.Millisecond // precision of timers: the caller may round them down
)

// New returns a Dispatcher for a router that knows no worker yet. Its random numbers are derived from seed.
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

// Step handles the events that arrived up to now and returns the actions that the caller has to execute.
func (d *Dispatcher) Step(now time.Duration, events []Event) []Action {
	lastStep := d.now
	d.now = max(now, d.now)
	d.actions = nil
	d.detectPause(lastStep)
	d.updateProofs()
	if !d.started {
		d.started = true
		d.lastRebalance = d.now
		d.subscribe()
	}
	for _, e := range events {
		d.handleEvent(e)
	}
	d.updateListState()
	d.updateProofs()
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

// handleEvent passes an event to its handler.
func (d *Dispatcher) handleEvent(e Event) {
	switch e := e.(type) {
	case EndpointUpdate:
		d.updateEndpoints(e)
	case ConnectionLost:
		if w := d.workers[e.Worker]; w != nil {
			d.recordContactLoss(w)
		}
	case ConnectionsChanged:
		d.recordConnections(e)
	case EndpointListConfirmed:
		d.confirmList(e)
	case EndpointListRequested:
		d.recordListRequest(e)
	case Request:
		d.acceptRequest(e)
	case AttemptEnded:
		d.handleAttemptEnded(e)
	case ResponseStarted:
		d.handleResponseStarted(e)
	case RequestCancelled:
		if r := d.requests[e.ID]; r != nil {
			d.closeRequest(r)
		}
	case FunctionLoaded:
		d.handleFunctionLoaded(e)
	case HealthChecked:
		d.recordHealthCheck(e)
	case GossipUpdate:
		d.applyGossip(e)
	case ShutdownStarted:
		d.shutDown(e)
	case TimerFired:
		d.handleTimerFired()
	}
}

// shutDown limits the time until the deadline of all open requests to AnswerWithin.
func (d *Dispatcher) shutDown(e ShutdownStarted) {
	for _, id := range slices.Sorted(maps.Keys(d.requests)) {
		r := d.requests[id]
		r.deadline = min(r.deadline, d.now+e.AnswerWithin)
		d.setRequestTimer(r, r.deadline)
	}
}

// handleTimerFired records that no timer is set any more, unless the event came too early for the timer
// that is set. Callers may round a timer down.
func (d *Dispatcher) handleTimerFired() {
	if d.now > d.timerDue-timerSlack {
		d.timerDue = 0
	}
}

// setTimer requests a timer for the next Step, unless the one that is set fires early enough.
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

// emit appends an action to the result of the current Step.
func (d *Dispatcher) emit(a Action) { d.actions = append(d.actions, a) }
