package dispatch

import "time"

// This file defines the records of functions and of their placements on workers.

// function is the state of one function, as this router knows it.
type function struct {
	key           string
	lastClass     *class // class of its last request
	lastRequestAt time.Duration
	served        bool // a request for it has been served at least once
	openRequests  int  // requests in Dispatcher.requests

	memoryMB     float64 // of one copy
	concurrency  float64 // requests that one copy runs at a time
	loadTime     time.Duration
	requestCount int     // in the current rebalance interval
	requestRate  float64 // requests of this router per second
	logRunTime   float64 // logarithm of the ratio of response time to request.workUnit
	meanWorkUnit float64 // mean of request.workUnit, in seconds
	demand       float64 // memory that this router's requests need, in MB

	ranking    ranking
	assignment []workerShare
	placements map[*worker]*placement // only those with a resident copy, something in flight or a load backoff
}

// workerShare is the share of a function's demand that is assigned to a worker.
type workerShare struct {
	worker  *worker
	share   float64
	sortKey float64 // order in which the current request tries the workers, the least first
}

// placement is the state of a function on a worker.
type placement struct {
	inFlight         int           // attempts of this router
	residentUntil    time.Duration // a copy was loaded or used there and stays resident until then
	loadCommandedAt  time.Duration // when the load command in flight was sent; 0 means that there is none
	loadBackoffUntil time.Duration // no load command is sent before this time
	loadFailures     int           // failed loads in a row
	awaitingLoad     requestQueue  // for the result of the load command
}

// placementOn returns the placement of f on w, or an empty one if there is none.
func (f *function) placementOn(w *worker) placement {
	if p := f.placements[w]; p != nil {
		return *p
	}
	return placement{}
}

// ensurePlacement returns the placement of f on w and creates it if there is none.
func (f *function) ensurePlacement(w *worker) *placement {
	p := f.placements[w]
	if p == nil {
		p = &placement{}
		f.placements[w] = p
	}
	return p
}

// ensureFunction returns a function. If it is unknown, it is created with the given run time and work unit.
func (d *Dispatcher) ensureFunction(key string, logRunTime, workUnit float64) *function {
	f := d.functions[key]
	if f == nil {
		f = &function{key: key, logRunTime: logRunTime, meanWorkUnit: workUnit, placements: map[*worker]*placement{}}
		d.functions[key] = f
		d.functionsInOrder = append(d.functionsInOrder, f)
		d.unservedFunctions++
	}
	return f
}

// markServed records that a request for a function was served.
func (d *Dispatcher) markServed(f *function) {
	if !f.served {
		f.served = true
		d.unservedFunctions--
	}
}

// isInUse reports whether a request or a load command of f is open.
func (f *function) isInUse() bool {
	if f.openRequests > 0 {
		return true
	}
	for _, p := range f.placements {
		if p.inFlight > 0 || p.loadCommandedAt > 0 {
			return true
		}
	}
	return false
}

// recordRequest counts a request and stores its properties of the function.
func (f *function) recordRequest(e Request) {
	f.requestCount++
	f.memoryMB = max(e.MemoryMB, 1)
	f.loadTime = e.LoadTime
	f.concurrency = float64(max(e.ConcurrencyPerInstance, 1))
}
