package discovery

import (
	"errors"
	"fmt"
	"slices"
	"time"

	"github.com/topazfront/topazfront/dispatch"
	"github.com/topazfront/topazfront/internal/endpoints"
	"github.com/topazfront/topazfront/internal/wallclock"
)

// maxEndpoints bounds the list: further endpoints are ignored, so that a faulty server can't exhaust the memory.
const maxEndpoints = 1 << 16

// ErrEventGap reports that events between the last one applied and those of a response are missing.
var ErrEventGap = errors.New("discovery: events are missing")

// endpointList is the endpoint list after the events applied so far. It is not safe for concurrent use.
type endpointList struct {
	revision    int64 // of the last event applied
	initialized bool  // an event was applied; before that, the first event may have any revision
	byID        map[string]Endpoint
}

func newEndpointList() *endpointList { return &endpointList{byID: map[string]Endpoint{}} }

// Apply applies the events that are newer than the list's revision, all of them or, on an error, none. Events that
// were applied before are skipped. It reports whether an endpoint update was among them. The error is ErrEventGap
// where a revision is left out before an event that is not a snapshot.
func (l *endpointList) Apply(response PollResponse) (changed bool, err error) {
	next, err := l.revisionAfter(response.Events)
	if err != nil || next == l.revision {
		return false, err
	}
	for _, event := range response.Events {
		if *event.Revision <= l.revision || event.Update == nil {
			continue
		}
		changed = true
		l.applyUpdate(event.Update)
	}
	l.revision, l.initialized = next, true
	return changed, nil
}

// revisionAfter returns the revision that the list has once the events are applied. It changes nothing.
func (l *endpointList) revisionAfter(events []Event) (int64, error) {
	next := l.revision
	for _, event := range events {
		revision := *event.Revision
		if revision <= l.revision {
			continue
		}
		snapshot := event.Update != nil && event.Update.Snapshot
		first := next == 0 && !l.initialized
		if revision != next+1 && !snapshot && !first {
			return 0, fmt.Errorf("%w: %d follows %d", ErrEventGap, revision, next)
		}
		next = revision
	}
	return next, nil
}

func (l *endpointList) applyUpdate(update *EndpointUpdate) {
	if update.Snapshot {
		clear(l.byID)
	}
	for _, endpoint := range update.Endpoints {
		if endpoint.State == stateRemoved {
			delete(l.byID, endpoint.ID)
		} else if len(l.byID) < maxEndpoints {
			l.byID[endpoint.ID] = endpoint
		}
	}
}

// contains reports whether an endpoint is in the list.
func (l *endpointList) contains(id string) bool {
	_, ok := l.byID[id]
	return ok
}

// Workers returns the list ordered by ID. routerTime converts the start time of an endpoint to the router's clock.
func (l *endpointList) Workers(routerTime func(id string, startedAt wallclock.Time) time.Duration) []endpoints.Worker {
	workers := make([]endpoints.Worker, 0, len(l.byID))
	for _, e := range l.byID {
		worker := endpoints.Worker{Address: e.Address, Endpoint: dispatch.Endpoint{ID: e.ID, Zone: e.Zone, Kind: e.Kind,
			Cell: e.Cell, State: endpointStates[e.State], Weight: e.Weight}}
		if e.StartedUnixMilli > 0 {
			worker.StartedAt = routerTime(e.ID, wallclock.FromUnixMilli(e.StartedUnixMilli))
		}
		workers = append(workers, worker)
	}
	slices.SortFunc(workers, func(a, b endpoints.Worker) int {
		if a.ID < b.ID {
			return -1
		}
		return 1
	})
	return workers
}
