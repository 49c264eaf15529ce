// Package resp reads and writes arrays of bulk strings of RESP, the Redis serialization protocol. The reader is
// incremental and knows each length's bound before it keeps a byte of what the length announces.
package resp

import (
	"bytes"
	"errors"
	"strconv"
)

// Limits bound one message.
type Limits struct {
	Items int // bulk strings
	Bytes int // of all of them together
}

// The errors of a Reader. After one the stream is of no further use.
var (
	ErrSyntax = errors.New("resp: not an array of bulk strings")
	ErrLimit  = errors.New("resp: message exceeds its limits")
)

// lineMax is the longest line: a sign, the digits of a length, CR and LF.
const lineMax = 16

// Reader takes a stream in pieces and hands over whole messages.
type Reader struct {
	lim  Limits
	buf  []byte
	need int // bytes that buf must hold before another look is of use
}

// NewReader returns a Reader within limits.
func NewReader(l Limits) *Reader { return &Reader{lim: l} }

// Partial tells whether a message has begun and is not whole.
func (r *Reader) Partial() bool { return len(r.buf) > 0 }

// Feed takes the next bytes and calls each with every message that is whole. The items are each's until it
// returns. p is the caller's again when Feed returns.
func (r *Reader) Feed(p []byte, each func(items [][]byte) error) error {
	if len(r.buf) > 0 {
		r.buf = append(r.buf, p...)
		p = r.buf
	}
	var items [][]byte
	for len(p) > 0 {
		if len(p) < r.need {
			break
		}
		n, need, err := r.message(p, &items)
		if err != nil {
			return err
		}
		if n == 0 {
			r.need = need
			break
		}
		r.need = 0
		if err := each(items); err != nil {
			return err
		}
		p = p[n:]
	}
	switch {
	case len(p) == 0:
		r.buf = nil // an idle connection holds no buffer
	case len(r.buf) == 0 || &p[0] != &r.buf[0]:
		r.buf = append([]byte(nil), p...)
	}
	return nil
}

// message reads one message at the start of p. n is 0 where it is not whole; need is then the least length at
// which it may be.
func (r *Reader) message(p []byte, items *[][]byte) (n, need int, err error) {
	count, at, err := length(p, '*')
	if err != nil || at == 0 {
		return 0, len(p) + 1, err
	}
	if count < 1 {
		return 0, 0, ErrSyntax
	}
	if count > r.lim.Items {
		return 0, 0, ErrLimit
	}
	*items = (*items)[:0]
	total := 0
	for range count {
		size, k, err := length(p[at:], '$')
		if err != nil || k == 0 {
			return 0, len(p) + 1, err
		}
		if total += size; size > r.lim.Bytes || total > r.lim.Bytes {
			return 0, 0, ErrLimit
		}
		at += k
		if len(p) < at+size+2 {
			return 0, at + size + 2, nil
		}
		if p[at+size] != '\r' || p[at+size+1] != '\n' {
			return 0, 0, ErrSyntax
		}
		*items = append(*items, p[at:at+size:at+size])
		at += size + 2
	}
	return at, 0, nil
}

// length reads a line of a kind and a decimal length. n is 0 where the line is not whole.
func length(p []byte, kind byte) (v, n int, err error) {
	if len(p) == 0 {
		return 0, 0, nil
	}
	if p[0] != kind {
		return 0, 0, ErrSyntax
	}
	end := bytes.IndexByte(p[:min(len(p), lineMax)], '\n')
	digits := p[1:min(len(p), lineMax)]
	if end >= 0 {
		if end < 3 || p[end-1] != '\r' {
			return 0, 0, ErrSyntax
		}
		digits = p[1 : end-1]
	} else if len(p) >= lineMax {
		return 0, 0, ErrLimit
	} else if k := len(digits); k > 0 && digits[k-1] == '\r' {
		digits = digits[:k-1]
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
	v, err = strconv.Atoi(string(digits))
	if err != nil {
		return 0, 0, ErrLimit
	}
	return v, end + 1, nil
}

// Append adds a message of the items to b.
func Append(b []byte, items ...[]byte) []byte {
	b = append(b, '*')
	b = strconv.AppendInt(b, int64(len(items)), 10)
	b = append(b, '\r', '\n')
	for _, it := range items {
		b = append(b, '$')
		b = strconv.AppendInt(b, int64(len(it)), 10)
		b = append(b, '\r', '\n')
		b = append(b, it...)
		b = append(b, '\r', '\n')
	}
	return b
}
