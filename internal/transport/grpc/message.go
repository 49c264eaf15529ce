package grpc

import (
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"sync"

	"github.com/klauspost/compress/gzip"
)

// PrefixLen is the length of a message's prefix: a flag byte and four bytes of length.
const PrefixLen = 5

// Errors of reading messages.
var (
	ErrMessageTooLarge  = errors.New("grpc: message larger than allowed")
	ErrCompressedFlag   = errors.New("grpc: compressed flag is neither 0 nor 1")
	ErrTruncatedMessage = errors.New("grpc: stream ends within a message")
)

// AppendPrefix appends the prefix of a message of n bytes.
func AppendPrefix(dst []byte, n int, compressed bool) []byte {
	flag := byte(0)
	if compressed {
		flag = 1
	}
	return binary.BigEndian.AppendUint32(append(dst, flag), uint32(n))
}

// Reader cuts a stream of bytes into messages, wherever the frames' borders fall. It belongs to one
// goroutine. The zero value with Max set is ready.
type MessageReader struct {
	MaxSize int // largest message taken, in bytes
	buf     []byte
	bodyLen int // length of the message under way
}

// Next takes bytes and returns the first message that is whole, prefix included, and the bytes behind it.
// Without a whole message yet it returns nil and keeps a copy of p. A message that lay
// whole in p is a part of p; another one is the caller's for good.
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
		k := min(missing, len(p))
		r.buf = append(r.buf, p[:k]...)
		if p = p[k:]; len(r.buf) < PrefixLen {
			return nil, nil, nil
		}
		if r.bodyLen, err = r.parsePrefix(r.buf); err != nil {
			return nil, nil, err
		}
	}
	k := min(PrefixLen+r.bodyLen-len(r.buf), len(p))
	r.buf = append(r.buf, p[:k]...)
	if p = p[k:]; len(r.buf) < PrefixLen+r.bodyLen {
		return nil, nil, nil
	}
	message, r.buf = r.buf, nil
	return message, p, nil
}

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

// Partial tells whether a message has begun that is not whole: the stream's end would cut it.
func (r *MessageReader) Partial() bool { return len(r.buf) > 0 }

// Counter follows messages that pass by without keeping them.
type MessageCounter struct {
	Messages  int // whole ones so far
	prefix    [PrefixLen]byte
	prefixLen int
	bodyLeft  uint32
	inBody    bool
}

// Add takes the next bytes.
func (c *MessageCounter) Add(p []byte) error {
	for len(p) > 0 || c.inBody && c.bodyLeft == 0 {
		if c.inBody {
			k := min(uint64(c.bodyLeft), uint64(len(p)))
			c.bodyLeft -= uint32(k)
			if p = p[k:]; c.bodyLeft > 0 {
				return nil
			}
			c.inBody, c.prefixLen = false, 0
			c.Messages++
			continue
		}
		k := copy(c.prefix[c.prefixLen:], p)
		c.prefixLen += k
		if p = p[k:]; c.prefixLen < PrefixLen {
			return nil
		}
		if c.prefix[0] > 1 {
			return ErrCompressedFlag
		}
		c.bodyLeft, c.inBody = binary.BigEndian.Uint32(c.prefix[1:]), true
	}
	return nil
}

// Partial tells whether the last message is not whole.
func (c *MessageCounter) Partial() bool { return c.prefixLen > 0 || c.inBody }

// Encodings are the message encodings that are understood, as grpc-accept-encoding lists them.
const AcceptedEncodings = "identity,gzip"

// Known tells whether a grpc-encoding is understood.
func IsKnownEncoding(encoding string) bool {
	return encoding == "" || encoding == "identity" || encoding == "gzip"
}

var gzipReaders = sync.Pool{New: func() any { return new(gzip.Reader) }}

// Body returns the plain bytes of a message with its prefix: a part of it, or new bytes where it was
// compressed. A message may grow to limit bytes and no further.
func MessageBody(message []byte, encoding string, limit int) ([]byte, error) {
	if len(message) < PrefixLen {
		return nil, ErrTruncatedMessage
	}
	if message[0] == 0 {
		return message[PrefixLen:], nil
	}
	if encoding != "gzip" {
		return nil, fmt.Errorf("grpc: compressed message with grpc-encoding %q", encoding)
	}
	reader, _ := gzipReaders.Get().(*gzip.Reader)
	defer gzipReaders.Put(reader)
	if err := reader.Reset(bytes.NewReader(message[PrefixLen:])); err != nil {
		return nil, fmt.Errorf("grpc: gzip: %w", err)
	}
	out, err := io.ReadAll(io.LimitReader(reader, int64(limit)+1))
	if err != nil {
		return nil, fmt.Errorf("grpc: gzip: %w", err)
	}
	if len(out) > limit { // guards against a small message that unpacks to a large one
		return nil, fmt.Errorf("%w: over %d bytes unpacked", ErrMessageTooLarge, limit)
	}
	return out, nil
}

// Compress returns a message with its prefix, compressed by gzip.
func Compress(body []byte) ([]byte, error) {
	var b bytes.Buffer
	b.Write(make([]byte, PrefixLen))
	z := gzip.NewWriter(&b)
	if _, err := z.Write(body); err != nil {
		return nil, err
	}
	if err := z.Close(); err != nil {
		return nil, err
	}
	out := b.Bytes()
	AppendPrefix(out[:0], len(out)-PrefixLen, true)
	return out, nil
}
