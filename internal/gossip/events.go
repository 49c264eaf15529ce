package gossip

import "time"

// Event is an input of [Core.Step].
type Event interface{ coreEvent() }

// Join names addresses where members may be found. They are tried again now and then.
type Join struct{ Addresses []string }

// MessageReceived is a message whose signature was verified as that of the member which it names as its sender. The
// caller has verified those of its statements that the core Wants, and removed all others.
type MessageReceived struct{ Message Message }

// StaleMessage is an authentic message whose packet counter lies far below the highest one seen of its sender.
type StaleMessage struct {
	Message Message
	Seen    uint64 // highest counter seen of the sender
}

// Publish has the core sign and disseminate a statement about a worker, of which Kind, Subject, SubjectIncarnation and
// Text are set. A statement that is not about a worker is ignored.
type Publish struct{ Statement Statement }

// AdmissionChanged tells which members may take part from now on. All others are removed.
type AdmissionChanged struct{ Admitted func(id string) bool }

// KnownMembers holds MemberAlive statements from a trusted store. They are not passed on. The core keeps the
// statements; the caller must not change them.
type KnownMembers struct{ Statements []Statement }

func (Join) coreEvent()             {}
func (MessageReceived) coreEvent()  {}
func (StaleMessage) coreEvent()     {}
func (Publish) coreEvent()          {}
func (AdmissionChanged) coreEvent() {}
func (KnownMembers) coreEvent()     {}

// Action is an output of [Core.Step].
type Action interface{ coreAction() }

// Send asks the caller to send a message to an address, as a datagram or over a stream.
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

// EvidenceReceived hands over a member's statement about a worker, for the [SuspicionQuorum].
type EvidenceReceived struct {
	Statement Statement
	Age       time.Duration // since it was signed
}

// LiveCountIncreased reports that more members are live at once than ever before. A fall is never reported: members
// that vanished may only be cut off by a partition, and still use their capacity shares.
type LiveCountIncreased struct{ Count int }

// IncarnationRaised reports that an earlier process of this member got as far as Above: packet counters must continue
// above it.
type IncarnationRaised struct{ Above uint64 }

// DuplicateMember reports that another process speaks as this member, from that address.
type DuplicateMember struct{ Addr string }

func (Send) coreAction()               {}
func (MemberStateChanged) coreAction() {}
func (EvidenceReceived) coreAction()   {}
func (LiveCountIncreased) coreAction() {}
func (IncarnationRaised) coreAction()  {}
func (DuplicateMember) coreAction()    {}
