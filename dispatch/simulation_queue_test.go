package dispatch

import (
	"container/heap"
	"time"
)

// This file contains the event queue of a simulation.

// scheduledEvent is an event that is due at a router, or a function that changes the fleet.
type scheduledEvent struct {
	at     time.Duration
	order  int
	router int // -1 for a change of the fleet
	event  Event
	run    func()
}

// eventQueue is a heap of scheduled events, sorted by time. Events at the same time keep the order in which they were
// scheduled.
type eventQueue []scheduledEvent

func (q eventQueue) Len() int { return len(q) }

func (q eventQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].order < q[j].order
}

func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

func (q *eventQueue) Push(x any) { *q = append(*q, x.(scheduledEvent)) }

func (q *eventQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

// scheduleAt schedules an event at a router. If e is nil, it schedules the function run.
func (s *simulation) scheduleAt(at time.Duration, router int, e Event, run func()) {
	s.order++
	heap.Push(&s.queue, scheduledEvent{max(at, s.now), s.order, router, e, run})
}

// uniform returns a random duration from a uniform distribution.
func (s *simulation) uniform(from, to time.Duration) time.Duration {
	return from + time.Duration(s.rng.Float64()*float64(to-from))
}

// scheduleAfter schedules an event at a router after a delay. The event is dropped if the router is killed before.
func (s *simulation) scheduleAfter(router int, after time.Duration, e Event) {
	r, dispatcher := s.routers[router], s.routers[router].dispatcher
	s.scheduleAt(s.now+after, router, nil, func() {
		if r.dispatcher != dispatcher {
			return
		}
		if outcome, ok := e.(AttemptEnded); ok && outcome.Result == OK {
			r.requests[outcome.ID].final = true
			outcome.Final = true
			e = outcome
		}
		s.scheduleAt(s.now, router, e, nil)
	})
}
