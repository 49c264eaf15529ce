package httprouter

import (
	"time"

	"github.com/topazfront/topazfront/dispatch"
)

// Timing of a planned restart by the platform. The earliest SIGKILL follows SIGTERM after the longest deadline of the
// classes, capped at maxSIGKILLDeadline, plus sigkillGrace.
const (
	acceptAfterSIGTERM = 1200 * time.Millisecond // clients may send requests for at most this long
	maxSIGKILLDeadline = 3 * time.Second
	sigkillGrace       = 700 * time.Millisecond
)

// How long before the earliest SIGKILL each phase of a shutdown ends. The process exits within the last margin.
const (
	answerMargin = 200 * time.Millisecond
	stopMargin   = 150 * time.Millisecond
	drainMargin  = 100 * time.Millisecond
	closeMargin  = 50 * time.Millisecond
)

// shutdownPhases holds the latest end of each phase of a shutdown, measured from SIGTERM. The later phases end earlier
// if nothing is left to do.
type shutdownPhases struct {
	accepting time.Duration // calls are served normally
	answering time.Duration // the dispatcher answers the calls in flight, and new calls immediately
	stopping  time.Duration // the router's loop answers the remaining calls and ends; new calls are rejected
	draining  time.Duration // clients receive the last answers; new calls are rejected
	closing   time.Duration // sockets are closed
}

// newShutdownPhases computes the phases from the longest deadline of the configured classes, so that the process exits
// before the earliest SIGKILL.
func newShutdownPhases(longestDeadline time.Duration) shutdownPhases {
	sigkill := min(longestDeadline, maxSIGKILLDeadline) + sigkillGrace
	answering := sigkill - answerMargin
	return shutdownPhases{
		accepting: min(acceptAfterSIGTERM, answering),
		answering: answering,
		stopping:  sigkill - stopMargin,
		draining:  sigkill - drainMargin,
		closing:   sigkill - closeMargin,
	}
}

// longestDeadline returns the longest deadline of the classes.
func longestDeadline(classes []dispatch.Class) time.Duration {
	longest := time.Duration(0)
	for _, class := range classes {
		longest = max(longest, class.Deadline)
	}
	return longest
}
