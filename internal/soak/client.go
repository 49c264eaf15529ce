package soak

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/topazfront/topazfront/internal/invariants"
)

const (
	dialTimeout       = time.Second
	clientIdleTimeout = 4 * time.Second // after which clients close idle connections
	// crossedCloseWindow is the time within which a request on a reused connection has to fail to be sent again. Such
	// a failure is allowed: the router may have closed the connection while the request was on its way.
	crossedCloseWindow = 50 * time.Millisecond
	lateAnswerTimeout  = 3 * time.Second        // how long after its deadline a call waits for a late answer
	newConnPeriod      = 300 * time.Millisecond // how long after SIGTERM clients open new connections
)

// clientGroup represents all clients of one router. It keeps idle connections open for reuse.
type clientGroup struct {
	router  int
	address string
	records *invariants.Log
	slack   func() time.Duration // time by which the machine may have delayed a close

	mu              sync.Mutex
	idle            []*clientConn
	openConnsOnly   bool // no new connections, because the router is about to end
	paused          bool // no calls, because no router is running
	killed          bool // the router was killed without notice; its clients have to repeat the calls in flight
	wrongResponses  []string
	answersByStatus map[int]int
}

// clientConn is a connection to the router.
type clientConn struct {
	net.Conn
	reader     *bufio.Reader
	lastUsedAt time.Time
}

// call is one call of a client.
type call struct {
	id, class, function string
	deadline            time.Duration
	leaveAfter          time.Duration // until the client closes its connection; 0 means it waits for the answer
}

// sendCall sends a call and records its result.
func (c *clientGroup) sendCall(call call) {
	conn, reused := c.takeConnection()
	if conn == nil {
		return // there is no connection, so the router has accepted no call
	}
	sentAt := c.records.Now()
	c.records.Add(invariants.Record{Kind: invariants.CallSent, Call: call.id, Request: call.id, Class: call.class,
		Router: routerName(c.router), Deadline: sentAt + call.deadline})
	if call.leaveAfter > 0 {
		c.leaveEarly(conn, call)
		return
	}
	startedAt := time.Now()
	status, body, err := conn.exchange(call)
	crossed := err != nil && reused && time.Since(startedAt) <= crossedCloseWindow+c.slack()
	if crossed {
		_ = conn.Close()
		if conn = c.dial(); conn == nil {
			c.abandon(call)
			return
		}
		status, body, err = conn.exchange(call)
	}
	if err != nil {
		_ = conn.Close()
		if c.routerKilled() {
			c.abandon(call)
		}
		return // unless the router was killed, the missing answer violates rule 1
	}
	c.recordAnswer(call, status, body)
	c.release(conn)
}

// leaveEarly sends a call and closes the connection after call.leaveAfter without waiting for the answer.
func (c *clientGroup) leaveEarly(conn *clientConn, call call) {
	_, _ = io.WriteString(conn, call.request())
	time.Sleep(call.leaveAfter)
	c.abandon(call)
	_ = conn.Close()
}

// abandon records that no final answer to a call is required.
func (c *clientGroup) abandon(call call) {
	c.records.Add(invariants.Record{Kind: invariants.CallAbandoned, Call: call.id, Request: call.id, Class: call.class,
		Router: routerName(c.router)})
}

// recordAnswer records a final answer, and checks that a successful one has the worker's body for this call.
func (c *clientGroup) recordAnswer(call call, status int, body string) {
	answer := invariants.Failed
	switch status {
	case http.StatusOK:
		answer = invariants.Served
	case http.StatusTooManyRequests, http.StatusServiceUnavailable:
		answer = invariants.Rejected
	}
	c.records.Add(invariants.Record{Kind: invariants.FinalAnswer, Call: call.id, Request: call.id, Class: call.class,
		Router: routerName(c.router), Answer: answer})
	c.mu.Lock()
	defer c.mu.Unlock()
	c.answersByStatus[status]++
	if answer == invariants.Served && body != "done "+call.id {
		c.wrongResponses = append(c.wrongResponses, fmt.Sprintf("call %s was served with %.40q", call.id, body))
	}
}

// takeConnection returns an idle connection or a new one. It returns nil if neither is available.
func (c *clientGroup) takeConnection() (conn *clientConn, reused bool) {
	c.mu.Lock()
	if c.paused {
		c.mu.Unlock()
		return nil, false
	}
	for len(c.idle) > 0 {
		conn = c.idle[len(c.idle)-1]
		c.idle = c.idle[:len(c.idle)-1]
		if time.Since(conn.lastUsedAt) < clientIdleTimeout {
			c.mu.Unlock()
			return conn, true
		}
		_ = conn.Close()
	}
	openConnsOnly := c.openConnsOnly
	c.mu.Unlock()
	if openConnsOnly {
		return nil, false
	}
	return c.dial(), false
}

// dial returns a new connection, or nil if the router accepts none.
func (c *clientGroup) dial() *clientConn {
	conn, err := net.DialTimeout("tcp", c.address, dialTimeout)
	if err != nil {
		return nil
	}
	return &clientConn{Conn: conn, reader: bufio.NewReader(conn)}
}

// release keeps a connection open for further calls.
func (c *clientGroup) release(conn *clientConn) {
	conn.lastUsedAt = time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	if conn.reader.Buffered() > 0 {
		c.wrongResponses = append(c.wrongResponses, "bytes behind an answer")
	}
	c.idle = append(c.idle, conn)
}

// closeIdle closes all idle connections.
func (c *clientGroup) closeIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, conn := range c.idle {
		_ = conn.Close()
	}
	c.idle = nil
}

// setOpenConnsOnly sets whether calls may use only connections that are already open.
func (c *clientGroup) setOpenConnsOnly(openConnsOnly bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.openConnsOnly = openConnsOnly
}

// setPaused sets whether calls are suspended.
func (c *clientGroup) setPaused(paused bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.paused = paused
}

// setKilled sets whether the router was killed without notice, which also suspends calls.
func (c *clientGroup) setKilled(killed bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.killed = killed
	c.paused = killed
}

func (c *clientGroup) routerKilled() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.killed
}

// exchange sends a call and waits for the answer.
func (conn *clientConn) exchange(call call) (status int, body string, err error) {
	_ = conn.SetDeadline(time.Now().Add(call.deadline + lateAnswerTimeout))
	if _, err := io.WriteString(conn, call.request()); err != nil {
		return 0, "", err
	}
	response, err := http.ReadResponse(conn.reader, nil)
	if err != nil {
		return 0, "", err
	}
	raw, err := io.ReadAll(response.Body)
	return response.StatusCode, string(raw), err
}

// request returns the call's HTTP request.
func (call call) request() string {
	return fmt.Sprintf("POST /call/%s/call HTTP/1.1\r\nHost: a\r\nX-Class: %s\r\nX-Correlation-Id: %s\r\nX-Deadline-Ms: %d\r\n"+
		"X-Operation-Key: k%s\r\nX-Estimate-Ms: 8\r\nX-Attrs: memory_mb:512;lanes:4;load_ms:40\r\nContent-Length: %d\r\n\r\n%s",
		call.function, call.class, call.id, call.deadline.Milliseconds(), call.id, len(call.id), call.id)
}
