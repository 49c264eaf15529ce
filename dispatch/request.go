package dispatch

import (
	"slices"
	"time"
)

// This file holds the records of requests, their classes and their attempts, and counts the attempts in flight.

// class is a class of requests.
type class struct {
	Class
	meanWork float64 // seconds, learned
}

// request is a request without its final answer, or with attempts still in flight.
type request struct {
	Request
	function   *function
	class      *class
	acceptedAt time.Duration
	deadline   time.Duration
	workUnit   float64 // seconds that its run time is measured in: its expected work, or one second if that is unknown

	attempts          []*attempt
	inFlight          int
	streaming         *attempt      // the one whose streamed response has begun
	needsAttempt      bool          // it waits for its next attempt
	loadReportAwaited bool          // it has waited for a load report once
	backoffCount      int           // waits between its attempts so far
	retryOrder        time.Duration // its place among the pending requests, the latest first
	done              bool          // it has its final answer, or needs none
}

// attempt is one attempt of a request.
type attempt struct {
	request           *request
	worker            *worker
	number            int // from 0
	concurrent        int // attempts of this router that were in flight at the worker when it was started
	startedAt         time.Duration
	expectedSeconds   float64
	expectedResident  bool    // the worker was thought to hold the function
	weight            float64 // what it counts against the concurrency limits: the chance that it needs no load
	firstMessageAfter time.Duration
	countedAsTimeout  bool
	ended             bool
	mayHaveRun        bool // of an ended one: nothing proves that it did not run
	failed            bool // no retry goes to its worker
}

// attemptInFlight returns an attempt that has not ended, or nil.
func (d *Dispatcher) attemptInFlight(id RequestID, number int) *attempt {
	r := d.requests[id]
	if r == nil || number < 0 || number >= len(r.attempts) || r.attempts[number].ended {
		return nil
	}
	return r.attempts[number]
}

// failedOn reports whether an attempt of r failed at w or is in flight there.
func (r *request) failedOn(w *worker) bool {
	return slices.ContainsFunc(r.attempts, func(a *attempt) bool { return a.worker == w && (a.failed || !a.ended) })
}

// mayHaveRun reports whether an attempt of r may have run or may be running.
func (r *request) mayHaveRun() bool {
	return slices.ContainsFunc(r.attempts, func(a *attempt) bool { return !a.ended || a.mayHaveRun })
}

// awaitsResponse reports whether the request of an attempt in flight still needs the start of a response.
func (a *attempt) awaitsResponse() bool {
	return !a.ended && !a.request.done && a.request.streaming == nil
}

// addAttempt counts a started attempt as in flight.
func (d *Dispatcher) addAttempt(a *attempt) {
	a.request.attempts = append(a.request.attempts, a)
	a.request.needsAttempt = false
	a.request.inFlight++
	a.request.function.ensurePlacement(a.worker).inFlight++
	a.worker.attempts = append(a.worker.attempts, a)
	a.worker.inFlight += a.weight
	d.inFlight += a.weight
}

// removeAttempt counts an ended attempt as no longer in flight, but for its weight.
func (d *Dispatcher) removeAttempt(a *attempt) {
	p := a.request.function.ensurePlacement(a.worker)
	p.inFlight = max(p.inFlight-1, 0)
	a.request.inFlight--
	a.worker.removeAttempt(a)
}

// removeWeight takes an attempt out of the concurrency limits.
func (d *Dispatcher) removeWeight(a *attempt) {
	a.worker.inFlight -= a.weight
	d.inFlight -= a.weight
	a.weight = 0
}

// setRequestTimer has requestTimerFired called for a request, at the earliest in the next moment.
func (d *Dispatcher) setRequestTimer(r *request, at time.Duration) {
	d.timers.set(max(at, d.now+1), r.ID)
}
