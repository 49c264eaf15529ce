package gossip

import (
	"cmp"
	"crypto/ed25519"
	"time"
)

// StatementKind is what a statement says.
type StatementKind uint8

// The kinds of statement. Their numbers are part of the wire form.
const (
	// MemberAlive: the signer takes part, at the address Text.
	MemberAlive StatementKind = iota
	// MemberSuspected: the signer had no answer from the member Subject, last known by its MemberAlive
	// (SubjectIncarnation, SubjectSeq).
	MemberSuspected
	// WorkerSilent: the worker Subject, of the incarnation that began at SubjectIncarnation (Unix milliseconds), gives
	// no sign of life.
	WorkerSilent
	// WorkerFailing: the worker fails the class Text.
	WorkerFailing
	// WorkerSlow: the worker answers slowly.
	WorkerSlow
	// ClaimWithdrawn: the signer withdraws its WorkerSilent.
	ClaimWithdrawn
	statementKindCount
)

func (k StatementKind) String() string {
	return [...]string{"alive", "doubted", "silent", "failing", "slow", "back"}[k]
}

// AboutWorker reports whether a statement is about a worker, not a member.
func (k StatementKind) AboutWorker() bool { return k >= WorkerSilent }

// Statement is a signed claim. All that is passed on is a statement, so that a lie can be attributed:
//
//   - Only the member itself states that it is alive. A suspicion names the statement that it is of, so a liar can
//     push nobody's sequence numbers up, and a newer MemberAlive of the member voids it.
//   - Nobody states that a member is dead. Each member lets a suspicion run out by itself.
//   - Confirmations of a suspicion count by their signers.
//   - What is stated of a worker holds for that incarnation of it alone.
//
// Order: (Incarnation, Seq) rises with each statement of a signer, over restarts too, as an incarnation is numbered by
// the start time of its process.
type Statement struct {
	Kind        StatementKind
	Signer      string // ID of a member
	Key         string // name of the signer's key
	Incarnation uint64 // of the signer
	Seq         uint64
	SignedAt    time.Duration // by the signer's clock, whose zero and rate are its own: only differences count
	Subject     string        // ID of a member or worker; empty for MemberAlive

	SubjectIncarnation uint64
	SubjectSeq         uint64

	Text      string // address or class, by the kind
	Signature [ed25519.SignatureSize]byte
}

// newerThan reports whether s was signed later than other, of the same signer.
func (s *Statement) newerThan(other *Statement) bool {
	return cmp.Or(cmp.Compare(s.Incarnation, other.Incarnation), cmp.Compare(s.Seq, other.Seq)) > 0
}

// statementKey identifies what a statement is about, so that a newer one of the signer replaces an older one.
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
