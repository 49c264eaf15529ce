package main

import (
	"bufio"
	"crypto/rand"
	"encoding/hex"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// call is a request of a client and its final answer.
type call struct {
	id, class, function, key string
	deadline                 time.Duration
	sent                     time.Duration // when its last byte was written
	answered                 time.Duration // when the answer had come whole; 0: none came
	status                   int
	body                     string
	err                      error
}

// clients sends requests to one router, one at a time on each connection.
type clients struct {
	addr string
	rec  *record
	mu   sync.Mutex
	idle []*clientConn
	all  []*call
	wg   sync.WaitGroup
}

type clientConn struct {
	net.Conn
	in     *bufio.Reader
	idleAt time.Time
}

func randomHex(n int) string {
	raw := make([]byte, n/2)
	_, _ = rand.Read(raw)
	return hex.EncodeToString(raw)
}

// conn returns an open connection that has rested for less than 4 s, or a new one.
func (c *clients) conn() (*clientConn, error) {
	c.mu.Lock()
	for len(c.idle) > 0 {
		last := c.idle[len(c.idle)-1]
		c.idle = c.idle[:len(c.idle)-1]
		if time.Since(last.idleAt) < 3500*time.Millisecond {
			c.mu.Unlock()
			return last, nil
		}
		_ = last.Close()
	}
	c.mu.Unlock()
	conn, err := net.DialTimeout("tcp", c.addr, time.Second)
	if err != nil {
		return nil, err
	}
	return &clientConn{Conn: conn, in: bufio.NewReader(conn)}, nil
}

// call makes one request and waits for its answer.
func (c *clients) call(class, function string, deadline time.Duration, attrs string) *call {
	k := &call{id: randomHex(16), class: class, function: function, key: randomHex(32), deadline: deadline}
	c.mu.Lock()
	c.all = append(c.all, k)
	c.mu.Unlock()
	conn, err := c.conn()
	if err != nil {
		k.err = err
		c.rec.add("client: call %s not sent: %v", k.id, err)
		return k
	}
	body := "body " + k.id
	request := fmt.Sprintf("POST /call/%s/call HTTP/1.1\r\nHost: service.internal\r\nX-Class: %s\r\nX-Correlation-Id: %s\r\n"+
		"X-Deadline-Ms: %d\r\nX-Operation-Key: %s\r\nX-Estimate-Ms: 60\r\nX-Attrs: %s\r\nContent-Length: %d\r\n\r\n%s",
		function, class, k.id, deadline.Milliseconds(), k.key, attrs, len(body), body)
	_, err = io.WriteString(conn, request)
	k.sent = c.rec.now()
	if err == nil {
		_ = conn.SetReadDeadline(time.Now().Add(deadline + time.Second))
		var response *http.Response
		if response, err = http.ReadResponse(conn.in, nil); err == nil {
			var raw []byte
			raw, err = io.ReadAll(response.Body)
			k.status, k.body = response.StatusCode, string(raw)
			if err == nil && !response.Close {
				c.mu.Lock()
				conn.idleAt = time.Now()
				c.idle = append(c.idle, conn)
				c.mu.Unlock()
				conn = nil
			}
		}
	}
	if conn != nil {
		_ = conn.Close()
	}
	k.err = err
	if err == nil {
		k.answered = c.rec.now()
	}
	c.rec.add("client: call %s class=%s key=%s to %s sent at %.4f, status=%d err=%v body=%.40q",
		k.id, class, k.key, c.addr, k.sent.Seconds(), k.status, err, strings.TrimSpace(k.body))
	return k
}

// start makes one request in the background.
func (c *clients) start(class, function string, deadline time.Duration, attrs string) {
	c.wg.Add(1)
	go func() {
		defer c.wg.Done()
		c.call(class, function, deadline, attrs)
	}()
}

func (c *clients) calls() []*call {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]*call(nil), c.all...)
}

// recordServed records how many calls were served.
func recordServed(rec *record, groups []*clients) {
	served, all := 0, 0
	for _, group := range groups {
		for _, k := range group.calls() {
			all++
			if k.status == http.StatusOK {
				served++
			}
		}
	}
	rec.add("%d of %d calls were served", served, all)
}
