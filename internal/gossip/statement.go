package gossip

import (
	"cmp"
	"crypto/ed25519"
	"time"
)

// StatementKind is the kind of a statement.
type StatementKind uint8

// The kinds of statement. Their numbers are part of the wire format.
const (
	// MemberAlive: the signer is a running member, reachable at the address Text.
	MemberAlive StatementKind = iota
	// MemberSuspected: the member Subject, whose latest MemberAlive known to the signer is
	// (SubjectIncarnation, SubjectSeq), did not answer the signer's probes.
	MemberSuspected
	// WorkerSilent: the worker Subject, in the incarnation that started at SubjectIncarnation (Unix milliseconds),
	// does not respond.
	WorkerSilent
	// WorkerFailing: the worker fails requests of the class Text.
	WorkerFailing
	// WorkerSlow: the worker responds slowly.
	WorkerSlow
	// ClaimWithdrawn: the signer withdraws its WorkerSilent statement about Subject.
	ClaimWithdrawn
	statementKindCount
)

func (k StatementKind) String() string {
	return [...]string{"alive", "doubted", "silent", "failing", "slow", "back"}[k]
}

// AboutWorker reports whether statements of this kind are about a worker rather than a member.
func (k StatementKind) AboutWorker() bool { return k >= WorkerSilent }

// Statement is a claim signed by one member. Members relay only statements, so that a false one can be attributed to
// its signer:
//
//   - Only the member itself states that it is alive. A suspicion names the MemberAlive that it refers to, so a liar
//     can't raise the sequence numbers of others, and a newer MemberAlive of the suspected member voids it.
//   - No statement says that a member is dead. Each member lets a suspicion time out on its own.
//   - Confirmations of a suspicion are counted by distinct signers.
//   - A statement about a worker applies only to the worker incarnation that it names.
//
// Statements of one signer are ordered by (Incarnation, Seq). The order holds across restarts, as the incarnation is
// the start time of the signer's process.
type Statement struct {
	Kind        StatementKind
	Signer      string // ID of a member
	Key         string // name of the signer's key
	Incarnation uint64 // of the signer
	Seq         uint64
	SignedAt    time.Duration // by the signer's clock; only differences count, as its zero and rate are unknown
	Subject     string        // ID of a member or worker; empty for MemberAlive

	SubjectIncarnation uint64
	SubjectSeq         uint64

	Text      string // address or class, depending on Kind
	Signature [ed25519.SignatureSize]byte
}

// newerThan reports whether s was signed after other, a statement of the same signer.
func (s *Statement) newerThan(other *Statement) bool {
	return cmp.Or(cmp.Compare(s.Incarnation, other.Incarnation), cmp.Compare(s.Seq, other.Seq)) > 0
}

// statementKey identifies the signer and the topic of a statement. A newer statement replaces an older one with its
// key.
type statementKey struct {
	signer, subject string
	kind            StatementKind
}

// key returns the statement's key. A ClaimWithdrawn replaces the WorkerSilent that it withdraws.
func (s *Statement) key() statementKey {
	kind := s.Kind
	if kind == ClaimWithdrawn {
		kind = WorkerSilent
	}
	return statementKey{signer: s.Signer, subject: s.Subject, kind: kind}
}
