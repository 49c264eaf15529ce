package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"
)

// lateLimit is how long after its time a request may get its final answer before it is lost.
const lateLimit = 500 * time.Millisecond

// call is one request of a client and what became of it.
type call struct {
	id, class, function string
	deadline            time.Duration
	sentAt              time.Duration // on the record's clock
	answeredAt          time.Duration
	status              int // 0: no whole answer
}

// clients are the clients of one router.
type clients struct {
	record  *record
	router  *router
	sending sync.WaitGroup

	mu    sync.Mutex
	calls []*call
}

// newID returns 16 hex digits.
func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// message returns the request of a call.
func (c *call) message() string {
	key := ""
	if c.class == "renew" {
		key = "X-Operation-Key: " + newID() + newID() + "\r\n"
	}
	body := "work " + c.id
	return fmt.Sprintf("POST /call/%s/call HTTP/1.1\r\nHost: service.internal\r\nX-Class: %s\r\nX-Correlation-Id: %s\r\n"+
		"X-Deadline-Ms: %d\r\nX-Estimate-Ms: 100\r\nX-Attrs: memory_mb:512;lanes:2;load_ms:500\r\n%sContent-Length: %d\r\n\r\n%s",
		c.function, c.class, c.id, c.deadline.Milliseconds(), key, len(body), body)
}

// send sends calls at the same time, each on a connection of its own that is already open, and follows them in the
// background.
func (c *clients) send(calls ...*call) {
	var conns []net.Conn
	for range calls {
		conn, err := net.DialTimeout("tcp", c.router.address, time.Second)
		if err != nil {
			c.record.add("client of %s can't connect: %v", c.router.name, err)
			return
		}
		conns = append(conns, conn)
	}
	for i, call := range calls {
		call.sentAt = c.record.now()
		c.record.add("client sends %s to %s: %s %s deadline=%v", call.id, c.router.name, call.class, call.function, call.deadline)
		if _, err := io.WriteString(conns[i], call.message()); err != nil {
			conns[i].Close()
			continue
		}
		c.mu.Lock()
		c.calls = append(c.calls, call)
		c.mu.Unlock()
		c.sending.Add(1)
		go func() {
			defer c.sending.Done()
			c.follow(call, conns[i])
		}()
	}
}

// follow waits for the answer to a call, until it counts as lost.
func (c *clients) follow(call *call, conn net.Conn) {
	defer conn.Close()
	conn.SetReadDeadline(time.Now().Add(call.deadline + lateLimit + 100*time.Millisecond))
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err == nil {
		_, err = io.ReadAll(response.Body)
		response.Body.Close()
	}
	if err != nil {
		c.record.add("client has no answer to %s: %v", call.id, err)
		return
	}
	call.answeredAt = c.record.now()
	call.status = response.StatusCode
	c.record.add("client gets %d for %s after %v", call.status, call.id, (call.answeredAt - call.sentAt).Round(time.Millisecond))
}

// reportLost records the calls without a final answer in time and reports whether there are any.
func (c *clients) reportLost() bool {
	lost := 0
	for _, call := range c.calls {
		if call.status == 0 || call.answeredAt > call.sentAt+call.deadline+lateLimit {
			lost++
			c.record.add("lost: %s, sent at %.3f", call.id, call.sentAt.Seconds())
		}
	}
	c.record.add("%d calls to %s, %d lost", len(c.calls), c.router.name, lost)
	return lost > 0
}
