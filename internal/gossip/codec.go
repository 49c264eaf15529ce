package gossip

import (
	"encoding/binary"
	"errors"
)

// ErrMalformed tells of a packet that is no message of this version.
var ErrMalformed = errors.New("gossip: malformed message")

const (
	version  = 1
	maxText  = 255
	overhead = 100 // the version, the signature and the key's name around a message
)

// Size is at least the bytes that a message takes in a packet, signature included.
func (m Message) Size() int {
	n := overhead + 2 + 2*binary.MaxVarintLen64 + 4 + len(m.From) + len(m.Addr) + len(m.Target)
	for _, r := range m.Rumours {
		n += r.Size()
	}
	return n
}

// Size is at least the bytes that a rumour takes.
func (r Rumour) Size() int {
	return 1 + binary.MaxVarintLen64 + 3 + len(r.ID) + len(r.Addr) + len(r.By)
}

// Append writes a message. Texts longer than 255 bytes are an error of the caller's settings.
func (m Message) Append(dst []byte) ([]byte, error) {
	text := func(s string) {
		dst = append(append(dst, byte(len(s))), s...)
	}
	for _, s := range []string{m.From, m.Addr, m.Target} {
		if len(s) > maxText {
			return nil, ErrMalformed
		}
	}
	dst = append(dst, version, byte(m.Kind))
	dst = binary.AppendUvarint(dst, m.Count)
	dst = binary.AppendUvarint(dst, m.Seq)
	text(m.From)
	text(m.Addr)
	text(m.Target)
	for _, r := range m.Rumours {
		if len(r.ID) > maxText || len(r.Addr) > maxText || len(r.By) > maxText {
			return nil, ErrMalformed
		}
		dst = append(dst, byte(r.State))
		dst = binary.AppendUvarint(dst, r.Incarnation)
		text(r.ID)
		text(r.Addr)
		text(r.By)
	}
	return dst, nil
}

// Parse reads a message that fills b. Its strings are copies.
func Parse(b []byte) (m Message, err error) {
	bad := false
	text := func() string {
		if len(b) == 0 || len(b) < 1+int(b[0]) {
			bad = true
			return ""
		}
		s := string(b[1 : 1+int(b[0])])
		b = b[1+int(b[0]):]
		return s
	}
	number := func() uint64 {
		v, n := binary.Uvarint(b)
		if n <= 0 {
			bad = true
			return 0
		}
		b = b[n:]
		return v
	}
	if len(b) < 2 || b[0] != version || b[1] > byte(Help) {
		return m, ErrMalformed
	}
	m.Kind, b = Kind(b[1]), b[2:]
	m.Count, m.Seq, m.From, m.Addr, m.Target = number(), number(), text(), text(), text()
	for len(b) > 0 && !bad {
		if b[0] > byte(Dead) {
			return Message{}, ErrMalformed
		}
		r := Rumour{State: State(b[0])}
		b = b[1:]
		r.Incarnation, r.ID, r.Addr, r.By = number(), text(), text(), text()
		if bad || r.ID == "" || r.Incarnation == 1<<64-1 { // an incarnation that could not be refuted
			return Message{}, ErrMalformed
		}
		m.Rumours = append(m.Rumours, r)
	}
	if bad || m.From == "" {
		return Message{}, ErrMalformed
	}
	return m, nil
}
