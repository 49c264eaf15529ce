// Package resp reads and writes messages of RESP, the Redis serialization protocol, that are arrays of bulk strings.
// The reader is incremental and rejects a length beyond its limits before it buffers the bytes that follow.
package resp

import (
	"bytes"
	"errors"
	"strconv"
)

// Limits are the largest sizes of a message.
type Limits struct {
	Items int // number of bulk strings
	Bytes int // total size of all items
}

// The errors of a Reader. After either, the stream cannot be resynchronized and must be closed.
var (
	ErrSyntax = errors.New("resp: not an array of bulk strings")
	ErrLimit  = errors.New("resp: message exceeds its limits")
)

// maxLineLength is the longest line in bytes, with its type prefix, the digits of a length, CR and LF.
const maxLineLength = 16

// Reader parses a stream that arrives in chunks into complete messages. It is not safe for concurrent use.
type Reader struct {
	limits   Limits
	buffer   []byte
	minBytes int // parsing is not tried until this many bytes have arrived
}

// NewReader returns a Reader that rejects messages beyond the limits.
func NewReader(limits Limits) *Reader { return &Reader{limits: limits} }

// Partial reports whether the bytes read so far end within a message.
func (r *Reader) Partial() bool { return len(r.buffer) > 0 }

// Buffered returns how many bytes of an incomplete message the reader holds.
func (r *Reader) Buffered() int { return len(r.buffer) }

// Feed parses the next bytes of the stream and calls handle with the items of each complete message. The items are
// valid until handle returns; Feed does not retain p. If handle returns an error, Feed stops and returns that error.
func (r *Reader) Feed(p []byte, handle func(items [][]byte) error) error {
	if len(r.buffer) > 0 {
		r.buffer = append(r.buffer, p...)
		p = r.buffer
	}
	var items [][]byte
	for len(p) > 0 {
		if len(p) < r.minBytes {
			break
		}
		n, minBytes, err := r.readMessage(p, &items)
		if err != nil {
			return err
		}
		if n == 0 {
			r.minBytes = minBytes
			break
		}
		r.minBytes = 0
		if err := handle(items); err != nil {
			return err
		}
		p = p[n:]
	}
	switch {
	case len(p) == 0:
		r.buffer = nil // an idle connection holds no buffer
	case len(r.buffer) == 0 || &p[0] != &r.buffer[0]:
		r.buffer = append([]byte(nil), p...)
	}
	return nil
}

// readMessage parses the message at the start of p into items and returns its length n in bytes. If the message is
// incomplete, n is 0 and minBytes is the smallest length of p at which it may be complete.
func (r *Reader) readMessage(p []byte, items *[][]byte) (n, minBytes int, err error) {
	count, offset, err := readLength(p, '*')
	if err != nil || offset == 0 {
		return 0, len(p) + 1, err
	}
	if count < 1 {
		return 0, 0, ErrSyntax
	}
	if count > r.limits.Items {
		return 0, 0, ErrLimit
	}
	*items = (*items)[:0]
	total := 0
	for range count {
		size, lineLength, err := readLength(p[offset:], '$')
		if err != nil || lineLength == 0 {
			return 0, len(p) + 1, err
		}
		if total += size; size > r.limits.Bytes || total > r.limits.Bytes {
			return 0, 0, ErrLimit
		}
		offset += lineLength
		if len(p) < offset+size+2 {
			return 0, offset + size + 2, nil
		}
		if p[offset+size] != '\r' || p[offset+size+1] != '\n' {
			return 0, 0, ErrSyntax
		}
		*items = append(*items, p[offset:offset+size:offset+size])
		offset += size + 2
	}
	return offset, 0, nil
}

// readLength parses a line that consists of a prefix and a decimal length. It returns that length as value and the
// size of the line in bytes as n. If the line is incomplete, n is 0. An incomplete line is rejected as soon as it is
// seen to be invalid.
func readLength(p []byte, prefix byte) (value, n int, err error) {
	if len(p) == 0 {
		return 0, 0, nil
	}
	if p[0] != prefix {
		return 0, 0, ErrSyntax
	}
	end := bytes.IndexByte(p[:min(len(p), maxLineLength)], '\n')
	digits := p[1:min(len(p), maxLineLength)]
	if end >= 0 {
		if end < 3 || p[end-1] != '\r' {
			return 0, 0, ErrSyntax
		}
		digits = p[1 : end-1]
	} else if len(p) >= maxLineLength {
		return 0, 0, ErrLimit
	} else if digitCount := len(digits); digitCount > 0 && digits[digitCount-1] == '\r' {
		digits = digits[:digitCount-1]
	}
	for _, c := range digits {
		if c < '0' || c > '9' {
			return 0, 0, ErrSyntax
		}
	}
	if end < 0 {
		return 0, 0, nil
	}
	if len(digits) > 1 && digits[0] == '0' {
		return 0, 0, ErrSyntax
	}
	value, err = strconv.Atoi(string(digits))
	if err != nil {
		return 0, 0, ErrLimit
	}
	return value, end + 1, nil
}

// Append appends a message with the items to dst and returns the extended slice.
func Append(dst []byte, items ...[]byte) []byte {
	dst = append(dst, '*')
	dst = strconv.AppendInt(dst, int64(len(items)), 10)
	dst = append(dst, '\r', '\n')
	for _, item := range items {
		dst = append(dst, '$')
		dst = strconv.AppendInt(dst, int64(len(item)), 10)
		dst = append(dst, '\r', '\n')
		dst = append(dst, item...)
		dst = append(dst, '\r', '\n')
	}
	return dst
}
