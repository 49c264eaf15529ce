package gossip

import (
	"crypto/ed25519"
	"errors"
	"fmt"
)

// Keys are the keys of the admitted members. A member may have several at a time, by their names, so that one
// can be exchanged in service.
type Keyring struct {
	ownName       string
	private       ed25519.PrivateKey
	counter       uint64
	admitted      map[string]map[string]ed25519.PublicKey // by member and name
	replayWindows map[string]*replayWindow                // by member
	buffer        []byte
}

// window tells which of a sender's packets have come: the highest count, and the 64 up to it (RFC 4303, section
// 3.4.3, anti-replay).
type replayWindow struct{ highest, received uint64 }

// fresh notes a count and tells whether it is new. What lies far behind the highest is taken for old.
func (w *replayWindow) accept(n uint64) bool {
	switch {
	case n > w.highest:
		if d := n - w.highest; d < 64 {
			w.received = w.received<<d | 1
		} else {
			w.received = 1
		}
		w.highest = n
		return true
	case w.highest-n >= 64 || w.received>>(w.highest-n)&1 == 1:
		return false
	}
	w.received |= 1 << (w.highest - n)
	return true
}

// staleBy is how far below the highest a count is stale: lives count from their start in nanoseconds, and no packet
// is a quarter of a second's worth of counts late.
const staleDistance = 1 << 28

// Errors of opening a packet.
var (
	ErrUnknownKey = errors.New("gossip: signed by a key that is not admitted")
	ErrSignature  = errors.New("gossip: signature does not fit")
	ErrReplay     = errors.New("gossip: packet has come before, or is older than those that came")
	ErrStale      = fmt.Errorf("%w: far older", ErrReplay) // as of a life that began with its clock set back
)

// NewKeys returns the keys of one member that signs with its key of that name. Its packets are counted from
// first, which must be higher than any count of an earlier life: its start time in nanoseconds will do.
func NewKeyring(name string, own ed25519.PrivateKey, first uint64) *Keyring {
	return &Keyring{ownName: name, private: own, counter: first, admitted: map[string]map[string]ed25519.PublicKey{},
		replayWindows: map[string]*replayWindow{}}
}

// Use signs with another key from now on.
func (k *Keyring) SetOwnKey(name string, own ed25519.PrivateKey) { k.ownName, k.private = name, own }

// Name is that of the key in use.
func (k *Keyring) OwnKeyName() string { return k.ownName }

// Raise counts packets from above n, where peers have seen so many of an earlier life.
func (k *Keyring) AdvanceCounter(n uint64) {
	if n < maxCounter-1<<32 {
		k.counter = max(k.counter, n)
	}
}

// Admit takes exactly these members and keys from now on. What was seen of a member stays, so that a key that
// is taken out and admitted again opens nothing twice.
func (k *Keyring) SetAdmitted(members map[string]map[string]ed25519.PublicKey) { k.admitted = members }

// Admitted lists the key names of a member; nil if it is not admitted.
func (k *Keyring) AdmittedKeys(member string) map[string]ed25519.PublicKey { return k.admitted[member] }

// Seal returns a message as a signed packet: the key's name, the signature, the message.
func (k *Keyring) Seal(m Message) ([]byte, error) {
	k.counter++
	m.Counter = k.counter
	body, err := m.Append(nil)
	if err != nil {
		return nil, err
	}
	if len(k.ownName) > 31 {
		return nil, fmt.Errorf("gossip: key name %q is longer than 31 bytes", k.ownName)
	}
	out := make([]byte, 0, len(body)+envelopeSize)
	out = append(appendString(out, k.ownName), ed25519.Sign(k.private, body)...)
	return append(out, body...), nil
}

// Open returns a packet's message if the member that it names as its sender signed it. With ErrReplay it
// returns the message as well, and the highest count seen: the sender may have started anew with its clock
// set back.
func (k *Keyring) Open(b []byte) (m Message, seen uint64, err error) {
	if len(b) < 1 || len(b) < 1+int(b[0])+ed25519.SignatureSize {
		return m, 0, malformedError("packet too short", len(b))
	}
	name, b := string(b[1:1+int(b[0])]), b[1+int(b[0]):]
	sig, body := b[:ed25519.SignatureSize], b[ed25519.SignatureSize:]
	if m, err = ParseMessage(body); err != nil { // cheap, and bounded by the packet; it names the key to check
		return Message{}, 0, err
	}
	key, ok := k.admitted[m.From][name]
	if !ok {
		return Message{}, 0, fmt.Errorf("%w: %q of %q", ErrUnknownKey, name, m.From)
	}
	if !ed25519.Verify(key, body, sig) {
		return Message{}, 0, fmt.Errorf("%w: by %q of %q", ErrSignature, name, m.From)
	}
	w := k.replayWindows[m.From]
	if w == nil { // only of admitted members, so it is bounded by their number
		w = &replayWindow{}
		k.replayWindows[m.From] = w
	}
	if !w.accept(m.Counter) {
		if w.highest-m.Counter > staleDistance {
			return m, w.highest, ErrStale
		}
		return m, w.highest, ErrReplay
	}
	return m, w.highest, nil
}

// Sign completes a statement of this member's.
func (k *Keyring) SignStatement(s *Statement) {
	s.Key = k.ownName
	k.buffer = s.appendSignedPart(k.buffer[:0])
	copy(s.Signature[:], ed25519.Sign(k.private, k.buffer))
}

// Check tells whether a statement is by the member that it names.
func (k *Keyring) VerifyStatement(s *Statement) error {
	key, ok := k.admitted[s.Signer][s.Key]
	if !ok {
		return fmt.Errorf("%w: %q of %q", ErrUnknownKey, s.Key, s.Signer)
	}
	k.buffer = s.appendSignedPart(k.buffer[:0])
	if !ed25519.Verify(key, k.buffer, s.Signature[:]) {
		return fmt.Errorf("%w: statement by %q of %q", ErrSignature, s.Key, s.Signer)
	}
	return nil
}
