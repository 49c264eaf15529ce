package dispatch

import "time"

// Action is an output of Dispatcher.Step, for the router to execute: one of the types below.
type Action interface{ action() }

// StartAttempt forwards a request to a worker. A request's attempts are numbered from 0 in the order of these actions.
type StartAttempt struct {
	ID      RequestID
	Worker  string
	Timeout time.Duration // 0 means until the request's deadline
	// SendBefore is the time, on the clock of Step, before which the first byte has to be written. Otherwise the attempt
	// is not sent and ends with the result NotSent. 0 means no limit.
	SendBefore time.Duration
	// ConnectedBefore is the time, on the clock of Step, by which the connection has to have been opened. If there is no
	// such connection, the attempt is not sent and ends with the result NotSent. 0 means any connection.
	ConnectedBefore time.Duration
	// Unproven is whether the worker may have been restarted unseen.
	Unproven bool
}

// CancelAttempt cancels one attempt. Its AttemptEnded still follows.
type CancelAttempt struct {
	ID      RequestID
	Attempt int
}

// RejectRequest is a final answer without a response. It guarantees that the client can safely retry.
type RejectRequest struct {
	ID         RequestID
	RetryAfter time.Duration // 0 means no Retry-After
	Cause      EndCause
}

// FailRequest is a final answer without a response. It guarantees nothing: the request may have run.
type FailRequest struct {
	ID    RequestID
	Cause EndCause
}

// LoadFunction commands a worker to hold the given number of copies of a function. With 0 copies it only queries the
// present number. FunctionLoaded reports the result.
type LoadFunction struct {
	Worker     string
	Function   string
	Copies     int
	SendBefore time.Duration // see StartAttempt.SendBefore
	Cause      LoadCause
}

// CheckHealth sends a health check to a worker. HealthChecked reports the result.
type CheckHealth struct {
	Worker   string
	ForLease bool // checks whether the worker drains, because the endpoint list is out of date
}

// EndpointListStateChanged reports that the endpoint list has gone out of date or is current again.
type EndpointListStateChanged struct {
	Current bool
	Age     time.Duration // time since the list was last confirmed
}

// KeepConnections sets whether open connections to workers are kept although they are idle, because the endpoint list is
// too old to show restarts: the end of a connection shows them.
type KeepConnections struct{ Keep bool }

// RestartAssumed reports that a worker is in slow start because it may have been restarted: contact with it was lost, and
// the endpoint list is too old to show a restart.
type RestartAssumed struct{ Worker string }

// SubscribeEndpoints subscribes to changes of the endpoint list.
type SubscribeEndpoints struct{}

// SetTimer requests a TimerFired after a delay. It replaces the previous timer.
type SetTimer struct{ After time.Duration }

// ReportSuspicion reports to other routers what this router suspects of a worker from its own evidence: that the worker
// is unresponsive (no Class and not Slow), that it fails a class, or that it is slow. It is returned only if
// Settings.SuspicionsReported is set.
type ReportSuspicion struct {
	Worker string
	Class  string // the class that it fails, or ""
	Slow   bool
}

// LogMessage writes a line to the log.
type LogMessage struct{ Text string }

func (StartAttempt) action()             {}
func (CancelAttempt) action()            {}
func (RejectRequest) action()            {}
func (FailRequest) action()              {}
func (LoadFunction) action()             {}
func (CheckHealth) action()              {}
func (EndpointListStateChanged) action() {}
func (KeepConnections) action()          {}
func (RestartAssumed) action()           {}
func (SubscribeEndpoints) action()       {}
func (SetTimer) action()                 {}
func (ReportSuspicion) action()          {}
func (LogMessage) action()               {}
