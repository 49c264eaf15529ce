package dispatch

import "time"

// Action is something for the router to do: one of the types below.
type Action interface{ action() }

// StartAttempt forwards a request to a worker. A request's attempts are numbered from 0 in the order of these actions.
type StartAttempt struct {
	ID      RequestID
	Worker  string
	Timeout time.Duration // 0: until the request's deadline
	// SendBefore is the time, on the clock of Step, before which the first byte has to be written; the attempt is not sent
	// later, and ends as NotSent. 0: there is no such time.
	SendBefore time.Duration
}

// CancelAttempt stops waiting for one attempt; its AttemptEnded still comes.
type CancelAttempt struct {
	ID      RequestID
	Attempt int
}

// RejectRequest is a final answer which promises that a retry by the client does no harm.
type RejectRequest struct {
	ID         RequestID
	RetryAfter time.Duration // 0: no advice
	Cause      EndCause
}

// FailRequest is a final answer which promises nothing: the request may have run.
type FailRequest struct {
	ID    RequestID
	Cause EndCause
}

// LoadFunction commands a worker to hold Copies of a function; 0 only asks how many it holds. It is answered by a
// FunctionLoaded.
type LoadFunction struct {
	Worker     string
	Function   string
	Copies     int
	SendBefore time.Duration // as of StartAttempt
	Cause      LoadCause
}

// CheckHealth sends a health check to a worker. It is answered by a HealthChecked.
type CheckHealth struct {
	Worker   string
	ForLease bool // it is to show whether the worker drains, as the endpoint list is not believed
}

// EndpointListStateChanged says that the endpoint list is believed no longer, or again.
type EndpointListStateChanged struct {
	Current bool
	Age     time.Duration // since the list was last confirmed
}

// SubscribeEndpoints subscribes to changes of the endpoint list.
type SubscribeEndpoints struct{}

// SetTimer asks for a TimerFired after a while. It replaces the timer set before.
type SetTimer struct{ After time.Duration }

// ReportSuspicion tells other routers what this one suspects of a worker by its own evidence: that it is unresponsive
// (no Class and not Slow), that it fails a class, or that it is slow. It is returned only with
// Settings.SuspicionsReported.
type ReportSuspicion struct {
	Worker string
	Class  string // the class that it fails, or ""
	Slow   bool
}

// LogMessage is a line for the log.
type LogMessage struct{ Text string }

func (StartAttempt) action()             {}
func (CancelAttempt) action()            {}
func (RejectRequest) action()            {}
func (FailRequest) action()              {}
func (LoadFunction) action()             {}
func (CheckHealth) action()              {}
func (EndpointListStateChanged) action() {}
func (SubscribeEndpoints) action()       {}
func (SetTimer) action()                 {}
func (ReportSuspicion) action()          {}
func (LogMessage) action()               {}
