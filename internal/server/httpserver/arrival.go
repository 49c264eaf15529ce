package httpserver

import (
	"time"

	"github.com/cloudwego/netpoll"
	"golang.org/x/sys/unix"
)

// arrival is what the system reports of the bytes that a connection has received (TCP_INFO). They may have waited before this
// process reads them, in the socket or in the listener's backlog, and that wait counts against a request's deadline.
type arrival struct {
	last     time.Time // when the last byte arrived
	bytes    uint64    // received so far, read or not
	segments uint32    // received so far that carried data
}

// currentArrival returns what the system reports now. If it reports nothing, bytes count as arriving when they are read.
func (s *Server) currentArrival(netConn netpoll.Connection) arrival {
	now := time.Now()
	if withFd, ok := netConn.(netpoll.Conn); ok {
		if info, err := unix.GetsockoptTCPInfo(withFd.Fd(), unix.IPPROTO_TCP, unix.TCP_INFO); err == nil {
			return newArrival(info, now, s.listeningSince)
		}
	}
	return arrival{last: now}
}

// newArrival converts the system's figures. An arrival before the server listened is impossible and is replaced by now.
func newArrival(info *unix.TCPInfo, now, listeningSince time.Time) arrival {
	last := now.Add(-time.Duration(info.Last_data_recv) * time.Millisecond)
	if last.Before(listeningSince) {
		last = now
	}
	return arrival{last: last, bytes: info.Bytes_received, segments: info.Data_segs_in}
}

// arrivalLog estimates when each request of a connection arrived, by its last byte.
type arrivalLog struct {
	current      arrival
	newSegments  uint32    // between the previous arrival and the current one
	bytesRead    uint64    // so far
	lastRequest  time.Time // when the last request arrived; before the first, when the connection did
	pendingSince time.Time // when the oldest bytes arrived that were read behind a request; zero: there are none
}

// update records what the system reported before the next bytes are read.
func (l *arrivalLog) update(a arrival) {
	if a == l.current {
		return
	}
	l.newSegments = a.segments - l.current.segments
	l.current = a
}

// bytesAdded records that n bytes were read. behindRequest is true if a request is in flight.
func (l *arrivalLog) bytesAdded(n int, behindRequest bool) {
	l.bytesRead += uint64(n)
	if behindRequest && l.pendingSince.IsZero() {
		l.pendingSince = l.current.last
	}
}

// recordRequest records that a request was completed and returns when it arrived. followed is true if bytes behind it are
// read already.
//
// The system reports only when the last of all bytes arrived. If bytes behind the request came in another segment, the
// request may have arrived long before them. It then counts from the earliest possible time, so that its deadline is never
// extended.
func (l *arrivalLog) recordRequest(followed bool) (arrived time.Time) {
	moreReceived := followed || l.current.bytes > l.bytesRead
	switch {
	case moreReceived && l.newSegments > 1:
		arrived = l.lastRequest
	case !l.pendingSince.IsZero():
		arrived = l.pendingSince
	default:
		arrived = l.current.last
	}
	l.lastRequest = arrived
	l.pendingSince = time.Time{}
	if followed {
		l.pendingSince = arrived
	}
	return arrived
}

// recordIncompleteRequest records that the next request is not complete, while none is in flight. It returns when the bytes
// arrived that were read last.
func (l *arrivalLog) recordIncompleteRequest() time.Time {
	l.pendingSince = time.Time{}
	return l.current.last
}
