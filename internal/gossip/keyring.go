package gossip

import (
	"crypto/ed25519"
	"errors"
	"fmt"
)

// maxKeyNameLength is the longest name of a key, in bytes.
const maxKeyNameLength = 31

// Errors of verification. Those of [Keyring.Open] wrap ErrMalformed or one of these.
var (
	ErrUnknownKey = errors.New("gossip: signed by a key that is not admitted")
	ErrSignature  = errors.New("gossip: invalid signature")
	ErrReplay     = errors.New("gossip: packet received before, or older than those received")
	ErrStale      = fmt.Errorf("%w: far older", ErrReplay) // as of a process that started with its clock set back
)

// Keyring signs for one member and verifies the packets and statements of the admitted members. A member may have
// several keys at a time, by their names, so that a key can be replaced without an interruption.
type Keyring struct {
	ownName       string
	private       ed25519.PrivateKey
	counter       uint64                                  // of the latest packet sealed
	admitted      map[string]map[string]ed25519.PublicKey // by member and key name
	replayWindows map[string]*replayWindow                // by member
	buffer        []byte
}

// NewKeyring returns the keyring of a member that signs with its key of that name. Its packets are counted from above
// first, which must be higher than any counter of an earlier process: its start time in nanoseconds will do.
func NewKeyring(name string, private ed25519.PrivateKey, first uint64) *Keyring {
	return &Keyring{
		ownName:       name,
		private:       private,
		counter:       first,
		admitted:      map[string]map[string]ed25519.PublicKey{},
		replayWindows: map[string]*replayWindow{},
	}
}

// SetOwnKey signs with another key from now on.
func (k *Keyring) SetOwnKey(name string, private ed25519.PrivateKey) {
	k.ownName, k.private = name, private
}

// OwnKeyName returns the name of the key in use.
func (k *Keyring) OwnKeyName() string { return k.ownName }

// AdvanceCounter counts packets from above n, where other members have seen counters up to it of an earlier process.
func (k *Keyring) AdvanceCounter(n uint64) {
	if n < maxCounter-counterHeadroom {
		k.counter = max(k.counter, n)
	}
}

// SetAdmitted admits exactly these members and keys from now on. The replay window of a member is kept, so that a key
// that is removed and admitted again opens no packet twice.
func (k *Keyring) SetAdmitted(members map[string]map[string]ed25519.PublicKey) { k.admitted = members }

// AdmittedKeys returns the keys of a member by their names; nil if it is not admitted.
func (k *Keyring) AdmittedKeys(member string) map[string]ed25519.PublicKey { return k.admitted[member] }

// Seal returns a message as a signed packet: the key's name, the signature, the message with the next counter.
func (k *Keyring) Seal(m Message) ([]byte, error) {
	k.counter++
	m.Counter = k.counter
	body, err := m.AppendTo(nil)
	if err != nil {
		return nil, err
	}
	if len(k.ownName) > maxKeyNameLength {
		return nil, fmt.Errorf("gossip: key name %q is longer than %d bytes", k.ownName, maxKeyNameLength)
	}
	packet := make([]byte, 0, len(body)+envelopeSize)
	packet = appendString(packet, k.ownName)
	packet = append(packet, ed25519.Sign(k.private, body)...)
	return append(packet, body...), nil
}

// Open returns a packet's message if the member that it names as its sender signed it, and the highest counter seen of
// the sender. With ErrReplay it returns both as well: the sender may have restarted with its clock set back.
func (k *Keyring) Open(packet []byte) (m Message, seen uint64, err error) {
	if len(packet) < 1 || len(packet) < 1+int(packet[0])+ed25519.SignatureSize {
		return m, 0, malformedError("packet too short", len(packet))
	}
	end := 1 + int(packet[0])
	name, signed := string(packet[1:end]), packet[end:]
	signature, body := signed[:ed25519.SignatureSize], signed[ed25519.SignatureSize:]
	// Parsed before it is verified, as it names the key; that is cheap, and bounded by the packet.
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
	if w == nil { // only of admitted members, so the map is bounded by their number
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

// SignStatement sets the key name and the signature of a statement of this member.
func (k *Keyring) SignStatement(s *Statement) {
	s.Key = k.ownName
	k.buffer = s.appendSignedPart(k.buffer[:0])
	copy(s.Signature[:], ed25519.Sign(k.private, k.buffer))
}

// VerifyStatement returns nil if a statement is signed by the member that it names, ErrUnknownKey or ErrSignature if
// not.
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
