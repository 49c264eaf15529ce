package httpserver

import (
	"cmp"
	"errors"
	"net"
	"sync"
	"time"

	"golang.org/x/sys/unix"

	"github.com/topazfront/topazfront/internal/transport/http1"
	"github.com/topazfront/topazfront/internal/transport/listen"
	"github.com/topazfront/topazfront/internal/transport/socket"
)

// conn is a client's connection. It reads requests and, as the router.Client of its call, receives the final answer.
type conn struct {
	server  *Server
	netConn *socket.Conn

	parseMu  sync.Mutex // guards reader and arrivals; locked before the server's mutex
	reader   *http1.Reader
	arrivals arrivalTracker

	// The server's mutex guards the fields below.

	lastActivity time.Time // when the connection was accepted, its request began, or its last response was written

	// The request.
	requestStarted  bool   // a request has begun to arrive and is not complete
	requestInFlight bool   // a request is being handled, or its response is being written
	requestCount    uint64 // complete requests so far
	requestID       string // the connection's entry in the server's openIDs; empty: none
	cancel          func() // cancels the call in flight; nil: there is none
	inputBytes      int    // that the connection holds; see accountInput
	bodyBytes       int    // of these, the body of the request in flight

	// The response.
	responded          bool // a response has been written
	responding         bool // a response is being written, or the connection's last one has been written
	closeAfterResponse bool

	// The end of the connection; see close.go.
	rejectsFirstRequest bool      // accepted beyond the limit of connections
	discarding          bool      // further input is discarded; the connection ends with the next response
	leftInput           bool      // input came after the connection was closed, and was not served
	lingerUntil         time.Time // when the wait for the client to close the connection ends; zero: not waiting
	closed              bool      // no further input is served
	ended               bool      // onClosed has run
}

// newConn returns the connection that serves netConn, which it takes over. It reads nothing yet.
func (s *Server) newConn(netConn net.Conn) (*conn, error) {
	c := &conn{
		server:       s,
		reader:       http1.NewReader(s.cfg.Limits),
		lastActivity: time.Now(),
	}
	var err error
	if c.netConn, err = socket.New(netConn, c, s.cfg.WriteTimeout); err != nil {
		return nil, err
	}
	c.arrivals.lastRequest = s.currentArrival(c.netConn).last
	return c, nil
}

// disconnected reports whether the client has closed the connection. It also polls the socket, because the close may
// not have been read yet.
func (c *conn) disconnected() bool {
	c.server.mu.Lock()
	defer c.server.mu.Unlock()
	return c.closed || !c.netConn.IsActive() || closedByPeer(c.netConn.Fd())
}

// descriptor returns the descriptor of an active connection, or -1 if the connection is not active.
func descriptor(netConn *socket.Conn) int {
	if netConn.IsActive() {
		return netConn.Fd()
	}
	return -1
}

// readable reports whether a descriptor has unread input or is at the end of its stream.
func readable(fd int) bool { return poll(fd, unix.POLLIN)&unix.POLLIN != 0 }

// closedByPeer reports whether the peer of a socket has closed the connection, or the connection is broken.
func closedByPeer(fd int) bool {
	return poll(fd, unix.POLLRDHUP)&(unix.POLLRDHUP|unix.POLLHUP|unix.POLLERR) != 0
}

// poll calls listen.Poll and returns 0 on an error.
func poll(fd int, events int16) int16 {
	ready, _ := listen.Poll(fd, events)
	return ready
}

// Received implements socket.Handler. It passes the input to the request reader and serves complete requests.
func (c *conn) Received(input []byte) {
	defer c.recoverPanic()
	current := c.server.currentArrival(c.netConn)
	for len(input) > 0 {
		closed, discarding := c.inputState()
		if discarding {
			return
		}
		if closed { // onClosed responds to the input
			c.netConn.Close()
			return
		}
		n, err := c.addToReader(input, current)
		input = input[n:]
		if err != nil {
			c.abort() // too much input after a request in flight
			continue
		}
		c.serveNext()
	}
}

// inputState returns whether input is discarded, or the connection closed, so that input must not be served.
func (c *conn) inputState() (closed, discarding bool) {
	c.server.mu.Lock()
	defer c.server.mu.Unlock()
	c.leftInput = c.closed && !c.discarding
	return c.closed, c.discarding
}

// addToReader adds as much of the input as the request reader accepts and returns how much that is. current is what the
// system reported about the arrival of the input.
func (c *conn) addToReader(input []byte, current arrival) (n int, err error) {
	c.parseMu.Lock()
	defer c.parseMu.Unlock()
	c.arrivals.update(current)
	c.server.mu.Lock()
	followsRequest := c.requestInFlight
	c.server.mu.Unlock()
	n = min(len(input), max(c.reader.Available(), 1))
	c.arrivals.recordRead(n, followsRequest)
	return n, c.reader.Add(input[:n])
}

// serveNext serves the next request if it is complete and no other request is in flight. It rejects the connection if
// its input is not valid HTTP.
func (c *conn) serveNext() {
	m, arrived, err := c.nextRequest()
	switch {
	case err != nil && c.isRequestInFlight():
		c.abort() // too much input after a request in flight
	case err != nil:
		c.rejectConnection(statusOf(err), err.Error())
	case m != nil:
		c.serveRequest(m, arrived)
	}
}

func (c *conn) isRequestInFlight() bool {
	c.server.mu.Lock()
	defer c.server.mu.Unlock()
	return c.requestInFlight
}

// statusOf returns the status of the response to input for which the parser returned err.
func statusOf(err error) int {
	var httpErr *http1.Error
	if errors.As(err, &httpErr) {
		return httpErr.Status
	}
	return http1.StatusBadRequest
}

// nextRequest returns the next request and when its last byte arrived, and marks the request as in flight. m is nil if
// no request is complete or another one is in flight. Two goroutines may call it at the same time, one after writing a
// response and one after reading input; exactly one of them gets a request that arrives in the meantime.
func (c *conn) nextRequest() (m *http1.Message, arrived time.Time, err error) {
	c.parseMu.Lock()
	defer c.parseMu.Unlock()
	c.server.mu.Lock()
	defer c.server.mu.Unlock()
	if c.requestInFlight || c.closed {
		return nil, time.Time{}, c.accountInput(c.bodyBytes)
	}
	m, err = c.reader.Next()
	partial := c.reader.Partial()
	if m == nil {
		c.markRequestIncomplete(partial)
		return nil, time.Time{}, cmp.Or(err, c.accountInput(0))
	}
	if err := c.accountInput(len(m.Body)); err != nil {
		return nil, time.Time{}, err
	}
	c.requestStarted = false
	c.requestInFlight = true
	c.closeAfterResponse = m.Close
	c.requestCount++
	return m, c.arrivals.recordRequest(partial), nil
}

// markRequestIncomplete records that no complete request has arrived, and whether a part of one has. For requests after
// the first it starts the request timeout at the arrival of the first byte. The caller holds parseMu and the server's
// mutex.
func (c *conn) markRequestIncomplete(partial bool) {
	arrived := c.arrivals.recordIncompleteRequest()
	begins := partial && !c.requestStarted
	if begins && c.responded && arrived.After(c.lastActivity) {
		c.lastActivity = arrived
	}
	c.requestStarted = partial
}
