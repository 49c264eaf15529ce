package invariants

import "time"

// notification is what a router was notified of: a worker's drain.
type notification struct{ router, worker string }

// drainTimes holds when each router was first notified of each drain that is not over.
type drainTimes map[notification]time.Duration

// add keeps the first time of a notification.
func (d drainTimes) add(n notification, at time.Duration) {
	if _, ok := d[n]; !ok {
		d[n] = at
	}
}

// checkDrains checks rule 3: no attempt and no load command reaches a worker later than the drain grace after its
// router was notified of the drain, by the endpoint list or by the worker itself.
func (c *checker) checkDrains() {
	byList, byWorker := drainTimes{}, drainTimes{}
	for _, r := range c.records {
		n := notification{r.Router, r.Worker}
		switch r.Kind {
		case EndpointNotified:
			if r.Unavailable {
				byList.add(n, r.At)
				continue
			}
			delete(byList, n)
			delete(byWorker, n)
		case WorkerDraining:
			byWorker.add(n, r.At)
		case WorkerReady:
			delete(byWorker, n) // takes back only what the worker itself reported: what the list reported stays valid
		case AttemptReceived, LoadCommandReceived:
			if r.Kind == LoadCommandReceived && r.Copies == 0 {
				continue // a query of the state is allowed
			}
			c.checkDrain(r, n, byList, byWorker)
		case CallSent, FinalAnswer, CallAbandoned, RunStarted, WorkerStarted, WorkerOverloaded, RouterKilled, RouterStarted:
			// no drain begins or ends, and nothing is sent to a worker
		}
	}
}

// checkDrain reports at most one violation for a record.
func (c *checker) checkDrain(r Record, n notification, sources ...drainTimes) {
	for _, source := range sources {
		if at, ok := source[n]; ok && r.At > at+c.settings.DrainGrace+c.settings.RecordingDelay {
			c.report(RuleDrain, r, r.At, "%s sent to %s %v after it was notified of the drain", r.Router, r.Worker, r.At-at)
			return
		}
	}
}
