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

// Config holds the settings of an agent.
type Config struct {
	ID           string
	Listen       string   // host:port, for UDP and TCP
	Advertise    string   // address at which others reach the agent; empty: the one that it listens on
	Seeds        []string // addresses to join at; IP addresses, as names are not looked up
	Gossip       gossip.Config
	Quorum       gossip.SuspicionQuorumConfig
	Limiter      gossip.PacketLimiterConfig
	Publisher    gossip.SuspicionPublisherConfig
	CheckTimeout time.Duration   // of a check of a worker
	Seed         uint64          // of the random draws
	Incarnation  uint64          // 0: the start time in nanoseconds
	WallClock    wallclock.Clock // has the start time; nil: the system's
	Key          Key
	Members      Members
	Logger       *slog.Logger // nil: nothing is logged
	Hooks        Hooks
	MemberDied   func(id string) // called by the loop when a member comes to be dead; may be nil
}

// Hooks put faults and counters between an agent and its sockets. Nil ones do nothing.
type Hooks struct {
	WrapPacketConn func(net.PacketConn) net.PacketConn
	AllowStream    func(to string, bytes int) bool // called for each packet that is to go over a stream; false: it is lost
}

// Key is a router's own key.
type Key struct {
	Name    string
	Private ed25519.PrivateKey
}

// Members are the admitted members: public keys by member and key name.
type Members map[string]map[string]ed25519.PublicKey

// Router is what the agent needs of its router. No method blocks. All are called by the agent's loop.
type Router interface {
	// VerifyWorker requests a sign of life of a worker and calls done once with the outcome. If the worker was heard
	// within recentlyHeard, no request is made and done gets gossip.CheckSkipped.
	VerifyWorker(worker string, recentlyHeard, timeout time.Duration, done func(gossip.CheckResult))
	// ApplyGossip passes what came of gossip to the dispatcher.
	ApplyGossip(dispatch.GossipUpdate)
}
