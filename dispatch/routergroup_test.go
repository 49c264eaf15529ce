package dispatch

import (
	"fmt"
	"testing"
	"time"
)

// noResponse, as the response time of routerGroup.play, leaves every attempt without a response.
const noResponse = time.Duration(-1)

// routerGroup is many routers of one fleet.
type routerGroup struct {
	routers   []*harness
	endpoints []Endpoint
}

// newRouterGroup starts n routers of one fleet, each with a seed of its own; a cell has four workers.
func newRouterGroup(t *testing.T, n int, s Settings, workers int) *routerGroup {
	t.Helper()
	g := &routerGroup{}
	for i := range workers {
		g.endpoints = append(g.endpoints, Endpoint{ID: fmt.Sprintf("w%02d", i), Kind: "big", Cell: i / 4})
	}
	s.Routers = n
	for i := range n {
		g.routers = append(g.routers, newHarnessWithoutEndpoints(t, s, uint64(i+1)))
	}
	g.sendSnapshot()
	return g
}

// sendSnapshot hands the complete endpoint list to every router.
func (g *routerGroup) sendSnapshot() {
	for _, h := range g.routers {
		h.step(EndpointUpdate{Snapshot: true, Endpoints: g.endpoints})
	}
}

// restartWorker gives a worker a new start and announces it to every router.
func (g *routerGroup) restartWorker(i int) {
	g.endpoints[i].StartedAt = g.routers[0].now
	g.sendSnapshot()
}

// play gives each router a request every interval, each router with a phase of its own, of the function that
// functionOf names, and answers the attempts after responseTime. It returns the actions of all routers.
func (g *routerGroup) play(span, interval, responseTime time.Duration,
	functionOf func(router, request int) string) (actions []Action) {
	for i, h := range g.routers {
		phase := interval * time.Duration(i) / time.Duration(len(g.routers))
		p := routerPlay{harness: h, responseTime: responseTime, lastRequest: h.now + phase - interval,
			attempts: map[RequestID]int{}}
		count := 0
		for end := h.now + span; h.now < end; {
			h.now += harnessTick
			events := append([]Event{TimerFired{}}, p.dueEvents()...)
			if h.now >= p.lastRequest+interval {
				p.lastRequest += interval
				count++
				events = append(events, h.newRequest(functionOf(i, count), classIdempotent))
			}
			stepActions := h.step(events...)
			p.answer(stepActions)
			actions = append(actions, stepActions...)
		}
	}
	return actions
}

// routerPlay is one router's part of routerGroup.play.
type routerPlay struct {
	*harness
	responseTime time.Duration
	lastRequest  time.Duration
	attempts     map[RequestID]int
	responses    []dueEvent // in the order of their times
	loads        []Event    // results of load commands, handed over at the next tick
}

// dueEvent is an event to be handed over at its time.
type dueEvent struct {
	at    time.Duration
	event Event
}

// dueEvents takes the load results and the responses that are due.
func (p *routerPlay) dueEvents() []Event {
	events := p.loads
	p.loads = nil
	for len(p.responses) > 0 && p.responses[0].at <= p.now {
		events, p.responses = append(events, p.responses[0].event), p.responses[1:]
	}
	return events
}

// answer schedules the responses to the attempts and load commands of one step.
func (p *routerPlay) answer(actions []Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case StartAttempt:
			if p.responseTime >= 0 {
				response := outcomeOf(OK, p.responseTime)
				response.ID, response.Attempt, response.Worker, response.Final = a.ID, p.attempts[a.ID], a.Worker, true
				p.responses = append(p.responses, dueEvent{p.now + p.responseTime, response})
			}
			p.attempts[a.ID]++
		case LoadFunction:
			p.loads = append(p.loads, FunctionLoaded{Worker: a.Worker, Function: a.Function, Copies: 1,
				Duration: 10 * time.Millisecond})
		}
	}
}
