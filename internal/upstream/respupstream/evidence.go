package respupstream

import "github.com/topazfront/topazfront/dispatch"

// This table lists the ways in which an exchange can end, the result of each, and whether the request may have run.
// "Never ran" is claimed only if the protocol or the operating system guarantees it; otherwise the request may have
// run.
//
//	evidence                                             result           never ran
//	connect refused, timed out, or without a route
//	  or right to this address                           ConnectFailed    yes: nothing was written
//	connect failed by this host: no descriptor, port,
//	  or memory (upstream/errno.go)                      NotSent          yes: nothing was written
//	not written: the worker drains, was removed or
//	  replaced, the deadline has passed, the client has
//	  disconnected, or the attempt was cancelled         NotSent          yes: nothing was written
//	the system did not accept the last byte: an error    (another         yes: a worker runs only complete messages
//	  of sendmsg, also after a short write, a timeout    connection,
//	  or the end of the connection                       else NotSent)
//	status "nothing"                                     NotResident      yes: guaranteed by the worker
//	status "refused"                                     Rejected         yes: guaranteed by the worker
//	status "stale"                                       NotSent          yes: guaranteed by the worker
//	status "ok"                                          OK               ran
//	status "error"                                       Errored          may have
//	connection reset or closed after the whole message   ConnectionReset  may have
//	a malformed, too large or stalled response on the    ConnectionReset  may have: closing the connection ends all
//	  connection                                                          exchanges in flight on it
//	cancelled after it was written                       Cancelled        may have
//
// A response belongs to the exchange in flight with the same id on the same connection. An id is written to a
// connection only once, so that a late or duplicate response is never mistaken for the response to another attempt.
// Responses with ids that are not in flight are ignored.

// The statuses of responses on the wire.
const (
	statusOK          = "ok"
	statusNotResident = "nothing"
	statusRejected    = "refused"
	statusError       = "error"
	statusStale       = "stale" // the remaining deadline was too short
	statusReady       = "yes"
	statusNotReady    = "no"
)

// statusResults maps the status of a response and the kind of its exchange to the result. A status that is not listed
// for a kind is a protocol violation.
var statusResults = map[string]map[exchangeKind]dispatch.Result{
	statusOK:          {kindAttempt: dispatch.OK, kindLoad: dispatch.OK},
	statusNotResident: {kindAttempt: dispatch.NotResident},
	statusRejected:    {kindAttempt: dispatch.Rejected, kindLoad: dispatch.Rejected},
	statusError:       {kindAttempt: dispatch.Errored, kindLoad: dispatch.Errored, kindHealthCheck: dispatch.Errored},
	statusStale:       {kindAttempt: dispatch.NotSent},
	statusReady:       {kindHealthCheck: dispatch.OK},
	statusNotReady:    {kindHealthCheck: dispatch.OK},
}
