package gossip

import (
	"crypto/ed25519"
	"encoding/binary"
	"errors"
	"fmt"
	"time"
)

// ErrMalformed reports input that is not a valid message of this protocol version.
var ErrMalformed = errors.New("gossip: malformed message")

func malformedError(what string, offset int) error {
	return fmt.Errorf("%w: %s at byte %d", ErrMalformed, what, offset)
}

const (
	protocolVersion = 1
	maxStringLength = 255
	// envelopeSize is the maximum size of what precedes the message in a packet: the key's name and the signature.
	envelopeSize = 1 + 32 + ed25519.SignatureSize
	// maxCounter bounds incarnations, counters and sequence numbers.
	maxCounter = 1 << 62
	// counterHeadroom is how far below maxCounter the numbers must stay that a member adopts from others, so that
	// nobody can drive it to a point where its own numbers can't increase any more.
	counterHeadroom = 1 << 32
	// maxDurationMillis is the largest duration that is accepted, in milliseconds.
	maxDurationMillis = uint64(1 << 62 / time.Millisecond)
)

// Bits of a message's flags byte.
const (
	flagWantAlive = 1 << iota
	flagReply
	flagLimit // upper bound, exclusive, of the flags byte
)

func uvarintSize(v uint64) int {
	n := 1
	for v >= 0x80 {
		v >>= 7
		n++
	}
	return n
}

func durationSize(d time.Duration) int { return uvarintSize(uint64(max(d, 0) / time.Millisecond)) }

// Size returns the encoded size of a statement in bytes.
func (s *Statement) Size() int {
	return 1 + uvarintSize(s.Incarnation) + uvarintSize(s.Seq) + durationSize(s.SignedAt) +
		uvarintSize(s.SubjectIncarnation) + uvarintSize(s.SubjectSeq) +
		4 + len(s.Signer) + len(s.Key) + len(s.Subject) + len(s.Text) + len(s.Signature)
}

// Size returns an upper bound of the size in bytes of the packet that carries the message, including its signature.
func (m *Message) Size() int {
	n := envelopeSize + 3 + 5*binary.MaxVarintLen64 + 3 + len(m.From) + len(m.Addr) + len(m.Target)
	for i := range m.Statements {
		n += m.Statements[i].Size()
	}
	return n
}

func appendString(dst []byte, s string) []byte { return append(append(dst, byte(len(s))), s...) }

// appendDuration encodes a duration in whole milliseconds, a negative one as 0.
func appendDuration(dst []byte, d time.Duration) []byte {
	return binary.AppendUvarint(dst, uint64(max(d, 0)/time.Millisecond))
}

// appendSignedPart appends the bytes that a statement's signature covers.
func (s *Statement) appendSignedPart(dst []byte) []byte {
	dst = append(dst, byte(s.Kind))
	for _, v := range []uint64{s.Incarnation, s.Seq, s.SubjectIncarnation, s.SubjectSeq} {
		dst = binary.AppendUvarint(dst, v)
	}
	dst = appendDuration(dst, s.SignedAt)
	for _, v := range []string{s.Signer, s.Key, s.Subject, s.Text} {
		dst = appendString(dst, v)
	}
	return dst
}

// AppendTo appends the encoded message to dst. It returns an error if a string is longer than 255 bytes, which only
// wrong settings can cause.
func (m *Message) AppendTo(dst []byte) ([]byte, error) {
	for _, v := range []string{m.From, m.Addr, m.Target} {
		if len(v) > maxStringLength {
			return nil, fmt.Errorf("gossip: message has a string of %d bytes, maximum is %d", len(v), maxStringLength)
		}
	}
	flags := byte(0)
	if m.WantAlive {
		flags |= flagWantAlive
	}
	if m.Reply {
		flags |= flagReply
	}
	dst = append(dst, protocolVersion, byte(m.Kind), flags)
	for _, v := range []uint64{m.Counter, m.Incarnation, m.ProbeSeq, m.ReceiverSeen} {
		dst = binary.AppendUvarint(dst, v)
	}
	dst = appendDuration(dst, m.SentAt)
	for _, v := range []string{m.From, m.Addr, m.Target} {
		dst = appendString(dst, v)
	}
	for i := range m.Statements {
		s := &m.Statements[i]
		if max(len(s.Signer), len(s.Key), len(s.Subject), len(s.Text)) > maxStringLength {
			return nil, fmt.Errorf("gossip: statement has a string of more than %d bytes", maxStringLength)
		}
		dst = append(s.appendSignedPart(dst), s.Signature[:]...)
	}
	return dst, nil
}

// decoder reads values from a byte slice. It keeps the first error, after which all values read are zero.
type decoder struct {
	rest   []byte
	length int // of the whole input, to compute the offset of an error
	err    error
}

func (d *decoder) fail(what string) {
	if d.err == nil {
		d.err = malformedError(what, d.length-len(d.rest))
	}
	d.rest = nil
}

// byte reads one byte that must be less than limit.
func (d *decoder) byte(limit int, what string) byte {
	if len(d.rest) == 0 || int(d.rest[0]) >= limit {
		d.fail(what)
		return 0
	}
	v := d.rest[0]
	d.rest = d.rest[1:]
	return v
}

func (d *decoder) string(what string) string {
	if len(d.rest) == 0 || len(d.rest) < 1+int(d.rest[0]) {
		d.fail(what)
		return ""
	}
	end := 1 + int(d.rest[0])
	s := string(d.rest[1:end])
	d.rest = d.rest[end:]
	return s
}

func (d *decoder) uvarint(what string) uint64 {
	v, n := binary.Uvarint(d.rest)
	if n <= 0 || v > maxCounter {
		d.fail(what)
		return 0
	}
	d.rest = d.rest[n:]
	return v
}

func (d *decoder) duration(what string) time.Duration {
	v := d.uvarint(what)
	if v > maxDurationMillis {
		d.fail(what)
		return 0
	}
	return time.Duration(v) * time.Millisecond
}

// statement reads one statement without verifying its signature.
func (d *decoder) statement() Statement {
	s := Statement{Kind: StatementKind(d.byte(int(statementKindCount), "kind of statement"))}
	s.Incarnation = d.uvarint("incarnation")
	s.Seq = d.uvarint("sequence number")
	s.SubjectIncarnation = d.uvarint("incarnation of the subject")
	s.SubjectSeq = d.uvarint("sequence number of the subject")
	s.SignedAt = d.duration("time")
	s.Signer = d.string("signer")
	s.Key = d.string("key")
	s.Subject = d.string("subject")
	s.Text = d.string("text")
	if d.err == nil && (s.Signer == "" || (s.Subject == "") != (s.Kind == MemberAlive)) {
		d.fail("subject")
	}
	if len(d.rest) < len(s.Signature) {
		d.fail("signature")
		return s
	}
	copy(s.Signature[:], d.rest)
	d.rest = d.rest[len(s.Signature):]
	return s
}

// ParseMessage decodes b, which must hold exactly one message. The message does not refer to b. Errors wrap
// ErrMalformed.
func ParseMessage(b []byte) (Message, error) {
	var m Message
	d := &decoder{rest: b, length: len(b)}
	if version := d.byte(256, "no version"); d.err == nil && version != protocolVersion {
		return m, fmt.Errorf("%w: version %d, this is %d", ErrMalformed, version, protocolVersion)
	}
	m.Kind = MessageKind(d.byte(int(messageKindCount), "kind"))
	flags := d.byte(flagLimit, "flags")
	m.WantAlive, m.Reply = flags&flagWantAlive > 0, flags&flagReply > 0
	m.Counter = d.uvarint("counter")
	m.Incarnation = d.uvarint("incarnation")
	m.ProbeSeq = d.uvarint("probe sequence number")
	m.ReceiverSeen = d.uvarint("seen of the receiver")
	m.SentAt = d.duration("clock")
	m.From = d.string("sender")
	m.Addr = d.string("address")
	m.Target = d.string("target")
	if d.err == nil && m.From == "" {
		d.fail("sender")
	}
	for len(d.rest) > 0 {
		m.Statements = append(m.Statements, d.statement())
	}
	if d.err != nil {
		return Message{}, d.err
	}
	return m, nil
}
