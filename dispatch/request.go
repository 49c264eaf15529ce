package dispatch

import (
	"slices"
	"time"
)

// This file defines the records of requests, classes and attempts, and counts the attempts in flight.

// class is a class of requests.
type class struct {
	Class
	meanWork float64 // estimated mean work of a request, in seconds
}

// request is a request that has no final answer yet or still has attempts in flight.
type request struct {
	Request
	function   *function
	class      *class
	acceptedAt time.Duration
	deadline   time.Duration
	workUnit   float64 // unit of its run time, in seconds: its expected work, or one second if that is unknown

	attempts          []*attempt
	inFlight          int
	streaming         *attempt      // the attempt whose streamed response has started
	needsAttempt      bool          // it waits for its next attempt
	awaitedLease      *workerLease  // whose health check it waits for, or nil
	loadReportAwaited bool          // it has waited for a load report once
	backoffCount      int           // number of delayed retries so far
	retryOrder        time.Duration // sort key of the pending requests, the latest first
	done              bool          // it has its final answer or was cancelled
}

// attempt is one attempt of a request.
type attempt struct {
	request           *request
	worker            *worker
	identity          *workerIdentity // of the worker when the attempt was started
	connectedBefore   time.Duration   // see StartAttempt.ConnectedBefore
	connectedAt       time.Duration   // when the connection that carried it was opened; 0 means unknown
	number            int             // from 0
	concurrent        int             // attempts of this router in flight at the worker when this one was started
	startedAt         time.Duration
	expectedSeconds   float64
	expectedResident  bool    // the worker was expected to hold the function
	weight            float64 // chance that it needs no load; 0 once it no longer counts against the limits
	firstMessageAfter time.Duration
	countedAsTimeout  bool
	ended             bool
	mayHaveRun        bool // it has ended, and nothing proves that it did not run
	failed            bool // it failed, so that retries prefer other workers
	rejected          bool // the worker was full or drained
}

// attemptInFlight returns an attempt, or nil if it is unknown or has ended.
func (d *Dispatcher) attemptInFlight(id RequestID, number int) *attempt {
	r := d.requests[id]
	if r == nil || number < 0 || number >= len(r.attempts) || r.attempts[number].ended {
		return nil
	}
	return r.attempts[number]
}

// wasRejected reports whether a worker that was full or drained has rejected an attempt of r.
func (r *request) wasRejected() bool {
	return slices.ContainsFunc(r.attempts, func(a *attempt) bool { return a.rejected })
}

// failedOn reports whether an attempt of r failed at w or is in flight there.
func (r *request) failedOn(w *worker) bool {
	return slices.ContainsFunc(r.attempts, func(a *attempt) bool { return a.worker == w && (a.failed || !a.ended) })
}

// mayHaveRun reports whether an attempt of r may have run or may be running.
func (r *request) mayHaveRun() bool {
	return slices.ContainsFunc(r.attempts, func(a *attempt) bool { return !a.ended || a.mayHaveRun })
}

// awaitsResponse reports whether a is in flight and its request still waits for the start of a response.
func (a *attempt) awaitsResponse() bool {
	return !a.ended && !a.request.done && a.request.streaming == nil
}

// addAttempt adds a started attempt to those in flight.
func (d *Dispatcher) addAttempt(a *attempt) {
	a.request.attempts = append(a.request.attempts, a)
	a.request.needsAttempt = false
	a.request.inFlight++
	a.request.function.ensurePlacement(a.worker).inFlight++
	a.worker.attempts = append(a.worker.attempts, a)
	a.worker.inFlight += a.weight
	d.inFlight += a.weight
}

// removeAttempt removes an ended attempt from those in flight, except for its weight.
func (d *Dispatcher) removeAttempt(a *attempt) {
	p := a.request.function.ensurePlacement(a.worker)
	p.inFlight = max(p.inFlight-1, 0)
	a.request.inFlight--
	a.worker.removeAttempt(a)
}

// removeWeight stops counting an attempt against the concurrency limits.
func (d *Dispatcher) removeWeight(a *attempt) {
	a.worker.inFlight -= a.weight
	d.inFlight -= a.weight
	a.weight = 0
}

// setRequestTimer sets a timer that calls requestTimerFired for a request, always after the current time.
func (d *Dispatcher) setRequestTimer(r *request, at time.Duration) {
	d.timers.set(max(at, d.now+1), r.ID)
}
