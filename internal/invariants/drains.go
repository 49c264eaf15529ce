package invariants

import "time"

// routerWorker identifies a worker as seen by one router.
type routerWorker struct{ router, worker string }

// drainTimes holds, for each drain that has not ended, when the router was first notified of it.
type drainTimes map[routerWorker]time.Duration

// add records a notification, unless an earlier one of the same drain is known.
func (d drainTimes) add(pair routerWorker, at time.Duration) {
	if _, ok := d[pair]; !ok {
		d[pair] = at
	}
}

// checkDrains checks rule 3: no attempt and no load command reaches a worker later than the drain grace after its
// router was notified of the drain, by the endpoint list or by the worker itself.
func (c *checker) checkDrains() {
	reportedByList, reportedByWorker := drainTimes{}, drainTimes{}
	for _, r := range c.records {
		pair := routerWorker{r.Router, r.Worker}
		switch r.Kind {
		case EndpointNotified:
			if r.Unavailable {
				reportedByList.add(pair, r.At)
				continue
			}
			delete(reportedByList, pair)
			delete(reportedByWorker, pair)
		case WorkerDraining:
			reportedByWorker.add(pair, r.At)
		case WorkerReady:
			delete(reportedByWorker, pair) // a worker's own report does not override the endpoint list's
		case AttemptReceived, LoadCommandReceived:
			if r.Kind == LoadCommandReceived && r.Copies == 0 {
				continue // a query of the state is allowed
			}
			c.checkDrain(r, pair, reportedByList, reportedByWorker)
		case CallSent, FinalAnswer, CallAbandoned, RunStarted, WorkerStarted, WorkerOverloaded, RouterKilled, RouterStarted:
			// these do not start or end a drain, and are not sent to a worker
		}
	}
}

// checkDrain reports a message that reached a worker after the drain grace. It reports at most one violation for a
// record, even if both the endpoint list and the worker had announced the drain.
func (c *checker) checkDrain(r Record, pair routerWorker, sources ...drainTimes) {
	for _, source := range sources {
		if at, ok := source[pair]; ok && r.At > at+c.settings.DrainGrace+c.settings.RecordingDelay {
			c.report(RuleDrain, r, r.At, "%s sent to %s %v after it was notified of the drain", r.Router, r.Worker, r.At-at)
			return
		}
	}
}
