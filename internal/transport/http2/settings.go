package http2

import "encoding/binary"

// Identifiers of settings (RFC 9113, section 6.5.2).
const (
	settingHeaderTableSize      = 1
	settingEnablePush           = 2
	settingMaxConcurrentStreams = 3
	settingInitialWindowSize    = 4
	settingMaxFrameSize         = 5
	settingMaxHeaderListSize    = 6
)

// Limits in bytes that this end applies to the peer's settings.
const (
	maxHeaderTableSize = 1 << 30 // hpack.Encoder applies a lower limit
	maxSentFrameSize   = 64 << 10
)

type setting struct {
	id    uint16
	value uint32
}

func appendSettings(dst []byte, settings []setting) []byte {
	dst = appendFrameHeader(dst, frameHeader{length: settingLen * len(settings), typ: frameSettings})
	for _, s := range settings {
		dst = binary.BigEndian.AppendUint16(dst, s.id)
		dst = appendUint32(dst, s.value)
	}
	return dst
}

// queuePreface queues the connection preface (RFC 9113, section 3.4) and a WINDOW_UPDATE that enlarges the
// connection's window. newConn calls it before anything else can write, because no acknowledgement or GOAWAY may
// precede the preface.
func (c *Conn) queuePreface() {
	if c.isClient {
		c.writeBuffer = append(c.writeBuffer, clientPreface...)
	}
	settings := []setting{
		{settingInitialWindowSize, c.cfg.StreamWindow},
		{settingMaxConcurrentStreams, c.cfg.MaxConcurrentStreams},
		{settingMaxFrameSize, c.cfg.MaxFrameSize},
		{settingMaxHeaderListSize, uint32(c.cfg.MaxHeaderListSize)},
	}
	if c.isClient {
		settings = append(settings, setting{settingEnablePush, 0})
	}
	c.writeBuffer = appendSettings(c.writeBuffer, settings)
	if increment := c.cfg.ConnWindow - defaultWindowSize; increment > 0 {
		c.writeBuffer = appendWindowUpdate(c.writeBuffer, 0, increment)
	}
}

// flushPreface sends the queued preface.
func (c *Conn) flushPreface() {
	c.mu.Lock()
	c.scheduleFlush()
	c.mu.Unlock()
}

func (c *Conn) handleSettings(h frameHeader, payload []byte) error {
	if h.streamID != 0 {
		return connError(ProtocolError, "SETTINGS on stream %d", h.streamID)
	}
	if h.flags&flagAck != 0 {
		if h.length != 0 {
			return connError(FrameSizeError, "SETTINGS acknowledgement with a payload")
		}
		return nil
	}
	if h.length%settingLen != 0 {
		return connError(FrameSizeError, "SETTINGS of %d bytes", h.length)
	}
	if c.settingsReceived {
		if err := c.countGlitch("SETTINGS frames"); err != nil {
			return err
		}
	}
	c.settingsReceived = true
	c.mu.Lock()
	defer c.mu.Unlock()
	for ; len(payload) > 0; payload = payload[settingLen:] {
		s := setting{id: binary.BigEndian.Uint16(payload), value: binary.BigEndian.Uint32(payload[2:])}
		if err := c.applySetting(s); err != nil {
			return err
		}
	}
	return c.queueControl(appendFrameHeader(nil, frameHeader{typ: frameSettings, flags: flagAck}))
}

// applySetting applies one setting of the peer. Unknown settings are ignored. c.mu is held.
func (c *Conn) applySetting(s setting) error {
	switch s.id {
	case settingHeaderTableSize:
		c.encoder.SetMaxTableSize(int(min(s.value, maxHeaderTableSize)))
	case settingEnablePush:
		if s.value > 1 || s.value == 1 && c.isClient {
			return connError(ProtocolError, "SETTINGS_ENABLE_PUSH of %d", s.value)
		}
	case settingMaxConcurrentStreams:
		c.peerMaxStreams = s.value
	case settingInitialWindowSize:
		return c.setPeerInitialWindow(s.value)
	case settingMaxFrameSize:
		if s.value < minMaxFrameSize || s.value > maxMaxFrameSize {
			return connError(ProtocolError, "SETTINGS_MAX_FRAME_SIZE of %d", s.value)
		}
		c.peerMaxFrameSize = int(min(s.value, maxSentFrameSize))
	}
	return nil
}

// setPeerInitialWindow adjusts the send windows of all open streams by the difference between the new and the previous
// SETTINGS_INITIAL_WINDOW_SIZE; windows may become negative (RFC 9113, section 6.9.2). c.mu is held.
func (c *Conn) setPeerInitialWindow(size uint32) error {
	if size > maxWindowSize {
		return connError(FlowControlError, "SETTINGS_INITIAL_WINDOW_SIZE of %d", size)
	}
	change := int64(size) - c.peerInitialWindow
	c.peerInitialWindow = int64(size)
	for _, s := range c.streams {
		if s.sendWindow += change; s.sendWindow > maxWindowSize {
			return connError(FlowControlError, "window of stream %d overflows", s.id)
		}
	}
	c.scheduleFlush()
	return nil
}
