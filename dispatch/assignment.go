package dispatch

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// This file measures the demand of functions and assigns it to workers: the rates, function.demand,
// function.assignment and worker.remainingCapacity.

const (
	capacityHeadroom         = 0.2                    // epsilon of the paper: excess of capacity over demand
	unservedCopies           = 0.1                    // copies counted for a function never served
	rateSmoothing            = 0.3                    // weight of the newest interval: 6 s of memory
	minRequestsPerWorker     = 3.0                    // request rates cover at least this many per worker
	idleFunctionTTL          = 2 * time.Minute        // until a function without requests is deleted
	unservedFunctionTTL      = 10 * time.Second       // if it was never served: clients can invent names
	maxUnservedFunctions     = 4096                   // never served; beyond it the oldest are deleted early
	slowThreshold            = 1.0                    // slowness from which a worker is reported
	suspectedCapacity        = 0.01                   // capacity factor of a suspected worker
	maxSpeedFactor           = 1.5                    // maximum factor of the capacity of a fast worker
	negligible               = 1e-9                   // smaller demands and capacities count as 0
	reassignInterval         = 100 * time.Millisecond // between assignments after updates of a large fleet
	immediateReassignWorkers = 128                    // a fleet of more workers is large
	maxPassedOver            = 128                    // full workers in a row that end an assignment
)

// rebalance measures the rates of the past interval, deletes idle functions and placements, and assigns
// capacity.
func (d *Dispatcher) rebalance() {
	interval := (d.now - d.lastRebalance).Seconds()
	d.lastRebalance = d.now
	d.rebalanceCount++
	requestGain := d.requestRateGain(interval)
	d.measureServedRates(interval)
	d.measureRequestRates(interval, requestGain)
	d.deleteIdleFunctions()
	for _, f := range d.functionsInOrder {
		d.expirePlacements(f)
		if !f.served {
			f.ranking.trim() // clients can invent any number of names, and each of them has a ranking
		}
	}
	d.expireRateWindow()
	d.assignCapacity()
}

// requestRateGain returns the weight of the newest interval in the request rates. With few requests it is
// small: rates from one or two requests would place each function at random, and differently at each
// router. With many requests a burst changes the rates within a few intervals.
func (d *Dispatcher) requestRateGain(interval float64) float64 {
	remembered := minRequestsPerWorker * float64(max(len(d.activeWorkers), 1))
	return max(min(d.requestRate*interval/remembered, rateSmoothing), 1/d.rebalanceCount)
}

// measureServedRates updates the rates of served requests and of their work.
func (d *Dispatcher) measureServedRates(interval float64) {
	gain := max(rateSmoothing, 1/d.rebalanceCount)
	d.workRate = smooth(d.workRate, d.workServed/interval, gain)
	d.servedRate = smooth(d.servedRate, d.servedCount/interval, gain)
	d.workServed = 0
	d.servedCount = 0
}

// measureRequestRates updates the request rates of all functions and their sum.
func (d *Dispatcher) measureRequestRates(interval, gain float64) {
	d.requestRate = 0
	for _, f := range d.functionsInOrder {
		f.requestRate = smooth(f.requestRate, float64(f.requestCount)/interval, gain)
		f.requestCount = 0
		d.requestRate += f.requestRate
	}
}

// deleteIdleFunctions deletes the functions that have had no request for a long time.
func (d *Dispatcher) deleteIdleFunctions() {
	d.functionsInOrder = slices.DeleteFunc(d.functionsInOrder, func(f *function) bool {
		idle := d.now - f.lastRequestAt
		keep := idle <= unservedFunctionTTL || f.served && idle <= idleFunctionTTL
		if !keep {
			d.forgetFunction(f)
		}
		return !keep
	})
}

// limitUnservedFunctions deletes the oldest half of the functions that were never served, if there are too
// many, except for those in use. Clients can invent names faster than unservedFunctionTTL expires them.
func (d *Dispatcher) limitUnservedFunctions() {
	if d.unservedFunctions <= maxUnservedFunctions {
		return
	}
	excess := d.unservedFunctions - maxUnservedFunctions/2
	d.functionsInOrder = slices.DeleteFunc(d.functionsInOrder, func(f *function) bool {
		if excess == 0 || f.served || f.isInUse() {
			return false
		}
		excess--
		d.forgetFunction(f)
		return true
	})
}

// forgetFunction deletes a function. The caller removes it from functionsInOrder.
func (d *Dispatcher) forgetFunction(f *function) {
	delete(d.functions, f.key)
	if !f.served {
		d.unservedFunctions--
	}
}

// reassignAfterUpdate assigns capacity after an endpoint update. In a large fleet, where updates are
// frequent and each changes only a small part, it defers the assignment until reassignInterval has passed
// since the last one. Until then new workers have no assigned demand, and workers that are no longer active
// are passed over.
func (d *Dispatcher) reassignAfterUpdate() {
	if !d.started || d.lastRebalance >= d.now {
		return
	}
	d.assignmentStale = true
	if len(d.activeWorkers) <= immediateReassignWorkers {
		d.assignCapacity()
	}
}

// reassignIfDue makes a deferred assignment when it is due.
func (d *Dispatcher) reassignIfDue() {
	if d.assignmentStale && d.now-d.assignedAt >= reassignInterval {
		d.assignCapacity()
	}
}

// assignCapacity assigns the demand of all functions to workers, starting with the least demand. The
// capacities of the workers add up to the total demand plus the headroom, so all demand is assigned as long
// as there are workers that may take it.
func (d *Dispatcher) assignCapacity() {
	d.assignedAt = d.now
	d.assignmentStale = false
	totalDemand := d.measureDemand()
	d.divideCapacity(totalDemand * (1 + capacityHeadroom))
	lightestFirst := slices.Clone(d.functionsInOrder)
	slices.SortStableFunc(lightestFirst, func(a, b *function) int {
		return cmp.Or(cmp.Compare(a.demand, b.demand), cmp.Compare(a.key, b.key))
	})
	for _, f := range lightestFirst {
		d.assignWorkers(f)
	}
}

// measureDemand sets every function's demand and returns the sum.
func (d *Dispatcher) measureDemand() (total float64) {
	for _, f := range d.functionsInOrder {
		copies := unservedCopies
		if f.served {
			copies = f.requestRate * math.Exp(f.logRunTime) * f.meanWorkUnit / f.concurrency
		}
		f.demand = float64(copies * f.memoryMB)
		total += f.demand
	}
	return total
}

// divideCapacity divides a capacity among the active workers in proportion to memory and capacity factor.
func (d *Dispatcher) divideCapacity(capacity float64) {
	sum := 0.0
	for _, w := range d.activeWorkers {
		w.warmingUp = w.warmingUp && d.now-w.StartedAt < d.settings.SlowStartDuration
		w.remainingCapacity = float64(d.capacityFactor(w) * max(w.memoryMB, 1))
		sum += w.remainingCapacity
		if w.slowness > slowThreshold {
			d.reportSuspicion(ReportSuspicion{Worker: w.ID, Slow: true})
		}
	}
	for _, w := range d.activeWorkers {
		w.remainingCapacity *= capacity / max(sum, negligible)
	}
}

// assignWorkers assigns a function's demand to the first workers of its ranking that have capacity left. It
// stops after maxPassedOver workers in a row that have no capacity left or from which the class is ejected,
// because then only few workers can have any.
func (d *Dispatcher) assignWorkers(f *function) {
	unassigned := f.demand
	f.assignment = f.assignment[:0]
	passedOver := 0
	for i := 0; unassigned > negligible && passedOver < maxPassedOver; i++ {
		w := d.rankedWorker(f, i)
		if w == nil {
			return
		}
		taken := min(unassigned, w.remainingCapacity)
		if taken <= negligible || d.now < w.ejections[f.lastClass].until {
			passedOver++
			continue
		}
		passedOver = 0
		w.remainingCapacity -= taken
		unassigned -= taken
		f.assignment = append(f.assignment, workerShare{worker: w, share: taken / f.demand})
	}
}

// capacityFactor returns the fraction of its memory that counts as a worker's capacity. It moves functions
// away from workers that are slow, overloaded by other routers, warming up or unresponsive, whatever the
// cause. The functions return as the worker's responses become normal again. False positives: a worker whose
// functions are slow by nature loses capacity.
func (d *Dispatcher) capacityFactor(w *worker) float64 {
	if w.suspected && !d.majoritySuspected() {
		return suspectedCapacity
	}
	if w.loadExcess == 0 && w.slowness == 0 {
		return d.slowStartFraction(w) // no response or load report yet, as from most workers of a large fleet
	}
	return math.Exp(-w.loadExcess) * min(math.Exp(-w.slowness), maxSpeedFactor) * d.slowStartFraction(w)
}

// expirePlacements deletes the placements of f that hold no information any more.
func (d *Dispatcher) expirePlacements(f *function) {
	for w, p := range f.placements {
		if d.isExpired(p) {
			delete(f.placements, w)
		}
	}
}

// isExpired reports whether a placement holds no more information than a missing one.
func (d *Dispatcher) isExpired(p *placement) bool {
	inUse := p.inFlight > 0 || p.loadCommandedAt > 0 || !p.awaitingLoad.isEmpty()
	backingOff := p.loadFailures > 0 && d.now < p.loadBackoffUntil+idleFunctionTTL
	return !inUse && !backingOff && d.now >= p.residentUntil
}
