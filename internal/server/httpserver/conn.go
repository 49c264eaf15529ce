package httpserver

import (
	"errors"
	"sync"
	"time"

	"github.com/cloudwego/netpoll"
	"golang.org/x/sys/unix"

	"github.com/topazfront/topazfront/internal/transport/http1"
	"github.com/topazfront/topazfront/internal/transport/listen"
)

// maxDataAge bounds the time that bytes are believed to have waited to be read. Beyond it the system's figure is not
// believed.
const maxDataAge = time.Minute

// conn is one client's connection: the reader of its requests and the client of its call.
type conn struct {
	server  *Server
	netConn netpoll.Connection

	parseMu sync.Mutex // guards reader; locked before the server's lock
	reader  *http1.Reader

	// Under the server's lock.
	lastActivity       time.Time // when it was accepted, its request began, or its last response was written
	responded          bool      // it has had a response
	requestStarted     bool      // a request has begun and is not complete
	reading            bool      // what has come is being read
	requestInFlight    bool      // a request is being handled or its response written
	responding         bool      // a response is being written, or the last one was
	closeAfterResponse bool
	rejecting          bool      // there were too many connections: its first request is rejected
	discarding         bool      // what comes is discarded: the connection ends with the next response
	lingerUntil        time.Time // the last response was written, and the client may still be sending; zero: not so
	closed             bool      // nothing that comes is served any more
	ended              bool      // the event loop has given the connection up
	requestID          string    // in the server's openIDs; empty: none
	cancel             func()    // cancels the call in flight; nil: there is none
	requestCount       uint64    // so far
}

// disconnected reports whether the client has left. It looks at the socket too: the event loop may not have reported the
// close yet.
func (c *conn) disconnected() bool {
	c.server.mu.Lock()
	defer c.server.mu.Unlock()
	return c.closed || !c.netConn.IsActive() ||
		poll(descriptor(c.netConn), unix.POLLRDHUP)&(unix.POLLRDHUP|unix.POLLHUP|unix.POLLERR) != 0
}

// descriptor returns a connection's descriptor, or -1 where it has none.
func descriptor(netConn netpoll.Connection) int {
	if withFd, ok := netConn.(netpoll.Conn); ok && netConn.IsActive() {
		return withFd.Fd()
	}
	return -1
}

// openDescriptor returns the descriptor of a connection that is being closed, or -1 where it has none.
func openDescriptor(netConn netpoll.Connection) int {
	if withFd, ok := netConn.(netpoll.Conn); ok {
		return withFd.Fd()
	}
	return -1
}

// readable reports whether something waits to be read on a descriptor, the end of the stream included.
func readable(fd int) bool { return poll(fd, unix.POLLIN)&unix.POLLIN != 0 }

// poll is listen.Poll where an error means that nothing holds.
func poll(fd int, events int16) int16 {
	ready, _ := listen.Poll(fd, events)
	return ready
}

// onReadable reads what has come. netpoll runs it on one goroutine at a time.
func (c *conn) onReadable() {
	defer c.recoverPanic()
	defer func() {
		c.server.mu.Lock()
		c.reading = false
		c.server.mu.Unlock()
	}()
	r := c.netConn.Reader()
	arrived := arrivalTime(c.netConn)
	for n := r.Len(); n > 0; n = r.Len() {
		c.server.mu.Lock()
		closed, discarding := c.closed, c.discarding
		c.reading = true
		c.server.mu.Unlock()
		if discarding {
			_ = r.Skip(n)
			_ = r.Release()
			continue
		}
		if closed { // onClosed answers what has come
			_ = c.netConn.Close()
			return
		}
		if err := c.addToReader(r, n); err != nil {
			c.abort() // too much behind a request in flight: there is no place for another response
			continue
		}
		c.serveNext(arrived)
	}
}

// addToReader moves at most n received bytes to the reader of requests.
func (c *conn) addToReader(received netpoll.Reader, n int) error {
	c.parseMu.Lock()
	defer c.parseMu.Unlock()
	p, err := received.Next(min(n, max(c.reader.Available(), 1)))
	if err == nil {
		err = c.reader.Add(p)
	}
	_ = received.Release()
	return err
}

// arrivalTime returns when the last bytes came: they may have waited for this process, in the backlog too.
func arrivalTime(netConn netpoll.Connection) time.Time {
	now := time.Now()
	if withFd, ok := netConn.(netpoll.Conn); ok {
		if info, err := unix.GetsockoptTCPInfo(withFd.Fd(), unix.IPPROTO_TCP, unix.TCP_INFO); err == nil {
			if age := time.Duration(info.Last_data_recv) * time.Millisecond; age < maxDataAge {
				return now.Add(-age)
			}
		}
	}
	return now
}

// serveNext serves the next request where none is in flight. arrived is when its last byte came.
func (c *conn) serveNext(arrived time.Time) {
	m, err := c.nextRequest(arrived)
	switch {
	case err != nil:
		status := http1.StatusBadRequest
		var httpErr *http1.Error
		if errors.As(err, &httpErr) {
			status = httpErr.Status
		}
		c.rejectConnection(status, err.Error())
	case m != nil:
		c.serveRequest(m, arrived)
	}
}

// nextRequest returns the next request if one is complete and none is in flight, and nil otherwise. The returned one is
// in flight. What comes while another goroutine looks for a request is seen by one of the two.
func (c *conn) nextRequest(arrived time.Time) (*http1.Message, error) {
	c.parseMu.Lock()
	defer c.parseMu.Unlock()
	c.server.mu.Lock()
	idle := !c.requestInFlight && !c.closed
	c.server.mu.Unlock()
	if !idle {
		return nil, nil
	}
	m, err := c.reader.Next()
	partial := c.reader.Partial()
	c.server.mu.Lock()
	defer c.server.mu.Unlock()
	if m != nil {
		c.requestStarted, c.requestInFlight, c.closeAfterResponse = false, true, m.Close
		c.requestCount++
		return m, nil
	}
	if partial && !c.requestStarted && c.responded {
		c.lastActivity = arrived
	}
	c.requestStarted = partial
	return nil, err
}
