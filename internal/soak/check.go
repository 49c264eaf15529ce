package soak

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/topazfront/topazfront/internal/invariants"
)

const (
	// outageNotificationLimit is the time after the start of an outage of discovery from which routers count as
	// notified of everything that discovery would have reported.
	outageNotificationLimit = 2 * time.Second
	reloadNotificationLimit = 4 * time.Second        // the same, after SIGHUP
	stoppedRouterSlack      = 500 * time.Millisecond // after a router's stop, for the calls that were in flight
	// maxSlackForServedShare is the slack above which the served share is not checked: on a machine that stalls for
	// longer, it depends more on the machine than on the routers.
	maxSlackForServedShare = 250 * time.Millisecond
)

// checkRules returns the records as the rules see them, including when routers count as notified, and all violations.
func (r *run) checkRules(slack time.Duration) ([]invariants.Record, []invariants.Violation) {
	records := r.platform.records.Records()
	records = append(records, r.notifications()...)
	r.extendDeadlinesOfStoppedRouters(records)
	slices.SortStableFunc(records, func(a, b invariants.Record) int { return cmp.Compare(a.At, b.At) })
	var workers []string
	for _, change := range r.platform.listChanges() {
		workers = append(workers, change.worker)
	}
	return records, invariants.Check(r.schedule.invariantSettings(workers, slack), records)
}

// notifications returns records of when each router counts as notified of each change of the list. All routers count as
// notified at once that a worker is active again: a router that does not know it yet violates no rule by calling the
// worker.
func (r *run) notifications() (records []invariants.Record) {
	listChanges := r.platform.listChanges()
	for router := range r.nodes {
		polls := r.platform.discovery[router].pollTimes()
		for i, change := range listChanges {
			unavailable := change.state != stateActive
			at := change.at
			if unavailable {
				at = r.notifiedAt(change.at, polls)
			}
			endedBefore := slices.ContainsFunc(listChanges[i+1:], func(later listChange) bool {
				return later.worker == change.worker && later.state == stateActive && later.at <= at
			})
			if endedBefore {
				continue
			}
			records = append(records, invariants.Record{Kind: invariants.EndpointNotified, At: at, Router: routerName(router),
				Worker: change.worker, Unavailable: unavailable})
		}
	}
	return records
}

// notificationLimits holds, for each fault of discovery, the time after its start from which routers count as
// notified of everything that discovery would have reported. A slow response still contains the changes up to when it
// was written.
var notificationLimits = map[FaultKind]time.Duration{
	DiscoveryRefused:   outageNotificationLimit,
	DiscoverySilent:    outageNotificationLimit,
	DiscoverySlow:      outageNotificationLimit + slowResponseDelay,
	DiscoveryCut:       outageNotificationLimit,
	DiscoveryGarbage:   outageNotificationLimit,
	DiscoveryCrowded:   outageNotificationLimit,
	DiscoveryMoved:     reloadNotificationLimit,
	DiscoveryRestarted: outageNotificationLimit,
}

// notifiedAt returns when a router counts as notified of a change: at once, or, while discovery is out of reach, when
// the limit of the fault has passed or the router polls again, whichever is first.
func (r *run) notifiedAt(change time.Duration, polls []time.Duration) time.Duration {
	notified := change
	for _, fault := range r.intervals {
		limit := notificationLimits[fault.Kind]
		until := fault.to
		if fault.Kind == DiscoveryMoved {
			until = fault.from + limit
		}
		if !fault.Kind.concernsDiscovery() || change < fault.from || until > 0 && change >= until {
			continue
		}
		notified = max(notified, fault.from+limit)
	}
	next := slices.IndexFunc(polls, func(poll time.Duration) bool { return poll > change })
	if next >= 0 {
		notified = min(notified, polls[next]) // a router counts as notified when it polls again
	}
	return notified
}

// extendDeadlinesOfStoppedRouters extends the deadlines of calls that were in flight while their router's process was
// stopped.
func (r *run) extendDeadlinesOfStoppedRouters(records []invariants.Record) {
	for _, fault := range r.intervals {
		if fault.Kind != RouterStopped {
			continue
		}
		for i := range records {
			sent := &records[i]
			overlaps := sent.At <= fault.to && sent.Deadline >= fault.from
			if sent.Kind == invariants.CallSent && sent.Router == routerName(fault.Target) && overlaps {
				sent.Deadline += fault.to - fault.from + stoppedRouterSlack
			}
		}
	}
}

// servedShare returns the number of calls whose client did not leave and whose router was not killed, and the share of
// them that was served.
func servedShare(records []invariants.Record) (share float64, calls int) {
	served := 0
	abandoned := map[string]bool{}
	for _, record := range records {
		if record.Kind == invariants.CallAbandoned {
			abandoned[record.Call] = true
		}
	}
	for _, record := range records {
		switch {
		case record.Kind == invariants.CallSent && !abandoned[record.Call]:
			calls++
		case record.Kind == invariants.FinalAnswer && record.Answer == invariants.Served:
			served++
		}
	}
	return float64(served) / float64(max(calls, 1)), calls
}

// failures returns one line for each violation, crash, unexpected response and shortfall of served calls.
func (r *run) failures(violations []invariants.Violation, share float64, slack time.Duration) (lines []string) {
	for _, violation := range violations {
		lines = append(lines, violation.String())
	}
	for _, n := range r.nodes {
		crashes, _ := n.report()
		lines = append(lines, crashes...)
	}
	for _, c := range r.clients {
		lines = append(lines, c.wrongResponses...)
	}
	if share < r.schedule.MinServedShare && slack <= maxSlackForServedShare {
		lines = append(lines, fmt.Sprintf("%.3f of the calls served, at least %.2f wanted", share, r.schedule.MinServedShare))
	}
	return lines
}
