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

// ErrEventGap means that events between the last one applied and those of a response are missing.
var ErrEventGap = errors.New("discovery: events are missing")

// ErrRevisionRegressed means that the server's revision is lower than that of the last event applied, or that the
// server has a different event at that revision: the server was restarted and has restarted its numbering of events.
var ErrRevisionRegressed = errors.New("discovery: server has restarted its event numbering")

// startTimeConverter converts the start time of an endpoint to the router's clock.
type startTimeConverter func(id string, startedAt wallclock.Time) time.Duration

// eventLog is the position in the sequence of numbered events. It is not safe for concurrent use.
type eventLog struct {
	revision    int64       // revision of the last event applied
	initialized bool        // an event has been applied; until then, the first event may have any revision
	lastDigest  eventDigest // digest of the event at revision
}

// eventDigest identifies the content of an event. A restarted server may have a different event at the same revision.
type eventDigest struct {
	known bool
	hash  uint64
}

// digestOf returns the digest of an event.
func digestOf(event Event) eventDigest {
	raw, err := json.Marshal(event.Update)
	return eventDigest{known: err == nil, hash: xxhash.Sum64(raw)}
}

// Apply advances the log by the events of a response and returns their combined update. Events up to the log's revision
// are skipped, as they have already been applied. The update is nil if no new event changes the list. On an error the
// log is unchanged. The error is ErrEventGap if a revision is missing before an event that is not a snapshot, and
// ErrRevisionRegressed if the event at the log's revision has changed. toRouterTime converts the start time of an
// endpoint to the router's clock.
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

// checkLastEvent returns ErrRevisionRegressed if the event at the log's revision differs from the one applied.
func (l *eventLog) checkLastEvent(events []Event) error {
	for _, event := range events {
		if *event.Revision == l.revision && l.lastDigest.known && digestOf(event) != l.lastDigest {
			return fmt.Errorf("%w: event %d has changed", ErrRevisionRegressed, l.revision)
		}
	}
	return nil
}

// revisionAfter returns the revision of the log after the events are applied. It does not modify the log.
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

// mergedUpdate combines the updates of several events: the last state of each endpoint overrides earlier ones.
type mergedUpdate struct {
	snapshot bool
	byID     map[string]Endpoint
}

// update converts m to the type that the router uses. It returns nil if m is nil.
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
