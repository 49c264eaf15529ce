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

// rawResponse reads the bytes of one response: its header as it came, and as much body as the header announces.
func (l *link) rawResponse() string {
	l.t.Helper()
	var raw strings.Builder
	for {
		line, err := l.in.ReadString('\n')
		raw.WriteString(line)
		if err != nil {
			l.t.Fatalf("%v after %q", err, raw.String())
		}
		if line == "\r\n" {
			break
		}
	}
	resp, err := http.ReadResponse(bufio.NewReader(strings.NewReader(raw.String())), nil)
	if err != nil {
		l.t.Fatal(err)
	}
	body := make([]byte, resp.ContentLength)
	if _, err := io.ReadFull(l.in, body); err != nil {
		l.t.Fatal(err)
	}
	return raw.String() + string(body)
}

// wantClosed fails the test unless the server closes the connection without a further byte.
func (l *link) wantClosed() {
	l.t.Helper()
	if rest, err := io.ReadAll(l.in); err != nil || len(rest) > 0 {
		l.t.Errorf("behind the response: %q, %v", rest, err)
	}
}

// TestGoldenResponses holds every byte of the responses to requests that were taken.
func TestGoldenResponses(t *testing.T) {
	for name, c := range map[string]struct{ request, want string }{
		"ping":              {"GET /ping HTTP/1.1\r\nHost: a\r\n\r\n", "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"},
		"served":            {request(served, "x\x00\r\ny"), "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\ndone x\x00\r\ny"},
		"served and closed": {request(served, "x", "Connection: close"), "HTTP/1.1 200 OK\r\nContent-Length: 6\r\nConnection: close\r\n\r\ndone x"},
		"rejected":          {request(refused, ""), "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\nX-Pushback-Ms: 70\r\n\r\n"},
		"failed":            {request(failed, ""), "HTTP/1.1 502 Bad Gateway\r\nContent-Length: 0\r\n\r\n"},
		"deadline exceeded": {request(failed, "", "X-Deadline-Ms: 0.001"), "HTTP/1.1 504 Gateway Timeout\r\nContent-Length: 0\r\n\r\n"},
	} {
		t.Run(name, func(t *testing.T) {
			f, _ := serve(t, nil)
			l := dial(t, f)
			l.write(c.request)
			if got := l.rawResponse(); got != c.want {
				t.Errorf("got  %q\nwant %q", got, c.want)
			}
		})
	}
}

// TestGoldenFinalAnswers holds every byte of the response to each final answer of the router.
func TestGoldenFinalAnswers(t *testing.T) {
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
			f, _ := serve(t, nil)
			l := dial(t, f)
			l.write(request(held, ""))
			open(t, f, 1)
			c1, resume := stopReading(t, f, l)
			resume()
			c1.Finish(c.answer)
			if got := l.rawResponse(); got != c.want {
				t.Errorf("got  %q\nwant %q", got, c.want)
			}
		})
	}
}

// TestGoldenBadRequests holds every byte of the responses to what can't be a call, and the close behind each.
func TestGoldenBadRequests(t *testing.T) {
	for name, c := range map[string]struct {
		request, status, reason string
	}{
		"unknown path":            {strings.Replace(request(served, ""), "/call HTTP", "/x HTTP", 1), "404 Not Found", "no such path"},
		"method":                  {strings.Replace(request(served, ""), "POST", "PUT", 1), "405 Method Not Allowed", "method is not POST"},
		"function":                {request("abc", ""), "404 Not Found", "path: the function is not 16 hex digits"},
		"class twice":             {request(served, "", "+X-Class: safe"), "400 Bad Request", "x-class: given twice"},
		"id twice":                {request(served, "", "+X-Correlation-Id: 1"), "400 Bad Request", "x-correlation-id: given twice"},
		"deadline twice":          {request(served, "", "+X-Deadline-Ms: 1"), "400 Bad Request", "x-deadline-ms: given twice"},
		"key twice":               {request(served, "", "+X-Operation-Key: a", "X-Operation-Key: a"), "400 Bad Request", "x-operation-key: given twice"},
		"estimate twice":          {request(served, "", "+X-Estimate-Ms: 1", "X-Estimate-Ms: 1"), "400 Bad Request", "x-estimate-ms: given twice"},
		"attributes twice":        {request(served, "", "+X-Attrs: lanes:1", "X-Attrs: lanes:1"), "400 Bad Request", "x-attrs: given twice"},
		"class":                   {request(served, "", "X-Class: odd"), "400 Bad Request", "x-class: not a class of the settings"},
		"id":                      {request(served, "", "X-Correlation-Id: 12"), "400 Bad Request", "x-correlation-id: not 16 hex digits"},
		"deadline":                {request(served, "", "X-Deadline-Ms: 0"), "400 Bad Request", "x-deadline-ms: not a usable figure"},
		"key":                     {request(served, "", "X-Class: keyed"), "400 Bad Request", "x-operation-key: missing or unusable"},
		"estimate":                {request(served, "", "X-Estimate-Ms: lots"), "400 Bad Request", "x-estimate-ms: not a usable figure"},
		"form of the attributes":  {request(served, "", "X-Attrs: lanes=5"), "400 Bad Request", "x-attrs: not name:value;name:value"},
		"value of an attribute":   {request(served, "", "X-Attrs: lanes:1025"), "400 Bad Request", "x-attrs: a figure that is not usable"},
		"seventeen attributes":    {request(served, "", "X-Attrs: "+strings.Repeat("a:1;", 17)), "400 Bad Request", "x-attrs: not name:value;name:value"},
		"first fault is named":    {request(served, "", "X-Class: odd", "X-Deadline-Ms: 0"), "400 Bad Request", "x-class: not a class of the settings"},
		"length and encoding":     {request(served, "0\r\n\r\n", "Transfer-Encoding: chunked"), "400 Bad Request", "http1: transfer-encoding with content-length, or in HTTP/1.0"},
		"length":                  {request(served, "", "Content-Length: -1"), "400 Bad Request", `http1: content-length "-1"`},
		"body beyond its limit":   {request(served, "", "Content-Length: 62914560"), "413 Content Too Large", "http1: body exceeds its limit"},
		"header beyond its limit": {"GET /" + strings.Repeat("x", 5<<10), "431 Request Header Fields Too Large", "http1: header exceeds its limit"},
		"version":                 {"GET / HTTP/9.9\r\nHost: a\r\n\r\n", "505 HTTP Version Not Supported", `http1: version "HTTP/9.9"`},
		"host":                    {"GET / HTTP/1.1\r\n\r\n", "400 Bad Request", "http1: host missing, repeated or unusable"},
		"no HTTP":                 {"\x16\x03\x01\x00\xff\r\n\r\n", "400 Bad Request", "http1: no method"},
	} {
		t.Run(name, func(t *testing.T) {
			f, _ := serve(t, nil)
			l := dial(t, f)
			l.write(c.request)
			want := fmt.Sprintf("HTTP/1.1 %s\r\nContent-Length: %d\r\nConnection: close\r\n\r\n%s\n", c.status, len(c.reason)+1, c.reason)
			if got := l.rawResponse(); got != want {
				t.Errorf("got  %q\nwant %q", got, want)
			}
			l.wantClosed()
			if s := f.Stats(); s.Bad != 1 || s.Open != 0 {
				t.Errorf("%+v", s)
			}
		})
	}
}

// TestGoldenOtherErrors holds every byte of the responses that depend on more than the request.
func TestGoldenOtherErrors(t *testing.T) {
	t.Run("request not complete in time", func(t *testing.T) {
		f, _ := serve(t, func(c *Config) { c.First = 50 * time.Millisecond })
		l := dial(t, f)
		l.write(request(served, "body")[:40])
		want := "HTTP/1.1 408 Request Timeout\r\nContent-Length: 25\r\nConnection: close\r\n\r\nno whole request in time\n"
		if got := l.rawResponse(); got != want {
			t.Errorf("got  %q\nwant %q", got, want)
		}
		l.wantClosed()
	})
	t.Run("id of an open request", func(t *testing.T) {
		f, _ := serve(t, nil)
		first, second := dial(t, f), dial(t, f)
		first.write(request(held, "", "X-Correlation-Id: 00000000000000ff"))
		open(t, f, 1)
		second.write(request(served, "", "X-Correlation-Id: 00000000000000ff"))
		want := "HTTP/1.1 409 Conflict\r\nContent-Length: 29\r\nConnection: close\r\n\r\na request of this id is open\n"
		if got := second.rawResponse(); got != want {
			t.Errorf("got  %q\nwant %q", got, want)
		}
		second.wantClosed()
	})
	t.Run("router stopped", func(t *testing.T) {
		f, u := serve(t, nil)
		u.r.Kill()
		l := dial(t, f)
		l.write(request(served, ""))
		want := "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n"
		if got := l.rawResponse(); got != want {
			t.Errorf("got  %q\nwant %q", got, want)
		}
	})
}
