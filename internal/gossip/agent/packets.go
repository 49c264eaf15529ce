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
	// listenAttempts is how many ports are tried where the system chooses one for UDP and TCP.
	listenAttempts = 16
	// receiveBufferBytes is asked of the system for datagrams; it may give less.
	receiveBufferBytes = 1 << 20
)

// listen opens both sockets on one port.
func (a *Agent) listen() error {
	var lastErr error
	for range listenAttempts { // a port that the system chose for one may be in use for the other
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
			_ = udp.SetReadBuffer(receiveBufferBytes) // what does not fit is lost, as in any network
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
			continue // an earlier datagram could not be delivered
		}
		if n > maxDatagramBytes {
			n = maxDatagramBytes + 1 // it is rejected, whatever it holds
		}
		packet := append([]byte(nil), buffer[:n]...)
		source := from.String()
		a.enqueuePacket(func() { a.packetReceived(source, packet, false) })
	}
}

func (a *Agent) streamPacketReceived(source string, packet []byte) {
	a.enqueuePacket(func() { a.packetReceived(source, packet, true) })
}

// packetReceived reads one packet. What fails costs little: nothing is parsed, and no signature verified, beyond the
// limiter's rates.
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
	if !stream { // the source of a stream is a port of that connection alone
		a.limiter.Authenticated(now, source, m.From)
	}
	m.Statements = a.verifiedStatements(now, &m)
	// One message a step, as what the core wants depends on what it has learned.
	for _, action := range a.core.Step(now, append(takeAll(&a.coreEvents), gossip.MessageReceived{Message: m})) {
		a.perform(action)
	}
}

// packetRejected counts a packet that could not be opened. A stale one is passed to the core, so that its sender is
// notified.
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
			a.coreEvents = append(a.coreEvents, gossip.StaleMessage{Message: m, Seen: seen})
		}
	}
	a.logger.Debug("packet dropped", "source", source, "error", err)
}

// verifiedStatements returns the statements of a message that the core wants and whose signature is valid. It reuses
// the message's slice.
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

// send seals a message and sends it. What can't be sent counts as lost.
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

// parseAddress reads an IP address and port. Names are not looked up, as that could block the loop.
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
