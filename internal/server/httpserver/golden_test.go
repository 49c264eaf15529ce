package httpserver

import (
	"bufio"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/topazfront/topazfront/dispatch"
	"github.com/topazfront/topazfront/internal/router"
)

// readRawResponse reads and returns the bytes of one response: its head unchanged, and the body by its Content-Length.
func (c *client) readRawResponse() string {
	c.t.Helper()
	var raw strings.Builder
	for {
		line, err := c.reader.ReadString('\n')
		raw.WriteString(line)
		if err != nil {
			c.t.Fatalf("%v after %q", err, raw.String())
		}
		if line == "\r\n" {
			break
		}
	}
	resp, err := http.ReadResponse(bufio.NewReader(strings.NewReader(raw.String())), nil)
	if err != nil {
		c.t.Fatal(err)
	}
	body := make([]byte, resp.ContentLength)
	if _, err := io.ReadFull(c.reader, body); err != nil {
		c.t.Fatal(err)
	}
	return raw.String() + string(body)
}

// expectClosed fails the test unless the server closes the connection without sending further bytes.
func (c *client) expectClosed() {
	c.t.Helper()
	if rest, err := io.ReadAll(c.reader); err != nil || len(rest) > 0 {
		c.t.Errorf("after the response: %q, %v", rest, err)
	}
}

// TestGoldenResponses compares every byte of the responses to accepted requests.
func TestGoldenResponses(t *testing.T) {
	for name, c := range map[string]struct{ request, want string }{
		"ping":              {pingRequest, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"},
		"served":            {newRequest(servedFunction, "x\x00\r\ny"), "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\ndone x\x00\r\ny"},
		"served and closed": {newRequest(servedFunction, "x", "Connection: close"), "HTTP/1.1 200 OK\r\nContent-Length: 6\r\nConnection: close\r\n\r\ndone x"},
		"rejected":          {newRequest(rejectedFunction, ""), "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\nX-Pushback-Ms: 70\r\n\r\n"},
		"failed":            {newRequest(failedFunction, ""), "HTTP/1.1 502 Bad Gateway\r\nContent-Length: 0\r\n\r\n"},
		"deadline exceeded": {newRequest(failedFunction, "", "X-Deadline-Ms: 0.001"), "HTTP/1.1 504 Gateway Timeout\r\nContent-Length: 0\r\n\r\n"},
	} {
		t.Run(name, func(t *testing.T) {
			s, _ := startServer(t, nil)
			cl := dial(t, s)
			cl.send(c.request)
			if got := cl.readRawResponse(); got != c.want {
				t.Errorf("got  %q\nwant %q", got, c.want)
			}
		})
	}
}

// TestGoldenResponsesToFinalAnswers compares every byte of the response to each final answer of the router.
func TestGoldenResponsesToFinalAnswers(t *testing.T) {
	const (
		badGateway  = "HTTP/1.1 502 Bad Gateway\r\nContent-Length: 0\r\n\r\n"
		unavailable = "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n"
	)
	for name, c := range map[string]struct {
		answer router.FinalAnswer
		want   string
	}{
		"answered": {router.FinalAnswer{Kind: router.FinalAnswered, Attempt: &router.AttemptResult{Result: dispatch.OK, Body: []byte("body")}},
			"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody"},
		"answered, nothing in it": {router.FinalAnswer{Kind: router.FinalAnswered, Attempt: &router.AttemptResult{Result: dispatch.OK}},
			"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"},
		"answered, not OK": {router.FinalAnswer{Kind: router.FinalAnswered, Attempt: &router.AttemptResult{Result: dispatch.Errored, Body: []byte("body")}},
			badGateway},
		"answered, no attempt":       {router.FinalAnswer{Kind: router.FinalAnswered}, badGateway},
		"rejected":                   {router.FinalAnswer{Kind: router.FinalRejected}, unavailable},
		"rejected, retry after 1 ns": {router.FinalAnswer{Kind: router.FinalRejected, RetryAfter: 1}, unavailable},
		"rejected, retry after 2.7 s": {router.FinalAnswer{Kind: router.FinalRejected, RetryAfter: 2700 * time.Millisecond},
			"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\nX-Pushback-Ms: 2700\r\n\r\n"},
		"failed": {router.FinalAnswer{Kind: router.FinalFailed}, badGateway},
		"failed with an attempt": {router.FinalAnswer{Kind: router.FinalFailed, Attempt: &router.AttemptResult{Result: dispatch.OK, Body: []byte("body")}},
			badGateway},
		"deadline exceeded": {router.FinalAnswer{Kind: router.FinalFailed, DeadlineExceeded: true},
			"HTTP/1.1 504 Gateway Timeout\r\nContent-Length: 0\r\n\r\n"},
	} {
		t.Run(name, func(t *testing.T) {
			s, _ := startServer(t, nil)
			cl := dial(t, s)
			cl.send(newRequest(pendingFunction, ""))
			waitForOpenRequests(t, s, 1)
			serverSide(t, s, cl).Finish(c.answer)
			if got := cl.readRawResponse(); got != c.want {
				t.Errorf("got  %q\nwant %q", got, c.want)
			}
		})
	}
}

// TestGoldenBadRequests compares every byte of the responses to invalid requests, and checks the close after each.
func TestGoldenBadRequests(t *testing.T) {
	for name, c := range map[string]struct {
		request, status, reason string
	}{
		"unknown path":            {strings.Replace(newRequest(servedFunction, ""), "/call HTTP", "/x HTTP", 1), "404 Not Found", "no such path"},
		"method":                  {strings.Replace(newRequest(servedFunction, ""), "POST", "PUT", 1), "405 Method Not Allowed", "method is not POST"},
		"function":                {newRequest("abc", ""), "404 Not Found", "path: the function is not 16 hex digits"},
		"class twice":             {newRequest(servedFunction, "", "+X-Class: safe"), "400 Bad Request", "x-class: given twice"},
		"id twice":                {newRequest(servedFunction, "", "+X-Correlation-Id: 1"), "400 Bad Request", "x-correlation-id: given twice"},
		"deadline twice":          {newRequest(servedFunction, "", "+X-Deadline-Ms: 1"), "400 Bad Request", "x-deadline-ms: given twice"},
		"key twice":               {newRequest(servedFunction, "", "+X-Operation-Key: a", "X-Operation-Key: a"), "400 Bad Request", "x-operation-key: given twice"},
		"estimate twice":          {newRequest(servedFunction, "", "+X-Estimate-Ms: 1", "X-Estimate-Ms: 1"), "400 Bad Request", "x-estimate-ms: given twice"},
		"attributes twice":        {newRequest(servedFunction, "", "+X-Attrs: lanes:1", "X-Attrs: lanes:1"), "400 Bad Request", "x-attrs: given twice"},
		"class":                   {newRequest(servedFunction, "", "X-Class: odd"), "400 Bad Request", "x-class: not a class of the settings"},
		"id":                      {newRequest(servedFunction, "", "X-Correlation-Id: 12"), "400 Bad Request", "x-correlation-id: not 16 hex digits"},
		"deadline":                {newRequest(servedFunction, "", "X-Deadline-Ms: 0"), "400 Bad Request", "x-deadline-ms: not a usable figure"},
		"key":                     {newRequest(servedFunction, "", "X-Class: keyed"), "400 Bad Request", "x-operation-key: missing or unusable"},
		"estimate":                {newRequest(servedFunction, "", "X-Estimate-Ms: lots"), "400 Bad Request", "x-estimate-ms: not a usable figure"},
		"form of the attributes":  {newRequest(servedFunction, "", "X-Attrs: lanes=5"), "400 Bad Request", "x-attrs: not name:value;name:value"},
		"value of an attribute":   {newRequest(servedFunction, "", "X-Attrs: lanes:1025"), "400 Bad Request", "x-attrs: a figure that is not usable"},
		"seventeen attributes":    {newRequest(servedFunction, "", "X-Attrs: "+strings.Repeat("a:1;", 17)), "400 Bad Request", "x-attrs: not name:value;name:value"},
		"first fault is named":    {newRequest(servedFunction, "", "X-Class: odd", "X-Deadline-Ms: 0"), "400 Bad Request", "x-class: not a class of the settings"},
		"length and encoding":     {newRequest(servedFunction, "0\r\n\r\n", "Transfer-Encoding: chunked"), "400 Bad Request", "http1: transfer-encoding with content-length, or in HTTP/1.0"},
		"length":                  {newRequest(servedFunction, "", "Content-Length: -1"), "400 Bad Request", `http1: content-length "-1"`},
		"body beyond its limit":   {newRequest(servedFunction, "", "Content-Length: 62914560"), "413 Content Too Large", "http1: body exceeds its limit"},
		"header beyond its limit": {"GET /" + strings.Repeat("x", 5<<10), "431 Request Header Fields Too Large", "http1: header exceeds its limit"},
		"version":                 {"GET / HTTP/9.9\r\nHost: a\r\n\r\n", "505 HTTP Version Not Supported", `http1: version "HTTP/9.9"`},
		"host":                    {"GET / HTTP/1.1\r\n\r\n", "400 Bad Request", "http1: host missing, repeated or unusable"},
		"no HTTP":                 {"\x16\x03\x01\x00\xff\r\n\r\n", "400 Bad Request", "http1: no method"},
	} {
		t.Run(name, func(t *testing.T) {
			s, _ := startServer(t, nil)
			cl := dial(t, s)
			cl.send(c.request)
			want := fmt.Sprintf("HTTP/1.1 %s\r\nContent-Length: %d\r\nConnection: close\r\n\r\n%s\n", c.status, len(c.reason)+1, c.reason)
			if got := cl.readRawResponse(); got != want {
				t.Errorf("got  %q\nwant %q", got, want)
			}
			cl.expectClosed()
			if stats := s.Stats(); stats.BadRequests != 1 || stats.OpenRequests != 0 {
				t.Errorf("%+v", stats)
			}
		})
	}
}

// TestGoldenOtherErrors compares every byte of the error responses that depend on more than the request.
func TestGoldenOtherErrors(t *testing.T) {
	t.Run("request not complete in time", func(t *testing.T) {
		s, _ := startServer(t, func(c *Config) { c.RequestTimeout = 50 * time.Millisecond })
		cl := dial(t, s)
		cl.send(newRequest(servedFunction, "body")[:40])
		want := "HTTP/1.1 408 Request Timeout\r\nContent-Length: 25\r\nConnection: close\r\n\r\nno whole request in time\n"
		if got := cl.readRawResponse(); got != want {
			t.Errorf("got  %q\nwant %q", got, want)
		}
		cl.expectClosed()
	})
	t.Run("id of an open request", func(t *testing.T) {
		s, _ := startServer(t, nil)
		first, second := dial(t, s), dial(t, s)
		first.send(newRequest(pendingFunction, "", "X-Correlation-Id: 00000000000000ff"))
		waitForOpenRequests(t, s, 1)
		second.send(newRequest(servedFunction, "", "X-Correlation-Id: 00000000000000ff"))
		want := "HTTP/1.1 409 Conflict\r\nContent-Length: 29\r\nConnection: close\r\n\r\na request of this id is open\n"
		if got := second.readRawResponse(); got != want {
			t.Errorf("got  %q\nwant %q", got, want)
		}
		second.expectClosed()
	})
	t.Run("router stopped", func(t *testing.T) {
		s, upstream := startServer(t, nil)
		upstream.router.Kill()
		cl := dial(t, s)
		cl.send(newRequest(servedFunction, ""))
		want := "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n"
		if got := cl.readRawResponse(); got != want {
			t.Errorf("got  %q\nwant %q", got, want)
		}
	})
}
