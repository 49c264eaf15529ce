package dispatch

import "time"

// This file contains the faults and the endpoint updates of a simulation.

// endpoint returns a worker's entry of the endpoint list.
func (s *simulation) endpoint(w *simulatedWorker) Endpoint {
	return Endpoint{ID: w.id, Zone: w.zone, Kind: w.kind, Cell: w.cell, State: w.state, Weight: 1, StartedAt: w.startedAt}
}

// announceEndpoints sends the endpoint list, or changes of it, to every router, each after a random delay.
func (s *simulation) announceEndpoints(snapshot bool, changed ...*simulatedWorker) {
	announced := changed
	if snapshot {
		announced = s.workers
	}
	var endpoints []Endpoint
	for _, w := range announced {
		if !snapshot || w.state != EndpointRemoved {
			endpoints = append(endpoints, s.endpoint(w))
		}
	}
	for i := range s.routers {
		at := s.now + s.uniform(0, 300*time.Millisecond)
		s.scheduleAt(at, i, EndpointUpdate{Snapshot: snapshot, Endpoints: endpoints}, nil)
	}
}

// scheduleFaults schedules random faults and the graceful shutdown at the end.
func (s *simulation) scheduleFaults() {
	pick := func() *simulatedWorker { return s.workers[s.rng.IntN(len(s.workers))] }
	faults := []func(){
		func() { // a worker is restarted
			w := pick()
			w.startedAt, w.resident, w.inFlight = s.now, map[string]time.Duration{}, 0
			s.announceEndpoints(false, w)
		},
		func() { // a worker drains and is replaced
			w := pick()
			w.state = EndpointDraining
			s.announceEndpoints(false, w)
			s.scheduleAt(s.now+2*time.Second, -1, nil, func() {
				w.state = EndpointRemoved
				s.startWorker(len(s.workers))
				s.announceEndpoints(s.rng.IntN(2) == 0, w, s.workers[len(s.workers)-1])
			})
		},
		func() { pick().silentUntil = s.now + s.uniform(time.Second, 5*time.Second) },
		func() { pick().hangs = "safe" },
		func() { pick().fails = []string{"safe", "once", "all"}[s.rng.IntN(3)] },
		func() { pick().runTimeFactor *= 6 },
		func() { // a function release invalidates all loaded copies
			for _, w := range s.workers {
				clear(w.resident)
			}
		},
		func() { // a burst
			s.rate *= 4
			s.scheduleAt(s.now+2*time.Second, -1, nil, func() { s.rate /= 4 })
		},
		func() { // a router is killed
			s.startRouter(s.rng.IntN(len(s.routers)))
		},
		func() {
			s.step(s.rng.IntN(len(s.routers)),
				GossipUpdate{Routers: s.rng.IntN(500), SuspectedWorkers: []string{pick().id, "unknown"}})
		},
		func() { s.step(s.rng.IntN(len(s.routers)), EndpointUpdate{SubscriptionLost: true}) },
		func() { s.announceEndpoints(true) },
	}
	for range 14 {
		fault := faults[s.rng.IntN(len(faults))]
		s.scheduleAt(s.uniform(3*time.Second, simulationEnd-6*time.Second), -1, nil, fault)
	}
	s.scheduleAt(simulationEnd-3*time.Second, -1, nil, func() {
		for i := range s.routers {
			s.step(i, ShutdownStarted{AnswerWithin: s.uniform(500*time.Millisecond, 2*time.Second)})
		}
	})
}
