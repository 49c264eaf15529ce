package dispatch

import "slices"

// This file defines the lists of requests that wait for an event: a load, a load report or a health check.

// requestQueue holds the requests that wait for one event, in the order in which they came. A request is in it at most
// once, so that the event routes it once, however often it was routed before.
type requestQueue struct{ requests []*request }

func (q *requestQueue) isEmpty() bool { return len(q.requests) == 0 }

// add appends a request, unless the queue contains it.
func (q *requestQueue) add(r *request) {
	if !slices.Contains(q.requests, r) {
		q.requests = append(q.requests, r)
	}
}

// remove removes a request, if the queue contains it.
func (q *requestQueue) remove(r *request) {
	if i := slices.Index(q.requests, r); i >= 0 {
		q.requests = slices.Delete(q.requests, i, i+1)
	}
}

// takeAll removes all requests and returns them.
func (q *requestQueue) takeAll() []*request {
	taken := q.requests
	q.requests = nil
	return taken
}

// withoutCopies returns requests in their order, each once.
func withoutCopies(requests []*request) []*request {
	seen := make(map[*request]bool, len(requests))
	return slices.DeleteFunc(requests, func(r *request) bool {
		isCopy := seen[r]
		seen[r] = true
		return isCopy
	})
}
