package respupstream

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

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

// usedID is the hash of an id, which takes a fraction of its memory. If two ids have the same hash, the second one is
// sent on another connection.
type usedID uint64

func hashID(id string) usedID { return usedID(xxhash.Sum64String(id)) }

// markIDUsed records that an id was written to the connection.
func (c *conn) markIDUsed(id string, now time.Time) {
	c.usedIDs[hashID(id)] = now.Sub(c.openedAt) + usedIDRetention
}

// hasUsedID reports whether an id was written to the connection within usedIDRetention.
func (c *conn) hasUsedID(id string) bool { return c.usedIDs[hashID(id)] != 0 }

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
	open := make(map[usedID]bool, len(c.inFlight))
	for id := range c.inFlight {
		open[hashID(id)] = true
	}
	for id, until := range c.usedIDs {
		if until < age && !open[id] {
			delete(c.usedIDs, id)
		}
	}
}
