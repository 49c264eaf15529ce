// Package http1 reads HTTP/1.1 messages (RFC 9112) from a stream in pieces. It is strict where leniency would let
// two parties see different messages in the same bytes, and it knows each bound before it keeps a byte.
package http1

import (
	"bytes"
	"errors"
	"fmt"
	"strconv"
	"strings"
)

// Limits bound one message.
type Limits struct {
	Head    int // bytes of the start line and the header fields
	Fields  int // header fields
	Body    int // bytes
	Pending int // bytes that may wait behind a message that is in hand
}

// Error is why a message can't be read. The connection is of no further use: where the next message begins is
// not known.
type Error struct {
	Status int // that a server answers with
	Reason string
}

func (e *Error) Error() string { return "http1: " + e.Reason }

func bad(format string, args ...any) error { return &Error{400, fmt.Sprintf(format, args...)} }

// ErrPending tells that a peer sends on and on behind a message in hand.
var ErrPending = errors.New("http1: too much behind a message in hand")

// Field is a header field; its name is in lower case.
type Field struct{ Name, Value string }

// Head is a message's start line and header fields.
type Head struct {
	Method, Target string // of a request
	Status         int    // of a response
	Fields         []Field
	Close          bool // the peer closes the connection after this message
	length         int  // -1: until the end of the connection
	chunked        bool
}

// Get returns the value of a field; ok is false where there is none, or more than one.
func (h *Head) Get(name string) (v string, ok bool) {
	n := 0
	for _, f := range h.Fields {
		if f.Name == name {
			v = f.Value
			n++
		}
	}
	return v, n == 1
}

// Has tells whether there is a field of that name.
func (h *Head) Has(name string) bool {
	for _, f := range h.Fields {
		if f.Name == name {
			return true
		}
	}
	return false
}

// Message is a whole message. Its body is the caller's to keep.
type Message struct {
	Head
	Body []byte
}

// Reader takes one side's messages.
type Reader struct {
	lim      Limits
	response bool
	buf      []byte
	head     *Head // of the message whose body is awaited
	seen     int   // bytes of buf that hold no end of the head
	body     []byte
	chunk    int // bytes left of the chunk; -1: its size line is awaited, -2: the trailer
	tail     int // bytes of the trailer so far
}

// NewReader returns a Reader of requests.
func NewReader(l Limits) *Reader { return &Reader{lim: l} }

// NewResponseReader returns a Reader of responses.
func NewResponseReader(l Limits) *Reader { return &Reader{lim: l, response: true} }

// Partial tells whether a message has begun and is not whole.
func (r *Reader) Partial() bool { return len(r.buf) > 0 || r.head != nil }

// Add takes the next bytes; they are the caller's again when it returns.
func (r *Reader) Add(p []byte) error {
	if len(r.buf)+len(p) > r.lim.Head+r.lim.Body+r.lim.Pending {
		return ErrPending
	}
	r.buf = append(r.buf, p...)
	return nil
}

// Room is how many bytes Add takes now.
func (r *Reader) Room() int { return r.lim.Head + r.lim.Body + r.lim.Pending - len(r.buf) }

// Next returns the next message, or nil where none is whole.
func (r *Reader) Next() (*Message, error) {
	if r.head == nil {
		if err := r.readHead(); err != nil || r.head == nil {
			return nil, err
		}
	}
	h := r.head
	var body []byte
	switch {
	case h.chunked:
		done, err := r.chunks()
		if err != nil || !done {
			return nil, err
		}
		body, r.body = r.body, nil
	case h.length < 0 || len(r.buf) < h.length:
		if h.length < 0 && len(r.buf) > r.lim.Body {
			return nil, &Error{413, "body exceeds its limit"}
		}
		return nil, nil
	case h.length > 0:
		body = append([]byte(nil), r.buf[:h.length]...)
		r.drop(h.length)
	}
	r.head = nil
	return &Message{Head: *h, Body: body}, nil
}

// End takes the end of the connection: a response without a length ends by it.
func (r *Reader) End() *Message {
	if r.head == nil || r.head.chunked || r.head.length >= 0 {
		return nil
	}
	m := &Message{Head: *r.head, Body: r.buf}
	r.head, r.buf = nil, nil
	return m
}

func (r *Reader) drop(n int) {
	r.seen = 0
	if n == len(r.buf) {
		r.buf = nil // an idle connection holds no buffer
		return
	}
	r.buf = append([]byte(nil), r.buf[n:]...)
}

// readHead reads the head once it is whole.
func (r *Reader) readHead() error {
	if !r.response { // RFC 9112, section 2.2: an empty line ahead of a request is passed over
		for len(r.buf) >= 2 && r.buf[0] == '\r' && r.buf[1] == '\n' {
			r.drop(2)
		}
	}
	from := max(r.seen-3, 0)
	end := bytes.Index(r.buf[from:], []byte("\r\n\r\n"))
	if end < 0 {
		r.seen = len(r.buf)
		if len(r.buf) > r.lim.Head {
			return &Error{431, "header exceeds its limit"}
		}
		return early(r.buf, r.response)
	}
	end += from
	if end > r.lim.Head {
		return &Error{431, "header exceeds its limit"}
	}
	if err := early(r.buf[:end], r.response); err != nil {
		return err
	}
	h, err := r.parse(string(r.buf[:end]))
	if err != nil {
		return err
	}
	r.drop(end + 4)
	r.head, r.chunk = h, -1
	return nil
}

// early turns down what can't become a message, before its end has come, and by the same rule when it has: where a
// stream is cut changes no verdict.
func early(p []byte, response bool) error {
	for i, c := range p {
		if c == '\n' && (i == 0 || p[i-1] != '\r') || c == 0 || c >= 0x80 && i < 16 && !response {
			return bad("byte %#x in the header", c)
		}
		if !response && i == 0 && (c < 'A' || c > 'Z') && c != '\r' {
			return bad("no method")
		}
	}
	return nil
}

func (r *Reader) parse(head string) (*Head, error) {
	lines := strings.Split(head, "\r\n")
	h := &Head{}
	minor, err := r.start(h, lines[0])
	if err != nil {
		return nil, err
	}
	if len(lines)-1 > r.lim.Fields {
		return nil, &Error{431, "too many header fields"}
	}
	h.Close = minor == 0
	length, coded := -1, false
	for _, l := range lines[1:] {
		name, value, ok := strings.Cut(l, ":")
		if !ok || !token(name) {
			return nil, bad("header field %.40q", l)
		}
		value = strings.Trim(value, " \t")
		for i := range len(value) {
			if c := value[i]; c < ' ' && c != '\t' || c == 0x7f {
				return nil, bad("byte %#x in header field %s", c, name)
			}
		}
		name = strings.ToLower(name)
		h.Fields = append(h.Fields, Field{name, value})
		switch name {
		case "content-length":
			n, ok := number(value)
			if !ok || length >= 0 {
				return nil, bad("content-length %.40q", value)
			}
			length = n
		case "transfer-encoding":
			if coded || !strings.EqualFold(value, "chunked") {
				return nil, bad("transfer-encoding %.40q", value)
			}
			coded = true
		case "connection":
			for _, o := range strings.Split(value, ",") {
				switch strings.ToLower(strings.Trim(o, " \t")) {
				case "close":
					h.Close = true
				case "keep-alive":
					h.Close = h.Close && minor != 0
				}
			}
		}
	}
	return h, r.framing(h, length, coded, minor)
}

// framing tells where the body ends (RFC 9112, section 6.3).
func (r *Reader) framing(h *Head, length int, coded bool, minor int) error {
	switch {
	case coded && (length >= 0 || minor == 0): // it may hide another message (section 6.1)
		return bad("transfer-encoding with content-length, or in HTTP/1.0")
	case length > r.lim.Body:
		return &Error{413, "body exceeds its limit"}
	case coded:
		h.chunked = true
	case r.response && (h.Status == 204 || h.Status == 304):
	case length >= 0 || !r.response:
		h.length = max(length, 0)
	default:
		h.length, h.Close = -1, true
	}
	if !r.response && minor > 0 {
		if host, ok := h.Get("host"); !ok || strings.ContainsAny(host, " ,/@") {
			return bad("host missing, repeated or unusable") // section 3.2
		}
	}
	return nil
}

// start reads the start line.
func (r *Reader) start(h *Head, l string) (minor int, err error) {
	if r.response {
		version, rest, _ := strings.Cut(l, " ")
		code, _, _ := strings.Cut(rest, " ")
		n, ok := number(code)
		if version != "HTTP/1.1" && version != "HTTP/1.0" || !ok || n < 200 || n > 599 || len(code) != 3 {
			return 0, bad("status line %.40q", l)
		}
		h.Status = n
		return int(version[7] - '0'), nil
	}
	part := strings.Split(l, " ")
	if len(part) != 3 || !token(part[0]) || part[1] == "" {
		return 0, bad("request line %.40q", l)
	}
	for i := range len(part[1]) {
		if c := part[1][i]; c <= ' ' || c >= 0x7f {
			return 0, bad("byte %#x in the target", c)
		}
	}
	if part[2] != "HTTP/1.1" && part[2] != "HTTP/1.0" {
		return 0, &Error{505, fmt.Sprintf("version %.20q", part[2])}
	}
	h.Method, h.Target = part[0], part[1]
	return int(part[2][7] - '0'), nil
}

// chunks takes what there is of a chunked body (RFC 9112, section 7.1).
func (r *Reader) chunks() (done bool, err error) {
	at := 0
	defer func() {
		if at > 0 {
			r.drop(at)
		}
	}()
	for {
		rest := r.buf[at:]
		if r.chunk > 0 {
			k := min(r.chunk, len(rest))
			r.body = append(r.body, rest[:k]...)
			at += k
			if r.chunk -= k; r.chunk > 0 {
				return false, nil
			}
			r.chunk = -3
			continue
		}
		end := bytes.Index(rest, []byte("\r\n"))
		if end < 0 {
			if len(rest) > 256 || r.chunk == -3 && len(rest) > 1 {
				return false, bad("chunk not ended")
			}
			return false, nil
		}
		line := string(rest[:end])
		at += end + 2
		switch r.chunk {
		case -3: // the end of a chunk's data
			if line != "" {
				return false, bad("chunk longer than its size")
			}
			r.chunk = -1
		case -1:
			size, _, _ := strings.Cut(line, ";")
			n, err := strconv.ParseUint(size, 16, 31)
			if err != nil || len(size) > 8 {
				return false, bad("chunk size %.20q", line)
			}
			if len(r.body)+int(n) > r.lim.Body {
				return false, &Error{413, "body exceeds its limit"}
			}
			if r.chunk, r.tail = int(n), 0; n == 0 {
				r.chunk = -2
			}
		default:
			if line == "" {
				return true, nil
			}
			if r.tail += len(line); r.tail > r.lim.Head {
				return false, &Error{431, "trailer exceeds its limit"}
			}
		}
	}
}

// number reads a decimal number without a sign.
func number(s string) (int, bool) {
	if s == "" || len(s) > 18 {
		return 0, false
	}
	n := 0
	for i := range len(s) {
		if s[i] < '0' || s[i] > '9' {
			return 0, false
		}
		n = 10*n + int(s[i]-'0')
	}
	return n, true
}

// token tells whether s is a token (RFC 9110, section 5.6.2).
func token(s string) bool {
	for i := range len(s) {
		c := s[i]
		if (c < 'a' || c > 'z') && (c < 'A' || c > 'Z') && (c < '0' || c > '9') && strings.IndexByte("!#$%&'*+-.^_`|~", c) < 0 {
			return false
		}
	}
	return s != ""
}

// AppendResponse adds a response with a length to b.
func AppendResponse(b []byte, status int, fields []Field, body []byte, last bool) []byte {
	b = append(b, "HTTP/1.1 "...)
	b = strconv.AppendInt(b, int64(status), 10)
	b = append(b, ' ')
	b = append(b, reasons[status]...)
	b = append(b, "\r\nContent-Length: "...)
	b = strconv.AppendInt(b, int64(len(body)), 10)
	for _, f := range fields {
		b = append(b, "\r\n"...)
		b = append(b, f.Name...)
		b = append(b, ": "...)
		b = append(b, f.Value...)
	}
	if last {
		b = append(b, "\r\nConnection: close"...)
	}
	b = append(b, "\r\n\r\n"...)
	return append(b, body...)
}

var reasons = map[int]string{200: "OK", 400: "Bad Request", 404: "Not Found", 405: "Method Not Allowed",
	408: "Request Timeout", 409: "Conflict", 411: "Length Required", 413: "Content Too Large",
	431: "Request Header Fields Too Large", 500: "Internal Server Error", 501: "Not Implemented",
	502: "Bad Gateway", 503: "Service Unavailable", 504: "Gateway Timeout", 505: "HTTP Version Not Supported"}
