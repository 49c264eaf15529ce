// Package upstream holds what the upstreams of all protocols share: the evidence in the errors of system calls.
package upstream

import (
	"errors"
	"syscall"

	"github.com/topazfront/topazfront/dispatch"
)

// SystemCall names the system calls that an exchange with a worker depends on.
type SystemCall int

// The system calls.
const (
	Connect SystemCall = iota // socket, epoll_ctl and connect: all that comes before a connection is up
	Send                      // sendmsg, where it did not accept the last byte of a message
	Receive                   // readv, on a connection that carries messages which were accepted whole
)

// Evidence is what the error of a system call says of the exchange that it was made for.
type Evidence struct {
	NeverRan      bool // no worker can have received the whole message
	AgainstWorker bool // the fault is the worker's, or on the way to it, and not this host's
}

var (
	localFault    = Evidence{NeverRan: true}
	workerFault   = Evidence{NeverRan: true, AgainstWorker: true}
	mayHaveRun    = Evidence{AgainstWorker: true}
	callEvidences = map[SystemCall]struct {
		byErrno   map[syscall.Errno]Evidence
		otherwise Evidence // for time-outs, which have no errno, and for errnos that are not listed
	}{
		Connect: {otherwise: workerFault, byErrno: map[syscall.Errno]Evidence{
			syscall.EADDRINUSE:    localFault, // no local port is free
			syscall.EADDRNOTAVAIL: localFault, // no local port is free
			syscall.EAGAIN:        localFault, // no local port or routing cache entry is free
			syscall.EINTR:         localFault,
			syscall.EMFILE:        localFault,
			syscall.ENFILE:        localFault,
			syscall.ENOBUFS:       localFault,
			syscall.ENOMEM:        localFault,
			syscall.ENOSPC:        localFault, // epoll_ctl: too many watched descriptors
			syscall.EAFNOSUPPORT:  localFault,
			syscall.ENETDOWN:      localFault, // this host's interface
			// A route or a firewall rule of this host may concern this one address. Another worker has to be tried, and where
			// it concerns all of them the dispatcher sees that most are suspected.
			syscall.EACCES:       workerFault,
			syscall.EPERM:        workerFault,
			syscall.ENETUNREACH:  workerFault,
			syscall.ECONNREFUSED: workerFault,
			syscall.ECONNRESET:   workerFault,
			syscall.ECONNABORTED: workerFault,
			syscall.ETIMEDOUT:    workerFault,
			syscall.EHOSTUNREACH: workerFault, // the network is there, and the worker's host does not answer in it
			syscall.EHOSTDOWN:    workerFault,
		}},
		// A message without its last byte is no request: the protocol counts an attempt from the moment it has come whole.
		// A connection that is found broken may have been forgotten while it was idle, which says nothing of the worker: the
		// connect that follows tells.
		Send: {otherwise: localFault},
		// The worker may have the message whatever ended the connection: a reset, ETIMEDOUT, EHOSTUNREACH or the end of the stream.
		Receive: {otherwise: mayHaveRun},
	}
)

// EvidenceOf returns what the error of a system call says.
func EvidenceOf(call SystemCall, err error) Evidence {
	evidences := callEvidences[call]
	var errno syscall.Errno
	if errors.As(err, &errno) {
		if listed, ok := evidences.byErrno[errno]; ok {
			return listed
		}
	}
	return evidences.otherwise
}

// Result returns the result of an exchange that ends by the fault.
func (e Evidence) Result() dispatch.Result {
	switch {
	case !e.NeverRan:
		return dispatch.ConnectionReset
	case e.AgainstWorker:
		return dispatch.ConnectFailed
	default:
		return dispatch.NotSent
	}
}
