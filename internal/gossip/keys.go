package gossip

import (
	"crypto/ed25519"
	"errors"
	"fmt"
)

// Keys are the keys of the admitted members. A member may have several at a time, by their names, so that one
// can be exchanged in service.
type Keys struct {
	name  string
	own   ed25519.PrivateKey
	count uint64
	all   map[string]map[string]ed25519.PublicKey // by member and name
	seen  map[string]*window                      // by member
	buf   []byte
}

// window tells which of a sender's packets have come: the highest count, and the 64 up to it (RFC 4303, section
// 3.4.3, anti-replay).
type window struct{ top, bits uint64 }

// fresh notes a count and tells whether it is new. What lies far behind the highest is taken for old.
func (w *window) fresh(n uint64) bool {
	switch {
	case n > w.top:
		if d := n - w.top; d < 64 {
			w.bits = w.bits<<d | 1
		} else {
			w.bits = 1
		}
		w.top = n
		return true
	case w.top-n >= 64 || w.bits>>(w.top-n)&1 == 1:
		return false
	}
	w.bits |= 1 << (w.top - n)
	return true
}

// staleBy is how far below the highest a count is stale: lives count from their start in nanoseconds, and no packet
// is a quarter of a second's worth of counts late.
const staleBy = 1 << 28

// Errors of opening a packet.
var (
	ErrUnknownKey = errors.New("gossip: signed by a key that is not admitted")
	ErrSignature  = errors.New("gossip: signature does not fit")
	ErrReplay     = errors.New("gossip: packet has come before, or is older than those that came")
	ErrStale      = fmt.Errorf("%w: far older", ErrReplay) // as of a life that began with its clock set back
)

// NewKeys returns the keys of one member that signs with its key of that name. Its packets are counted from
// first, which must be higher than any count of an earlier life: its start time in nanoseconds will do.
func NewKeys(name string, own ed25519.PrivateKey, first uint64) *Keys {
	return &Keys{name: name, own: own, count: first, all: map[string]map[string]ed25519.PublicKey{},
		seen: map[string]*window{}}
}

// Use signs with another key from now on.
func (k *Keys) Use(name string, own ed25519.PrivateKey) { k.name, k.own = name, own }

// Name is that of the key in use.
func (k *Keys) Name() string { return k.name }

// Raise counts packets from above n, where peers have seen so many of an earlier life.
func (k *Keys) Raise(n uint64) {
	if n < maxNumber-1<<32 {
		k.count = max(k.count, n)
	}
}

// Admit takes exactly these members and keys from now on. What was seen of a member stays, so that a key that
// is taken out and admitted again opens nothing twice.
func (k *Keys) Admit(members map[string]map[string]ed25519.PublicKey) { k.all = members }

// Admitted lists the key names of a member; nil if it is not admitted.
func (k *Keys) Admitted(member string) map[string]ed25519.PublicKey { return k.all[member] }

// Seal returns a message as a signed packet: the key's name, the signature, the message.
func (k *Keys) Seal(m Message) ([]byte, error) {
	k.count++
	m.Count = k.count
	body, err := m.Append(nil)
	if err != nil {
		return nil, err
	}
	if len(k.name) > 31 {
		return nil, fmt.Errorf("gossip: key name %q is longer than 31 bytes", k.name)
	}
	out := make([]byte, 0, len(body)+overhead)
	out = append(appendText(out, k.name), ed25519.Sign(k.own, body)...)
	return append(out, body...), nil
}

// Open returns a packet's message if the member that it names as its sender signed it. With ErrReplay it
// returns the message as well, and the highest count seen: the sender may have started anew with its clock
// set back.
func (k *Keys) Open(b []byte) (m Message, seen uint64, err error) {
	if len(b) < 1 || len(b) < 1+int(b[0])+ed25519.SignatureSize {
		return m, 0, malformed("packet too short", len(b))
	}
	name, b := string(b[1:1+int(b[0])]), b[1+int(b[0]):]
	sig, body := b[:ed25519.SignatureSize], b[ed25519.SignatureSize:]
	if m, err = Parse(body); err != nil { // cheap, and bounded by the packet; it names the key to check
		return Message{}, 0, err
	}
	key, ok := k.all[m.From][name]
	if !ok {
		return Message{}, 0, fmt.Errorf("%w: %q of %q", ErrUnknownKey, name, m.From)
	}
	if !ed25519.Verify(key, body, sig) {
		return Message{}, 0, fmt.Errorf("%w: by %q of %q", ErrSignature, name, m.From)
	}
	w := k.seen[m.From]
	if w == nil { // only of admitted members, so it is bounded by their number
		w = &window{}
		k.seen[m.From] = w
	}
	if !w.fresh(m.Count) {
		if w.top-m.Count > staleBy {
			return m, w.top, ErrStale
		}
		return m, w.top, ErrReplay
	}
	return m, w.top, nil
}

// Sign completes a statement of this member's.
func (k *Keys) Sign(s *Statement) {
	s.Key = k.name
	k.buf = s.appendBody(k.buf[:0])
	copy(s.Sig[:], ed25519.Sign(k.own, k.buf))
}

// Check tells whether a statement is by the member that it names.
func (k *Keys) Check(s *Statement) error {
	key, ok := k.all[s.Signer][s.Key]
	if !ok {
		return fmt.Errorf("%w: %q of %q", ErrUnknownKey, s.Key, s.Signer)
	}
	k.buf = s.appendBody(k.buf[:0])
	if !ed25519.Verify(key, k.buf, s.Sig[:]) {
		return fmt.Errorf("%w: statement by %q of %q", ErrSignature, s.Key, s.Signer)
	}
	return nil
}
