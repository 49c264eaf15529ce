package gossip

import (
	"encoding/hex"
	"os"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/topazfront/topazfront/internal/testsupport/golden"
)

// TestGoldenPackets compares the signed packets of all kinds of messages and statements with a golden file of
// hexadecimal lines, and the messages parsed from that file with another. Ed25519 signatures are deterministic (RFC
// 8032), so the signatures are compared too.
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
	golden.Compare(t, "packets.hex", []byte(packets.String()))
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
		values.WriteString(golden.PlainValue(message) + "\n")
	}
	golden.Compare(t, "packets.txt", []byte(values.String()))
}
