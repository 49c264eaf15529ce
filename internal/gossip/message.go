package gossip

import "time"

// MessageKind is the kind of a message.
type MessageKind uint8

// The kinds of message. Their numbers are part of the wire format.
const (
	Ping          MessageKind = iota
	Ack                       // acknowledges the Ping with the same ProbeSeq
	PingRequest               // asks the receiver to probe Target on the sender's behalf (SWIM's ping-req)
	Push                      // carries statements; not acknowledged
	StateExchange             // part of the sender's state, over a stream; answered with a Reply
	messageKindCount
)

// Message is the content of one packet, sent as a datagram or over a stream.
type Message struct {
	Kind        MessageKind
	WantAlive   bool          // asks for the receiver's MemberAlive, which the sender lacks
	Reply       bool          // of StateExchange: answers another one
	Counter     uint64        // number of the packet, increasing for each sender; set by [Keyring.Seal]
	Incarnation uint64        // of the sender
	SentAt      time.Duration // by the sender's clock
	ProbeSeq    uint64        // of Ping, Ack and PingRequest: number of the probe, chosen by its initiator
	// ReceiverSeen is the highest counter or incarnation known of the receiver if its current one is lower, else 0.
	ReceiverSeen uint64
	From         string // ID of the sender
	Addr         string // of the sender
	Target       string // of PingRequest: the member to probe; of Ack: the member that was probed by request
	Statements   []Statement
}
