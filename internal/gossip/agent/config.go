package agent

import (
	"crypto/ed25519"
	"log/slog"
	"net"
	"time"

	"github.com/topazfront/topazfront/dispatch"
	"github.com/topazfront/topazfront/internal/gossip"
	"github.com/topazfront/topazfront/internal/wallclock"
)

// Config holds the settings of an [Agent].
type Config struct {
	ID           string
	Listen       string   // host:port, for UDP and TCP
	Advertise    string   // address at which others reach the agent; empty means the listen address
	Seeds        []string // addresses of members to join, with IP addresses, as host names are not resolved
	Gossip       gossip.Config
	Quorum       gossip.SuspicionQuorumConfig
	Limiter      gossip.PacketLimiterConfig
	Publisher    gossip.SuspicionPublisherConfig
	CheckTimeout time.Duration   // timeout of a check of a worker
	Seed         uint64          // of all random draws
	Incarnation  uint64          // 0 means the start time in Unix nanoseconds
	WallClock    wallclock.Clock // source of the start time; nil means the system's clock
	Key          Key
	Members      Members
	Logger       *slog.Logger // nil disables logging
	Hooks        Hooks
	MemberDied   func(id string) // called by the loop when a member is declared dead; may be nil
}

// Hooks let tests inject faults and count traffic between an agent and its sockets. Nil hooks do nothing.
type Hooks struct {
	WrapPacketConn func(net.PacketConn) net.PacketConn
	AllowStream    func(to string, bytes int) bool // called before a packet is sent over a stream; false drops it
}

// Key is the signing key of a router.
type Key struct {
	Name    string
	Private ed25519.PrivateKey
}

// Members holds the public keys of the admitted members, by member and key name.
type Members map[string]map[string]ed25519.PublicKey

// Router is the router that an agent belongs to. The agent's loop calls the methods, which must not block.
type Router interface {
	// VerifyWorker checks whether a worker responds and calls done once with the result. If the worker responded within
	// the last minSilence, no check is made and the result is gossip.CheckSkipped.
	VerifyWorker(worker string, minSilence, timeout time.Duration, done func(gossip.CheckResult))
	// ApplyGossip passes an update to the dispatcher.
	ApplyGossip(dispatch.GossipUpdate)
}
