package agent

import (
	"encoding/binary"
	"errors"
	"io"
	"net"
	"sync"
	"time"

	"github.com/topazfront/topazfront/internal/transport/listen"
	"github.com/topazfront/topazfront/internal/transport/socket"
)

const (
	streamHeaderBytes    = 4 // length of the packet, big-endian
	maxStreamPacketBytes = 64 << 10
	streamTimeout        = 2 * time.Second
	streamCloseTimeout   = time.Second // for inbound connections when the transport is closed
	maxDials             = 8           // concurrent outbound connections
	maxInbound           = 64          // concurrent inbound connections
)

var errStreamLength = errors.New("gossip: packet length in stream header is out of range")

// streamTransport carries packets that are too large for datagrams over TCP. Each connection carries one packet,
// preceded by its length, and is then closed; a reply uses a separate connection. Packets are signed like datagrams.
type streamTransport struct {
	listener  *listen.Listener
	onPacket  func(source string, packet []byte)
	dialSlots chan struct{}
	dials     sync.WaitGroup // one goroutine for each outbound connection

	mu      sync.Mutex
	inbound map[net.Conn]struct{}
	reading sync.WaitGroup // one goroutine for each inbound connection
}

// listenStream listens on an address. onPacket is called for each packet, on the goroutine of its
// connection, and owns the slice.
func listenStream(addr string, onPacket func(source string, packet []byte)) (*streamTransport, error) {
	listener, err := listen.Open("tcp", addr)
	if err != nil {
		return nil, err
	}
	s := &streamTransport{
		listener:  listener,
		onPacket:  onPacket,
		dialSlots: make(chan struct{}, maxDials),
		inbound:   map[net.Conn]struct{}{},
	}
	if err := listener.Serve(s.accept); err != nil {
		_ = listener.Close()
		return nil, err
	}
	return s, nil
}

// accept admits an inbound connection for at most streamTimeout, or closes it if there are too many.
func (s *streamTransport) accept(conn net.Conn) {
	s.mu.Lock()
	full := len(s.inbound) >= maxInbound
	if !full {
		s.inbound[conn] = struct{}{}
	}
	s.mu.Unlock()
	if full {
		_ = conn.Close()
		return
	}
	s.reading.Go(func() {
		defer s.remove(conn)
		if packet, err := readStreamPacket(conn); err == nil {
			s.onPacket(conn.RemoteAddr().String(), packet)
		}
	})
}

func (s *streamTransport) remove(conn net.Conn) {
	_ = conn.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.inbound, conn)
}

// readStreamPacket reads the packet of an inbound connection. A slow sender must not occupy a place for longer than
// streamTimeout.
func readStreamPacket(conn net.Conn) ([]byte, error) {
	if err := conn.SetReadDeadline(time.Now().Add(streamTimeout)); err != nil {
		return nil, err
	}
	var header [streamHeaderBytes]byte
	if _, err := io.ReadFull(conn, header[:]); err != nil {
		return nil, err
	}
	length := int(binary.BigEndian.Uint32(header[:]))
	if length == 0 || length > maxStreamPacketBytes {
		return nil, errStreamLength
	}
	packet := make([]byte, length)
	_, err := io.ReadFull(conn, packet)
	return packet, err
}

// Addr returns the listen address.
func (s *streamTransport) Addr() string { return s.listener.Addr().String() }

// Send sends a packet to an address in the background. If too many outbound connections are open, the packet is dropped
// without an error, like a lost datagram.
func (s *streamTransport) Send(to string, packet []byte) {
	select {
	case s.dialSlots <- struct{}{}:
	default:
		return
	}
	s.dials.Go(func() {
		defer func() { <-s.dialSlots }()
		writePacket(to, packet)
	})
}

// writePacket connects to an address and writes one packet. On failure the packet is lost.
func writePacket(to string, packet []byte) {
	conn, err := socket.Dial("tcp", to, streamTimeout)
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }()
	if conn.SetWriteDeadline(time.Now().Add(streamTimeout)) != nil {
		return
	}
	message := binary.BigEndian.AppendUint32(make([]byte, 0, streamHeaderBytes+len(packet)), uint32(len(packet)))
	_, _ = conn.Write(append(message, packet...))
}

// Close closes the listener, waits up to streamCloseTimeout for inbound connections, and waits for the outbound ones.
func (s *streamTransport) Close() {
	_ = s.listener.Close()
	force := time.AfterFunc(streamCloseTimeout, s.closeInbound)
	s.reading.Wait()
	force.Stop()
	s.dials.Wait()
}

func (s *streamTransport) closeInbound() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for conn := range s.inbound {
		_ = conn.Close()
	}
}
