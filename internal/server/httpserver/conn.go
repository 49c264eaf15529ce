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

// conn is one client's connection: the reader of its requests and the client of its call.
type conn struct {
	server  *Server
	netConn netpoll.Connection

	parseMu  sync.Mutex // guards reader and arrivals; locked before the server's lock
	reader   *http1.Reader
	arrivals arrivalLog

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

func (s *Server) newConn(netConn netpoll.Connection) *conn {
	c := &conn{server: s, netConn: netConn, lastActivity: time.Now(), reader: http1.NewReader(s.cfg.Limits)}
	c.arrivals.lastRequest = s.currentArrival(netConn).last
	return c
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
	current := c.server.currentArrival(c.netConn)
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
		if err := c.addToReader(r, n, current); err != nil {
			c.abort() // too much behind a request in flight: there is no place for another response
			continue
		}
		c.serveNext()
	}
}

// addToReader moves at most n received bytes to the reader of requests. current is what the system told of them.
func (c *conn) addToReader(received netpoll.Reader, n int, current arrival) error {
	c.parseMu.Lock()
	defer c.parseMu.Unlock()
	c.arrivals.update(current)
	c.server.mu.Lock()
	behindRequest := c.requestInFlight
	c.server.mu.Unlock()
	p, err := received.Next(min(n, max(c.reader.Available(), 1)))
	if err == nil {
		c.arrivals.bytesAdded(len(p), behindRequest)
		err = c.reader.Add(p)
	}
	_ = received.Release()
	return err
}

// serveNext serves the next request where none is in flight.
func (c *conn) serveNext() {
	m, arrived, err := c.nextRequest()
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

// nextRequest returns the next request, and when its last byte came, if one is complete and none is in flight, and nil
// otherwise. The returned one is in flight. What comes while another goroutine looks for a request is seen by one of the
// two.
func (c *conn) nextRequest() (m *http1.Message, arrived time.Time, err error) {
	c.parseMu.Lock()
	defer c.parseMu.Unlock()
	c.server.mu.Lock()
	idle := !c.requestInFlight && !c.closed
	c.server.mu.Unlock()
	if !idle {
		return nil, time.Time{}, nil
	}
	m, err = c.reader.Next()
	partial := c.reader.Partial()
	c.server.mu.Lock()
	defer c.server.mu.Unlock()
	if m != nil {
		c.requestStarted, c.requestInFlight, c.closeAfterResponse = false, true, m.Close
		c.requestCount++
		return m, c.arrivals.requestRead(partial), nil
	}
	begun := c.arrivals.requestIncomplete()
	if partial && !c.requestStarted && c.responded && begun.After(c.lastActivity) {
		c.lastActivity = begun
	}
	c.requestStarted = partial
	return nil, time.Time{}, err
}
