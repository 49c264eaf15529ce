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

// openClient is a client's connection and its reader.
type openClient struct {
	net.Conn
	reader *bufio.Reader
}

// newClientConn connects a client. It may be called from any goroutine: where it fails, what is done with the connection
// fails, too.
func newClientConn(t *testing.T, address string) *openClient {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Errorf("no new connection: %v", err)
		var other net.Conn
		conn, other = net.Pipe()
		_ = other.Close()
	}
	t.Cleanup(func() { _ = conn.Close() })
	_ = conn.SetDeadline(time.Now().Add(30 * time.Second))
	return &openClient{conn, bufio.NewReader(conn)}
}

// openClientConn connects a client whose connection has had a response.
func openClientConn(t *testing.T, address string) *openClient {
	t.Helper()
	c := newClientConn(t, address)
	_, _ = io.WriteString(c, "GET /ping HTTP/1.1\r\nHost: a\r\n\r\n")
	if status := c.readStatus(); status != http.StatusOK {
		t.Fatalf("ping: status %d", status)
	}
	return c
}

// callRequest is the HTTP request of a call. Further header lines may be given.
func callRequest(id, function, class string, deadline time.Duration, body string, header ...string) string {
	return fmt.Sprintf("POST /call/%s/call HTTP/1.1\r\nHost: a\r\nX-Class: %s\r\nX-Correlation-Id: %s\r\nX-Deadline-Ms: %d\r\n"+
		"X-Attrs: memory_mb:512\r\nContent-Length: %d\r\n%s\r\n%s", function, class, id, deadline.Milliseconds(), len(body),
		strings.Join(header, ""), body)
}

// callRequestWithKey is a call's request with an idempotency key.
func callRequestWithKey(id int, class string, deadline time.Duration) string {
	return callRequest(hexID(id), hexID(7), class, deadline, "body", fmt.Sprintf("X-Operation-Key: k%d\r\n", id))
}

// readStatus reads a whole response and returns its status, or 0 where the connection ends without one.
func (c *openClient) readStatus() int {
	resp, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		return 0
	}
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return 0
	}
	return resp.StatusCode
}

// closedByRouter reports whether the end of the connection has come. Nothing else is awaited on it.
func (c *openClient) closedByRouter() bool {
	_ = c.SetReadDeadline(time.Now().Add(time.Millisecond))
	_, err := c.reader.Peek(1)
	_ = c.SetReadDeadline(time.Now().Add(30 * time.Second))
	return err != nil && !os.IsTimeout(err)
}
