package http2

import (
	"cmp"
	"time"
)

// Config holds the limits and timeouts of a connection. Zero fields take the values of [DefaultConfig].
type Config struct {
	MaxConcurrentStreams uint32        // streams that the peer may have open at once
	StreamWindow         uint32        // initial receive window of a stream, in bytes
	ConnWindow           uint32        // receive window of the connection, in bytes
	MaxFrameSize         uint32        // largest frame payload accepted, in bytes
	MaxHeaderListSize    int           // largest header list accepted, in bytes as hpack.Field.Size counts them
	MaxHeaderBlockSize   int           // largest encoded header block accepted, in bytes, summed over its frames
	SendBufferSize       int           // bytes waiting for the socket at which further DATA stays queued in its stream
	MaxControlBytes      int           // largest backlog of acknowledgements for a peer that does not read, in bytes
	GlitchBurst          float64       // legal but costly frames accepted in a burst: resets, pings, empty frames etc.
	GlitchRate           float64       // sustained rate of such frames per second; beyond it the connection is ended
	FrameReadTimeout     time.Duration // longest wait for the rest of a frame's header or of its payload
	WriteTimeout         time.Duration // time within which the socket must accept a write
}

// DefaultConfig holds the limits used in production.
var DefaultConfig = Config{
	MaxConcurrentStreams: 1000,
	StreamWindow:         256 << 10,
	ConnWindow:           4 << 20,
	MaxFrameSize:         minMaxFrameSize,
	MaxHeaderListSize:    16 << 10,
	MaxHeaderBlockSize:   32 << 10,
	SendBufferSize:       256 << 10,
	MaxControlBytes:      1 << 20,
	GlitchBurst:          2000,
	GlitchRate:           500,
	FrameReadTimeout:     20 * time.Second,
	WriteTimeout:         30 * time.Second,
}

// withDefaults replaces zero fields by defaults and clamps the windows and the frame size to the protocol's limits.
func (c Config) withDefaults() Config {
	d := DefaultConfig
	c.MaxConcurrentStreams = cmp.Or(c.MaxConcurrentStreams, d.MaxConcurrentStreams)
	c.StreamWindow = min(cmp.Or(c.StreamWindow, d.StreamWindow), maxWindowSize)
	c.ConnWindow = min(max(cmp.Or(c.ConnWindow, d.ConnWindow), defaultWindowSize), maxWindowSize)
	c.MaxFrameSize = max(cmp.Or(c.MaxFrameSize, d.MaxFrameSize), minMaxFrameSize)
	c.MaxHeaderListSize = cmp.Or(c.MaxHeaderListSize, d.MaxHeaderListSize)
	c.MaxHeaderBlockSize = cmp.Or(c.MaxHeaderBlockSize, d.MaxHeaderBlockSize)
	c.SendBufferSize = cmp.Or(c.SendBufferSize, d.SendBufferSize)
	c.MaxControlBytes = cmp.Or(c.MaxControlBytes, d.MaxControlBytes)
	if c.GlitchBurst == 0 {
		c.GlitchBurst, c.GlitchRate = d.GlitchBurst, d.GlitchRate
	}
	c.FrameReadTimeout = cmp.Or(c.FrameReadTimeout, d.FrameReadTimeout)
	c.WriteTimeout = cmp.Or(c.WriteTimeout, d.WriteTimeout)
	return c
}
