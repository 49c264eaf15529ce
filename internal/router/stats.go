package router

import (
	"time"

	"github.com/topazfront/topazfront/dispatch"
)

// Stats are counters since the router's start, and gauges of calls and attempts now. As JSON they are "router.status" of
// the admin API, whose keys the struct tags keep.
type Stats struct {
	Calls         uint64 `json:"Calls"`
	Served        uint64 `json:"Served"`
	Rejected      uint64 `json:"Refused"`
	Failed        uint64 `json:"Failed"`
	Cancelled     uint64 `json:"Dropped"` // by their clients
	Attempts      uint64 `json:"Attempts"`
	Loads         uint64 `json:"Orders"`
	HealthChecks  uint64 `json:"Probes"`
	Verifications uint64 `json:"Looks"` // health checks that gossip requested

	CallsInFlight    int           `json:"Open"` // calls under way
	AttemptsInFlight int           `json:"Out"`
	ServedDuration   time.Duration `json:"Took"` // sum over the served attempts, as reported to the dispatcher

	Causes Causes `json:"-"`

	LeaseChecks    uint64        `json:"LeaseChecks"`    // health checks because the endpoint list was out of date
	DrainsReported uint64        `json:"DrainsReported"` // health checks answered by a worker that drains
	ListExpired    bool          `json:"ListExpired"`    // the endpoint list is out of date
	ListAge        time.Duration `json:"ListAge"`        // since it was last confirmed; 0: that is not reported
}

// Causes count why the dispatcher decided something.
type Causes struct {
	Ends    [dispatch.EndCauseCount]uint64  // rejections and failures, by dispatch.EndCause
	Retries [dispatch.ResultCount]uint64    // retries, by the dispatch.Result of the attempt before
	Loads   [dispatch.LoadCauseCount]uint64 // load commands, by dispatch.LoadCause
}

// Attributes returns the causes that occurred, as alternating keys and counts of a log line.
func (c *Causes) Attributes() (attributes []any) {
	add := func(key string, count uint64) {
		if count > 0 {
			attributes = append(attributes, key, count)
		}
	}
	for cause, count := range c.Ends {
		add("ended_"+dispatch.EndCause(cause).String(), count)
	}
	for result, count := range c.Retries {
		add("retried_"+dispatch.Result(result).String(), count)
	}
	for cause, count := range c.Loads {
		add("loaded_"+dispatch.LoadCause(cause).String(), count)
	}
	return attributes
}

// Stats returns the router's statistics. CallsInFlight is 0 once the router has ended, also after Kill.
func (r *Router) Stats() Stats {
	reply := make(chan Stats, 1)
	r.post(func() {
		stats := r.stats
		stats.CallsInFlight = len(r.calls)
		if r.listConfirmedAt > 0 {
			stats.ListAge = r.Now() - r.listConfirmedAt
		}
		reply <- stats
	})
	select {
	case stats := <-reply:
		return stats
	case <-r.loopEnded: // it may have ended without running the posted work
		return r.stats
	}
}
