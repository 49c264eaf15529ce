package httprouter

import (
	"time"

	"github.com/topazfront/topazfront/dispatch"
)

// What the platform does at a planned restart.
const (
	acceptAfterSIGTERM = 1200 * time.Millisecond // clients go on sending for at most this time
	maxSIGKILLDeadline = 3 * time.Second         // the limit on the longest deadline that the platform waits for
	sigkillGrace       = 700 * time.Millisecond  // from the longest deadline after SIGTERM to the earliest SIGKILL
)

// How long before the earliest SIGKILL each phase of a shutdown ends. The last margin is left for the process to exit.
const (
	answerMargin = 200 * time.Millisecond
	stopMargin   = 150 * time.Millisecond
	drainMargin  = 100 * time.Millisecond
	closeMargin  = 50 * time.Millisecond
)

// shutdownPhases are the latest ends of a shutdown's phases, as times since SIGTERM. The later phases end earlier if nothing
// is left to do.
type shutdownPhases struct {
	accepting time.Duration // calls are served as usual
	answering time.Duration // the dispatcher answers the calls under way, and later ones at once
	stopping  time.Duration // the router's loop ends with an answer to each call; later calls are rejected
	draining  time.Duration // clients receive the last answers; later calls are rejected
	closing   time.Duration // sockets are closed
}

// newShutdownPhases derives the phases from the longest deadline of the classes in the settings, so that the process
// exits before the earliest SIGKILL.
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
