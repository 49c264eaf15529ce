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
	maxStream     = 64 << 10 // bytes of a packet over a stream
	streamTimeout = 2 * time.Second
	maxDials      = 8  // connections being made at a time
	maxTaken      = 64 // connections being read at a time
)

// streams is the TCP side of an agent.
type streams struct {
	ln    *listen.Listener
	loop  netpoll.EventLoop
	slots chan struct{}
	wg    sync.WaitGroup

	mu   sync.Mutex
	open map[netpoll.Connection]struct{}
}

func listenStreams(addr string, take func(src string, p []byte)) (*streams, error) {
	ln, err := listen.Open("tcp", addr)
	if err != nil {
		return nil, err
	}
	s := &streams{ln: ln, slots: make(chan struct{}, maxDials), open: map[netpoll.Connection]struct{}{}}
	s.loop, err = netpoll.NewEventLoop(func(_ context.Context, c netpoll.Connection) error {
		defer func() { _ = c.Close() }()
		_ = c.SetReadTimeout(streamTimeout)
		r := c.Reader()
		head, err := r.Next(4)
		if err != nil {
			return err
		}
		n := int(binary.BigEndian.Uint32(head))
		if n == 0 || n > maxStream {
			return errors.New("gossip: length out of range")
		}
		p, err := r.Next(n)
		if err == nil {
			take(c.RemoteAddr().String(), append([]byte(nil), p...))
		}
		return err
	}, netpoll.WithOnConnect(func(ctx context.Context, c netpoll.Connection) context.Context {
		s.mu.Lock()
		full := len(s.open) >= maxTaken
		if !full {
			s.open[c] = struct{}{}
		}
		s.mu.Unlock()
		if full {
			_ = c.Close()
			return ctx
		}
		_ = c.AddCloseCallback(func(c netpoll.Connection) error {
			s.mu.Lock()
			delete(s.open, c)
			s.mu.Unlock()
			return nil
		})
		time.AfterFunc(streamTimeout, func() { // whoever sends slowly holds no place
			s.mu.Lock()
			_, still := s.open[c]
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
	ln.Serve(s.loop)
	return s, nil
}

// Addr is the address listened on.
func (s *streams) Addr() string { return s.ln.Addr().String() }

// Send brings a packet to an address, unless too many are on their way: then it is lost, as a datagram would
// be.
func (s *streams) Send(to string, p []byte) {
	select {
	case s.slots <- struct{}{}:
	default:
		return
	}
	s.wg.Go(func() {
		defer func() { <-s.slots }()
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
func (s *streams) Close() {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	_ = s.loop.Shutdown(ctx)
	_ = s.ln.Close()
	s.wg.Wait()
}
