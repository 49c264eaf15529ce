package dispatch

import (
	"fmt"
	"testing"
	"time"
)

// noResponse, as the response time of routerGroup.run, means that no attempt gets a response.
const noResponse = time.Duration(-1)

// routerGroup is many routers of one fleet.
type routerGroup struct {
	routers   []*harness
	endpoints []Endpoint
}

// newRouterGroup starts n routers of one fleet with different seeds. A cell has four workers.
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

// sendSnapshot passes the complete endpoint list to every router.
func (g *routerGroup) sendSnapshot() {
	for _, h := range g.routers {
		h.step(EndpointUpdate{Snapshot: true, Endpoints: g.endpoints})
	}
}

// restartWorker restarts a worker and announces the restart to every router.
func (g *routerGroup) restartWorker(i int) {
	g.endpoints[i].StartedAt = g.routers[0].now
	g.sendSnapshot()
}

// run sends each router one request per interval, each router with a different phase, for the function that functionOf
// returns. Attempts get a response after responseTime. It returns the actions of all routers.
func (g *routerGroup) run(span, interval, responseTime time.Duration,
	functionOf func(router, request int) string) (actions []Action) {
	for i, h := range g.routers {
		phase := interval * time.Duration(i) / time.Duration(len(g.routers))
		p := routerRun{harness: h, responseTime: responseTime, lastRequest: h.now + phase - interval,
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

// routerRun is the run of one router in routerGroup.run.
type routerRun struct {
	*harness
	responseTime time.Duration
	lastRequest  time.Duration
	attempts     map[RequestID]int
	responses    []dueEvent // sorted by time
	loads        []Event    // results of load commands, passed to the router at the next tick
}

// dueEvent is an event that is passed to a router at a given time.
type dueEvent struct {
	at    time.Duration
	event Event
}

// dueEvents removes and returns the load results and the responses that are due.
func (p *routerRun) dueEvents() []Event {
	events := p.loads
	p.loads = nil
	for len(p.responses) > 0 && p.responses[0].at <= p.now {
		events, p.responses = append(events, p.responses[0].event), p.responses[1:]
	}
	return events
}

// answer schedules the responses to the attempts and load commands of one step.
func (p *routerRun) answer(actions []Action) {
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
