package gossip

import "time"

// clockOffset estimates the offset of a member's clock: the minimum of local time minus the member's time is the offset
// plus the shortest network delay. Only differences are used, so a clock that is hours off does no harm, and a relay
// that delays a statement can only make it look older. The minimum is taken over the last one to two windows, to follow
// clocks that drift apart.
type clockOffset struct {
	known             bool
	incarnation       uint64
	current, previous time.Duration // minimum offset of the current window and of the one before it
	windowStart       time.Duration
}

const clockOffsetWindow = time.Minute

// observe adds a reading of the member's clock. A higher incarnation resets the estimate, as the clock may have been
// set in between; a reading from a lower incarnation is ignored.
func (c *clockOffset) observe(incarnation uint64, now, remoteTime time.Duration) {
	offset := now - remoteTime
	switch {
	case !c.known || incarnation > c.incarnation:
		*c = clockOffset{known: true, incarnation: incarnation, current: offset, previous: offset, windowStart: now}
	case incarnation < c.incarnation:
	case now-c.windowStart > clockOffsetWindow:
		c.previous, c.current, c.windowStart = c.current, offset, now
	default:
		c.current = min(c.current, offset)
	}
}

// age returns how long ago the member's clock showed remoteTime, or 0 if there is no reading from that incarnation.
func (c *clockOffset) age(incarnation uint64, now, remoteTime time.Duration) time.Duration {
	if !c.known || incarnation != c.incarnation {
		return 0
	}
	return max(now-remoteTime-min(c.current, c.previous), 0)
}
