package gossip

import (
	"bytes"
	"encoding/hex"
	"flag"
	"os"
	"path/filepath"
	"reflect"
	"sort"
	"strconv"
	"strings"
	"testing"
	"time"
)

var update = flag.Bool("update", false, "write the golden files anew")

// compareGolden compares bytes with a file under testdata/golden.
func compareGolden(t *testing.T, name string, got []byte) {
	t.Helper()
	path := filepath.Join("testdata", "golden", name)
	if *update {
		if err := os.MkdirAll(filepath.Dir(path), 0o755); err != nil {
			t.Fatal(err)
		}
		if err := os.WriteFile(path, got, 0o644); err != nil {
			t.Fatal(err)
		}
	}
	want, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	if !bytes.Equal(got, want) {
		t.Errorf("%s differs\ngot:\n%s\nwant:\n%s", path, got, want)
	}
}

// plainValue writes a decoded value as numbers and strings in the order of its fields, without any Go name, so that
// renaming a type or field leaves the text as it is.
func plainValue(v reflect.Value) string {
	parts := []string{}
	switch v.Kind() {
	case reflect.Interface, reflect.Pointer:
		if v.IsNil() {
			return "nil"
		}
		return plainValue(v.Elem())
	case reflect.Struct:
		for i := range v.NumField() {
			parts = append(parts, plainValue(v.Field(i)))
		}
		return "(" + strings.Join(parts, " ") + ")"
	case reflect.Slice, reflect.Array:
		for i := range v.Len() {
			parts = append(parts, plainValue(v.Index(i)))
		}
		return "[" + strings.Join(parts, " ") + "]"
	case reflect.Map:
		for _, key := range v.MapKeys() {
			parts = append(parts, plainValue(key)+": "+plainValue(v.MapIndex(key)))
		}
		sort.Strings(parts)
		return "{" + strings.Join(parts, " ") + "}"
	case reflect.String:
		return strconv.Quote(v.String())
	case reflect.Bool:
		return strconv.FormatBool(v.Bool())
	case reflect.Float32, reflect.Float64:
		return strconv.FormatFloat(v.Float(), 'g', -1, 64)
	case reflect.Uint, reflect.Uint8, reflect.Uint16, reflect.Uint32, reflect.Uint64:
		return strconv.FormatUint(v.Uint(), 10)
	case reflect.Int, reflect.Int8, reflect.Int16, reflect.Int32, reflect.Int64:
		return strconv.FormatInt(v.Int(), 10)
	}
	return "unsupported " + v.Kind().String()
}

// TestGoldenPackets holds the signed packet of each kind of message with statements of each kind, as hexadecimal lines,
// and what is read back from them. Ed25519 signatures are deterministic (RFC 8032), so those bytes are held too.
func TestGoldenPackets(t *testing.T) {
	private, public := testKey(1)
	sender, receiver := NewKeyring("k1", private, 100), NewKeyring("k2", private, 1)
	receiver.SetAdmitted(admittedKeys(memberKey{"a", "k1", public}))
	var statements []Statement
	for i, about := range []StatementKind{MemberAlive, MemberSuspected, WorkerSilent, WorkerFailing, WorkerSlow, ClaimWithdrawn} {
		n := uint64(i + 1)
		s := Statement{Kind: about, Signer: "a", Incarnation: 300 + n, Seq: 400 + n, SignedAt: time.Duration(n) * time.Second,
			Subject: "w" + strconv.Itoa(i), SubjectIncarnation: 500 + n, SubjectSeq: 600 + n, Text: "text" + strconv.Itoa(i)}
		if about == MemberAlive {
			s.Subject = ""
		}
		sender.SignStatement(&s)
		statements = append(statements, s)
	}
	var packets, values strings.Builder
	for i, kind := range []MessageKind{Ping, Ack, PingRequest, Push, StateExchange} {
		n := uint64(i + 1)
		packet, err := sender.Seal(Message{Kind: kind, WantAlive: i == 0, Reply: kind == StateExchange, Incarnation: 700 + n,
			SentAt: time.Duration(n) * time.Minute, ProbeSeq: 800 + n, ReceiverSeen: 900 + n, From: "a", Addr: "1.2.3.4:5",
			Target: "b" + strconv.Itoa(i), Statements: statements[:i+2]})
		if err != nil {
			t.Fatal(err)
		}
		packets.WriteString(hex.EncodeToString(packet) + "\n")
	}
	compareGolden(t, "packets.hex", []byte(packets.String()))
	written, err := os.ReadFile("testdata/golden/packets.hex")
	if err != nil {
		t.Fatal(err)
	}
	for line := range strings.FieldsSeq(string(written)) {
		packet, err := hex.DecodeString(line)
		if err != nil {
			t.Fatal(err)
		}
		message, _, err := receiver.Open(packet)
		if err != nil {
			t.Fatal(err)
		}
		for i := range message.Statements {
			if err := receiver.VerifyStatement(&message.Statements[i]); err != nil {
				t.Error(err)
			}
		}
		values.WriteString(plainValue(reflect.ValueOf(message)) + "\n")
	}
	compareGolden(t, "packets.txt", []byte(values.String()))
}
