package respupstream

import "github.com/topazfront/topazfront/dispatch"

// The evidence for how an exchange ended, and what it proves. "Never ran" is claimed only if the protocol or the operating
// system guarantees it. In doubt a request may have run.
//
//	evidence                                             result           never ran
//	connect refused, timed out, or without a route
//	  or right to this address                           ConnectFailed    yes: nothing was written
//	connect failed by this host: no descriptor, port,
//	  or memory (upstream/errno.go)                      NotSent          yes: nothing was written
//	not written: the worker drains, was removed or
//	  replaced, no time is left, the client has left,
//	  or the attempt was cancelled                       NotSent          yes: nothing was written
//	the system did not accept the last byte: an error    (another         yes: a message counts once it has come whole
//	  of sendmsg, also after a short write, a time-out   connection,
//	  or the connection's end                            else NotSent)
//	status "nothing"                                     NotResident      yes: guaranteed by the worker
//	status "refused"                                     Rejected         yes: guaranteed by the worker
//	status "stale"                                       NotSent          yes: guaranteed by the worker
//	status "ok"                                          OK               ran
//	status "error"                                       Errored          may have
//	connection reset or closed after the whole message   ConnectionReset  may have
//	a malformed, too large or stalled response on the    ConnectionReset  may have: the connection is closed, which
//	  connection                                                          ends all that was in flight on it
//	cancelled after it was written                       Cancelled        may have
//
// A response belongs to the exchange that is in flight under its id on its connection. An id is written to a connection
// only once, so that a late or duplicate response is never taken for another attempt's. Responses for ids that are not
// in flight are ignored.

// The statuses of responses on the wire.
const (
	statusOK          = "ok"
	statusNotResident = "nothing"
	statusRejected    = "refused"
	statusError       = "error"
	statusStale       = "stale" // too little of the deadline was left
	statusReady       = "yes"
	statusNotReady    = "no"
)

// statusResults maps the status of a response to the result of each kind of exchange. A status that is missing for a kind
// is a protocol violation.
var statusResults = map[string]map[exchangeKind]dispatch.Result{
	statusOK:          {kindAttempt: dispatch.OK, kindLoad: dispatch.OK},
	statusNotResident: {kindAttempt: dispatch.NotResident},
	statusRejected:    {kindAttempt: dispatch.Rejected, kindLoad: dispatch.Rejected},
	statusError:       {kindAttempt: dispatch.Errored, kindLoad: dispatch.Errored, kindHealthCheck: dispatch.Errored},
	statusStale:       {kindAttempt: dispatch.NotSent},
	statusReady:       {kindHealthCheck: dispatch.OK},
	statusNotReady:    {kindHealthCheck: dispatch.OK},
}
