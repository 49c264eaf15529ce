package gossip

import (
	"crypto/ed25519"
	"errors"
)

// Keys are the keys of the admitted members. A member may have several at a time, by their names, so that one
// can be exchanged in service.
type Keys struct {
	name  string
	own   ed25519.PrivateKey
	count uint64
	all   map[string]map[string]ed25519.PublicKey // by member and name
	seen  map[string]*window                      // by member
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

// Errors of opening a packet.
var (
	ErrUnknownKey = errors.New("gossip: packet signed by a key that is not admitted")
	ErrSignature  = errors.New("gossip: signature does not fit the packet")
	ErrReplay     = errors.New("gossip: packet has come before, or is older than those that came")
)

// NewKeys returns the keys of one member that signs with its key of that name. Its packets are counted from
// first, which must be higher than any count of an earlier life: its start time in nanoseconds will do.
func NewKeys(name string, own ed25519.PrivateKey, first uint64) *Keys {
	return &Keys{name: name, own: own, count: first, all: map[string]map[string]ed25519.PublicKey{},
		seen: map[string]*window{}}
}

// Admit takes packets of a member that are signed by a key from now on.
func (k *Keys) Admit(member, name string, key ed25519.PublicKey) {
	if k.all[member] == nil {
		k.all[member] = map[string]ed25519.PublicKey{}
	}
	k.all[member][name] = key
}

// Drop takes them no more.
func (k *Keys) Drop(member, name string) { delete(k.all[member], name) }

// Seal returns a message as a signed packet: the key's name, the signature, the message.
func (k *Keys) Seal(m Message) ([]byte, error) {
	k.count++
	m.Count = k.count
	body, err := m.Append(nil)
	if err != nil || len(k.name) > maxText {
		return nil, ErrMalformed
	}
	out := append([]byte{byte(len(k.name))}, k.name...)
	return append(append(out, ed25519.Sign(k.own, body)...), body...), nil
}

// Open returns a packet's message if the member that it names as its sender signed it.
func (k *Keys) Open(b []byte) (Message, error) {
	if len(b) < 1 || len(b) < 1+int(b[0])+ed25519.SignatureSize {
		return Message{}, ErrMalformed
	}
	name, b := string(b[1:1+int(b[0])]), b[1+int(b[0]):]
	sig, body := b[:ed25519.SignatureSize], b[ed25519.SignatureSize:]
	m, err := Parse(body) // cheap, and bounded by the packet; it names the key to check
	if err != nil {
		return Message{}, err
	}
	key, ok := k.all[m.From][name]
	if !ok {
		return Message{}, ErrUnknownKey
	}
	if !ed25519.Verify(key, body, sig) {
		return Message{}, ErrSignature
	}
	if k.seen[m.From] == nil { // only of admitted members, so it is bounded by their number
		k.seen[m.From] = &window{}
	}
	if !k.seen[m.From].fresh(m.Count) {
		return Message{}, ErrReplay
	}
	return m, nil
}
