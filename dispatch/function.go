package dispatch

import "time"

// This file holds the record of a function and of its placements on workers.

// function is what this router knows of one function.
type function struct {
	key           string
	lastClass     *class // of its last request
	lastRequestAt time.Duration
	served        bool // it has been served at least once

	memoryMB     float64 // of one copy
	concurrency  float64 // requests that one copy runs at a time
	loadTime     time.Duration
	requestCount int     // in the rebalance interval under way
	requestRate  float64 // requests of this router a second
	logRunTime   float64 // logarithm of the response time over request.workUnit
	meanWorkUnit float64 // seconds
	demand       float64 // memory, in MB, that this router's requests need

	ranking    ranking
	assignment []workerShare
	placements map[*worker]*placement // only where something is resident, in flight or backing off
}

// workerShare is the share of a function's demand that is assigned to a worker.
type workerShare struct {
	worker  *worker
	share   float64
	sortKey float64 // the least is tried first by the request at hand
}

// placement is a function on a worker.
type placement struct {
	inFlight         int           // attempts of this router
	residentUntil    time.Duration // a copy was seen or used there, and stays until then
	loadCommandedAt  time.Duration // when the load command in flight was sent; 0: there is none
	loadBackoffUntil time.Duration // no load command before
	loadFailures     int           // in a row
	awaitingLoad     []*request    // requests that wait for the load command's result
}

// placementOn returns what is known of f on w, which may be nothing.
func (f *function) placementOn(w *worker) placement {
	if p := f.placements[w]; p != nil {
		return *p
	}
	return placement{}
}

// ensurePlacement returns the placement of f on w and makes it if there is none.
func (f *function) ensurePlacement(w *worker) *placement {
	p := f.placements[w]
	if p == nil {
		p = &placement{}
		f.placements[w] = p
	}
	return p
}

// ensureFunction returns a function, made with these run time and work unit if it isn't known.
func (d *Dispatcher) ensureFunction(key string, logRunTime, workUnit float64) *function {
	f := d.functions[key]
	if f == nil {
		f = &function{key: key, logRunTime: logRunTime, meanWorkUnit: workUnit, placements: map[*worker]*placement{}}
		d.functions[key] = f
		d.functionsInOrder = append(d.functionsInOrder, f)
	}
	return f
}

// recordRequest counts a request and notes what it says of the function.
func (f *function) recordRequest(e Request) {
	f.requestCount++
	f.memoryMB = max(e.MemoryMB, 1)
	f.loadTime = e.LoadTime
	f.concurrency = float64(max(e.ConcurrencyPerInstance, 1))
}
