package httpserver

import (
	"time"

	"golang.org/x/sys/unix"

	"github.com/topazfront/topazfront/internal/transport/socket"
)

// arrival holds what the operating system reports about the bytes that a connection has received (TCP_INFO). The bytes
// may wait in the socket or in the listener's backlog before this process reads them, and that time counts against a
// request's deadline.
type arrival struct {
	last     time.Time // when the last byte arrived
	bytes    uint64    // received so far, read or unread
	segments uint32    // data segments received so far
}

// currentArrival returns what the system reports now. If it reports nothing, the arrival time is the current time.
func (s *Server) currentArrival(netConn *socket.Conn) arrival {
	now := time.Now()
	info, err := unix.GetsockoptTCPInfo(netConn.Fd(), unix.IPPROTO_TCP, unix.TCP_INFO)
	if err != nil {
		return arrival{last: now}
	}
	return newArrival(info, now, s.listeningSince)
}

// newArrival converts the system's report. An arrival time before the server started to listen is impossible;
// newArrival replaces it with the current time.
func newArrival(info *unix.TCPInfo, now, listeningSince time.Time) arrival {
	last := now.Add(-time.Duration(info.Last_data_recv) * time.Millisecond)
	if last.Before(listeningSince) {
		last = now
	}
	return arrival{last: last, bytes: info.Bytes_received, segments: info.Data_segs_in}
}

// arrivalTracker estimates when the last byte of each request of a connection arrived.
type arrivalTracker struct {
	current      arrival
	newSegments  uint32    // data segments received between the previous report and the current one
	bytesRead    uint64    // so far
	lastRequest  time.Time // when the last request arrived; before the first request, when the connection was accepted
	pendingSince time.Time // arrival of the oldest bytes that were read after a request; zero: there are none
}

// update records the system's report before the next bytes are read.
func (t *arrivalTracker) update(a arrival) {
	if a == t.current {
		return
	}
	t.newSegments = a.segments - t.current.segments
	t.current = a
}

// recordRead records that n bytes were read. followsRequest tells whether they follow a request that is in flight.
func (t *arrivalTracker) recordRead(n int, followsRequest bool) {
	t.bytesRead += uint64(n)
	if followsRequest && t.pendingSince.IsZero() {
		t.pendingSince = t.current.last
	}
}

// recordRequest records that a complete request was read and returns when it arrived. followed tells whether bytes
// after the request have been read, too.
//
// The system reports only when the last of all received bytes arrived. If bytes after the request came in another
// segment, the request may have arrived long before them. recordRequest then returns the earliest possible time, so
// that the request's deadline is never extended.
func (t *arrivalTracker) recordRequest(followed bool) (arrived time.Time) {
	moreReceived := followed || t.current.bytes > t.bytesRead
	switch {
	case moreReceived && t.newSegments > 1:
		arrived = t.lastRequest
	case !t.pendingSince.IsZero():
		arrived = t.pendingSince
	default:
		arrived = t.current.last
	}
	t.lastRequest = arrived
	t.pendingSince = time.Time{}
	if followed {
		t.pendingSince = arrived
	}
	return arrived
}

// recordIncompleteRequest records that the next request is not complete and that none is in flight. It returns when the
// bytes that were read last arrived.
func (t *arrivalTracker) recordIncompleteRequest() time.Time {
	t.pendingSince = time.Time{}
	return t.current.last
}
