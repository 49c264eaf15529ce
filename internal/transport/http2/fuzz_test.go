package http2

import (
	"testing"
	"time"

	"github.com/topazfront/topazfront/internal/transport/hpack"
)

// newSocketlessConn returns the server end of a connection that has no socket and writes nothing.
func newSocketlessConn() *Conn {
	return &Conn{
		cfg:               Config{MaxConcurrentStreams: 50}.withDefaults(),
		handler:           &echoHandler{},
		decoder:           hpack.NewDecoder(4096, 16<<10),
		prefaceReceived:   true,
		glitchTokens:      1000,
		glitchTokensAt:    time.Now(),
		encoder:           hpack.NewEncoder(),
		flushing:          true, // keeps scheduleFlush from starting a flush
		streams:           map[uint32]*Stream{},
		resetStreams:      map[uint32]bool{},
		nextStreamID:      2,
		sendWindow:        defaultWindowSize,
		recvWindow:        1 << 20,
		peerInitialWindow: defaultWindowSize,
		peerMaxFrameSize:  minMaxFrameSize,
		peerMaxStreams:    100,
		pendingPings:      map[[8]byte]func(){},
	}
}

// FuzzFrames passes frames to the server end of a connection without a socket. It checks that nothing panics and that
// the numbers of open and of remembered reset streams stay within their limits.
func FuzzFrames(f *testing.F) {
	f.Add(encodeFrame(frameSettings, 0, 0))
	f.Add(append(encodeFrame(frameSettings, 0, 0), encodeFrame(frameHeaders, 5, 1, 0x83, 0x86, 0x84)...))
	f.Add(append(append(encodeFrame(frameSettings, 0, 0), encodeFrame(frameHeaders, 4, 1, 0x83, 0x86, 0x84)...), encodeFrame(frameData, 1, 1, 1, 2, 3)...))
	f.Add(append(encodeFrame(frameSettings, 0, 0), encodeFrame(frameWindowUpdate, 0, 0, encodeUint32(maxWindowSize)...)...))
	f.Add(append(encodeFrame(frameSettings, 0, 0), encodeFrame(frameGoAway, 0, 0, append(encodeUint32(0), encodeUint32(0)...)...)...))
	f.Fuzz(func(t *testing.T, data []byte) {
		c := newSocketlessConn()
		for len(data) >= frameHeaderLen {
			h := parseFrameHeader(data)
			data = data[frameHeaderLen:]
			h.length = min(h.length, len(data), minMaxFrameSize)
			if err := c.handleFrame(h, data[:h.length]); err != nil {
				break
			}
			data = data[h.length:]
		}
		if len(c.streams) > 50 || c.numPeerStreams != len(c.streams) {
			t.Fatalf("%d streams open, numPeerStreams is %d", len(c.streams), c.numPeerStreams)
		}
		if len(c.resetStreams) > 600 {
			t.Fatalf("%d reset streams remembered, want at most 600", len(c.resetStreams))
		}
	})
}
