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
	ErrTooLarge = errors.New("grpc: message larger than allowed")
	ErrFlag     = errors.New("grpc: compressed flag is neither 0 nor 1")
	ErrCut      = errors.New("grpc: stream ends within a message")
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
type Reader struct {
	Max  int // largest message taken, in bytes
	buf  []byte
	want int // length of the message under way
}

// Next takes bytes and returns the first message that is whole, prefix included, and the bytes behind it.
// Without a whole message yet it returns nil and keeps a copy of p. A message that lay
// whole in p is a part of p; another one is the caller's for good.
func (r *Reader) Next(p []byte) (message, rest []byte, err error) {
	if len(r.buf) == 0 && len(p) >= PrefixLen {
		n, err := r.length(p)
		if err != nil {
			return nil, nil, err
		}
		if len(p) >= PrefixLen+n {
			return p[:PrefixLen+n], p[PrefixLen+n:], nil
		}
	}
	if miss := PrefixLen - len(r.buf); miss > 0 {
		k := min(miss, len(p))
		r.buf = append(r.buf, p[:k]...)
		if p = p[k:]; len(r.buf) < PrefixLen {
			return nil, nil, nil
		}
		if r.want, err = r.length(r.buf); err != nil {
			return nil, nil, err
		}
	}
	k := min(PrefixLen+r.want-len(r.buf), len(p))
	r.buf = append(r.buf, p[:k]...)
	if p = p[k:]; len(r.buf) < PrefixLen+r.want {
		return nil, nil, nil
	}
	message, r.buf = r.buf, nil
	return message, p, nil
}

func (r *Reader) length(p []byte) (int, error) {
	if p[0] > 1 {
		return 0, ErrFlag
	}
	n := binary.BigEndian.Uint32(p[1:])
	if uint64(n) > uint64(r.Max) {
		return 0, fmt.Errorf("%w: %d bytes, at most %d", ErrTooLarge, n, r.Max)
	}
	return int(n), nil
}

// Partial tells whether a message has begun that is not whole: the stream's end would cut it.
func (r *Reader) Partial() bool { return len(r.buf) > 0 }

// Counter follows messages that pass by without keeping them.
type Counter struct {
	Messages int // whole ones so far
	prefix   [PrefixLen]byte
	have     int
	left     uint32
	inBody   bool
}

// Add takes the next bytes.
func (c *Counter) Add(p []byte) error {
	for len(p) > 0 || c.inBody && c.left == 0 {
		if c.inBody {
			k := min(uint64(c.left), uint64(len(p)))
			c.left -= uint32(k)
			if p = p[k:]; c.left > 0 {
				return nil
			}
			c.inBody, c.have = false, 0
			c.Messages++
			continue
		}
		k := copy(c.prefix[c.have:], p)
		c.have += k
		if p = p[k:]; c.have < PrefixLen {
			return nil
		}
		if c.prefix[0] > 1 {
			return ErrFlag
		}
		c.left, c.inBody = binary.BigEndian.Uint32(c.prefix[1:]), true
	}
	return nil
}

// Partial tells whether the last message is not whole.
func (c *Counter) Partial() bool { return c.have > 0 || c.inBody }

// Encodings are the message encodings that are understood, as grpc-accept-encoding lists them.
const Encodings = "identity,gzip"

// Known tells whether a grpc-encoding is understood.
func Known(encoding string) bool {
	return encoding == "" || encoding == "identity" || encoding == "gzip"
}

var zips = sync.Pool{New: func() any { return new(gzip.Reader) }}

// Body returns the plain bytes of a message with its prefix: a part of it, or new bytes where it was
// compressed. A message may grow to limit bytes and no further.
func Body(message []byte, encoding string, limit int) ([]byte, error) {
	if len(message) < PrefixLen {
		return nil, ErrCut
	}
	if message[0] == 0 {
		return message[PrefixLen:], nil
	}
	if encoding != "gzip" {
		return nil, fmt.Errorf("grpc: compressed message with grpc-encoding %q", encoding)
	}
	z, _ := zips.Get().(*gzip.Reader)
	defer zips.Put(z)
	if err := z.Reset(bytes.NewReader(message[PrefixLen:])); err != nil {
		return nil, fmt.Errorf("grpc: gzip: %w", err)
	}
	out, err := io.ReadAll(io.LimitReader(z, int64(limit)+1))
	if err != nil {
		return nil, fmt.Errorf("grpc: gzip: %w", err)
	}
	if len(out) > limit { // guards against a small message that unpacks to a large one
		return nil, fmt.Errorf("%w: over %d bytes unpacked", ErrTooLarge, limit)
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
