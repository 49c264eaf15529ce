package dispatch

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// This file assigns demand to workers: demand, assignment, remainingCapacity, and the rates.

const (
	capacityHeadroom         = 0.2                    // epsilon of the paper: capacity beyond the demand
	unservedCopies           = 0.1                    // copies of a function before it was served
	rateSmoothing            = 0.3                    // weight of the newest interval: 6 s of memory
	minRequestsPerWorker     = 3.0                    // least that a rate covers, for each worker
	idleFunctionTTL          = 2 * time.Minute        // without requests, a function is forgotten,
	unservedFunctionTTL      = 10 * time.Second       // one never served sooner: names may be made up
	slowThreshold            = 1.0                    // slowness from which a worker is reported
	suspectedCapacity        = 0.01                   // capacity factor of a suspected worker
	maxSpeedFactor           = 1.5                    // most that a fast worker's capacity is raised by
	negligible               = 1e-9                   // demand or capacity that counts as none
	reassignInterval         = 100 * time.Millisecond // between assignments after endpoint updates,
	immediateReassignWorkers = 128                    // except in fleets of no more workers
	maxPassedOver            = 128                    // passed over in a row at an assignment's end
)

// rebalance measures the rates of the interval that ends, forgets what is idle and assigns capacity anew.
func (d *Dispatcher) rebalance() {
	interval := (d.now - d.lastRebalance).Seconds()
	d.lastRebalance = d.now
	d.rebalanceCount++
	requestGain := d.requestRateGain(interval)
	d.measureServedRates(interval)
	d.measureRequestRates(interval, requestGain)
	d.forgetIdleFunctions()
	for _, f := range d.functionsInOrder {
		d.expirePlacements(f)
		if !f.served {
			f.ranking.trim() // anyone may make up names, and each had a ranking when it was called
		}
	}
	d.expireRateWindow()
	d.assignCapacity()
}

// requestRateGain is the weight of the newest interval in the request rates. A rate from one or two requests
// would place every function by chance, and at each router differently, so few requests are remembered for
// longer. With enough of them a burst shows within some intervals.
func (d *Dispatcher) requestRateGain(interval float64) float64 {
	remembered := minRequestsPerWorker * float64(max(len(d.activeWorkers), 1))
	return max(min(d.requestRate*interval/remembered, rateSmoothing), 1/d.rebalanceCount)
}

// measureServedRates updates the rates of what was served.
func (d *Dispatcher) measureServedRates(interval float64) {
	gain := max(rateSmoothing, 1/d.rebalanceCount)
	d.workRate += gain * (d.workServed/interval - d.workRate)
	d.servedRate += gain * (d.servedCount/interval - d.servedRate)
	d.workServed = 0
	d.servedCount = 0
}

// measureRequestRates updates the request rates of all functions and their sum.
func (d *Dispatcher) measureRequestRates(interval, gain float64) {
	d.requestRate = 0
	for _, f := range d.functionsInOrder {
		f.requestRate += gain * (float64(f.requestCount)/interval - f.requestRate)
		f.requestCount = 0
		d.requestRate += f.requestRate
	}
}

// forgetIdleFunctions forgets the functions without requests for long.
func (d *Dispatcher) forgetIdleFunctions() {
	d.functionsInOrder = slices.DeleteFunc(d.functionsInOrder, func(f *function) bool {
		idle := d.now - f.lastRequestAt
		keep := idle <= unservedFunctionTTL || f.served && idle <= idleFunctionTTL
		if !keep {
			delete(d.functions, f.key)
		}
		return !keep
	})
}

// reassignAfterUpdate assigns capacity anew after an endpoint update. In a large fleet, where updates come
// often and each concerns a small part of it, this is put off until reassignInterval has passed since the
// last assignment. Until then workers that came get nothing, and those that are no longer active are passed
// over.
func (d *Dispatcher) reassignAfterUpdate() {
	if !d.started || d.lastRebalance >= d.now {
		return
	}
	d.assignmentStale = true
	if len(d.activeWorkers) <= immediateReassignWorkers {
		d.assignCapacity()
	}
}

// reassignIfDue makes an assignment that was put off.
func (d *Dispatcher) reassignIfDue() {
	if d.assignmentStale && d.now-d.assignedAt >= reassignInterval {
		d.assignCapacity()
	}
}

// assignCapacity fills the workers with the functions, lightest first. The workers' capacities add up to the
// demand and the headroom, so all of it is assigned while there is a worker that may take it.
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
		f.demand = copies * f.memoryMB
		total += f.demand
	}
	return total
}

// divideCapacity gives each active worker its part of the capacity.
func (d *Dispatcher) divideCapacity(capacity float64) {
	sum := 0.0
	for _, w := range d.activeWorkers {
		w.warmingUp = w.warmingUp && d.now-w.StartedAt < d.settings.SlowStartDuration
		w.remainingCapacity = d.capacityFactor(w) * max(w.memoryMB, 1)
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
// gives up where maxUnassignable workers in a row have none or have ejected the class: no more than a few
// have any then.
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

// capacityFactor is the fraction of its memory that counts as a worker's capacity. It moves functions away
// from workers that are slow, overloaded by other routers, warming up or unresponsive, whatever the cause;
// they return as responses do. False positives: a worker whose functions are slow by themselves loses
// capacity.
func (d *Dispatcher) capacityFactor(w *worker) float64 {
	if w.suspected && !d.majoritySuspected() {
		return suspectedCapacity
	}
	if w.loadExcess == 0 && w.slowness == 0 {
		return d.slowStartFraction(w) // most workers of a large fleet: this router has not heard from them
	}
	return math.Exp(-w.loadExcess) * min(math.Exp(-w.slowness), maxSpeedFactor) * d.slowStartFraction(w)
}

// expirePlacements drops the placements of f that no longer tell anything.
func (d *Dispatcher) expirePlacements(f *function) {
	for w, p := range f.placements {
		if d.isExpired(p) {
			delete(f.placements, w)
		}
	}
}

// isExpired reports whether a placement tells no more than none would.
func (d *Dispatcher) isExpired(p *placement) bool {
	inUse := p.inFlight > 0 || p.loadCommandedAt > 0 || len(p.awaitingLoad) > 0
	backingOff := p.loadFailures > 0 && d.now < p.loadBackoffUntil+idleFunctionTTL
	return !inUse && !backingOff && d.now >= p.residentUntil
}
