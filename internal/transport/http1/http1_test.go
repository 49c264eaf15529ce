package http1

import (
	"fmt"
	"strings"
	"testing"
)

var limits = Limits{Head: 512, Fields: 16, Body: 64, Pending: 256}

// read feeds the pieces and returns the messages, and the status of the error that ended it.
func read(response bool, pieces ...string) (out []string, status int) {
	out, err := readAll(response, pieces...)
	if e, ok := err.(*Error); ok {
		return out, e.Status
	}
	if err != nil {
		return out, -1
	}
	return out, 0
}

// readAll feeds the pieces and returns the messages, and the error that ended it.
func readAll(response bool, pieces ...string) (out []string, err error) {
	r := NewReader(limits)
	r.response = response
	for _, p := range pieces {
		for len(p) > 0 {
			k := min(max(r.Room(), 1), len(p))
			if err := r.Add([]byte(p[:k])); err != nil {
				return out, err
			}
			p = p[k:]
			for {
				m, err := r.Next()
				if err != nil {
					return out, err
				}
				if m == nil {
					break
				}
				out = append(out, fmt.Sprintf("%s%s%s%.0d %s close=%v", m.Method, m.Target, "", m.Status, m.Body, m.Close))
			}
		}
	}
	return out, nil
}

const post = "POST /call/x/call HTTP/1.1\r\nHost: a\r\nX-Class: c\r\nContent-Length: 4\r\n\r\nbody"

// TestEveryCut: where a stream is cut changes nothing, nor what waits behind a message.
func TestEveryCut(t *testing.T) {
	chunked := "POST /c HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\nConnection: close\r\n\r\n3\r\nabc\r\n1;x=y\r\nd\r\n0\r\nT: u\r\n\r\n"
	in := post + "GET /ping HTTP/1.1\r\nHost: a\r\n\r\n" + chunked
	want := "POST/call/x/call body close=false\nGET/ping  close=false\nPOST/c abcd close=true"
	for i := range len(in) {
		got, status := read(false, in[:i], in[i:])
		if strings.Join(got, "\n") != want || status != 0 {
			t.Fatalf("cut at %d: %d, %q", i, status, got)
		}
	}
}

// TestFramingInDoubtIsTurnedDown: lengths and encodings by which two parties may see different messages, and all that
// is no HTTP, each by the status that the RFCs name.
func TestFramingInDoubtIsTurnedDown(t *testing.T) {
	head := func(line string, fields ...string) string {
		return line + "\r\n" + strings.Join(fields, "\r\n") + "\r\n\r\n"
	}
	p := "POST /c HTTP/1.1"
	for name, c := range map[string]struct {
		in     string
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
		"chunk longer than told":    {head(p, "Host: a", "Transfer-Encoding: chunked") + "1\r\nabc\r\n", 400, "http1: chunk longer than its size"},
		"trailers without end":      {head(p, "Host: a", "Transfer-Encoding: chunked") + "0\r\n" + strings.Repeat("X: yyyyyyyyyyyyyyyyyyyy\r\n", 40), 431, "http1: trailer exceeds its limit"},
	} {
		got, status := read(false, c.in)
		if status != c.status || len(got) > 0 {
			t.Errorf("%s: status %d, want %d; passed on %q", name, status, c.status, got)
		}
		if _, err := readAll(false, c.in); err == nil || err.Error() != c.reason {
			t.Errorf("%s: error %v, want %s", name, err, c.reason)
		}
	}
}

// TestNothingIsKeptBehindAMessage: a peer that sends on and on behind a request in hand is told so.
func TestNothingIsKeptBehindAMessage(t *testing.T) {
	r := NewReader(limits)
	for range 1000 {
		if r.Room() == 0 {
			if r.Add([]byte("x")) != ErrPending {
				t.Fatal("taken beyond the bound")
			}
			return
		}
		if err := r.Add([]byte("x")); err != nil {
			t.Fatal(err)
		}
	}
	t.Fatal("no bound")
}

func TestResponses(t *testing.T) {
	in := "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}HTTP/1.1 204 No Content\r\n\r\n" +
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\n{}\r\n0\r\n\r\n"
	got, status := read(true, in)
	if want := "200 {} close=false\n204  close=false\n200 {} close=false"; strings.Join(got, "\n") != want || status != 0 {
		t.Errorf("%d, %q", status, got)
	}
	for _, in := range []string{"HTTP/1.1 2x0 OK\r\n\r\n", "HTTP/3 200 OK\r\n\r\n", "HTTP/1.1 99 OK\r\n\r\n",
		"HTTP/1.1 200 OK\r\nContent-Length: 65\r\n\r\n", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n"} {
		if got, status := read(true, in); status == 0 || len(got) > 0 {
			t.Errorf("%q: status %d, %q", in, status, got)
		}
	}
	r := NewResponseReader(limits) // without a length the end of the connection ends it
	_ = r.Add([]byte("HTTP/1.1 200 OK\r\n\r\n{}"))
	if m, err := r.Next(); m != nil || err != nil {
		t.Errorf("%v, %v before the end", m, err)
	}
	if m := r.End(); m == nil || string(m.Body) != "{}" {
		t.Errorf("%v at the end", m)
	}
}

func TestAppendResponse(t *testing.T) {
	b := AppendResponse(nil, 503, []Field{{"X-Pushback-Ms", "70"}}, []byte("no"), true)
	r := NewResponseReader(limits)
	_ = r.Add(b)
	m, err := r.Next()
	if err != nil || m == nil || m.Status != 503 || string(m.Body) != "no" || !m.Close {
		t.Fatalf("%+v, %v", m, err)
	}
	if v, ok := m.Get("x-pushback-ms"); !ok || v != "70" {
		t.Errorf("pushback %q", v)
	}
}

// FuzzReader: no input panics, pieces give what the whole gives, and what is kept stays within the bounds.
func FuzzReader(f *testing.F) {
	f.Add(post, 20, false)
	f.Add("POST /c HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n", 70, false)
	f.Add("POST /c HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", 9, false)
	f.Add("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}", 30, true)
	f.Fuzz(func(t *testing.T, in string, cut int, response bool) {
		if cut < 0 || cut > len(in) || len(in) > limits.Head {
			return
		}
		whole, a := read(response, in)
		pieces, b := read(response, in[:cut], in[cut:])
		if fmt.Sprint(whole) != fmt.Sprint(pieces) || (a == 0) != (b == 0) {
			t.Fatalf("whole %q, %d; cut at %d %q, %d", whole, a, cut, pieces, b)
		}
	})
}
