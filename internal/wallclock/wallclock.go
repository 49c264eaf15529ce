// Package wallclock owns the time of day. The wall clock may be wrong and may be set at any moment, by seconds or by
// hours, while monotonic time runs on. So it measures no duration and puts no events in order: within a process that is
// done with the monotonic reading of time.Now. The wall time is for what crosses processes: workers' start times in an
// endpoint list, and the incarnation of a member of gossip. Whoever takes such a time in expects it to be wrong.
//
// The linter forbids elsewhere what reads the wall time out of a time.Time or makes one of it.
package wallclock

import "time"

// Time is a moment by the wall clock of some host. It has no monotonic reading. Times can be compared by ==.
type Time struct {
	moment time.Time // in UTC, without a monotonic reading
}

// FromUnixMilli returns the time that is some milliseconds after the start of 1970.
func FromUnixMilli(milliseconds int64) Time { return Time{time.UnixMilli(milliseconds).UTC()} } //nolint:forbidigo // the package that owns the wall time

// FromTime returns the wall time of a moment, such as one that was parsed from a file.
func FromTime(moment time.Time) Time { return Time{moment.Round(0).UTC()} } //nolint:forbidigo // the package that owns the wall time

// UnixMilli returns the milliseconds since the start of 1970, 0 for an earlier time.
func (t Time) UnixMilli() uint64 { return uint64(max(t.moment.UnixMilli(), 0)) } //nolint:forbidigo // the package that owns the wall time

// UnixNano returns the nanoseconds since the start of 1970, 0 for an earlier time.
func (t Time) UnixNano() uint64 { return uint64(max(t.moment.UnixNano(), 0)) } //nolint:forbidigo // the package that owns the wall time

// Add returns the time that is later by d.
func (t Time) Add(d time.Duration) Time { return Time{t.moment.Add(d)} }

// Sub returns how much later t is than u, or the longest Duration of its sign if that is not long enough.
func (t Time) Sub(u Time) time.Duration { return t.moment.Sub(u.moment) }

// Clock tells the time of day.
type Clock interface {
	Now() Time
}

// System is the clock of this host.
var System Clock = systemClock{}

type systemClock struct{}

func (systemClock) Now() Time { return FromTime(time.Now()) }
