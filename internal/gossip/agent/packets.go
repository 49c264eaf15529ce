package agent

import (
	"errors"
	"fmt"
	"net"
	"strconv"
	"time"

	"github.com/topazfront/topazfront/internal/gossip"
)

const (
	// maxDatagramBytes is the largest datagram that is accepted.
	maxDatagramBytes = 1400
	// listenAttempts is how many ports are tried if the system chooses the port.
	listenAttempts = 16
	// receiveBufferBytes is the requested socket buffer for datagrams; the system may grant less.
	receiveBufferBytes = 1 << 20
)

// listen opens the UDP and the TCP socket on the same port.
func (a *Agent) listen() error {
	var lastErr error
	for range listenAttempts { // the port that the system chose for TCP may be in use for UDP
		streams, err := listenStream(a.cfg.Listen, a.streamPacketReceived)
		if err != nil {
			return fmt.Errorf("gossip: %w", err)
		}
		conn, err := net.ListenPacket("udp", streams.Addr())
		if err != nil {
			streams.Close()
			if _, port, _ := net.SplitHostPort(a.cfg.Listen); port != "0" {
				return fmt.Errorf("gossip: %w", err)
			}
			lastErr = err
			continue
		}
		if udp, ok := conn.(*net.UDPConn); ok {
			_ = udp.SetReadBuffer(receiveBufferBytes) // best effort: datagrams beyond the buffer are lost
		}
		a.packetConn, a.streams, a.addr = conn, streams, streams.Addr()
		if a.cfg.Hooks.WrapPacketConn != nil {
			a.packetConn = a.cfg.Hooks.WrapPacketConn(conn)
		}
		if a.cfg.Advertise != "" {
			a.addr = a.cfg.Advertise
		}
		return nil
	}
	return fmt.Errorf("gossip: no port free for both UDP and TCP: %w", lastErr)
}

func (a *Agent) closeSockets() {
	_ = a.packetConn.Close()
	a.streams.Close()
}

// readDatagrams passes datagrams to the loop until the socket is closed.
func (a *Agent) readDatagrams() {
	buffer := make([]byte, 64<<10)
	for {
		n, from, err := a.packetConn.ReadFrom(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue // a datagram sent earlier could not be delivered
		}
		if n > maxDatagramBytes {
			n = maxDatagramBytes + 1 // packetReceived rejects it because of its length
		}
		packet := append([]byte(nil), buffer[:n]...)
		source := from.String()
		a.enqueuePacket(func() { a.packetReceived(source, packet, false) })
	}
}

func (a *Agent) streamPacketReceived(source string, packet []byte) {
	a.enqueuePacket(func() { a.packetReceived(source, packet, true) })
}

// packetReceived processes one packet. The limiter bounds the rate at which packets are parsed and signatures are
// verified, so that a flood of invalid packets costs little.
func (a *Agent) packetReceived(source string, packet []byte, stream bool) {
	now := a.now()
	if !stream && len(packet) > maxDatagramBytes {
		a.dropped.Malformed++
		return
	}
	if !a.limiter.AllowPacket(now, source) {
		a.dropped.RateLimited++
		return
	}
	m, seen, err := a.keys.Open(packet)
	if err != nil {
		a.packetRejected(source, m, seen, err)
		return
	}
	a.received++
	if !stream { // the source port of a stream belongs to that connection only
		a.limiter.Authenticated(now, source, m.From)
	}
	m.Statements = a.verifiedStatements(now, &m)
	// Each message gets its own step, as the statements that the core wants depend on those it has processed.
	for _, action := range a.core.Step(now, append(takeAll(&a.coreEvents), gossip.MessageReceived{Message: m})) {
		a.perform(action)
	}
}

// packetRejected counts a packet that Open rejected. A stale one is passed to the core, which notifies the sender.
func (a *Agent) packetRejected(source string, m gossip.Message, seen uint64, err error) {
	switch {
	case errors.Is(err, gossip.ErrMalformed):
		a.dropped.Malformed++
	case errors.Is(err, gossip.ErrUnknownKey):
		a.dropped.UnknownKey++
	case errors.Is(err, gossip.ErrSignature):
		a.dropped.BadSignature++
	case errors.Is(err, gossip.ErrReplay):
		a.dropped.Replayed++
		if errors.Is(err, gossip.ErrStale) {
			a.coreEvents = append(a.coreEvents, gossip.StaleMessage{Message: m, HighestCounter: seen})
		}
	}
	a.logger.Debug("packet dropped", "source", source, "error", err)
}

// verifiedStatements returns those statements of a message that the core wants and that have a valid signature. It
// reuses the message's slice.
func (a *Agent) verifiedStatements(now time.Duration, m *gossip.Message) []gossip.Statement {
	verified := m.Statements[:0]
	for i := range m.Statements {
		s := &m.Statements[i]
		switch {
		case !a.core.Wants(s):
		case !a.limiter.AllowStatement(now, m.From) || a.keys.VerifyStatement(s) != nil:
			a.dropped.Statements++
		default:
			verified = append(verified, *s)
		}
	}
	return verified
}

// send signs and sends a message. A message that can't be sent is treated as lost.
func (a *Agent) send(s gossip.Send) {
	packet, err := a.keys.Seal(s.Message)
	if err != nil {
		a.logger.Error("message not sent", "error", err)
		return
	}
	if s.Stream {
		if a.cfg.Hooks.AllowStream == nil || a.cfg.Hooks.AllowStream(s.To, len(packet)+streamHeaderBytes) {
			a.streams.Send(s.To, packet)
		}
		return
	}
	to, err := parseAddress(s.To)
	if err != nil {
		a.logger.Debug("address not usable", "address", s.To, "error", err)
		return
	}
	_, _ = a.packetConn.WriteTo(packet, to)
}

// parseAddress parses an IP address and port. Host names are not resolved, as that could block the loop.
func parseAddress(addr string) (*net.UDPAddr, error) {
	host, portText, err := net.SplitHostPort(addr)
	if err != nil {
		return nil, err
	}
	ip := net.ParseIP(host)
	port, err := strconv.Atoi(portText)
	if err != nil || ip == nil || port < 1 || port > 65535 {
		return nil, fmt.Errorf("gossip: %q is not an IP address and port", addr)
	}
	return &net.UDPAddr{IP: ip, Port: port}, nil
}
