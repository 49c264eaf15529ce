package respupstream

import "time"

// An id is written to a connection only once. Otherwise a late or duplicate response to an earlier attempt of a
// request could be mistaken for the response to a later one. The methods below are called with the lock held.

const (
	// usedIDRetention is how long an id counts as used on a connection. It is longer than the deadline of any request
	// and the delay of any response.
	usedIDRetention = time.Minute

	// usedIDSweepsPerRetention is how many times expired ids are removed within one usedIDRetention.
	usedIDSweepsPerRetention = 8

	// maxUsedIDs limits the memory for used ids. A connection with more of them drains, and a new one replaces it.
	maxUsedIDs = 4096
)

// markIDUsed records that an id was written to the connection.
func (c *conn) markIDUsed(id string, now time.Time) {
	c.usedIDs[id] = now.Sub(c.openedAt) + usedIDRetention
}

// expireUsedIDs removes ids for which no late response can arrive any more, and drains the connection if it has more
// than maxUsedIDs.
func (c *conn) expireUsedIDs(now time.Time) {
	if len(c.usedIDs) > maxUsedIDs {
		c.drain()
	}
	if now.Sub(c.idsExpiredAt) < usedIDRetention/usedIDSweepsPerRetention {
		return
	}
	c.idsExpiredAt = now
	age := now.Sub(c.openedAt) // monotonic, so that a step of the wall clock neither removes ids early nor keeps them
	for id, until := range c.usedIDs {
		if until < age && c.inFlight[id] == nil {
			delete(c.usedIDs, id)
		}
	}
}
