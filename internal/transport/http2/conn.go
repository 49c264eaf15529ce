package http2

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/cloudwego/netpoll"

	"github.com/topazfront/topazfront/internal/transport/hpack"
)

// assumedMaxStreams is how many streams a client opens before the peer's SETTINGS have arrived.
const assumedMaxStreams = 100

// Handler receives the events of a whole connection. Its methods must not block.
type Handler interface {
	// StreamOpened is called at a server for each new stream, before the stream's headers are delivered.
	StreamOpened(s *Stream) Receiver
	// GoAway reports that the peer accepts no further streams. Streams that it has not processed are closed
	// as Unprocessed right after.
	GoAway(c *Conn, code ErrCode)
	// ConnClosed reports that the connection is over, once. All its streams have been closed before.
	ConnClosed(c *Conn, err error)
}

// Conn is one end of a connection.
type Conn struct {
	cfg      Config
	netConn  netpoll.Connection
	handler  Handler
	isClient bool

	// Used by the reading goroutine alone.
	decoder            *hpack.Decoder
	fieldBuffer        []hpack.Field // decoded fields, reused
	headerBlock        []byte        // fragments of a header block that continues in CONTINUATION frames
	headerBlockStart   frameHeader   // the HEADERS frame that began it
	expectContinuation bool
	prefaceReceived    bool
	settingsReceived   bool      // the peer's first SETTINGS
	glitchTokens       float64   // token bucket of countGlitch
	glitchTokensAt     time.Time // when it was filled last

	mu sync.Mutex // guards what follows

	encoder         *hpack.Encoder
	writeBuffer     []byte    // frames that wait for the socket
	spareBuffer     []byte    // the buffer written last, for reuse
	queuedControl   int       // bytes of queueControl in writeBuffer
	sendQueue       []*Stream // streams with something to send, served in turn
	flushing        bool      // a flush goroutine runs
	flushDeferred   bool      // the reading goroutine flushes when it has handled what arrived
	closeAfterFlush bool      // the connection is closed once writeBuffer is written
	closed          bool
	err             error // why the connection ends

	streams          map[uint32]*Stream
	resetStreams     map[uint32]bool // streams that this end reset lately; frames in flight on them are ignored
	resetOrder       []uint32        // the same, oldest first
	nextStreamID     uint32          // of the next stream opened by this end
	lastPeerStreamID uint32          // highest stream opened by the peer
	numPeerStreams   int             // open streams that the peer opened
	numLocalStreams  int             // open streams that this end opened

	sendWindow        int64 // bytes of DATA that this end may send
	recvWindow        int64 // bytes of DATA that the peer may send
	recvCredit        int64 // bytes received and not yet returned by WINDOW_UPDATE
	peerInitialWindow int64
	peerMaxFrameSize  int
	peerMaxStreams    uint32 // streams that this end may have open

	goAwayReceived  bool
	draining        bool // Shutdown was called
	finalGoAwaySent bool // with the last stream: streams above it are ignored
	pendingPings    map[[pingLen]byte]func()
}

// newConn returns a connection with its preface queued. The caller flushes it when the socket is ready.
func newConn(netConn netpoll.Connection, cfg Config, h Handler, isClient bool) *Conn {
	cfg = cfg.withDefaults()
	c := &Conn{
		cfg:      cfg,
		netConn:  netConn,
		handler:  h,
		isClient: isClient,

		decoder:         hpack.NewDecoder(hpack.DefaultTableSize, cfg.MaxHeaderListSize),
		prefaceReceived: isClient,
		glitchTokens:    cfg.GlitchBurst,
		glitchTokensAt:  time.Now(),

		encoder:           hpack.NewEncoder(),
		streams:           map[uint32]*Stream{},
		resetStreams:      map[uint32]bool{},
		nextStreamID:      2,
		sendWindow:        defaultWindowSize,
		recvWindow:        int64(cfg.ConnWindow),
		peerInitialWindow: defaultWindowSize,
		peerMaxFrameSize:  minMaxFrameSize,
		peerMaxStreams:    assumedMaxStreams,
		pendingPings:      map[[pingLen]byte]func(){},
	}
	if isClient {
		c.nextStreamID = 1
	}
	c.queuePreface()
	_ = netConn.SetReadTimeout(cfg.FrameReadTimeout)
	_ = netConn.SetWriteTimeout(cfg.WriteTimeout)
	return c
}

// Dial connects to a server and returns when the socket is open. Streams may be opened before the settings
// have been exchanged, as RFC 9113, section 3.4 permits.
func Dial(network, addr string, timeout time.Duration, cfg Config, h Handler) (*Conn, error) {
	netConn, err := netpoll.NewDialer().DialConnection(network, addr, timeout)
	if err != nil {
		return nil, fmt.Errorf("http2: %w", err)
	}
	c := newConn(netConn, cfg, h, true)
	if err := netConn.SetOnRequest(func(context.Context, netpoll.Connection) error { return c.readFrames() }); err != nil {
		_ = netConn.Close()
		return nil, fmt.Errorf("http2: read from %s: %w", addr, err)
	}
	_ = netConn.AddCloseCallback(func(netpoll.Connection) error {
		c.terminate(errClosedByPeer)
		return nil
	})
	if !netConn.IsActive() {
		return nil, errClosedAtOnce
	}
	c.flushPreface()
	return c, nil
}

// RemoteAddr returns the peer's address.
func (c *Conn) RemoteAddr() string { return c.netConn.RemoteAddr().String() }

// isPeerStream reports whether the peer opens streams with this ID: a client opens odd ones.
func (c *Conn) isPeerStream(id uint32) bool { return (id%2 == 1) != c.isClient }

// isIdle reports whether neither end has opened the stream yet. c.mu is held.
func (c *Conn) isIdle(id uint32) bool {
	if c.isPeerStream(id) {
		return id > c.lastPeerStreamID
	}
	return id >= c.nextStreamID
}
