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

func malformedError(what string, at int) error {
	return fmt.Errorf("%w: %s at byte %d", ErrMalformed, what, at)
}

const (
	protocolVersion = 1
	maxStringLength = 255
	envelopeSize    = 1 + 32 + ed25519.SignatureSize // the key's name and the signature before a message
	// maxNumber bounds lives, counts and orders, so that none can be pushed to where it could not be overtaken.
	maxCounter = 1 << 62
)

func uvarintSize(v uint64) (n int) {
	for n = 1; v >= 0x80; n++ {
		v >>= 7
	}
	return n
}

func durationSize(d time.Duration) int { return uvarintSize(uint64(max(d, 0) / time.Millisecond)) }

// Size is the bytes that a statement takes.
func (s *Statement) Size() int {
	return 1 + uvarintSize(s.Incarnation) + uvarintSize(s.Seq) + durationSize(s.SignedAt) + uvarintSize(s.SubjectIncarnation) + uvarintSize(s.SubjectSeq) + 4 +
		len(s.Signer) + len(s.Key) + len(s.Subject) + len(s.Text) + len(s.Signature)
}

// Size is at least the bytes that a message takes in a packet, signature included.
func (m *Message) Size() int {
	n := envelopeSize + 3 + 5*binary.MaxVarintLen64 + 3 + len(m.From) + len(m.Addr) + len(m.Target)
	for i := range m.Statements {
		n += m.Statements[i].Size()
	}
	return n
}

func appendString(dst []byte, s string) []byte { return append(append(dst, byte(len(s))), s...) }

func appendDuration(dst []byte, d time.Duration) []byte {
	return binary.AppendUvarint(dst, uint64(max(d, 0)/time.Millisecond))
}

// appendBody writes what a statement's signature covers.
func (s *Statement) appendSignedPart(dst []byte) []byte {
	dst = append(dst, byte(s.Kind))
	for _, v := range []uint64{s.Incarnation, s.Seq, s.SubjectIncarnation, s.SubjectSeq} {
		dst = binary.AppendUvarint(dst, v)
	}
	dst = appendDuration(dst, s.SignedAt)
	for _, t := range []string{s.Signer, s.Key, s.Subject, s.Text} {
		dst = appendString(dst, t)
	}
	return dst
}

// Append writes a message. Texts longer than 255 bytes are an error of the caller's settings.
func (m *Message) Append(dst []byte) ([]byte, error) {
	for _, s := range []string{m.From, m.Addr, m.Target} {
		if len(s) > maxStringLength {
			return nil, fmt.Errorf("gossip: a text of %d bytes, at most %d", len(s), maxStringLength)
		}
	}
	flags := byte(0)
	if m.WantAlive {
		flags |= 1
	}
	if m.Reply {
		flags |= 2
	}
	dst = append(dst, protocolVersion, byte(m.Kind), flags)
	for _, v := range []uint64{m.Counter, m.Incarnation, m.ProbeSeq, m.ReceiverSeen} {
		dst = binary.AppendUvarint(dst, v)
	}
	dst = appendDuration(dst, m.SentAt)
	for _, t := range []string{m.From, m.Addr, m.Target} {
		dst = appendString(dst, t)
	}
	for i := range m.Statements {
		s := &m.Statements[i]
		if max(len(s.Signer), len(s.Key), len(s.Subject), len(s.Text)) > maxStringLength {
			return nil, fmt.Errorf("gossip: a statement with a text of more than %d bytes", maxStringLength)
		}
		dst = append(s.appendSignedPart(dst), s.Signature[:]...)
	}
	return dst, nil
}

// reader reads values off bytes and remembers what was wrong first.
type decoder struct {
	rest   []byte
	length int
	err    error
}

func (r *decoder) fail(what string) {
	if r.err == nil {
		r.err = malformedError(what, r.length-len(r.rest))
	}
	r.rest = nil
}

func (r *decoder) byte(below int, what string) byte {
	if len(r.rest) == 0 || int(r.rest[0]) >= below {
		r.fail(what)
		return 0
	}
	v := r.rest[0]
	r.rest = r.rest[1:]
	return v
}

func (r *decoder) string(what string) string {
	if len(r.rest) == 0 || len(r.rest) < 1+int(r.rest[0]) {
		r.fail(what)
		return ""
	}
	s := string(r.rest[1 : 1+int(r.rest[0])])
	r.rest = r.rest[1+int(r.rest[0]):]
	return s
}

func (r *decoder) uvarint(what string) uint64 {
	v, n := binary.Uvarint(r.rest)
	if n <= 0 || v > maxCounter {
		r.fail(what)
		return 0
	}
	r.rest = r.rest[n:]
	return v
}

func (r *decoder) duration(what string) time.Duration {
	v := r.uvarint(what)
	if v > uint64(1<<62/time.Millisecond) {
		r.fail(what)
		return 0
	}
	return time.Duration(v) * time.Millisecond
}

// Parse reads a message that fills b. Its strings are copies; nothing of b is kept.
func ParseMessage(b []byte) (m Message, err error) {
	r := &decoder{rest: b, length: len(b)}
	if v := r.byte(256, "no version"); r.err == nil && v != protocolVersion {
		return m, fmt.Errorf("%w: version %d, this is %d", ErrMalformed, v, protocolVersion)
	}
	m.Kind = MessageKind(r.byte(int(messageKindCount), "kind"))
	flags := r.byte(4, "flags")
	m.WantAlive, m.Reply = flags&1 > 0, flags&2 > 0
	m.Counter, m.Incarnation, m.ProbeSeq, m.ReceiverSeen = r.uvarint("count"), r.uvarint("life"), r.uvarint("sequence"), r.uvarint("seen")
	m.SentAt = r.duration("clock")
	m.From, m.Addr, m.Target = r.string("sender"), r.string("address"), r.string("target")
	if r.err == nil && m.From == "" {
		r.fail("sender")
	}
	for len(r.rest) > 0 {
		s := Statement{Kind: StatementKind(r.byte(int(statementKindCount), "kind of statement"))}
		s.Incarnation, s.Seq, s.SubjectIncarnation, s.SubjectSeq = r.uvarint("life"), r.uvarint("order"), r.uvarint("life of"), r.uvarint("order of")
		s.SignedAt = r.duration("time")
		s.Signer, s.Key, s.Subject, s.Text = r.string("signer"), r.string("key"), r.string("subject"), r.string("text")
		if r.err == nil && (s.Signer == "" || (s.Subject == "") != (s.Kind == MemberAlive)) {
			r.fail("subject")
		}
		if len(r.rest) < len(s.Signature) {
			r.fail("signature")
			break
		}
		copy(s.Signature[:], r.rest)
		r.rest = r.rest[len(s.Signature):]
		m.Statements = append(m.Statements, s)
	}
	if r.err != nil {
		return Message{}, r.err
	}
	return m, nil
}
