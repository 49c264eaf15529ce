// Package http1 reads HTTP/1.1 messages (RFC 9112) from a stream in pieces. It is strict where leniency would let
// two parties see different messages in the same bytes, and it checks each limit before it keeps a byte.
package http1

import (
	"bytes"
	"errors"
	"fmt"
)

// Limits bound one message.
type Limits struct {
	Head    int // bytes of the start line and the header fields
	Fields  int // header fields
	Body    int // bytes
	Pending int // bytes that may wait behind a message that is being handled
}

// Error is why a message can't be read. The connection is of no further use: where the next message begins is
// not known.
type Error struct {
	Status int // that a server answers with
	Reason string
}

func (e *Error) Error() string { return "http1: " + e.Reason }

func badRequest(format string, args ...any) error {
	return &Error{StatusBadRequest, fmt.Sprintf(format, args...)}
}

// ErrPendingLimit reports that a peer sends on and on behind a message that is being handled.
var ErrPendingLimit = errors.New("http1: too many bytes pending behind a message")

// Message is a complete message. Its body belongs to the caller.
type Message struct {
	Head
	Body []byte
}

// Reader reads the messages of one direction of a connection. It is not safe for concurrent use.
type Reader struct {
	limits   Limits
	response bool
	buf      []byte // received and not consumed
	head     *Head  // of the message whose body is not complete
	scanned  int    // bytes of buf in which no end of the head was found

	// Of a chunked body.
	body           []byte // so far
	chunkState     chunkState
	chunkRemaining int // bytes of the chunk's data that are still to come
	trailerBytes   int // so far
}

// NewReader returns a Reader of requests.
func NewReader(l Limits) *Reader { return &Reader{limits: l} }

// NewResponseReader returns a Reader of responses.
func NewResponseReader(l Limits) *Reader { return &Reader{limits: l, response: true} }

// Partial reports whether a message has begun and is not complete.
func (r *Reader) Partial() bool { return len(r.buf) > 0 || r.head != nil }

// Add takes the next bytes; it keeps a copy. The error is ErrPendingLimit where there are more than Available.
func (r *Reader) Add(p []byte) error {
	if len(p) > r.Available() {
		return ErrPendingLimit
	}
	r.buf = append(r.buf, p...)
	return nil
}

// Available returns how many bytes Add takes now.
func (r *Reader) Available() int {
	return r.limits.Head + r.limits.Body + r.limits.Pending - len(r.buf)
}

// Next returns the next message, or nil where none is complete. The error is an *Error.
func (r *Reader) Next() (*Message, error) {
	if r.head == nil {
		if err := r.readHead(); err != nil || r.head == nil {
			return nil, err
		}
	}
	head := r.head
	var body []byte
	switch {
	case head.chunked:
		done, err := r.readChunks()
		if err != nil || !done {
			return nil, err
		}
		body, r.body = r.body, nil
	case head.contentLength < 0 || len(r.buf) < head.contentLength:
		if head.contentLength < 0 && len(r.buf) > r.limits.Body {
			return nil, &Error{StatusContentTooLarge, "body exceeds its limit"}
		}
		return nil, nil
	case head.contentLength > 0:
		body = append([]byte(nil), r.buf[:head.contentLength]...)
		r.discard(head.contentLength)
	}
	r.head = nil
	r.skipEmptyLines()
	return &Message{Head: *head, Body: body}, nil
}

// End returns the response that the end of the connection completes: one that states no length. Otherwise it returns
// nil.
func (r *Reader) End() *Message {
	if r.head == nil || r.head.chunked || r.head.contentLength >= 0 {
		return nil
	}
	m := &Message{Head: *r.head, Body: r.buf}
	r.head, r.buf = nil, nil
	return m
}

// discard drops the first n bytes of the buffer.
func (r *Reader) discard(n int) {
	r.scanned = 0
	if n == len(r.buf) {
		r.buf = nil // an idle connection holds no buffer
		return
	}
	r.buf = append([]byte(nil), r.buf[n:]...)
}

// skipEmptyLines drops empty lines ahead of a request (RFC 9112, section 2.2): they begin no message.
func (r *Reader) skipEmptyLines() {
	for !r.response && len(r.buf) >= 2 && r.buf[0] == '\r' && r.buf[1] == '\n' {
		r.discard(2)
	}
}

// readHead reads the head once it is complete.
func (r *Reader) readHead() error {
	r.skipEmptyLines()
	headEnd := []byte("\r\n\r\n")
	from := max(r.scanned-(len(headEnd)-1), 0)
	end := bytes.Index(r.buf[from:], headEnd)
	if end < 0 {
		r.scanned = len(r.buf)
		if len(r.buf) > r.limits.Head {
			return &Error{StatusHeaderFieldsTooLarge, "header exceeds its limit"}
		}
		return checkPrefix(r.buf, r.response)
	}
	end += from
	if end > r.limits.Head {
		return &Error{StatusHeaderFieldsTooLarge, "header exceeds its limit"}
	}
	if err := checkPrefix(r.buf[:end], r.response); err != nil {
		return err
	}
	head, err := r.parseHead(string(r.buf[:end]))
	if err != nil {
		return err
	}
	r.discard(end + len(headEnd))
	r.head, r.chunkState = head, chunkSize
	return nil
}
