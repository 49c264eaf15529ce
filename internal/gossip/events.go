package gossip

import "time"

// Event is an input of [Core.Step].
type Event interface{ coreEvent() }

// Join lists addresses at which members may be found. They are pinged at once and occasionally later.
type Join struct{ Addresses []string }

// MessageReceived is a message signed by the member in Message.From. The caller has verified the message's signature
// and the signatures of all statements for which [Core.Wants] returned true, and has removed all other statements.
type MessageReceived struct{ Message Message }

// StaleMessage is an authentic message whose packet counter is far below the highest one received from its sender.
type StaleMessage struct {
	Message        Message
	HighestCounter uint64 // highest packet counter received from the sender
}

// Publish makes the core sign and disseminate a statement about a worker. The caller sets Kind, Subject,
// SubjectIncarnation and Text. A statement that is not about a worker is ignored.
type Publish struct{ Statement Statement }

// AdmissionChanged replaces the predicate that decides which members are admitted. Members that are not are removed.
type AdmissionChanged struct{ Admitted func(id string) bool }

// KnownMembers holds MemberAlive statements from a trusted source. The core does not disseminate them. It keeps the
// slice's elements; the caller must not modify them.
type KnownMembers struct{ Statements []Statement }

func (Join) coreEvent()             {}
func (MessageReceived) coreEvent()  {}
func (StaleMessage) coreEvent()     {}
func (Publish) coreEvent()          {}
func (AdmissionChanged) coreEvent() {}
func (KnownMembers) coreEvent()     {}

// Action is an output of [Core.Step].
type Action interface{ coreAction() }

// Send requests that the caller send a message to an address, as a datagram or over a stream.
type Send struct {
	To      string
	Stream  bool
	Message Message
}

// MemberStateChanged reports a member's new state.
type MemberStateChanged struct {
	ID    string
	State State
}

// EvidenceReceived delivers another member's statement about a worker, for the [SuspicionQuorum].
type EvidenceReceived struct {
	Statement Statement
	Age       time.Duration // since it was signed
}

// LiveCountIncreased reports a new maximum of [Core.Live]. A decrease is never reported: members that are no longer
// reachable may be on the other side of a partition and still use their shares of the workers' capacity.
type LiveCountIncreased struct{ Count int }

// IncarnationRaised reports that an earlier process of this member had reached the incarnation or packet counter Above,
// and that this member's incarnation is now higher. Packet counters must continue above it too.
type IncarnationRaised struct{ Above uint64 }

// DuplicateMember reports that another process signs as this member and announces a different address.
type DuplicateMember struct{ Addr string }

func (Send) coreAction()               {}
func (MemberStateChanged) coreAction() {}
func (EvidenceReceived) coreAction()   {}
func (LiveCountIncreased) coreAction() {}
func (IncarnationRaised) coreAction()  {}
func (DuplicateMember) coreAction()    {}
