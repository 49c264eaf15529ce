// Package wallclock is the only package that reads and converts wall times. The wall clock may be wrong and may be set
// at any moment, by seconds or by hours, unlike a monotonic clock. Durations and the order of events within a process
// must therefore be taken from the monotonic reading of time.Now. Wall times are only for data exchanged between
// processes: the start times of workers in an endpoint list, and the incarnation of a gossip member. Code that receives
// such a time must allow for it to be wrong.
//
// A linter rule forbids all other packages to convert between a time.Time and a wall time.
package wallclock

import "time"

// Time is a wall time of some host. It has no monotonic reading. Times can be compared with ==.
type Time struct {
	moment time.Time // in UTC, without a monotonic reading
}

// FromUnixMilli returns the Time that corresponds to a Unix time in milliseconds.
func FromUnixMilli(milliseconds int64) Time { return Time{time.UnixMilli(milliseconds).UTC()} } //nolint:forbidigo // only this package converts wall times

// FromTime returns the wall time of a time.Time, for example one parsed from a file.
func FromTime(moment time.Time) Time { return Time{moment.Round(0).UTC()} } //nolint:forbidigo // only this package converts wall times

// UnixMilli returns the Unix time in milliseconds, or 0 for a time before 1970.
func (t Time) UnixMilli() uint64 { return uint64(max(t.moment.UnixMilli(), 0)) } //nolint:forbidigo // only this package converts wall times

// UnixNano returns the Unix time in nanoseconds, or 0 for a time before 1970.
func (t Time) UnixNano() uint64 { return uint64(max(t.moment.UnixNano(), 0)) } //nolint:forbidigo // only this package converts wall times

// Add returns t+d.
func (t Time) Add(d time.Duration) Time { return Time{t.moment.Add(d)} }

// Sub returns t-u. If the result exceeds the range of a Duration, Sub returns the maximum or minimum Duration.
func (t Time) Sub(u Time) time.Duration { return t.moment.Sub(u.moment) }

// Clock is a source of the current wall time.
type Clock interface {
	Now() Time
}

// System is the clock of this host.
var System Clock = systemClock{}

type systemClock struct{}

func (systemClock) Now() Time { return FromTime(time.Now()) }
