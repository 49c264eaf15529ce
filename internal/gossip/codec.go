package gossip

import (
	"crypto/ed25519"
	"encoding/binary"
	"errors"
	"fmt"
	"time"
)

// ErrMalformed tells of bytes that are no message of this version.
var ErrMalformed = errors.New("gossip: malformed message")

func malformed(what string, at int) error {
	return fmt.Errorf("%w: %s at byte %d", ErrMalformed, what, at)
}

const (
	version  = 1
	maxText  = 255
	overhead = 1 + 32 + ed25519.SignatureSize // the key's name and the signature before a message
	// maxNumber bounds lives, counts and orders, so that none can be pushed to where it could not be overtaken.
	maxNumber = 1 << 62
)

func sizeOf(v uint64) (n int) {
	for n = 1; v >= 0x80; n++ {
		v >>= 7
	}
	return n
}

func sizeOfTime(d time.Duration) int { return sizeOf(uint64(max(d, 0) / time.Millisecond)) }

// Size is the bytes that a statement takes.
func (s *Statement) Size() int {
	return 1 + sizeOf(s.Life) + sizeOf(s.Seq) + sizeOfTime(s.At) + sizeOf(s.Of) + sizeOf(s.Num) + 4 +
		len(s.Signer) + len(s.Key) + len(s.Subject) + len(s.Text) + len(s.Sig)
}

// Size is at least the bytes that a message takes in a packet, signature included.
func (m *Message) Size() int {
	n := overhead + 3 + 5*binary.MaxVarintLen64 + 3 + len(m.From) + len(m.Addr) + len(m.Target)
	for i := range m.Statements {
		n += m.Statements[i].Size()
	}
	return n
}

func appendText(dst []byte, s string) []byte { return append(append(dst, byte(len(s))), s...) }

func appendTime(dst []byte, d time.Duration) []byte {
	return binary.AppendUvarint(dst, uint64(max(d, 0)/time.Millisecond))
}

// appendBody writes what a statement's signature covers.
func (s *Statement) appendBody(dst []byte) []byte {
	dst = append(dst, byte(s.About))
	for _, v := range []uint64{s.Life, s.Seq, s.Of, s.Num} {
		dst = binary.AppendUvarint(dst, v)
	}
	dst = appendTime(dst, s.At)
	for _, t := range []string{s.Signer, s.Key, s.Subject, s.Text} {
		dst = appendText(dst, t)
	}
	return dst
}

// Append writes a message. Texts longer than 255 bytes are an error of the caller's settings.
func (m *Message) Append(dst []byte) ([]byte, error) {
	for _, s := range []string{m.From, m.Addr, m.Target} {
		if len(s) > maxText {
			return nil, fmt.Errorf("gossip: a text of %d bytes, at most %d", len(s), maxText)
		}
	}
	flags := byte(0)
	if m.Want {
		flags |= 1
	}
	if m.Back {
		flags |= 2
	}
	dst = append(dst, version, byte(m.Kind), flags)
	for _, v := range []uint64{m.Count, m.Life, m.Seq, m.Seen} {
		dst = binary.AppendUvarint(dst, v)
	}
	dst = appendTime(dst, m.Now)
	for _, t := range []string{m.From, m.Addr, m.Target} {
		dst = appendText(dst, t)
	}
	for i := range m.Statements {
		s := &m.Statements[i]
		if max(len(s.Signer), len(s.Key), len(s.Subject), len(s.Text)) > maxText {
			return nil, fmt.Errorf("gossip: a statement with a text of more than %d bytes", maxText)
		}
		dst = append(s.appendBody(dst), s.Sig[:]...)
	}
	return dst, nil
}

// reader reads values off bytes and remembers what was wrong first.
type reader struct {
	b   []byte
	len int
	err error
}

func (r *reader) fail(what string) {
	if r.err == nil {
		r.err = malformed(what, r.len-len(r.b))
	}
	r.b = nil
}

func (r *reader) byte(below int, what string) byte {
	if len(r.b) == 0 || int(r.b[0]) >= below {
		r.fail(what)
		return 0
	}
	v := r.b[0]
	r.b = r.b[1:]
	return v
}

func (r *reader) text(what string) string {
	if len(r.b) == 0 || len(r.b) < 1+int(r.b[0]) {
		r.fail(what)
		return ""
	}
	s := string(r.b[1 : 1+int(r.b[0])])
	r.b = r.b[1+int(r.b[0]):]
	return s
}

func (r *reader) number(what string) uint64 {
	v, n := binary.Uvarint(r.b)
	if n <= 0 || v > maxNumber {
		r.fail(what)
		return 0
	}
	r.b = r.b[n:]
	return v
}

func (r *reader) time(what string) time.Duration {
	v := r.number(what)
	if v > uint64(1<<62/time.Millisecond) {
		r.fail(what)
		return 0
	}
	return time.Duration(v) * time.Millisecond
}

// Parse reads a message that fills b. Its strings are copies; nothing of b is kept.
func Parse(b []byte) (m Message, err error) {
	r := &reader{b: b, len: len(b)}
	if v := r.byte(256, "no version"); r.err == nil && v != version {
		return m, fmt.Errorf("%w: version %d, this is %d", ErrMalformed, v, version)
	}
	m.Kind = Kind(r.byte(int(kinds), "kind"))
	flags := r.byte(4, "flags")
	m.Want, m.Back = flags&1 > 0, flags&2 > 0
	m.Count, m.Life, m.Seq, m.Seen = r.number("count"), r.number("life"), r.number("sequence"), r.number("seen")
	m.Now = r.time("clock")
	m.From, m.Addr, m.Target = r.text("sender"), r.text("address"), r.text("target")
	if r.err == nil && m.From == "" {
		r.fail("sender")
	}
	for len(r.b) > 0 {
		s := Statement{About: About(r.byte(int(abouts), "kind of statement"))}
		s.Life, s.Seq, s.Of, s.Num = r.number("life"), r.number("order"), r.number("life of"), r.number("order of")
		s.At = r.time("time")
		s.Signer, s.Key, s.Subject, s.Text = r.text("signer"), r.text("key"), r.text("subject"), r.text("text")
		if r.err == nil && (s.Signer == "" || (s.Subject == "") != (s.About == IsAlive)) {
			r.fail("subject")
		}
		if len(r.b) < len(s.Sig) {
			r.fail("signature")
			break
		}
		copy(s.Sig[:], r.b)
		r.b = r.b[len(s.Sig):]
		m.Statements = append(m.Statements, s)
	}
	if r.err != nil {
		return Message{}, r.err
	}
	return m, nil
}
