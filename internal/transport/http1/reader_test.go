package http1

import (
	"errors"
	"fmt"
	"strings"
	"testing"
)

var testLimits = Limits{Head: 512, Fields: 16, Body: 64, Pending: 256}

// readMessages passes the pieces to a Reader and returns the messages, and the error that stopped it.
func readMessages(response bool, pieces ...string) (messages []string, err error) {
	r := NewReader(testLimits)
	r.response = response
	for _, piece := range pieces {
		for len(piece) > 0 {
			n := min(max(r.Available(), 1), len(piece))
			if err := r.Add([]byte(piece[:n])); err != nil {
				return messages, err
			}
			piece = piece[n:]
			for {
				m, err := r.Next()
				if err != nil {
					return messages, err
				}
				if m == nil {
					break
				}
				messages = append(messages, fmt.Sprintf("%s%s%.0d %s close=%v", m.Method, m.Target, m.Status, m.Body, m.Close))
			}
		}
	}
	return messages, nil
}

// readStatus is like readMessages, but returns the status of the error: 0 without an error, -1 if the error has no
// status.
func readStatus(response bool, pieces ...string) (messages []string, status int) {
	messages, err := readMessages(response, pieces...)
	var httpErr *Error
	switch {
	case err == nil:
		return messages, 0
	case errors.As(err, &httpErr):
		return messages, httpErr.Status
	default:
		return messages, -1
	}
}

const postMessage = "POST /call/x/call HTTP/1.1\r\nHost: a\r\nX-Class: c\r\nContent-Length: 4\r\n\r\nbody"

// TestMessagesSplitAtEveryByte checks that the messages don't depend on where the stream is split into two reads, nor
// on the bytes after a message.
func TestMessagesSplitAtEveryByte(t *testing.T) {
	chunked := "POST /c HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\nConnection: close\r\n\r\n3\r\nabc\r\n1;x=y\r\nd\r\n0\r\nT: u\r\n\r\n"
	input := postMessage + "GET /ping HTTP/1.1\r\nHost: a\r\n\r\n" + chunked
	want := "POST/call/x/call body close=false\nGET/ping  close=false\nPOST/c abcd close=true"
	for i := range len(input) {
		got, status := readStatus(false, input[:i], input[i:])
		if strings.Join(got, "\n") != want || status != 0 {
			t.Fatalf("cut at %d: %d, %q", i, status, got)
		}
	}
}

// TestInvalidMessages guards against request smuggling by lengths and encodings in which two parties may see different
// messages, and against input that isn't HTTP. Each must be rejected with the status that the RFCs define.
func TestInvalidMessages(t *testing.T) {
	head := func(line string, fields ...string) string {
		return line + "\r\n" + strings.Join(fields, "\r\n") + "\r\n\r\n"
	}
	p := "POST /c HTTP/1.1"
	for name, c := range map[string]struct {
		input  string
		status int
		reason string
	}{
		"length and encoding":       {head(p, "Host: a", "Content-Length: 4", "Transfer-Encoding: chunked") + "0\r\n\r\n", 400, "http1: transfer-encoding with content-length, or in HTTP/1.0"},
		"encoding and length":       {head(p, "Host: a", "Transfer-Encoding: chunked", "Content-Length: 4") + "0\r\n\r\n", 400, "http1: transfer-encoding with content-length, or in HTTP/1.0"},
		"two lengths":               {head(p, "Host: a", "Content-Length: 4", "Content-Length: 5"), 400, `http1: content-length "5"`},
		"a list of lengths":         {head(p, "Host: a", "Content-Length: 4, 4"), 400, `http1: content-length "4, 4"`},
		"negative length":           {head(p, "Host: a", "Content-Length: -4"), 400, `http1: content-length "-4"`},
		"signed length":             {head(p, "Host: a", "Content-Length: +4"), 400, `http1: content-length "+4"`},
		"hex length":                {head(p, "Host: a", "Content-Length: 0x4"), 400, `http1: content-length "0x4"`},
		"empty length":              {head(p, "Host: a", "Content-Length:"), 400, `http1: content-length ""`},
		"length past any integer":   {head(p, "Host: a", "Content-Length: 99999999999999999999"), 400, `http1: content-length "99999999999999999999"`},
		"60 MB":                     {head(p, "Host: a", "Content-Length: 62914560"), 413, "http1: body exceeds its limit"},
		"one byte over":             {head(p, "Host: a", "Content-Length: 65"), 413, "http1: body exceeds its limit"},
		"unknown encoding":          {head(p, "Host: a", "Transfer-Encoding: gzip, chunked"), 400, `http1: transfer-encoding "gzip, chunked"`},
		"encoding twice":            {head(p, "Host: a", "Transfer-Encoding: chunked", "Transfer-Encoding: chunked"), 400, `http1: transfer-encoding "chunked"`},
		"encoding in HTTP/1.0":      {head("POST /c HTTP/1.0", "Transfer-Encoding: chunked"), 400, "http1: transfer-encoding with content-length, or in HTTP/1.0"},
		"space before the colon":    {head(p, "Host: a", "Content-Length : 4"), 400, `http1: header field "Content-Length : 4"`},
		"folded field":              {head(p, "Host: a", "X: a", " b"), 400, `http1: header field " b"`},
		"field without a colon":     {head(p, "Host: a", "X"), 400, `http1: header field "X"`},
		"field with a bare return":  {head(p, "Host: a", "X: a\rb"), 400, "http1: byte 0xd in header field X"},
		"field with a NUL":          {head(p, "Host: a", "X: a\x00b"), 400, "http1: byte 0x0 in the header"},
		"bare newlines":             {"POST /c HTTP/1.1\nHost: a\n\n", 400, "http1: byte 0xa in the header"},
		"no host":                   {head(p, "X: a"), 400, "http1: host missing, repeated or unusable"},
		"two hosts":                 {head(p, "Host: a", "Host: b"), 400, "http1: host missing, repeated or unusable"},
		"no version":                {head("POST /c", "Host: a"), 400, `http1: request line "POST /c"`},
		"two spaces":                {head("POST  /c HTTP/1.1", "Host: a"), 400, `http1: request line "POST  /c HTTP/1.1"`},
		"HTTP/2":                    {"PRI * HTTP/2.0\r\n\r\n", 505, `http1: version "HTTP/2.0"`},
		"noise":                     {"\x16\x03\x01\x02\x00", 400, "http1: no method"},
		"noise behind a letter":     {"G\x00\xff", 400, "http1: byte 0x0 in the header"},
		"a line without end":        {"POST /" + strings.Repeat("x", 600), 431, "http1: header exceeds its limit"},
		"a header without end":      {p + "\r\n" + strings.Repeat("X: y\r\n", 100), 431, "http1: header exceeds its limit"},
		"too many fields":           {head(p, append([]string{"Host: a"}, strings.Split(strings.Repeat("X: y,", 20), ",")[:20]...)...), 431, "http1: too many header fields"},
		"chunk size that is no hex": {head(p, "Host: a", "Transfer-Encoding: chunked") + "zz\r\n", 400, `http1: chunk size "zz"`},
		"chunk past the bound":      {head(p, "Host: a", "Transfer-Encoding: chunked") + "ffffff\r\n", 413, "http1: body exceeds its limit"},
		"chunks past the bound":     {head(p, "Host: a", "Transfer-Encoding: chunked") + strings.Repeat("8\r\nabcdefgh\r\n", 9), 413, "http1: body exceeds its limit"},
		"chunk longer than stated":  {head(p, "Host: a", "Transfer-Encoding: chunked") + "1\r\nabc\r\n", 400, "http1: chunk longer than its size"},
		"trailers without end":      {head(p, "Host: a", "Transfer-Encoding: chunked") + "0\r\n" + strings.Repeat("X: yyyyyyyyyyyyyyyyyyyy\r\n", 40), 431, "http1: trailer exceeds its limit"},
	} {
		t.Run(name, func(t *testing.T) {
			messages, status := readStatus(false, c.input)
			if status != c.status || len(messages) > 0 {
				t.Errorf("status %d, want %d; messages %q", status, c.status, messages)
			}
			if _, err := readMessages(false, c.input); err == nil || err.Error() != c.reason {
				t.Errorf("error %v, want %s", err, c.reason)
			}
		})
	}
}

// TestPendingLimit guards against unbounded buffering of input after a request that is being handled.
func TestPendingLimit(t *testing.T) {
	r := NewReader(testLimits)
	for range 1000 {
		if r.Available() == 0 {
			if err := r.Add([]byte("x")); !errors.Is(err, ErrPendingLimit) {
				t.Fatalf("error beyond the limit: %v, want ErrPendingLimit", err)
			}
			return
		}
		if err := r.Add([]byte("x")); err != nil {
			t.Fatal(err)
		}
	}
	t.Fatal("the limit was not reached")
}

func TestResponses(t *testing.T) {
	stream := "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}HTTP/1.1 204 No Content\r\n\r\n" +
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\n{}\r\n0\r\n\r\n"
	messages, status := readStatus(true, stream)
	if want := "200 {} close=false\n204  close=false\n200 {} close=false"; strings.Join(messages, "\n") != want || status != 0 {
		t.Errorf("%d, %q", status, messages)
	}
	for name, input := range map[string]string{
		"status not a number":    "HTTP/1.1 2x0 OK\r\n\r\n",
		"other version":          "HTTP/3 200 OK\r\n\r\n",
		"status of two digits":   "HTTP/1.1 99 OK\r\n\r\n",
		"body beyond its limit":  "HTTP/1.1 200 OK\r\nContent-Length: 65\r\n\r\n",
		"length beside encoding": "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			if messages, status := readStatus(true, input); status == 0 || len(messages) > 0 {
				t.Errorf("%q: status %d, %q", input, status, messages)
			}
		})
	}
	t.Run("ended by the connection", func(t *testing.T) {
		r := NewResponseReader(testLimits)
		_ = r.Add([]byte("HTTP/1.1 200 OK\r\n\r\n{}"))
		if m, err := r.Next(); m != nil || err != nil {
			t.Errorf("message %v, error %v before the end of the connection", m, err)
		}
		if m := r.End(); m == nil || string(m.Body) != "{}" {
			t.Errorf("message %v at the end of the connection", m)
		}
	})
}

func TestAppendResponse(t *testing.T) {
	response := AppendResponse(nil, StatusServiceUnavailable, []Field{{"X-Pushback-Ms", "70"}}, []byte("no"), true)
	r := NewResponseReader(testLimits)
	_ = r.Add(response)
	m, err := r.Next()
	if err != nil || m == nil || m.Status != 503 || string(m.Body) != "no" || !m.Close {
		t.Fatalf("%+v, %v", m, err)
	}
	if value, ok := m.Get("x-pushback-ms"); !ok || value != "70" {
		t.Errorf("X-Pushback-Ms %q", value)
	}
}

// FuzzReader checks that no input causes a panic, and that input in two pieces gives the same messages as in one.
func FuzzReader(f *testing.F) {
	f.Add(postMessage, 20, false)
	f.Add("POST /c HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n", 70, false)
	f.Add("POST /c HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", 9, false)
	f.Add("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}", 30, true)
	f.Fuzz(func(t *testing.T, input string, cut int, response bool) {
		if cut < 0 || cut > len(input) || len(input) > testLimits.Head {
			return
		}
		whole, wholeStatus := readStatus(response, input)
		pieces, piecesStatus := readStatus(response, input[:cut], input[cut:])
		if fmt.Sprint(whole) != fmt.Sprint(pieces) || (wholeStatus == 0) != (piecesStatus == 0) {
			t.Fatalf("whole %q, %d; cut at %d %q, %d", whole, wholeStatus, cut, pieces, piecesStatus)
		}
	})
}

// TestEmptyLineAfterRequestIsIgnored checks that an empty line after a body, which some clients send, isn't the start
// of a request.
func TestEmptyLineAfterRequestIsIgnored(t *testing.T) {
	r := NewReader(testLimits)
	if err := r.Add([]byte("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 1\r\n\r\nx\r\n\r\n")); err != nil {
		t.Fatal(err)
	}
	if m, err := r.Next(); m == nil || string(m.Body) != "x" || err != nil {
		t.Fatal(m, err)
	}
	if r.Partial() {
		t.Error("an empty line counts as the start of a message")
	}
}
