package dispatch

import "slices"

// This file defines the queues in which requests wait: for a worker, a health check, a load report or a load.

// requestQueue holds requests that wait for the same event, in the order in which they came. A request is in at most
// one queue: adding it to one removes it from the other. Otherwise each queue would route it again, into two more.
type requestQueue struct{ requests []*request }

// add appends a request, and removes it from the queue in which it is.
func (q *requestQueue) add(r *request) {
	r.leaveQueue()
	r.queue = q
	q.requests = append(q.requests, r)
}

// addAll moves all requests of another queue to the end of q.
func (q *requestQueue) addAll(other *requestQueue) {
	for _, r := range other.takeAll() {
		q.add(r)
	}
}

// takeAll removes all requests and returns them.
func (q *requestQueue) takeAll() []*request {
	taken := q.requests
	q.requests = nil
	for _, r := range taken {
		r.queue = nil
	}
	return taken
}

// leaveQueue removes a request from the queue in which it is, if any. Most requests leave the end of a queue.
func (r *request) leaveQueue() {
	if r.queue == nil {
		return
	}
	requests := r.queue.requests
	for i := len(requests) - 1; i >= 0; i-- {
		if requests[i] == r {
			r.queue.requests = slices.Delete(requests, i, i+1)
			break
		}
	}
	r.queue = nil
}
