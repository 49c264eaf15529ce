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

// The path for large state: a connection brings one packet, its length before it in four bytes (big-endian),
// and is closed. An answer comes on a connection of its own. The packet is signed like a datagram.

const (
	maxStreamPacketBytes = 64 << 10 // bytes of a packet over a stream
	streamTimeout        = 2 * time.Second
	maxDials             = 8  // connections being made at a time
	maxInbound           = 64 // connections being read at a time
)

// streams is the TCP side of an agent.
type streamTransport struct {
	listener  *listen.Listener
	eventLoop netpoll.EventLoop
	dialSlots chan struct{}
	dials     sync.WaitGroup

	mu      sync.Mutex
	inbound map[netpoll.Connection]struct{}
}

func listenStream(addr string, take func(src string, p []byte)) (*streamTransport, error) {
	ln, err := listen.On("tcp", addr)
	if err != nil {
		return nil, err
	}
	s := &streamTransport{listener: ln, dialSlots: make(chan struct{}, maxDials), inbound: map[netpoll.Connection]struct{}{}}
	s.eventLoop, err = netpoll.NewEventLoop(func(_ context.Context, c netpoll.Connection) error {
		defer func() { _ = c.Close() }()
		_ = c.SetReadTimeout(streamTimeout)
		r := c.Reader()
		head, err := r.Next(4)
		if err != nil {
			return err
		}
		n := int(binary.BigEndian.Uint32(head))
		if n == 0 || n > maxStreamPacketBytes {
			return errors.New("gossip: length out of range")
		}
		p, err := r.Next(n)
		if err == nil {
			take(c.RemoteAddr().String(), append([]byte(nil), p...))
		}
		return err
	}, netpoll.WithOnConnect(func(ctx context.Context, c netpoll.Connection) context.Context {
		s.mu.Lock()
		full := len(s.inbound) >= maxInbound
		if !full {
			s.inbound[c] = struct{}{}
		}
		s.mu.Unlock()
		if full {
			_ = c.Close()
			return ctx
		}
		_ = c.AddCloseCallback(func(c netpoll.Connection) error {
			s.mu.Lock()
			delete(s.inbound, c)
			s.mu.Unlock()
			return nil
		})
		time.AfterFunc(streamTimeout, func() { // whoever sends slowly holds no place
			s.mu.Lock()
			_, still := s.inbound[c]
			s.mu.Unlock()
			if still {
				_ = c.Close()
			}
		})
		return ctx
	}))
	if err != nil {
		_ = ln.Close()
		return nil, err
	}
	ln.Serve(s.eventLoop)
	return s, nil
}

// Addr is the address listened on.
func (s *streamTransport) Addr() string { return s.listener.Addr().String() }

// Send brings a packet to an address, unless too many are on their way: then it is lost, as a datagram would
// be.
func (s *streamTransport) Send(to string, p []byte) {
	select {
	case s.dialSlots <- struct{}{}:
	default:
		return
	}
	s.dials.Go(func() {
		defer func() { <-s.dialSlots }()
		c, err := netpoll.DialConnection("tcp", to, streamTimeout)
		if err != nil {
			return
		}
		_ = c.SetWriteTimeout(streamTimeout)
		w := c.Writer()
		head, err := w.Malloc(4)
		if err == nil {
			binary.BigEndian.PutUint32(head, uint32(len(p)))
			if _, err = w.WriteBinary(p); err == nil {
				_ = w.Flush()
			}
		}
		_ = c.Close()
	})
}

// Close ends the listener and what is open.
func (s *streamTransport) Close() {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	_ = s.eventLoop.Shutdown(ctx)
	_ = s.listener.Close()
	s.dials.Wait()
}
