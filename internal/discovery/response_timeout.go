package discovery

import (
	"errors"
	"time"
)

const (
	// pollsPerLongTimeout is how many polls in a row time out, the last of them after the long timeout, before the usual
	// one applies again.
	pollsPerLongTimeout = 3
	// longTimeoutPercent is the long timeout as a part of the usual one.
	longTimeoutPercent = 250
)

// responseTimeout is how long a response is waited for. The usual timeout finds a silent connection soon. A server that is
// slow with each response would never be heard under it: so every third poll that times out in a row had the long one,
// and this applies to further polls for as long as responses take more than the usual one.
type responseTimeout struct {
	usual    time.Duration
	timeouts int  // in a row
	slow     bool // the last response took more than the usual timeout
}

// next returns the timeout of the next poll.
func (t *responseTimeout) next() time.Duration {
	if t.slow || t.timeouts%pollsPerLongTimeout == pollsPerLongTimeout-1 {
		return t.usual * longTimeoutPercent / 100
	}
	return t.usual
}

// record takes how long a poll took, and its error where it has one. An interrupted poll's server may be another from
// now on, of which nothing is known.
func (t *responseTimeout) record(took time.Duration, err error) {
	switch {
	case errors.Is(err, errResponseTimeout):
		t.timeouts++
		t.slow = false
	case errors.Is(err, errInterrupted):
		t.timeouts, t.slow = 0, false
	case err == nil:
		t.timeouts, t.slow = 0, took > t.usual
	}
}
