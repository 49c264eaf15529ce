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
	// forgeryRandomStream selects the random numbers for a forger's packets among the streams of its seed.
	forgeryRandomStream = 9

	// forgedIncarnation is higher than the incarnation of any member, so that a forged statement, if it were accepted,
	// would override the member's own.
	forgedIncarnation = 1 << 61

	// excessBytes, added to a packet, makes it larger than routers accept.
	excessBytes = 1500

	// unknownVersion is not a valid version of the packet format.
	unknownVersion = 9

	// floodPackets is the number of different packets in a flood.
	floodPackets = 32
)

// Forger sends packets that routers must reject. They pretend to come from other members but are signed with the
// forger's own key, which is not admitted, and most are also damaged: truncated, changed, too large, or of an unknown
// version. It must not be used from several goroutines at a time.
type Forger struct {
	Names             []string // of the members whose packets it forges
	KeyNames          []string // of these members' keys, in the same order
	Worker            string   // worker that it reports as silent
	WorkerIncarnation uint64   // of that worker
	// StolenKey, if not nil, returns a member's own key, which signs the packets instead of the forger's. Undamaged
	// packets are then valid.
	StolenKey func(name string) ed25519.PrivateKey
	Sent      int // number of packets sent

	conn       net.PacketConn
	rng        *rand.Rand
	privateKey ed25519.PrivateKey
}

// NewForger returns a forger with a socket on the loopback interface.
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
		rng:        rand.New(rand.NewPCG(seed, forgeryRandomStream)),
		privateKey: ed25519.NewKeyFromSeed(bytes.Repeat([]byte{byte(seed), 0xf0}, ed25519.SeedSize/2)),
	}, nil
}

// Addr returns the address of the forger's socket.
func (f *Forger) Addr() string { return f.conn.LocalAddr().String() }

// Close closes the forger's socket.
func (f *Forger) Close() { _ = f.conn.Close() }

// Packet returns a forged packet, or nil if it can't be encoded.
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

// damage makes two thirds of the packets invalid in another way than by their key.
func (f *Forger) damage(packet []byte) []byte {
	switch f.rng.IntN(6) {
	case 0: // truncated
		packet = packet[:f.rng.IntN(len(packet))]
	case 1: // one byte changed
		packet[f.rng.IntN(len(packet))] ^= byte(1 + f.rng.IntN(255))
	case 2: // too large
		packet = append(packet, make([]byte, excessBytes)...)
	case 3: // unknown version
		packet[1+int(packet[0])+ed25519.SignatureSize] = unknownVersion
	}
	return packet
}

// Send sends count packets to each address.
func (f *Forger) Send(addrs []string, count int) {
	for range count {
		for _, addr := range addrs {
			if to, err := net.ResolveUDPAddr("udp", addr); err == nil {
				f.write(f.Packet(), to)
			}
		}
	}
}

// Flood sends count packets to each address as fast as the socket allows. It repeats a few packets, because signing
// each one would slow it down. It is a method of Forger because receivers limit the packets of each source address, so
// that the flood must come from the forger's own socket.
func (f *Forger) Flood(addrs []string, count int) {
	var packets [floodPackets][]byte
	for i := range packets {
		packets[i] = f.Packet()
	}
	for _, addr := range addrs {
		to, err := net.ResolveUDPAddr("udp", addr)
		if err != nil {
			continue
		}
		for i := range count {
			f.write(packets[i%len(packets)], to)
		}
	}
}

func (f *Forger) write(packet []byte, to net.Addr) {
	if _, err := f.conn.WriteTo(packet, to); err == nil {
		f.Sent++
	}
}
