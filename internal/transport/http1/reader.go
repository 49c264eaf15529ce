// Package http1 parses HTTP/1.1 messages (RFC 9112) incrementally from a byte stream, and formats responses. The parser
// is strict where a lenient one would allow request smuggling, in which two parties see different messages in the same
// bytes. It bounds the input that it buffers.
package http1

import (
	"bytes"
	"errors"
	"fmt"
)

// Limits are the limits on one message.
type Limits struct {
	Head    int // bytes of the start line and the header fields; also of the empty lines before a request
	Fields  int // number of header fields
	Body    int // bytes
	Pending int // bytes that may be buffered beyond Head and Body, for input after a message that is being handled
}

// Error is the reason why a message can't be parsed. The connection must be closed, because the start of the next
// message is unknown.
type Error struct {
	Status int // of the response with which a server rejects the message
	Reason string
}

func (e *Error) Error() string { return "http1: " + e.Reason }

func badRequest(format string, args ...any) error {
	return &Error{StatusBadRequest, fmt.Sprintf(format, args...)}
}

// ErrPendingLimit reports that a peer has sent more than the limits allow to be buffered (Head, Body and Pending
// together), because it keeps sending after a message that is being handled.
var ErrPendingLimit = errors.New("http1: too many bytes pending behind a message")

// Message is a complete message. The caller owns its body.
type Message struct {
	Head
	Body []byte
}

// Reader parses the messages of one direction of a connection. It is not safe for concurrent use.
type Reader struct {
	limits   Limits
	response bool   // messages are responses, not requests
	buf      []byte // received and not consumed; the end of an array that Add may replace
	head     *Head  // of the message whose body is not complete; nil: none
	scanned  int    // number of bytes in buf that were searched for the end of the head without finding it

	emptyLineBytes int // skipped since the last head

	// State of a chunked body.
	body           []byte // data so far
	chunkState     chunkState
	chunkRemaining int // bytes of the chunk's data not received yet
	trailerBytes   int // so far
}

// NewReader returns a Reader for requests.
func NewReader(l Limits) *Reader { return &Reader{limits: l} }

// NewResponseReader returns a Reader for responses.
func NewResponseReader(l Limits) *Reader { return &Reader{limits: l, response: true} }

// Partial reports whether a part of the next message has been received.
func (r *Reader) Partial() bool { return len(r.buf) > 0 || r.head != nil }

// Buffered returns how many bytes of incomplete or unread messages the reader holds.
func (r *Reader) Buffered() int { return len(r.buf) + len(r.body) }

// Add appends a copy of p to the input. It returns ErrPendingLimit if p is longer than Available.
func (r *Reader) Add(p []byte) error {
	if len(p) > r.Available() {
		return ErrPendingLimit
	}
	r.buf = append(r.buf, p...)
	return nil
}

// Available returns how many bytes Add accepts now.
func (r *Reader) Available() int {
	return r.limits.Head + r.limits.Body + r.limits.Pending - len(r.buf)
}

// Next returns the next message, or nil if none is complete. The error is an *Error.
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

// End returns the response whose body the end of the connection completes, because its head states no length. It
// returns nil if there is no such response.
func (r *Reader) End() *Message {
	if r.head == nil || r.head.chunked || r.head.contentLength >= 0 {
		return nil
	}
	m := &Message{Head: *r.head, Body: r.buf}
	r.head, r.buf = nil, nil
	return m
}

// discard removes the first n bytes of the buffer. It does not copy the rest, because a buffer may hold thousands of
// empty lines, chunks or messages.
func (r *Reader) discard(n int) {
	r.scanned = 0
	if n == len(r.buf) {
		r.buf = nil // an idle connection holds no buffer
		return
	}
	r.buf = r.buf[n:]
}

// skipEmptyLines removes empty lines before a request, which are to be ignored (RFC 9112, section 2.2).
func (r *Reader) skipEmptyLines() {
	if r.response {
		return
	}
	emptyLine := []byte("\r\n")
	skipped := 0
	for bytes.HasPrefix(r.buf[skipped:], emptyLine) {
		skipped += len(emptyLine)
	}
	if skipped > 0 {
		r.emptyLineBytes += skipped
		r.discard(skipped)
	}
}

// readHead parses the head of the next message if it is complete, and stores it in r.head.
func (r *Reader) readHead() error {
	r.skipEmptyLines()
	if r.emptyLineBytes > r.limits.Head {
		return &Error{StatusHeaderFieldsTooLarge, "empty lines before a request exceed the limit of its header"}
	}
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
	r.emptyLineBytes = 0
	r.head, r.chunkState = head, chunkSize
	return nil
}
