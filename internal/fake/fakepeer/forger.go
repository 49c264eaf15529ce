package fakepeer

import (
	"bytes"
	"crypto/ed25519"
	"math/rand/v2"
	"net"
	"time"

	"github.com/topazfront/topazfront/dispatch"
	"github.com/topazfront/topazfront/internal/gossip"
	"github.com/topazfront/topazfront/internal/gossip/agent"
)

// Forger sends what no router may take: packets under the names of others, by a key that is not theirs or with
// bytes changed, cut ones, old versions, ones too large. It holds no admitted key.
type Forger struct {
	Names  []string // of admitted members, to forge
	KeyIDs []string
	Worker string                               // that it calls silent,
	Of     uint64                               // in that life
	Stolen func(name string) ed25519.PrivateKey // nil, or the members' own keys: what it sends is then no forgery

	conn net.PacketConn
	rng  *rand.Rand
	keys *gossip.Keyring
	own  ed25519.PrivateKey
	Sent int
}

// NewForger opens a forger's socket.
func NewForger(seed uint64, names, keyIDs []string) (*Forger, error) {
	conn, err := net.ListenPacket("udp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	own := ed25519.NewKeyFromSeed(bytes.Repeat([]byte{byte(seed), 0xf0}, 16))
	return &Forger{Names: names, KeyIDs: keyIDs, conn: conn, rng: rand.New(rand.NewPCG(seed, 9)), own: own,
		Worker: "w001"}, nil
}

// Addr is its own address.
func (f *Forger) Addr() string { return f.conn.LocalAddr().String() }

// Close closes its socket.
func (f *Forger) Close() { _ = f.conn.Close() }

// Packet makes one forgery.
func (f *Forger) Packet() []byte {
	i := f.rng.IntN(len(f.Names))
	own := f.own
	if f.Stolen != nil {
		own = f.Stolen(f.Names[i])
	}
	k := gossip.NewKeyring(f.KeyIDs[i], own, uint64(time.Now().UnixNano()))
	s := gossip.Statement{Kind: gossip.WorkerSilent, Signer: f.Names[i], Incarnation: 1 << 61, Seq: 1, Subject: f.Worker, SubjectIncarnation: f.Of}
	k.SignStatement(&s)
	alive := gossip.Statement{Kind: gossip.MemberAlive, Signer: f.Names[i], Incarnation: 1 << 61, Seq: 2, Text: f.Addr()}
	k.SignStatement(&alive)
	p, err := k.Seal(gossip.Message{Kind: gossip.Push, From: f.Names[i], Addr: f.Addr(), Incarnation: 1 << 61,
		Statements: []gossip.Statement{s, alive}})
	if err != nil {
		return nil
	}
	switch f.rng.IntN(6) {
	case 0: // cut
		p = p[:f.rng.IntN(len(p))]
	case 1: // a byte changed
		p[f.rng.IntN(len(p))] ^= byte(1 + f.rng.IntN(255))
	case 2: // too large
		p = append(p, make([]byte, 1500)...)
	case 3: // another version
		p[1+int(p[0])+ed25519.SignatureSize] = 9
	}
	return p
}

// Send sends forgeries to each address.
func (f *Forger) Send(to []string, each int) {
	for range each {
		for _, a := range to {
			addr, err := net.ResolveUDPAddr("udp", a)
			if err != nil {
				continue
			}
			if _, err := f.conn.WriteTo(f.Packet(), addr); err == nil {
				f.Sent++
			}
		}
	}
}

// Flood sends a few forgeries over and over, as fast as the socket takes them.
func (f *Forger) Flood(to []string, each int) {
	var made [32][]byte
	for i := range made {
		made[i] = f.Packet()
	}
	for _, a := range to {
		addr, err := net.ResolveUDPAddr("udp", a)
		if err != nil {
			continue
		}
		for i := range each {
			if _, err := f.conn.WriteTo(made[i%len(made)], addr); err == nil {
				f.Sent++
			}
		}
	}
}

// Liar is an admitted member that takes part as others do, and lies of workers. It never looks.
type Liar struct {
	*agent.Agent
}

// NewLiar starts a liar.
func NewLiar(c agent.Config) (*Liar, error) {
	a, err := agent.Start(c, blind{})
	if err != nil {
		return nil, err
	}
	return &Liar{a}, nil
}

// Accuse has it call workers silent, again and again.
func (l *Liar) Accuse(started map[string]uint64) {
	l.SetWorkers(started)
	for id := range started {
		l.ReportSuspicion(dispatch.ReportSuspicion{Worker: id})
	}
}

// Praise has it say that a worker is back which it called silent.
func (l *Liar) Praise(worker string) { l.ReportAlive(worker) }

// blind is a router that sees nothing.
type blind struct{}

// Look implements peers.Router.
func (blind) VerifyWorker(_ string, _, _ time.Duration, done func(alive, void bool)) {
	done(false, true)
}

// Peers implements peers.Router.
func (blind) ApplyGossip(dispatch.GossipUpdate) {}
