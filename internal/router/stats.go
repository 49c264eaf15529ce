package router

import (
	"time"

	"github.com/topazfront/topazfront/dispatch"
)

// Stats holds counters since the router's start, and gauges of the current state. Its JSON form is the response of
// "router.status" in the admin API; the struct tags keep the keys of that response unchanged.
type Stats struct {
	Calls         uint64 `json:"Calls"`
	Served        uint64 `json:"Served"`
	Rejected      uint64 `json:"Refused"`
	Failed        uint64 `json:"Failed"`
	Cancelled     uint64 `json:"Dropped"` // by clients
	Attempts      uint64 `json:"Attempts"`
	Loads         uint64 `json:"Orders"`
	HealthChecks  uint64 `json:"Probes"`
	Verifications uint64 `json:"Looks"` // health checks requested by gossip

	CallsInFlight    int           `json:"Open"` // calls not yet answered, or with an attempt in flight
	AttemptsInFlight int           `json:"Out"`
	ServedDuration   time.Duration `json:"Took"` // total duration of the attempts that ended with OK

	Causes Causes `json:"-"`

	LeaseChecks    uint64        `json:"LeaseChecks"`    // health checks made because the endpoint list was out of date
	DrainsReported uint64        `json:"DrainsReported"` // health checks answered by a draining worker
	ListExpired    bool          `json:"ListExpired"`    // the endpoint list is out of date
	ListAge        time.Duration `json:"ListAge"`        // time since the list was last confirmed; 0 if it never was

	// RestartsAssumed counts slow starts that began because a worker may have been restarted unseen.
	RestartsAssumed uint64 `json:"-"`
	// UnprovenAttempts counts attempts at workers that may have been restarted unseen.
	UnprovenAttempts uint64 `json:"-"`
}

// Causes counts the causes of the dispatcher's decisions.
type Causes struct {
	Ends    [dispatch.EndCauseCount]uint64  // rejections and failures, by dispatch.EndCause
	Retries [dispatch.ResultCount]uint64    // retries, by the dispatch.Result of the previous attempt
	Loads   [dispatch.LoadCauseCount]uint64 // load commands, by dispatch.LoadCause
}

// Attributes returns the causes with a count above 0, as alternating keys and counts for a log line.
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

// Stats returns the router's statistics. CallsInFlight is 0 once the loop has ended, also after Kill.
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
	case <-r.loopEnded: // the loop may have ended without running the posted work
		return r.stats
	}
}
