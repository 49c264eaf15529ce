package httpserver

import (
	"time"

	"github.com/cloudwego/netpoll"
	"golang.org/x/sys/unix"
)

// arrival is what the system tells of the bytes that a connection has received: they may have waited for this process, in
// the listener's backlog too.
type arrival struct {
	last     time.Time // when the last of them came
	bytes    uint64    // of them, whether they are read or not
	segments uint32    // in which they came
}

// currentArrival returns what the system tells now. Where it tells nothing, bytes count as coming when they are read.
func (s *Server) currentArrival(netConn netpoll.Connection) arrival {
	now := time.Now()
	if withFd, ok := netConn.(netpoll.Conn); ok {
		if info, err := unix.GetsockoptTCPInfo(withFd.Fd(), unix.IPPROTO_TCP, unix.TCP_INFO); err == nil {
			return newArrival(info, now, s.listeningSince)
		}
	}
	return arrival{last: now}
}

// newArrival converts the system's figures. An age by which something came before the server listened is not believed.
func newArrival(info *unix.TCPInfo, now, listeningSince time.Time) arrival {
	last := now.Add(-time.Duration(info.Last_data_recv) * time.Millisecond)
	if last.Before(listeningSince) {
		last = now
	}
	return arrival{last, info.Bytes_received, info.Data_segs_in}
}

// arrivalLog tells when the requests of a connection came, each by its last byte.
type arrivalLog struct {
	current      arrival
	newSegments  uint32    // since the arrival before the current one
	bytesRead    uint64    // of those received
	lastRequest  time.Time // when the last request came, or the connection, if there was none
	pendingSince time.Time // when the first bytes came that are read and belong to no request yet; zero: there are none
}

// update takes what the system tells ahead of the next bytes.
func (l *arrivalLog) update(a arrival) {
	if a != l.current {
		l.newSegments, l.current = a.segments-l.current.segments, a
	}
}

// bytesAdded records n bytes that were read. behindRequest tells that a request is in flight.
func (l *arrivalLog) bytesAdded(n int, behindRequest bool) {
	l.bytesRead += uint64(n)
	if behindRequest && l.pendingSince.IsZero() {
		l.pendingSince = l.current.last
	}
}

// requestRead returns when a request came that was just completed. followed tells that bytes behind it are read already.
//
// The system knows only when the last of all bytes came. Where bytes behind the request came in another segment, the
// request may have come long before them: it counts from the earliest time that is possible.
func (l *arrivalLog) requestRead(followed bool) time.Time {
	at := l.current.last
	switch {
	case (followed || l.current.bytes > l.bytesRead) && l.newSegments > 1:
		at = l.lastRequest
	case !l.pendingSince.IsZero():
		at = l.pendingSince
	}
	l.lastRequest = at
	if l.pendingSince = at; !followed {
		l.pendingSince = time.Time{}
	}
	return at
}

// requestIncomplete records that the last byte of the next request is still to come, while none is in flight. It returns
// when the bytes came that were read last.
func (l *arrivalLog) requestIncomplete() time.Time {
	l.pendingSince = time.Time{}
	return l.current.last
}
