package gossip

import "time"

// clockOffset estimates the offset of a member's clock: the least of local time minus the member's time is the offset
// plus the shortest network delay. Nothing but differences is used, so a clock that is hours off does no harm, and a
// relay that held a statement back can make it look older, not newer. The minimum is taken over one to two windows,
// for clocks that drift apart.
type clockOffset struct {
	known             bool
	incarnation       uint64
	current, previous time.Duration // least offset of the window that began at since, and of the one before it
	since             time.Duration
}

const clockOffsetWindow = time.Minute

// observe takes a reading of the member's clock. A higher incarnation starts the estimate anew, as the clock may have
// been set meanwhile; a reading of a lower one is ignored.
func (c *clockOffset) observe(incarnation uint64, now, theirs time.Duration) {
	offset := now - theirs
	switch {
	case !c.known || incarnation > c.incarnation:
		*c = clockOffset{known: true, incarnation: incarnation, current: offset, previous: offset, since: now}
	case incarnation < c.incarnation:
	case now-c.since > clockOffsetWindow:
		c.previous, c.current, c.since = c.current, offset, now
	default:
		c.current = min(c.current, offset)
	}
}

// age returns how long ago the member's clock showed theirs, or 0 if nothing is known of that incarnation's clock.
func (c *clockOffset) age(incarnation uint64, now, theirs time.Duration) time.Duration {
	if !c.known || incarnation != c.incarnation {
		return 0
	}
	return max(now-theirs-min(c.current, c.previous), 0)
}
