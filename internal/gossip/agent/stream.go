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
	streamHeaderBytes    = 4        // the packet's length, big-endian
	maxStreamPacketBytes = 64 << 10 // of a packet over a stream
	streamTimeout        = 2 * time.Second
	maxDials             = 8  // outbound connections at a time
	maxInbound           = 64 // inbound connections at a time
)

var errStreamLength = errors.New("gossip: length of a stream's packet out of range")

// streamTransport carries packets that are too large for datagrams over TCP. A connection carries one packet, its
// length before it, and is closed; an answer comes on a connection of its own. The packet is signed like a datagram.
type streamTransport struct {
	listener  *listen.Listener
	eventLoop netpoll.EventLoop
	received  func(source string, packet []byte)
	dialSlots chan struct{}
	dials     sync.WaitGroup // one goroutine for each outbound connection

	mu      sync.Mutex
	inbound map[netpoll.Connection]*time.Timer // the timer closes the connection
}

// listenStream listens on an address. received is called for each packet, by goroutines of netpoll, and owns it.
func listenStream(addr string, received func(source string, packet []byte)) (*streamTransport, error) {
	listener, err := listen.Open("tcp", addr)
	if err != nil {
		return nil, err
	}
	s := &streamTransport{
		listener:  listener,
		received:  received,
		dialSlots: make(chan struct{}, maxDials),
		inbound:   map[netpoll.Connection]*time.Timer{},
	}
	s.eventLoop, err = netpoll.NewEventLoop(s.readPacket, netpoll.WithOnConnect(s.connected))
	if err != nil {
		_ = listener.Close()
		return nil, err
	}
	listener.Serve(s.eventLoop)
	return s, nil
}

// connected admits an inbound connection, for at most streamTimeout, or closes it where there are too many.
func (s *streamTransport) connected(ctx context.Context, c netpoll.Connection) context.Context {
	s.mu.Lock()
	full := len(s.inbound) >= maxInbound
	if !full {
		// A peer that sends slowly keeps no place. The timer ends with the connection.
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

// readPacket reads the one packet of an inbound connection and closes it.
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
	s.received(c.RemoteAddr().String(), append([]byte(nil), packet...))
	return nil
}

// Addr returns the address listened on.
func (s *streamTransport) Addr() string { return s.listener.Addr().String() }

// Send sends a packet to an address without waiting for it. If too many are under way it is lost, as a datagram would
// be.
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

// writePacket dials an address and writes one packet. A failure loses the packet.
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

// Close ends the listener, gives the inbound connections a second to end and waits for the outbound ones.
func (s *streamTransport) Close() {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	_ = s.eventLoop.Shutdown(ctx)
	_ = s.listener.Close()
	s.dials.Wait()
}
