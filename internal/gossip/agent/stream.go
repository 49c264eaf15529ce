package agent

import (
	"context"
	"encoding/binary"
	"errors"
	"sync"
	"time"

	"github.com/cloudwego/netpoll"

	"github.com/topazfront/topazfront/internal/transport/listen"
)

const (
	streamHeaderBytes    = 4 // length of the packet, big-endian
	maxStreamPacketBytes = 64 << 10
	streamTimeout        = 2 * time.Second
	maxDials             = 8  // concurrent outbound connections
	maxInbound           = 64 // concurrent inbound connections
)

var errStreamLength = errors.New("gossip: packet length in stream header is out of range")

// streamTransport carries packets that are too large for datagrams over TCP. Each connection carries one packet,
// preceded by its length, and is then closed; a reply uses a separate connection. Packets are signed like datagrams.
type streamTransport struct {
	listener  *listen.Listener
	eventLoop netpoll.EventLoop
	onPacket  func(source string, packet []byte)
	dialSlots chan struct{}
	dials     sync.WaitGroup // one goroutine for each outbound connection

	mu      sync.Mutex
	inbound map[netpoll.Connection]*time.Timer // the timer closes the connection
}

// listenStream listens on an address. Goroutines of netpoll call onPacket for each packet; onPacket owns the slice.
func listenStream(addr string, onPacket func(source string, packet []byte)) (*streamTransport, error) {
	listener, err := listen.Open("tcp", addr)
	if err != nil {
		return nil, err
	}
	s := &streamTransport{
		listener:  listener,
		onPacket:  onPacket,
		dialSlots: make(chan struct{}, maxDials),
		inbound:   map[netpoll.Connection]*time.Timer{},
	}
	s.eventLoop, err = netpoll.NewEventLoop(s.readPacket, netpoll.WithOnConnect(s.onConnect))
	if err != nil {
		_ = listener.Close()
		return nil, err
	}
	listener.Serve(s.eventLoop)
	return s, nil
}

// onConnect admits an inbound connection for at most streamTimeout, or closes it if there are too many.
func (s *streamTransport) onConnect(ctx context.Context, c netpoll.Connection) context.Context {
	s.mu.Lock()
	full := len(s.inbound) >= maxInbound
	if !full {
		// A slow sender must not occupy a place for longer. The close callback stops the timer.
		s.inbound[c] = time.AfterFunc(streamTimeout, func() { s.closeIfOpen(c) })
	}
	s.mu.Unlock()
	if full {
		_ = c.Close()
		return ctx
	}
	_ = c.AddCloseCallback(func(c netpoll.Connection) error {
		s.mu.Lock()
		defer s.mu.Unlock()
		if timer := s.inbound[c]; timer != nil {
			timer.Stop()
			delete(s.inbound, c)
		}
		return nil
	})
	return ctx
}

func (s *streamTransport) closeIfOpen(c netpoll.Connection) {
	s.mu.Lock()
	_, open := s.inbound[c]
	s.mu.Unlock()
	if open {
		_ = c.Close()
	}
}

// readPacket reads the packet of an inbound connection and closes the connection.
func (s *streamTransport) readPacket(_ context.Context, c netpoll.Connection) error {
	defer func() { _ = c.Close() }()
	_ = c.SetReadTimeout(streamTimeout)
	r := c.Reader()
	header, err := r.Next(streamHeaderBytes)
	if err != nil {
		return err
	}
	length := int(binary.BigEndian.Uint32(header))
	if length == 0 || length > maxStreamPacketBytes {
		return errStreamLength
	}
	packet, err := r.Next(length)
	if err != nil {
		return err
	}
	s.onPacket(c.RemoteAddr().String(), append([]byte(nil), packet...))
	return nil
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
	c, err := netpoll.DialConnection("tcp", to, streamTimeout)
	if err != nil {
		return
	}
	defer func() { _ = c.Close() }()
	_ = c.SetWriteTimeout(streamTimeout)
	w := c.Writer()
	header, err := w.Malloc(streamHeaderBytes)
	if err != nil {
		return
	}
	binary.BigEndian.PutUint32(header, uint32(len(packet)))
	if _, err = w.WriteBinary(packet); err == nil {
		_ = w.Flush()
	}
}

// Close closes the listener, waits up to a second for inbound connections, and waits for the outbound ones.
func (s *streamTransport) Close() {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	_ = s.eventLoop.Shutdown(ctx)
	_ = s.listener.Close()
	s.dials.Wait()
}
