package gossip

import (
	"bytes"
	"crypto/ed25519"
	"errors"
	"reflect"
	"testing"
	"time"
)

// testKey returns the key pair derived from a seed.
func testKey(seed byte) (ed25519.PrivateKey, ed25519.PublicKey) {
	private := ed25519.NewKeyFromSeed(bytes.Repeat([]byte{seed}, ed25519.SeedSize))
	public, _ := private.Public().(ed25519.PublicKey)
	return private, public
}

// memberKey is an admitted key of a member.
type memberKey struct {
	member, name string
	public       ed25519.PublicKey
}

func admittedKeys(keys ...memberKey) map[string]map[string]ed25519.PublicKey {
	admitted := map[string]map[string]ed25519.PublicKey{}
	for _, k := range keys {
		if admitted[k.member] == nil {
			admitted[k.member] = map[string]ed25519.PublicKey{}
		}
		admitted[k.member][k.name] = k.public
	}
	return admitted
}

// signedMessage returns a message of member a with one signed statement.
func signedMessage(k *Keyring) Message {
	s := Statement{Kind: WorkerSilent, Signer: "a", Incarnation: 9, Seq: 3, SignedAt: 5 * time.Second, Subject: "w1",
		SubjectIncarnation: 77}
	k.SignStatement(&s)
	return Message{Kind: Ping, ProbeSeq: 7, Incarnation: 9, SentAt: time.Minute, From: "a", Addr: "1.2.3.4:5",
		Statements: []Statement{s}}
}

func TestSignedPackets(t *testing.T) {
	private, public := testKey(1)
	otherPrivate, _ := testKey(2)
	a, b := NewKeyring("k1", private, 100), NewKeyring("k9", otherPrivate, 100)
	b.SetAdmitted(admittedKeys(memberKey{"a", "k1", public}))
	m := signedMessage(a)
	packet, err := a.Seal(m)
	if err != nil || len(packet) > m.Size() {
		t.Fatalf("%d bytes, counted as %d, %v", len(packet), m.Size(), err)
	}
	m.Counter = 101
	got, _, err := b.Open(packet)
	if err != nil || !reflect.DeepEqual(got, m) || b.VerifyStatement(&got.Statements[0]) != nil {
		t.Fatalf("%+v, %v", got, err)
	}
	if _, seen, err := b.Open(packet); !errors.Is(err, ErrReplay) || seen != 101 {
		t.Errorf("a packet received before: %v, seen up to %d", err, seen)
	}
	for i := range packet { // flip a bit in each byte
		changed := bytes.Clone(packet)
		changed[i] ^= 1
		if _, _, err := b.Open(changed); err == nil {
			t.Fatalf("accepted with byte %d changed", i)
		}
	}
	for i := range packet {
		if _, _, err := b.Open(packet[:i]); err == nil {
			t.Fatalf("accepted when cut at %d", i)
		}
	}
	forged, err := NewKeyring("k1", otherPrivate, 200).Seal(m)
	if err != nil {
		t.Fatal(err)
	}
	if _, _, err := b.Open(forged); !errors.Is(err, ErrSignature) {
		t.Errorf("signed by another: %v", err)
	}
	changed := m.Statements[0]
	changed.SubjectIncarnation++
	if err := b.VerifyStatement(&changed); !errors.Is(err, ErrSignature) {
		t.Errorf("a changed statement: %v", err)
	}
}

// TestKeyRotation checks that both keys are accepted while both are admitted, and only the new one afterwards.
func TestKeyRotation(t *testing.T) {
	oldPrivate, oldPublic := testKey(1)
	newPrivate, newPublic := testKey(2)
	a, b := NewKeyring("k1", oldPrivate, 100), NewKeyring("k1", newPrivate, 0)
	check := func(when string, want error) {
		t.Helper()
		m := signedMessage(a)
		packet, err := a.Seal(m)
		if err != nil {
			t.Fatal(err)
		}
		if _, _, err := b.Open(packet); !errors.Is(err, want) {
			t.Errorf("%s: packet %v, want %v", when, err, want)
		}
		if err := b.VerifyStatement(&m.Statements[0]); !errors.Is(err, want) {
			t.Errorf("%s: statement %v, want %v", when, err, want)
		}
	}
	b.SetAdmitted(admittedKeys(memberKey{"a", "k1", oldPublic}))
	check("old key", nil)
	b.SetAdmitted(admittedKeys(memberKey{"a", "k1", oldPublic}, memberKey{"a", "k2", newPublic}))
	check("old key in the overlap", nil)
	a.SetOwnKey("k2", newPrivate)
	check("new key in the overlap", nil)
	b.SetAdmitted(admittedKeys(memberKey{"a", "k2", newPublic}))
	check("new key after it", nil)
	a.SetOwnKey("k1", oldPrivate)
	check("old key after it", ErrUnknownKey)
}

// TestReplayedPacketsAreRejected checks that each packet is accepted once, also out of order within the replay window.
func TestReplayedPacketsAreRejected(t *testing.T) {
	private, public := testKey(1)
	a, b := NewKeyring("k", private, 1<<40), NewKeyring("k", private, 0)
	b.SetAdmitted(admittedKeys(memberKey{"a", "k", public}))
	seal := func(k *Keyring) []byte {
		packet, err := k.Seal(Message{Kind: Ping, From: "a"})
		if err != nil {
			t.Fatal(err)
		}
		return packet
	}
	var packets [][]byte
	for range 200 {
		packets = append(packets, seal(a))
	}
	for _, c := range []struct {
		packet int
		fresh  bool
	}{{0, true}, {0, false}, {5, true}, {3, true}, {3, false}, {5, false}, {4, true}, {100, true}, {99, true}, {37, true},
		{36, false}, {4, false}, {199, true}, {100, false}, {198, true}, {198, false}} {
		if _, _, err := b.Open(packets[c.packet]); (err == nil) != c.fresh {
			t.Errorf("packet %d: %v, want it fresh: %v", c.packet, err, c.fresh)
		}
	}
	restarted := NewKeyring("k", private, 1<<41) // its counter starts at a later start time
	if _, _, err := b.Open(seal(restarted)); err != nil {
		t.Errorf("a new process: %v", err)
	}
	setBack := NewKeyring("k", private, 50) // a restart with the clock set back
	for _, above := range []uint64{0, 1 << 41} {
		setBack.AdvanceCounter(above)
		setBack.AdvanceCounter(1 << 62) // ignored: too close to the maximum
		packet := seal(setBack)
		setBack.AdvanceCounter(1<<41 + 1)
		if _, _, err := b.Open(packet); (err == nil) != (above > 0) || errors.Is(err, ErrStale) != (above == 0) {
			t.Errorf("counted from above %d: %v", above, err)
		}
	}
}
