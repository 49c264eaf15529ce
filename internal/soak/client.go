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
	dialTimeout    = time.Second
	clientIdleTime = 4 * time.Second        // clients close connections that were idle for so long
	crossedClose   = 50 * time.Millisecond  // a request that crosses a close within this time is sent once more
	answerPatience = 3 * time.Second        // beyond the deadline, for an answer that is late
	newConnsUntil  = 300 * time.Millisecond // after SIGTERM
)

// client is all clients of one router. They keep connections open.
type client struct {
	router  int
	address string
	records *invariants.Log
	slack   func() time.Duration // by which the machine may have delayed a close

	mu       sync.Mutex
	idle     []*clientConn
	oldOnly  bool // no new connections: the router is about to end
	paused   bool // no calls: there is no router
	killed   bool // the router was killed without notice: its clients have to repeat what it held
	wrong    []string
	answered map[int]int // by status
}

// clientConn is one connection of a client.
type clientConn struct {
	net.Conn
	reader *bufio.Reader
	usedAt time.Time
}

// call is one call of a client.
type call struct {
	id, class, function string
	deadline            time.Duration
	leaveAfter          time.Duration // the client closes its connection then; 0: it waits for the answer
}

// make makes a call and records what comes of it.
func (c *client) make(call call) {
	conn, reused := c.takeConn()
	if conn == nil {
		return // nobody to send to: nothing was taken
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
	crossed := err != nil && reused && time.Since(startedAt) <= crossedClose+c.slack()
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
		return // else the judge finds that no answer is recorded
	}
	c.recordAnswer(call, status, body)
	c.release(conn)
}

// leaveEarly sends a call and closes the connection while it is under way.
func (c *client) leaveEarly(conn *clientConn, call call) {
	_, _ = io.WriteString(conn, call.request())
	time.Sleep(call.leaveAfter)
	c.abandon(call)
	_ = conn.Close()
}

// abandon records that no answer is due to a call.
func (c *client) abandon(call call) {
	c.records.Add(invariants.Record{Kind: invariants.CallAbandoned, Call: call.id, Request: call.id, Class: call.class,
		Router: routerName(c.router)})
}

// recordAnswer records a final answer. One that serves must be the worker's for this call.
func (c *client) recordAnswer(call call, status int, body string) {
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
	c.answered[status]++
	if answer == invariants.Served && body != "done "+call.id {
		c.wrong = append(c.wrong, fmt.Sprintf("call %s was served with %.40q", call.id, body))
	}
}

// takeConn returns an idle connection or a new one, nil if there is none to be had.
func (c *client) takeConn() (conn *clientConn, reused bool) {
	c.mu.Lock()
	if c.paused {
		c.mu.Unlock()
		return nil, false
	}
	for len(c.idle) > 0 {
		conn = c.idle[len(c.idle)-1]
		c.idle = c.idle[:len(c.idle)-1]
		if time.Since(conn.usedAt) < clientIdleTime {
			c.mu.Unlock()
			return conn, true
		}
		_ = conn.Close()
	}
	oldOnly := c.oldOnly
	c.mu.Unlock()
	if oldOnly {
		return nil, false
	}
	return c.dial(), false
}

// dial returns a new connection, nil if the router accepts none.
func (c *client) dial() *clientConn {
	conn, err := net.DialTimeout("tcp", c.address, dialTimeout)
	if err != nil {
		return nil
	}
	return &clientConn{Conn: conn, reader: bufio.NewReader(conn)}
}

// release keeps a connection for further calls.
func (c *client) release(conn *clientConn) {
	conn.usedAt = time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	if conn.reader.Buffered() > 0 {
		c.wrong = append(c.wrong, "bytes behind an answer")
	}
	c.idle = append(c.idle, conn)
}

// closeIdle closes all connections without a call.
func (c *client) closeIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, conn := range c.idle {
		_ = conn.Close()
	}
	c.idle = nil
}

// setOldOnly sets whether calls use open connections only.
func (c *client) setOldOnly(oldOnly bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.oldOnly = oldOnly
}

// setPaused sets whether no calls are made.
func (c *client) setPaused(paused bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.paused = paused
}

// setKilled sets whether the router was killed without notice. No calls are made then.
func (c *client) setKilled(killed bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.killed = killed
	c.paused = killed
}

func (c *client) routerKilled() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.killed
}

// exchange sends a call and waits for the answer.
func (conn *clientConn) exchange(call call) (status int, body string, err error) {
	_ = conn.SetDeadline(time.Now().Add(call.deadline + answerPatience))
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
