package gossip

import "time"

// MessageKind is the kind of a message.
type MessageKind uint8

// The kinds of message. Their numbers are part of the wire form.
const (
	Ping          MessageKind = iota
	Ack                       // answers the Ping of that ProbeSeq
	PingRequest               // asks the receiver to probe Target in the sender's stead
	Push                      // statements; not answered
	StateExchange             // a part of the state, over a stream: answered by one that is a Reply
	messageKindCount
)

// Message is the content of one packet, sent as a datagram or over a stream.
type Message struct {
	Kind         MessageKind
	WantAlive    bool          // asks for the receiver's MemberAlive, which the sender does not have
	Reply        bool          // of StateExchange: an answer
	Counter      uint64        // of the sender's packets, set by [Keyring.Seal]
	Incarnation  uint64        // of the sender
	SentAt       time.Duration // by the sender's clock
	ProbeSeq     uint64        // of Ping, Ack and PingRequest: the sender's number of the probe
	ReceiverSeen uint64        // highest counter or incarnation known of the receiver, where its own is below; or 0
	From         string        // ID of the sender
	Addr         string        // of the sender
	Target       string        // of PingRequest: the member to probe; of Ack: the member that was probed on request
	Statements   []Statement
}
