package respupstream

import "time"

// An id is written to a connection only once. Otherwise a late or duplicate response to an earlier attempt could be taken for
// the response to a later one of the same request. The methods below are called with the lock held.

const (
	// usedIDRetention is how long an id counts as used on a connection. It is longer than any deadline of a request and any
	// delay of its response.
	usedIDRetention = time.Minute

	// usedIDSweeps is how many times within usedIDRetention expired ids are removed.
	usedIDSweeps = 8

	// maxUsedIDs bounds the memory for ids. A connection that remembers more drains, and a new one takes its place.
	maxUsedIDs = 4096
)

// rememberID records that an id was written to the connection.
func (c *conn) rememberID(id string, now time.Time) {
	c.usedIDs[id] = now.Sub(c.openedAt) + usedIDRetention
}

// expireUsedIDs forgets ids for which no late response can arrive any more, and drains the connection if it remembers too
// many.
func (c *conn) expireUsedIDs(now time.Time) {
	if len(c.usedIDs) > maxUsedIDs {
		c.drain()
	}
	if now.Sub(c.idsExpiredAt) < usedIDRetention/usedIDSweeps {
		return
	}
	c.idsExpiredAt = now
	age := now.Sub(c.openedAt) // monotonic: setting the wall clock must neither forget ids nor keep them
	for id, until := range c.usedIDs {
		if until < age && c.inFlight[id] == nil {
			delete(c.usedIDs, id)
		}
	}
}
