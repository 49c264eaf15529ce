package http2

import (
	"cmp"
	"time"
)

// Config limits a connection. Zero fields take the values of [DefaultConfig].
type Config struct {
	MaxConcurrentStreams uint32        // streams that the peer may have open at once
	StreamWindow         uint32        // initial receive window of a stream, in bytes
	ConnWindow           uint32        // receive window of the connection, in bytes
	MaxFrameSize         uint32        // largest frame payload accepted, in bytes
	MaxHeaderListSize    int           // largest header list accepted, as hpack.Field.Size counts it
	MaxHeaderBlockSize   int           // largest encoded header block accepted, in bytes over all its frames
	SendBufferSize       int           // bytes that may wait for the socket before DATA stays queued in its stream
	MaxControlBytes      int           // bytes of acknowledgements that may wait for a peer that does not read
	GlitchBurst          float64       // legal but costly frames accepted in a burst: resets, pings, settings, empty frames
	GlitchRate           float64       // and per second, before the connection is ended
	FrameReadTimeout     time.Duration // a frame that has begun must be complete within this time
	WriteTimeout         time.Duration // the socket must accept what is written within this time
}

// DefaultConfig has the limits used in production.
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

// withDefaults fills the zero fields and brings windows and frame size into the protocol's limits.
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
