package httpserver

import (
	"fmt"
	"io"
	"net"
	"strings"
	"testing"

	"github.com/topazfront/topazfront/internal/testsupport"
)

func TestResponses(t *testing.T) {
	s, upstream := startServer(t, nil)
	cl := dial(t, s)
	cl.send(pingRequest)
	cl.expectStatus(200)
	cl.send(newRequest(servedFunction, "x\x00\r\ny", "X-Attrs: memory_mb:512;lanes:2;load_ms:640", "X-Estimate-Ms: 8.2"))
	if r := cl.readResponse(); r.status != 200 || r.body != "done x\x00\r\ny" || r.closing {
		t.Errorf("served: %+v", r)
	}
	cl.send(newRequest(rejectedFunction, ""))
	if r := cl.readResponse(); r.status != 503 || r.header.Get("X-Pushback-Ms") != "70" || r.closing {
		t.Errorf("rejected: %+v", r)
	}
	cl.send(newRequest(failedFunction, ""))
	if r := cl.readResponse(); r.status != 502 || r.header.Get("X-Pushback-Ms") != "" {
		t.Errorf("failed: %+v", r)
	}
	cl.send(newRequest(servedFunction, "z", "X-Class: keyed", "X-Operation-Key: 5c0f6e1a2b3d4c59a8b7c6d5e4f30211"))
	cl.expectStatus(200)
	upstream.mu.Lock()
	defer upstream.mu.Unlock()
	last := upstream.requests[len(upstream.requests)-1]
	if last.IdempotencyKey != "5c0f6e1a2b3d4c59a8b7c6d5e4f30211" || last.Class != "keyed" || string(last.Body) != "z" {
		t.Errorf("forwarded: %+v", last)
	}
}

// TestInvalidRequestIsNotForwarded checks that an invalid request gets an error response, that the server then closes
// the connection, and that no part of the request reaches a worker.
func TestInvalidRequestIsNotForwarded(t *testing.T) {
	s, upstream := startServer(t, nil)
	for name, c := range map[string]struct {
		input  string
		status int
	}{
		"unknown class":       {newRequest(servedFunction, "", "X-Class: odd"), 400},
		"no class":            {newRequest(servedFunction, "", "-X-Class"), 400},
		"no id":               {newRequest(servedFunction, "", "-X-Correlation-Id"), 400},
		"short id":            {newRequest(servedFunction, "", "X-Correlation-Id: 12"), 400},
		"id that is no hex":   {newRequest(servedFunction, "", "X-Correlation-Id: zzzzzzzzzzzzzzzz"), 400},
		"two ids":             {newRequest(servedFunction, "", "+X-Correlation-Id: 0000000000000000"), 400},
		"no deadline":         {newRequest(servedFunction, "", "-X-Deadline-Ms"), 400},
		"deadline 0":          {newRequest(servedFunction, "", "X-Deadline-Ms: 0"), 400},
		"negative deadline":   {newRequest(servedFunction, "", "X-Deadline-Ms: -5"), 400},
		"deadline NaN":        {newRequest(servedFunction, "", "X-Deadline-Ms: NaN"), 400},
		"deadline Inf":        {newRequest(servedFunction, "", "X-Deadline-Ms: Inf"), 400},
		"deadline 1e9":        {newRequest(servedFunction, "", "X-Deadline-Ms: 1e9"), 400},
		"deadline in years":   {newRequest(servedFunction, "", "X-Deadline-Ms: 99999999999"), 400},
		"two points":          {newRequest(servedFunction, "", "X-Deadline-Ms: 1.2.3"), 400},
		"odd estimate":        {newRequest(servedFunction, "", "X-Estimate-Ms: lots"), 400},
		"huge estimate":       {newRequest(servedFunction, "", "X-Estimate-Ms: 99999999999"), 400},
		"odd attrs":           {newRequest(servedFunction, "", "X-Attrs: memory_mb=5"), 400},
		"negative memory":     {newRequest(servedFunction, "", "X-Attrs: memory_mb:-5"), 400},
		"lanes beyond all":    {newRequest(servedFunction, "", "X-Attrs: lanes:99999"), 400},
		"attrs without end":   {newRequest(servedFunction, "", "X-Attrs: "+strings.Repeat("a:1;", 40)), 400},
		"keyed without key":   {newRequest(servedFunction, "", "X-Class: keyed"), 400},
		"key of two fields":   {newRequest(servedFunction, "", "X-Class: keyed", "X-Operation-Key: a,item=b"), 400},
		"short function":      {newRequest("abc", ""), 404},
		"function not hex":    {newRequest("ABCDEFABCDEFABCD", ""), 404},
		"another path":        {strings.Replace(newRequest(servedFunction, ""), "/call HTTP", "/x HTTP", 1), 404},
		"another method":      {strings.Replace(newRequest(servedFunction, ""), "POST", "PUT", 1), 405},
		"length and encoding": {newRequest(servedFunction, "0\r\n\r\n", "Transfer-Encoding: chunked"), 400},
		"60 MB":               {newRequest(servedFunction, "", "Content-Length: 62914560"), 413},
		"negative length":     {newRequest(servedFunction, "", "Content-Length: -1"), 400},
		"noise":               {"\x16\x03\x01\x00\xff\r\n\r\n", 400},
	} {
		t.Run(name, func(t *testing.T) {
			cl := dial(t, s)
			cl.send(c.input)
			if r := cl.readResponse(); r.status != c.status || !r.closing {
				t.Errorf("status %d, want %d; closes %v", r.status, c.status, r.closing)
			}
			cl.waitUntilClosed()
		})
	}
	upstream.expectForwarded(t, 0)
}

// TestDuplicateIDIsRejectedWhileOpen checks that a request with the ID of an open one is rejected, also if its body
// differs, and that the ID may be used again after the client of the first request has disconnected.
func TestDuplicateIDIsRejectedWhileOpen(t *testing.T) {
	s, _ := startServer(t, nil)
	first, second := dial(t, s), dial(t, s)
	id := "X-Correlation-Id: " + newID()
	first.send(newRequest(pendingFunction, "one", id))
	waitForOpenRequests(t, s, 1)
	second.send(newRequest(servedFunction, "two", id))
	second.expectStatus(409)
	_ = first.netConn.Close()
	waitForOpenRequests(t, s, 0)
	third := dial(t, s)
	third.send(newRequest(servedFunction, "three", id))
	third.expectServed("done three")
}

// TestPipelinedRequests checks that pipelined requests are answered in order, each once.
func TestPipelinedRequests(t *testing.T) {
	s, upstream := startServer(t, nil)
	cl := dial(t, s)
	var requests strings.Builder
	for i := range 10 {
		requests.WriteString(newRequest(servedFunction, fmt.Sprint(i)))
	}
	cl.send(requests.String())
	for i := range 10 {
		if r := cl.readResponse(); r.status != 200 || r.body != fmt.Sprint("done ", i) {
			t.Fatalf("response %d: %+v", i, r)
		}
	}
	upstream.expectForwarded(t, 10)
}

// TestRequestInSeveralReads checks that a request is served if it arrives byte by byte, or if its body arrives after
// its head. A request whose body is cut off by a close or a reset must not be forwarded.
func TestRequestInSeveralReads(t *testing.T) {
	s, upstream := startServer(t, nil)
	cl := dial(t, s)
	for _, b := range []byte(newRequest(servedFunction, "piece")) {
		cl.send(string(b))
	}
	cl.expectServed("done piece")
	request := newRequest(servedFunction, "follows")
	head, body := request[:len(request)-7], request[len(request)-7:]
	cl.send(head)
	testsupport.WaitUntil(t, "the head", func() bool {
		s.mu.Lock()
		defer s.mu.Unlock()
		for c := range s.conns {
			if c.requestStarted {
				return true
			}
		}
		return false
	})
	cl.send(body)
	cl.expectServed("done follows")
	for n, reset := range []bool{false, true} {
		cut := dial(t, s)
		request := newRequest(servedFunction, "cut off")
		cut.send(request[:len(request)-3])
		if tcpConn, ok := cut.netConn.(*net.TCPConn); ok && reset {
			_ = tcpConn.SetLinger(0)
		}
		_ = cut.netConn.Close()
		testsupport.WaitUntil(t, "the end of the connection", func() bool {
			stats := s.Stats()
			return stats.Accepted == uint64(n+2) && stats.Connections == 1
		})
	}
	upstream.expectForwarded(t, 2)
}

// TestExcessInputAfterRequestIsDisconnected guards against unbounded memory for input that a client sends after a
// request in flight.
func TestExcessInputAfterRequestIsDisconnected(t *testing.T) {
	s, _ := startServer(t, nil)
	cl := dial(t, s)
	cl.send(newRequest(pendingFunction, ""))
	waitForOpenRequests(t, s, 1)
	go func() {
		for range 1 << 14 {
			if _, err := io.WriteString(cl.netConn, strings.Repeat("x", 4096)); err != nil {
				return
			}
		}
	}()
	waitForOpenRequests(t, s, 0)
	cl.waitUntilClosed()
}
