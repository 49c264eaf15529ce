package grpc

import (
	"encoding/binary"
	"errors"
	"fmt"
)

// PrefixLen is the length in bytes of a message's prefix: the compressed flag and four bytes of length.
const PrefixLen = 5

// Errors returned when reading messages.
var (
	ErrMessageTooLarge  = errors.New("grpc: message larger than allowed")
	ErrCompressedFlag   = errors.New("grpc: compressed flag is neither 0 nor 1")
	ErrTruncatedMessage = errors.New("grpc: stream ends within a message")
)

// AppendPrefix appends the prefix of a message whose body has n bytes.
func AppendPrefix(dst []byte, n int, compressed bool) []byte {
	flag := byte(0)
	if compressed {
		flag = 1
	}
	return binary.BigEndian.AppendUint32(append(dst, flag), uint32(n))
}

// MessageReader splits a stream of bytes into messages. A message may span several DATA frames, and a frame several
// messages. MessageReader is not safe for concurrent use. Its zero value is ready for use once MaxSize is set.
type MessageReader struct {
	MaxSize int    // largest message accepted, in bytes without its prefix
	buf     []byte // received part of an incomplete message
	bodyLen int    // length of that message without its prefix, set once the prefix is complete
}

// Next adds the bytes p to the stream. It returns the first complete message, prefix included, and the bytes of p after
// it. If no message is complete, it copies p and returns a nil message. A message that lies entirely in p is a slice of
// p; any other message belongs to the caller. The error is ErrMessageTooLarge or ErrCompressedFlag.
func (r *MessageReader) Next(p []byte) (message, rest []byte, err error) {
	if len(r.buf) == 0 && len(p) >= PrefixLen {
		n, err := r.parsePrefix(p)
		if err != nil {
			return nil, nil, err
		}
		if len(p) >= PrefixLen+n {
			return p[:PrefixLen+n], p[PrefixLen+n:], nil
		}
	}
	if missing := PrefixLen - len(r.buf); missing > 0 {
		n := min(missing, len(p))
		r.buf = append(r.buf, p[:n]...)
		if p = p[n:]; len(r.buf) < PrefixLen {
			return nil, nil, nil
		}
		if r.bodyLen, err = r.parsePrefix(r.buf); err != nil {
			return nil, nil, err
		}
	}
	n := min(PrefixLen+r.bodyLen-len(r.buf), len(p))
	r.buf = append(r.buf, p[:n]...)
	if p = p[n:]; len(r.buf) < PrefixLen+r.bodyLen {
		return nil, nil, nil
	}
	message, r.buf = r.buf, nil
	return message, p, nil
}

// parsePrefix returns the length of the message whose prefix p begins with.
func (r *MessageReader) parsePrefix(p []byte) (int, error) {
	if p[0] > 1 {
		return 0, ErrCompressedFlag
	}
	n := binary.BigEndian.Uint32(p[1:])
	if uint64(n) > uint64(r.MaxSize) {
		return 0, fmt.Errorf("%w: %d bytes, at most %d", ErrMessageTooLarge, n, r.MaxSize)
	}
	return int(n), nil
}

// Partial reports whether a message is incomplete, so that the stream must not end here.
func (r *MessageReader) Partial() bool { return len(r.buf) > 0 }

// MessageCounter counts the messages in a stream of bytes without storing them. It is not safe for concurrent use. Its
// zero value is ready for use.
type MessageCounter struct {
	Messages  int // complete messages so far
	prefix    [PrefixLen]byte
	prefixLen int    // bytes of the prefix received so far
	bodyLeft  uint32 // bytes of the message not yet received
	inBody    bool
}

// Add adds the bytes p to the stream. The error is ErrCompressedFlag.
func (c *MessageCounter) Add(p []byte) error {
	for len(p) > 0 || c.inBody && c.bodyLeft == 0 {
		if c.inBody {
			n := min(uint64(c.bodyLeft), uint64(len(p)))
			c.bodyLeft -= uint32(n)
			if p = p[n:]; c.bodyLeft > 0 {
				return nil
			}
			c.inBody, c.prefixLen = false, 0
			c.Messages++
			continue
		}
		n := copy(c.prefix[c.prefixLen:], p)
		c.prefixLen += n
		if p = p[n:]; c.prefixLen < PrefixLen {
			return nil
		}
		if c.prefix[0] > 1 {
			return ErrCompressedFlag
		}
		c.bodyLeft, c.inBody = binary.BigEndian.Uint32(c.prefix[1:]), true
	}
	return nil
}

// Partial reports whether the last message is incomplete.
func (c *MessageCounter) Partial() bool { return c.prefixLen > 0 || c.inBody }
