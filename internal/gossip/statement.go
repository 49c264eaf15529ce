package gossip

import (
	"cmp"
	"crypto/ed25519"
	"time"
)

// About is what a statement says.
type StatementKind uint8

// What statements say.
const (
	MemberAlive     StatementKind = iota // the signer takes part, at the address Text
	MemberSuspected                      // the signer had no answer from the member Subject, last known by its statement (Of, Num)
	WorkerSilent                         // the worker Subject, in the life that began at Of (Unix milliseconds), gives no sign of life
	WorkerFailing                        // it fails the class Text
	WorkerSlow                           // it answers slowly
	ClaimWithdrawn                       // the signer takes back what it said of it
	statementKindCount
)

func (a StatementKind) String() string {
	return [...]string{"alive", "doubted", "silent", "failing", "slow", "back"}[a]
}

// OfWorker tells that a statement is on a worker.
func (a StatementKind) AboutWorker() bool { return a >= WorkerSilent }

// Statement is one signed word. Everything that is passed on is one, so that a lie has a name:
//
//   - Only the member itself says that it is alive. A doubt names the statement that it doubts, so a liar can
//     push nobody's order numbers up, and a later word of the member voids it.
//   - Nobody says that a member is dead. Each member lets a suspicion run out by itself.
//   - Confirmations of a doubt count by their signers.
//   - What is said of a worker holds for that life of it alone.
//
// Order: (Life, Seq) rises with each statement of a signer, over restarts too, as a life is named by its start.
type Statement struct {
	Kind                           StatementKind
	Signer                         string
	Key                            string // name of its key
	Incarnation                    uint64 // of the signer
	Seq                            uint64
	SignedAt                       time.Duration // by the signer's clock, whose zero and pace are its own: only differences count
	Subject                        string
	SubjectIncarnation, SubjectSeq uint64
	Text                           string
	Signature                      [ed25519.SignatureSize]byte
}

// after tells that s was signed later than o by the same signer.
func (s *Statement) newerThan(o *Statement) bool {
	return cmp.Or(cmp.Compare(s.Incarnation, o.Incarnation), cmp.Compare(s.Seq, o.Seq)) > 0
}

// Kind is a message's.
type MessageKind uint8

// The kinds of message.
const (
	Ping          MessageKind = iota
	Ack                       // answers a Ping of that Seq
	PingRequest               // probe the target in my stead
	Push                      // fresh statements; not answered
	StateExchange             // a part of the state, over a stream: answered by one that is Back
	messageKindCount
)

// Message is one packet's content, or what goes over a stream.
type Message struct {
	Kind         MessageKind
	WantAlive    bool          // send me your own statement: I don't have it
	Reply        bool          // of Exchange: an answer
	Counter      uint64        // of the sender's packets, set by Keys.Seal
	Incarnation  uint64        // of the sender
	SentAt       time.Duration // the sender's clock
	ProbeSeq     uint64        // of the probe
	ReceiverSeen uint64        // the highest count or life known of the receiver, where its own lies below it
	From         string
	Addr         string // of the sender
	Target       string // of Help: whom to probe
	Statements   []Statement
}
