package httprouter

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"testing"
	"time"
)

// clientConn is a client's connection with a buffered reader.
type clientConn struct {
	net.Conn
	reader *bufio.Reader
}

// newClientConn connects a client. It may be called from any goroutine, so it doesn't use t.Fatal: on an error it
// returns a connection on which all operations fail.
func newClientConn(t *testing.T, address string) *clientConn {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Errorf("connecting a client: %v", err)
		var other net.Conn
		conn, other = net.Pipe()
		_ = other.Close()
	}
	t.Cleanup(func() { _ = conn.Close() })
	_ = conn.SetDeadline(time.Now().Add(30 * time.Second))
	return &clientConn{conn, bufio.NewReader(conn)}
}

// openClientConn connects a client and makes a first request, so that the server has sent a response on the connection.
func openClientConn(t *testing.T, address string) *clientConn {
	t.Helper()
	c := newClientConn(t, address)
	_, _ = io.WriteString(c, "GET /ping HTTP/1.1\r\nHost: a\r\n\r\n")
	if status := c.readStatus(); status != http.StatusOK {
		t.Fatalf("ping: status %d", status)
	}
	return c
}

// callRequest returns the HTTP request of a call. header holds additional complete header lines.
func callRequest(id, function, class string, deadline time.Duration, body string, header ...string) string {
	return fmt.Sprintf("POST /call/%s/call HTTP/1.1\r\nHost: a\r\nX-Class: %s\r\nX-Correlation-Id: %s\r\nX-Deadline-Ms: %d\r\n"+
		"X-Attrs: memory_mb:512\r\nContent-Length: %d\r\n%s\r\n%s", function, class, id, deadline.Milliseconds(), len(body),
		strings.Join(header, ""), body)
}

// callRequestWithKey returns the HTTP request of a call with an idempotency key.
func callRequestWithKey(id int, class string, deadline time.Duration) string {
	return callRequest(hexID(id), hexID(7), class, deadline, "body", fmt.Sprintf("X-Operation-Key: k%d\r\n", id))
}

// readStatus reads a complete response and returns its status, or 0 if the connection ends before that.
func (c *clientConn) readStatus() int {
	resp, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		return 0
	}
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return 0
	}
	return resp.StatusCode
}

// closedByRouter reports whether the router has closed the connection. It must not be called while a response is
// expected.
func (c *clientConn) closedByRouter() bool {
	_ = c.SetReadDeadline(time.Now().Add(time.Millisecond))
	_, err := c.reader.Peek(1)
	_ = c.SetReadDeadline(time.Now().Add(30 * time.Second))
	return err != nil && !os.IsTimeout(err)
}
