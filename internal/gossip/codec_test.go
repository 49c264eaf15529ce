package gossip

import (
	"errors"
	"reflect"
	"strings"
	"testing"
	"time"
)

// TestParseErrorsNameOffset checks that parse errors name an unsupported version, or the offset of the malformed field.
func TestParseErrorsNameOffset(t *testing.T) {
	private, _ := testKey(1)
	m := signedMessage(NewKeyring("k", private, 1))
	raw, err := m.AppendTo(nil)
	if err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct {
		name  string
		bytes []byte
		want  string
	}{
		{"other version", append([]byte{9}, raw[1:]...), "version 9, this is 1"},
		{"unknown kind", append([]byte{protocolVersion, 77}, raw[2:]...), "kind at byte 1"},
		{"cut signature", raw[:len(raw)-1], "signature at byte"},
		{"empty", nil, "no version at byte 0"},
	} {
		t.Run(c.name, func(t *testing.T) {
			if _, err := ParseMessage(c.bytes); !errors.Is(err, ErrMalformed) || !strings.Contains(err.Error(), c.want) {
				t.Errorf("%v, want it to contain %q", err, c.want)
			}
		})
	}
	long := m
	long.From = strings.Repeat("x", 300)
	if _, err := long.AppendTo(nil); err == nil {
		t.Error("a name of 300 bytes was encoded")
	}
}

func FuzzParseMessage(f *testing.F) {
	private, public := testKey(1)
	k := NewKeyring("k", private, 1)
	m := signedMessage(k)
	m.Statements = append(m.Statements,
		Statement{Kind: MemberAlive, Signer: "b", Incarnation: 1 << 60, Seq: 1, Text: "b:1"},
		Statement{Kind: MemberSuspected, Signer: "b", Subject: "a", SubjectIncarnation: 9, SubjectSeq: 1})
	raw, err := m.AppendTo(nil)
	if err != nil {
		f.Fatal(err)
	}
	f.Add(raw)
	f.Add([]byte{protocolVersion, 0, 0, 0, 0, 0, 0, 0, 1, 'a', 0, 0})
	k.SetAdmitted(admittedKeys(memberKey{"a", "k", public}))
	f.Fuzz(func(t *testing.T, b []byte) {
		_, _, _ = k.Open(b)
		m, err := ParseMessage(b)
		if err != nil {
			if !errors.Is(err, ErrMalformed) {
				t.Fatal(err)
			}
			return
		}
		encoded, err := m.AppendTo(nil)
		if err != nil {
			t.Fatal(err)
		}
		if again, err := ParseMessage(encoded); err != nil || !reflect.DeepEqual(again, m) {
			t.Fatalf("%+v became %+v, %v", m, again, err)
		}
		if len(encoded)+envelopeSize > m.Size() {
			t.Fatalf("%d bytes, counted as %d", len(encoded)+envelopeSize, m.Size())
		}
		c, err := NewCore(LocalConfig, "me", "me", 1, 1, unsigned)
		if err != nil {
			t.Fatal(err)
		}
		c.Step(time.Second, []Event{MessageReceived{m}, MessageReceived{m}, StaleMessage{m, 5}})
		c.Step(time.Minute, nil)
	})
}
