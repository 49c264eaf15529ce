package endpoints

import (
	"maps"
	"time"

	"github.com/topazfront/topazfront/dispatch"
	"github.com/topazfront/topazfront/internal/wallclock"
)

// RouterClock is a router's monotonic clock.
type RouterClock interface {
	Now() time.Duration
	FromWallTime(moment wallclock.Time) time.Duration // the reading of Now at that moment, if the wall clock is right
}

// StartTimes converts the start times of an endpoint list, which are wall times, to the router's clock. The wall clock
// of this host or of the host that made the list may be wrong, from the beginning or after it was set. A converted time
// that is too early is the costly error: a worker in slow start would be treated as warm and get too many requests.
// These facts, which hold even if a wall clock is wrong, therefore take precedence:
//
//   - no start time is in the future;
//   - a worker that is new in the list, or whose start time in it has changed, has started since the list was last
//     confirmed (this does not apply to the first list);
//   - a start time that was converted once keeps its converted time.
//
// A StartTimes is not safe for concurrent use.
type StartTimes struct {
	clock       RouterClock
	converted   map[string]convertedStart // by worker
	confirmedAt time.Duration             // all workers started before then are in the list; 0 if never confirmed
}

type convertedStart struct {
	wallTime   wallclock.Time
	routerTime time.Duration
}

// NewStartTimes returns a StartTimes without converted start times.
func NewStartTimes(clock RouterClock) *StartTimes {
	return &StartTimes{clock: clock, converted: map[string]convertedStart{}}
}

// Convert returns a worker's start time on the router's clock, and stores it for later calls.
func (s *StartTimes) Convert(worker string, startedAt wallclock.Time) time.Duration {
	earliest := s.confirmedAt
	if converted, ok := s.converted[worker]; ok {
		if converted.wallTime == startedAt {
			return converted.routerTime
		}
		earliest = max(earliest, converted.routerTime+1) // a restart is later than the previous start
	}
	routerTime := max(min(s.clock.FromWallTime(startedAt), s.clock.Now()), earliest)
	s.converted[worker] = convertedStart{wallTime: startedAt, routerTime: routerTime}
	return routerTime
}

// ListConfirmed records that the list, whose start times have been converted, contains all workers started before a
// time. It has no effect if a later time was recorded before.
func (s *StartTimes) ListConfirmed(at time.Duration) { s.confirmedAt = max(s.confirmedAt, at) }

// Forget deletes the start times of the workers that an update removes, explicitly or by their absence from a snapshot.
func (s *StartTimes) Forget(update *Update) {
	listed := map[string]bool{}
	for _, worker := range update.Workers {
		switch {
		case worker.State == dispatch.EndpointRemoved:
			delete(s.converted, worker.ID)
		case update.Snapshot:
			listed[worker.ID] = true
		}
	}
	if update.Snapshot {
		s.Retain(func(worker string) bool { return listed[worker] })
	}
}

// Retain deletes the start times of the workers for which listed returns false.
func (s *StartTimes) Retain(listed func(worker string) bool) {
	maps.DeleteFunc(s.converted, func(worker string, _ convertedStart) bool { return !listed(worker) })
}
