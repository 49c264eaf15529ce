package httprouter

import (
	"time"

	"github.com/topazfront/topazfront/dispatch"
)

// What the platform does at a planned restart.
const (
	acceptAfterSIGTERM = 1200 * time.Millisecond // clients keep sending for so long at most
	maxSIGKILLDeadline = 3 * time.Second         // a longest deadline above this counts as this
	sigkillGrace       = 700 * time.Millisecond  // SIGKILL follows SIGTERM after the longest deadline and this, or later
)

// How long before the earliest SIGKILL each phase of a shutdown ends. The last is what the process has to exit in.
const (
	answerMargin = 200 * time.Millisecond
	stopMargin   = 150 * time.Millisecond
	drainMargin  = 100 * time.Millisecond
	closeMargin  = 50 * time.Millisecond
)

// shutdownPhases are the ends of a shutdown's phases, as times since SIGTERM. The later ones end earlier where there is
// nothing left to do.
type shutdownPhases struct {
	accepting time.Duration // calls are served as usual
	answering time.Duration // the dispatcher answers what is under way; what still comes is answered at once
	stopping  time.Duration // the router's loop ends, with an answer to each call; what still comes is rejected
	draining  time.Duration // clients take the last answers; what still comes is rejected
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
