package gossip

import (
	"crypto/ed25519"
	"errors"
	"fmt"
)

// maxKeyNameLength is the maximum length of a key's name, in bytes.
const maxKeyNameLength = 31

// Verification errors. [Keyring.Open] returns errors that wrap ErrMalformed or one of these.
var (
	ErrUnknownKey = errors.New("gossip: signed by a key that is not admitted")
	ErrSignature  = errors.New("gossip: invalid signature")
	ErrReplay     = errors.New("gossip: packet is a duplicate or too old")
	// ErrStale is an ErrReplay whose sender may have restarted with its clock set back.
	ErrStale = fmt.Errorf("%w: counter far below the highest received", ErrReplay)
)

// Keyring signs packets and statements of one member and verifies those of the admitted members. A member may have
// several named keys at a time, so that a key can be rotated without an interruption.
type Keyring struct {
	ownKeyName    string
	privateKey    ed25519.PrivateKey
	counter       uint64                                  // of the latest sealed packet
	admitted      map[string]map[string]ed25519.PublicKey // by member, then by key name
	replayWindows map[string]*replayWindow                // by member
	buffer        []byte                                  // reused for the signed part of statements
}

// NewKeyring returns a keyring that signs with the named key and admits nobody. Packet counters start above first,
// which must be at least as high as any counter of an earlier process of this member, for example the start time in
// nanoseconds.
func NewKeyring(name string, privateKey ed25519.PrivateKey, first uint64) *Keyring {
	return &Keyring{
		ownKeyName:    name,
		privateKey:    privateKey,
		counter:       first,
		admitted:      map[string]map[string]ed25519.PublicKey{},
		replayWindows: map[string]*replayWindow{},
	}
}

// SetOwnKey replaces the key used for signing.
func (k *Keyring) SetOwnKey(name string, privateKey ed25519.PrivateKey) {
	k.ownKeyName, k.privateKey = name, privateKey
}

// OwnKeyName returns the name of the key used for signing.
func (k *Keyring) OwnKeyName() string { return k.ownKeyName }

// AdvanceCounter makes packet counters continue above n, the highest counter that others received from an earlier
// process of this member. A value close to the maximum is ignored.
func (k *Keyring) AdvanceCounter(n uint64) {
	if n < maxCounter-counterHeadroom {
		k.counter = max(k.counter, n)
	}
}

// SetAdmitted replaces the admitted members and their keys. Replay windows are kept, so that no packet is accepted
// twice after its key was removed and admitted again.
func (k *Keyring) SetAdmitted(members map[string]map[string]ed25519.PublicKey) { k.admitted = members }

// AdmittedKeys returns the keys of a member by name; nil if the member is not admitted.
func (k *Keyring) AdmittedKeys(member string) map[string]ed25519.PublicKey { return k.admitted[member] }

// Seal encodes a message as a signed packet: the key's name, the signature, and the message with the next counter.
func (k *Keyring) Seal(m Message) ([]byte, error) {
	k.counter++
	m.Counter = k.counter
	body, err := m.AppendTo(nil)
	if err != nil {
		return nil, err
	}
	if len(k.ownKeyName) > maxKeyNameLength {
		return nil, fmt.Errorf("gossip: key name %q is longer than %d bytes", k.ownKeyName, maxKeyNameLength)
	}
	packet := make([]byte, 0, len(body)+envelopeSize)
	packet = appendString(packet, k.ownKeyName)
	packet = append(packet, ed25519.Sign(k.privateKey, body)...)
	return append(packet, body...), nil
}

// Open verifies a packet and returns its message and the highest counter received from its sender. It returns both also
// with an error that wraps ErrReplay, as the sender may have restarted with its clock set back.
func (k *Keyring) Open(packet []byte) (m Message, highestSeen uint64, err error) {
	if len(packet) < 1 || len(packet) < 1+int(packet[0])+ed25519.SignatureSize {
		return m, 0, malformedError("packet too short", len(packet))
	}
	end := 1 + int(packet[0])
	name, signed := string(packet[1:end]), packet[end:]
	signature, body := signed[:ed25519.SignatureSize], signed[ed25519.SignatureSize:]
	// The message names the member whose key verifies it, so it is parsed first. The cost is small and bounded by the
	// packet size.
	if m, err = ParseMessage(body); err != nil {
		return Message{}, 0, err
	}
	public, ok := k.admitted[m.From][name]
	if !ok {
		return Message{}, 0, fmt.Errorf("%w: %q of %q", ErrUnknownKey, name, m.From)
	}
	if !ed25519.Verify(public, body, signature) {
		return Message{}, 0, fmt.Errorf("%w: by %q of %q", ErrSignature, name, m.From)
	}
	w := k.replayWindows[m.From]
	if w == nil { // created only for admitted members, which bounds the map
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

// SignStatement sets the key name and the signature of a statement.
func (k *Keyring) SignStatement(s *Statement) {
	s.Key = k.ownKeyName
	k.buffer = s.appendSignedPart(k.buffer[:0])
	copy(s.Signature[:], ed25519.Sign(k.privateKey, k.buffer))
}

// VerifyStatement returns nil if a statement is signed with an admitted key of its signer, else an error that wraps
// ErrUnknownKey or ErrSignature.
func (k *Keyring) VerifyStatement(s *Statement) error {
	public, ok := k.admitted[s.Signer][s.Key]
	if !ok {
		return fmt.Errorf("%w: %q of %q", ErrUnknownKey, s.Key, s.Signer)
	}
	k.buffer = s.appendSignedPart(k.buffer[:0])
	if !ed25519.Verify(public, k.buffer, s.Signature[:]) {
		return fmt.Errorf("%w: statement by %q of %q", ErrSignature, s.Key, s.Signer)
	}
	return nil
}
