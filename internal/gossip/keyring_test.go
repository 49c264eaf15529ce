package gossip

import (
	"bytes"
	"crypto/ed25519"
	"errors"
	"reflect"
	"strings"
	"testing"
	"time"
)

func keyOf(seed byte) (ed25519.PrivateKey, ed25519.PublicKey) {
	k := ed25519.NewKeyFromSeed(bytes.Repeat([]byte{seed}, ed25519.SeedSize))
	pub, _ := k.Public().(ed25519.PublicKey)
	return k, pub
}

func admit(members ...any) map[string]map[string]ed25519.PublicKey {
	out := map[string]map[string]ed25519.PublicKey{}
	for i := 0; i+2 < len(members); i += 3 {
		id, _ := members[i].(string)
		name, _ := members[i+1].(string)
		if out[id] == nil {
			out[id] = map[string]ed25519.PublicKey{}
		}
		out[id][name], _ = members[i+2].(ed25519.PublicKey)
	}
	return out
}

func sample(k *Keyring) Message {
	s := Statement{Kind: WorkerSilent, Signer: "a", Incarnation: 9, Seq: 3, SignedAt: 5 * time.Second, Subject: "w1", SubjectIncarnation: 77}
	k.SignStatement(&s)
	return Message{Kind: Ping, ProbeSeq: 7, Incarnation: 9, SentAt: time.Minute, From: "a", Addr: "1.2.3.4:5", Statements: []Statement{s}}
}

func TestSignedPackets(t *testing.T) {
	own, pub := keyOf(1)
	other, _ := keyOf(2)
	a, b := NewKeyring("k1", own, 100), NewKeyring("k9", other, 100)
	b.SetAdmitted(admit("a", "k1", pub))
	m := sample(a)
	p, err := a.Seal(m)
	if err != nil || len(p) > m.Size() {
		t.Fatalf("%d bytes, counted as %d, %v", len(p), m.Size(), err)
	}
	m.Counter = 101
	if got, _, err := b.Open(p); err != nil || !reflect.DeepEqual(got, m) || b.VerifyStatement(&got.Statements[0]) != nil {
		t.Fatalf("%+v, %v", got, err)
	}
	if _, seen, err := b.Open(p); !errors.Is(err, ErrReplay) || seen != 101 {
		t.Errorf("a packet that came before: %v, seen up to %d", err, seen)
	}
	for i := range p { // any byte changed
		q := bytes.Clone(p)
		q[i] ^= 1
		if _, _, err := b.Open(q); err == nil {
			t.Fatalf("byte %d changed, and taken", i)
		}
	}
	for i := range p {
		if _, _, err := b.Open(p[:i]); err == nil {
			t.Fatalf("cut at %d, and taken", i)
		}
	}
	forged, err := NewKeyring("k1", other, 200).Seal(m)
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

// TestKeyExchangedInService: for an overlap both keys open, then only the new one.
func TestKeyExchangedInService(t *testing.T) {
	old, oldPub := keyOf(1)
	next, nextPub := keyOf(2)
	a, b := NewKeyring("k1", old, 100), NewKeyring("k1", next, 0)
	try := func(when string, want error) {
		t.Helper()
		m := sample(a)
		p, err := a.Seal(m)
		if err != nil {
			t.Fatal(err)
		}
		if _, _, err := b.Open(p); !errors.Is(err, want) {
			t.Errorf("%s: packet %v, want %v", when, err, want)
		}
		if err := b.VerifyStatement(&m.Statements[0]); !errors.Is(err, want) {
			t.Errorf("%s: statement %v, want %v", when, err, want)
		}
	}
	b.SetAdmitted(admit("a", "k1", oldPub))
	try("old key", nil)
	b.SetAdmitted(admit("a", "k1", oldPub, "a", "k2", nextPub))
	try("old key in the overlap", nil)
	a.SetOwnKey("k2", next)
	try("new key in the overlap", nil)
	b.SetAdmitted(admit("a", "k2", nextPub))
	try("new key after it", nil)
	a.SetOwnKey("k1", old)
	try("old key after it", ErrUnknownKey)
}

// TestReplays: each packet is taken once, late ones too while they are not long behind.
func TestReplays(t *testing.T) {
	own, pub := keyOf(1)
	a, b := NewKeyring("k", own, 1<<40), NewKeyring("k", own, 0)
	b.SetAdmitted(admit("a", "k", pub))
	var packets [][]byte
	for range 200 {
		p, err := a.Seal(Message{Kind: Ping, From: "a"})
		if err != nil {
			t.Fatal(err)
		}
		packets = append(packets, p)
	}
	for _, c := range []struct {
		i     int
		fresh bool
	}{{0, true}, {0, false}, {5, true}, {3, true}, {3, false}, {5, false}, {4, true}, {100, true}, {99, true}, {37, true},
		{36, false}, {4, false}, {199, true}, {100, false}, {198, true}, {198, false}} {
		if _, _, err := b.Open(packets[c.i]); (err == nil) != c.fresh {
			t.Errorf("packet %d: %v, want it fresh: %v", c.i, err, c.fresh)
		}
	}
	again := NewKeyring("k", own, 1<<41) // a member that started anew counts from a later time
	p, err := again.Seal(Message{Kind: Ping, From: "a"})
	if err != nil {
		t.Fatal(err)
	}
	if _, _, err := b.Open(p); err != nil {
		t.Errorf("a new life: %v", err)
	}
	back := NewKeyring("k", own, 50) // one whose clock was set back, and that is told so
	for _, raise := range []uint64{0, 1 << 41} {
		back.AdvanceCounter(raise)
		back.AdvanceCounter(1 << 62) // nobody may push it to where it could not be overtaken
		if p, err = back.Seal(Message{Kind: Ping, From: "a"}); err != nil {
			t.Fatal(err)
		}
		back.AdvanceCounter(1<<41 + 1)
		if _, _, err := b.Open(p); (err == nil) != (raise > 0) || errors.Is(err, ErrStale) != (raise == 0) {
			t.Errorf("counted from above %d: %v", raise, err)
		}
	}
}

// TestGateBoundsChecks: a flood of strangers, or of one known address, takes nothing from another.
func TestGateBoundsChecks(t *testing.T) {
	g := NewPacketLimiter(PacketLimiterConfig{ChecksPerSource: 10, ChecksOfUnknown: 5})
	g.Authenticated(0, "good", "a")
	allowed := map[string]int{}
	for i := range 100_000 { // ten seconds at line rate
		now := time.Duration(i) * 100 * time.Microsecond
		src := []string{"x", "y", "good"}[i%3]
		if src == "good" && i%300 != 2 {
			src = "z"
		}
		if g.AllowPacket(now, src) {
			allowed[src]++
		}
	}
	if n := allowed["x"] + allowed["y"] + allowed["z"]; n > 55 {
		t.Errorf("%d checks for strangers in 10 s at 5 a second", n)
	}
	if n := allowed["good"]; n < 100 || n > 110 {
		t.Errorf("%d checks for a known address that sent 330 in 10 s at 10 a second", n)
	}
	for i := range 1000 { // a member that moves about takes no more than one place
		g.Authenticated(time.Minute, ID(i), "a")
	}
	if len(g.sources) != 1 {
		t.Errorf("%d addresses kept for one member", len(g.sources))
	}
}

func ID(i int) string { return "addr" + string(rune('a'+i%26)) + string(rune('a'+i/26%26)) }

// TestErrorsNameThePlace: another version is named, and so is the byte at which a message went wrong.
func TestErrorsNameThePlace(t *testing.T) {
	own, _ := keyOf(1)
	m := sample(NewKeyring("k", own, 1))
	raw, err := m.Append(nil)
	if err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct {
		b    []byte
		want string
	}{
		{append([]byte{9}, raw[1:]...), "version 9, this is 1"},
		{append([]byte{protocolVersion, 77}, raw[2:]...), "kind at byte 1"},
		{raw[:len(raw)-1], "signature at byte"},
		{nil, "no version at byte 0"},
	} {
		if _, err := ParseMessage(c.b); !errors.Is(err, ErrMalformed) || !strings.Contains(err.Error(), c.want) {
			t.Errorf("%v, want it to say %q", err, c.want)
		}
	}
	long := m
	long.From = strings.Repeat("x", 300)
	if _, err := long.Append(nil); err == nil {
		t.Error("a name of 300 bytes was written")
	}
}

func FuzzParse(f *testing.F) {
	own, pub := keyOf(1)
	k := NewKeyring("k", own, 1)
	m := sample(k)
	m.Statements = append(m.Statements, Statement{Kind: MemberAlive, Signer: "b", Incarnation: 1 << 60, Seq: 1, Text: "b:1"},
		Statement{Kind: MemberSuspected, Signer: "b", Subject: "a", SubjectIncarnation: 9, SubjectSeq: 1})
	raw, err := m.Append(nil)
	if err != nil {
		f.Fatal(err)
	}
	f.Add(raw)
	f.Add([]byte{protocolVersion, 0, 0, 0, 0, 0, 0, 0, 1, 'a', 0, 0})
	k.SetAdmitted(admit("a", "k", pub))
	f.Fuzz(func(t *testing.T, b []byte) {
		_, _, _ = k.Open(b)
		m, err := ParseMessage(b)
		if err != nil {
			if !errors.Is(err, ErrMalformed) {
				t.Fatal(err)
			}
			return
		}
		out, err := m.Append(nil)
		if err != nil {
			t.Fatal(err)
		}
		if again, err := ParseMessage(out); err != nil || !reflect.DeepEqual(again, m) {
			t.Fatalf("%+v became %+v, %v", m, again, err)
		}
		if len(out)+envelopeSize > m.Size() {
			t.Fatalf("%d bytes, counted as %d", len(out)+envelopeSize, m.Size())
		}
		c, err := NewCore(LocalConfig, "me", "me", 1, 1, func(*Statement) {})
		if err != nil {
			t.Fatal(err)
		}
		c.Step(time.Second, []any{MessageReceived{m}, MessageReceived{m}, StaleMessage{m, 5}})
		c.Step(time.Minute, nil)
	})
}
