package endpoints

import (
	"maps"
	"time"

	"github.com/topazfront/topazfront/dispatch"
	"github.com/topazfront/topazfront/internal/wallclock"
)

// RouterClock is a router's own clock, which is monotonic.
type RouterClock interface {
	Now() time.Duration
	FromWallTime(moment wallclock.Time) time.Duration // what Now returns at that moment if the wall clock is right
}

// StartTimes converts the start times of an endpoint list, which are wall times, to the router's clock. The wall clock of
// this host or of the list's may be wrong, from the beginning or after it was set. A converted time that is too early is the
// costly error: a worker in slow start would be taken for a warm one and get too many requests. So these facts, which hold
// whatever the wall clock shows, take precedence:
//
//   - no start lies in the future;
//   - a worker that the list names for the first time, or with another start time, has started since the list was last
//     current (the first list proves nothing of the kind);
//   - a start that was converted once keeps its converted time.
//
// A StartTimes is not safe for concurrent use.
type StartTimes struct {
	clock     RouterClock
	known     map[string]convertedStart // by worker
	currentAt time.Duration             // when the list was last current; 0 before the first
}

type convertedStart struct {
	wallTime   wallclock.Time
	routerTime time.Duration
}

// NewStartTimes returns a StartTimes that knows of no list.
func NewStartTimes(clock RouterClock) *StartTimes {
	return &StartTimes{clock: clock, known: map[string]convertedStart{}}
}

// Convert returns when a worker of the list started, by the router's clock, and remembers it.
func (s *StartTimes) Convert(worker string, startedAt wallclock.Time) time.Duration {
	earliest := s.currentAt
	if known, ok := s.known[worker]; ok {
		if known.wallTime == startedAt {
			return known.routerTime
		}
		earliest = max(earliest, known.routerTime+1) // a restart is later than the start before it
	}
	routerTime := max(min(s.clock.FromWallTime(startedAt), s.clock.Now()), earliest)
	s.known[worker] = convertedStart{wallTime: startedAt, routerTime: routerTime}
	return routerTime
}

// ListConfirmed records that the converted list had all workers which had started by then. A time before the last one
// recorded changes nothing.
func (s *StartTimes) ListConfirmed(at time.Duration) { s.currentAt = max(s.currentAt, at) }

// Forget forgets the workers that an update removes, by name or, if it is a snapshot, by leaving them out.
func (s *StartTimes) Forget(update *Update) {
	listed := map[string]bool{}
	for _, worker := range update.Workers {
		switch {
		case worker.State == dispatch.EndpointRemoved:
			delete(s.known, worker.ID)
		case update.Snapshot:
			listed[worker.ID] = true
		}
	}
	if update.Snapshot {
		s.Retain(func(worker string) bool { return listed[worker] })
	}
}

// Retain forgets the workers that are not listed any more.
func (s *StartTimes) Retain(listed func(worker string) bool) {
	maps.DeleteFunc(s.known, func(worker string, _ convertedStart) bool { return !listed(worker) })
}
