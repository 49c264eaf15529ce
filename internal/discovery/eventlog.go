package discovery

import (
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/topazfront/topazfront/dispatch"
	"github.com/topazfront/topazfront/internal/endpoints"
	"github.com/topazfront/topazfront/internal/wallclock"
)

// ErrEventGap reports that events between the last one applied and those of a response are missing.
var ErrEventGap = errors.New("discovery: events are missing")

// ErrRevisionRegressed reports that the server's revision is lower than that of the last event applied, or that it has another
// event there: it was restarted, and numbers its events anew.
var ErrRevisionRegressed = errors.New("discovery: events are numbered anew")

// startTimeConverter converts the start time of an endpoint to the router's clock.
type startTimeConverter func(id string, startedAt wallclock.Time) time.Duration

// eventLog follows the numbered events up to the last one applied. It is not safe for concurrent use.
type eventLog struct {
	revision    int64       // of the last event applied
	initialized bool        // an event was applied; before that, the first event may have any revision
	lastDigest  eventDigest // of the event at revision
}

// eventDigest tells events of one revision apart, as a server that was restarted numbers other events alike.
type eventDigest struct {
	known bool
	hash  uint64
}

// digestOf returns the digest of an event.
func digestOf(event Event) eventDigest {
	raw, err := json.Marshal(event.Update)
	return eventDigest{known: err == nil, hash: xxhash.Sum64(raw)}
}

// Apply advances the log over the events of a response and returns their combined update. On an error nothing is applied.
// Events up to the log's revision are skipped, as they were applied before. The update is nil if no new event changes the
// list. The error is ErrEventGap if a revision is missing before an event that is not a snapshot. routerTime converts the
// start time of an endpoint to the router's clock.
func (l *eventLog) Apply(response PollResponse, toRouterTime startTimeConverter) (*endpoints.Update, error) {
	next, err := l.revisionAfter(response.Events)
	if err == nil {
		err = l.checkLastEvent(response.Events)
	}
	if err != nil || next == l.revision {
		return nil, err
	}
	var merged *mergedUpdate
	for _, event := range response.Events {
		if *event.Revision <= l.revision || event.Update == nil {
			continue
		}
		if merged == nil || event.Update.Snapshot {
			merged = &mergedUpdate{snapshot: event.Update.Snapshot, byID: map[string]Endpoint{}}
		}
		for _, endpoint := range event.Update.Endpoints {
			merged.byID[endpoint.ID] = endpoint
		}
	}
	l.revision = next
	l.initialized = true
	l.lastDigest = digestOf(response.Events[len(response.Events)-1])
	return merged.update(toRouterTime), nil
}

// checkLastEvent returns ErrRevisionRegressed if the events have another one at the log's revision than was applied.
func (l *eventLog) checkLastEvent(events []Event) error {
	for _, event := range events {
		if *event.Revision == l.revision && l.lastDigest.known && digestOf(event) != l.lastDigest {
			return fmt.Errorf("%w: event %d is another one now", ErrRevisionRegressed, l.revision)
		}
	}
	return nil
}

// revisionAfter returns the revision that the log has once the events are applied. It changes nothing.
func (l *eventLog) revisionAfter(events []Event) (int64, error) {
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

// mergedUpdate combines the updates of several events: the last state of each endpoint replaces earlier ones.
type mergedUpdate struct {
	snapshot bool
	byID     map[string]Endpoint
}

// update converts to the router's terms. It returns nil if m is nil.
func (m *mergedUpdate) update(toRouterTime startTimeConverter) *endpoints.Update {
	if m == nil {
		return nil
	}
	update := &endpoints.Update{Snapshot: m.snapshot, Workers: make([]endpoints.Worker, 0, len(m.byID))}
	for _, e := range m.byID {
		worker := endpoints.Worker{
			Address: e.Address,
			Endpoint: dispatch.Endpoint{
				ID:     e.ID,
				Zone:   e.Zone,
				Kind:   e.Kind,
				Cell:   e.Cell,
				State:  endpointStates[e.State],
				Weight: e.Weight,
			},
		}
		if e.StartedUnixMilli > 0 {
			worker.StartedAt = toRouterTime(e.ID, wallclock.FromUnixMilli(e.StartedUnixMilli))
		}
		update.Workers = append(update.Workers, worker)
	}
	return update
}
