package fakepeer

import (
	"bytes"
	"crypto/ed25519"
	"math/rand/v2"
	"net"

	"github.com/topazfront/topazfront/internal/gossip"
	"github.com/topazfront/topazfront/internal/wallclock"
)

const (
	// randomForgeries is the stream of random numbers, within a forger's seed, of its packets.
	randomForgeries = 9

	// forgedIncarnation is newer than any that a member has, so that a forgery, if accepted, would win.
	forgedIncarnation = 1 << 61

	// excessBytes makes a packet larger than any that is accepted.
	excessBytes = 1500

	// unknownVersion is no version of the packet format.
	unknownVersion = 9

	// floodPackets is how many packets a flood repeats.
	floodPackets = 32
)

// Forger sends what no router may accept: packets under the names of others, signed with a key that is not theirs, or
// with changed bytes, truncated, of another version, or too large. It has no admitted key. It is not safe for use from
// several goroutines.
type Forger struct {
	Names             []string // of the members whose packets it forges
	KeyNames          []string // of their keys
	Worker            string   // that it reports as silent,
	WorkerIncarnation uint64
	StolenKey         func(name string) ed25519.PrivateKey // the members' own keys, with which its packets are valid; nil: none
	Sent              int                                  // packets so far

	conn       net.PacketConn
	rng        *rand.Rand
	privateKey ed25519.PrivateKey
}

// NewForger opens a forger's socket on loopback.
func NewForger(seed uint64, names, keyNames []string) (*Forger, error) {
	conn, err := net.ListenPacket("udp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	return &Forger{
		Names:      names,
		KeyNames:   keyNames,
		Worker:     "w001",
		conn:       conn,
		rng:        rand.New(rand.NewPCG(seed, randomForgeries)),
		privateKey: ed25519.NewKeyFromSeed(bytes.Repeat([]byte{byte(seed), 0xf0}, ed25519.SeedSize/2)),
	}, nil
}

// Addr is the address of the forger's socket.
func (f *Forger) Addr() string { return f.conn.LocalAddr().String() }

// Close closes the forger's socket.
func (f *Forger) Close() { _ = f.conn.Close() }

// Packet returns a forged packet, or nil if it cannot be made.
func (f *Forger) Packet() []byte {
	i := f.rng.IntN(len(f.Names))
	name, key := f.Names[i], f.privateKey
	if f.StolenKey != nil {
		key = f.StolenKey(name)
	}
	keyring := gossip.NewKeyring(f.KeyNames[i], key, wallclock.System.Now().UnixNano())
	silent := gossip.Statement{Kind: gossip.WorkerSilent, Signer: name, Incarnation: forgedIncarnation, Seq: 1,
		Subject: f.Worker, SubjectIncarnation: f.WorkerIncarnation}
	keyring.SignStatement(&silent)
	alive := gossip.Statement{Kind: gossip.MemberAlive, Signer: name, Incarnation: forgedIncarnation, Seq: 2, Text: f.Addr()}
	keyring.SignStatement(&alive)
	packet, err := keyring.Seal(gossip.Message{Kind: gossip.Push, From: name, Addr: f.Addr(), Incarnation: forgedIncarnation,
		Statements: []gossip.Statement{silent, alive}})
	if err != nil {
		return nil
	}
	return f.damage(packet)
}

// damage makes two thirds of the packets invalid in one more way than their key.
func (f *Forger) damage(packet []byte) []byte {
	switch f.rng.IntN(6) {
	case 0: // truncated
		packet = packet[:f.rng.IntN(len(packet))]
	case 1: // one byte changed
		packet[f.rng.IntN(len(packet))] ^= byte(1 + f.rng.IntN(255))
	case 2: // too large
		packet = append(packet, make([]byte, excessBytes)...)
	case 3: // another version
		packet[1+int(packet[0])+ed25519.SignatureSize] = unknownVersion
	}
	return packet
}

// Send sends so many packets to each address.
func (f *Forger) Send(addrs []string, each int) {
	for range each {
		for _, addr := range addrs {
			if to, err := net.ResolveUDPAddr("udp", addr); err == nil {
				f.write(f.Packet(), to)
			}
		}
	}
}

// Flood sends so many packets to each address as fast as the socket takes them. It repeats a few packets, as signing
// would slow it down. It stands here and not in the test that uses it because receivers limit packets by their source,
// which must be the forger's own socket.
func (f *Forger) Flood(addrs []string, each int) {
	var packets [floodPackets][]byte
	for i := range packets {
		packets[i] = f.Packet()
	}
	for _, addr := range addrs {
		to, err := net.ResolveUDPAddr("udp", addr)
		if err != nil {
			continue
		}
		for i := range each {
			f.write(packets[i%len(packets)], to)
		}
	}
}

func (f *Forger) write(packet []byte, to net.Addr) {
	if _, err := f.conn.WriteTo(packet, to); err == nil {
		f.Sent++
	}
}
