// Package upstream classifies the errors of system calls for the upstreams of all protocols: whether a request can
// have run, and whether the error counts against the worker.
package upstream

import (
	"errors"
	"syscall"

	"github.com/topazfront/topazfront/dispatch"
)

// SystemCall is a system call, or a group of them, that an exchange with a worker depends on.
type SystemCall int

// The system calls of an exchange.
const (
	Connect SystemCall = iota // socket, epoll_ctl and connect: all calls that establish a connection
	Send                      // sendmsg, if it did not accept the last byte of a message
	Receive                   // readv, on a connection to which whole messages were written
)

// Evidence is what the error of a system call proves about the exchange that made the call.
type Evidence struct {
	NeverRan            bool // no worker can have received the whole message
	CountsAgainstWorker bool // the fault is at the worker or on the path to it, not at this host
}

var (
	localFault     = Evidence{NeverRan: true}
	workerFault    = Evidence{NeverRan: true, CountsAgainstWorker: true}
	mayHaveRun     = Evidence{CountsAgainstWorker: true}
	evidenceByCall = map[SystemCall]struct {
		byErrno  map[syscall.Errno]Evidence
		fallback Evidence // for timeouts, which have no errno, and for unlisted errnos
	}{
		Connect: {fallback: workerFault, byErrno: map[syscall.Errno]Evidence{
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
			syscall.ENETDOWN:      localFault, // this host's network interface is down
			// A route or a firewall rule of this host may affect only this worker's address, so another worker is
			// tried. If it affects all workers, the dispatcher sees that most of them are suspected.
			syscall.EACCES:       workerFault,
			syscall.EPERM:        workerFault,
			syscall.ENETUNREACH:  workerFault,
			syscall.ECONNREFUSED: workerFault,
			syscall.ECONNRESET:   workerFault,
			syscall.ECONNABORTED: workerFault,
			syscall.ETIMEDOUT:    workerFault,
			syscall.EHOSTUNREACH: workerFault, // the network is reachable, but the worker's host does not answer
			syscall.EHOSTDOWN:    workerFault,
		}},
		// A worker runs an attempt only after it has received the last byte of its message. A broken connection may
		// have been dropped while it was idle, for example by a firewall, which proves nothing about the worker. The
		// next connect shows whether the worker can be reached.
		Send: {fallback: localFault},
		// The worker may have received the message, whether the connection ended by a reset, ETIMEDOUT, EHOSTUNREACH
		// or the end of the stream.
		Receive: {fallback: mayHaveRun},
	}
)

// EvidenceOf returns what the error of a system call proves.
func EvidenceOf(call SystemCall, err error) Evidence {
	callEvidence := evidenceByCall[call]
	var errno syscall.Errno
	if errors.As(err, &errno) {
		if listed, ok := callEvidence.byErrno[errno]; ok {
			return listed
		}
	}
	return callEvidence.fallback
}

// Result returns the result of an exchange that ends because of the error.
func (e Evidence) Result() dispatch.Result {
	switch {
	case !e.NeverRan:
		return dispatch.ConnectionReset
	case e.CountsAgainstWorker:
		return dispatch.ConnectFailed
	default:
		return dispatch.NotSent
	}
}
