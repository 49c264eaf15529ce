package http2

import "encoding/binary"

// Ping sends a PING frame with id as its data and calls done on the reading goroutine when the peer has acknowledged
// it. If the connection ends first, done is not called. Ping distinguishes a live peer from one that hangs.
func (c *Conn) Ping(id uint64, done func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	var data [pingLen]byte
	binary.BigEndian.PutUint64(data[:], id)
	c.pendingPings[data] = done
	c.writeBuffer = appendPing(c.writeBuffer, 0, data[:])
	c.scheduleFlush()
}

func (c *Conn) handlePing(h frameHeader, payload []byte) error {
	if h.streamID != 0 {
		return connError(ProtocolError, "PING on stream %d", h.streamID)
	}
	if h.length != pingLen {
		return connError(FrameSizeError, "PING of %d bytes", h.length)
	}
	if h.flags&flagAck != 0 {
		c.handlePingAck([pingLen]byte(payload))
		return nil
	}
	if err := c.countGlitch("PING frames"); err != nil {
		return err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.queueControl(appendPing(nil, flagAck, payload))
}

// handlePingAck calls the callback of the acknowledged PING. Acknowledgements of unknown PINGs are ignored.
func (c *Conn) handlePingAck(data [pingLen]byte) {
	c.mu.Lock()
	done := c.pendingPings[data]
	delete(c.pendingPings, data)
	c.mu.Unlock()
	if done != nil {
		done()
	}
}
