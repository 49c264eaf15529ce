package http2

import (
	"bufio"
	"fmt"
	"net"
	"sync"
	"time"

	"github.com/topazfront/topazfront/internal/transport/hpack"
	"github.com/topazfront/topazfront/internal/transport/socket"
)

// assumedMaxStreams is the number of streams that a client may open before the server's SETTINGS arrive.
const assumedMaxStreams = 100

// Handler receives the events of a whole connection. Its methods must not block.
type Handler interface {
	// StreamOpened is called at a server for each new stream, before the stream's headers are delivered.
	StreamOpened(s *Stream) Receiver
	// GoAway reports that the peer has sent GOAWAY and accepts no further streams. Streams that it has not
	// processed are closed right after, with StreamError.Unprocessed set.
	GoAway(c *Conn, code ErrCode)
	// ConnClosed is called once, when the connection has ended and all its streams have been closed.
	ConnClosed(c *Conn, err error)
}

// Conn is one end of an HTTP/2 connection.
type Conn struct {
	cfg      Config
	netConn  net.Conn
	handler  Handler
	isClient bool
	openedAt time.Time

	// Used by the reading goroutine only.
	reader             *bufio.Reader
	frameBuffer        []byte // payload of the frame that is being handled, reused
	decoder            *hpack.Decoder
	fieldBuffer        []hpack.Field // decoded fields, reused
	headerBlock        []byte        // fragments so far of a header block that spans CONTINUATION frames
	headerBlockStart   frameHeader   // header of the HEADERS frame that began headerBlock
	expectContinuation bool
	prefaceReceived    bool
	settingsReceived   bool      // the peer's first SETTINGS frame has arrived
	glitchTokens       float64   // token bucket of countGlitch
	glitchTokensAt     time.Time // when the bucket was last refilled

	mu sync.Mutex // guards the fields below

	encoder         *hpack.Encoder
	writeBuffer     []byte    // frames waiting for the socket
	spareBuffer     []byte    // the last buffer written, for reuse
	queuedControl   int       // bytes in writeBuffer that queueControl added
	sendQueue       []*Stream // streams with queued data, trailers or END_STREAM, served round-robin
	flushing        bool      // a flush goroutine is running
	flushDeferred   bool      // the reading goroutine will flush once it has handled the received frames
	closeAfterFlush bool      // the connection closes once writeBuffer has been written
	closed          bool
	err             error // why the connection ended or is ending

	streams          map[uint32]*Stream
	resetStreams     map[uint32]bool // streams that this end reset recently; frames still in flight on them are ignored
	resetOrder       []uint32        // keys of resetStreams, oldest first
	nextStreamID     uint32          // ID of the next stream opened by this end
	lastPeerStreamID uint32          // highest ID of a stream opened by the peer
	numPeerStreams   int             // open streams that the peer opened
	numLocalStreams  int             // open streams that this end opened

	sendWindow        int64 // bytes of DATA that this end may send
	recvWindow        int64 // bytes of DATA that the peer may send
	recvCredit        int64 // bytes received for which no WINDOW_UPDATE has been sent yet
	peerInitialWindow int64
	peerMaxFrameSize  int
	peerMaxStreams    uint32 // SETTINGS_MAX_CONCURRENT_STREAMS of the peer: streams that this end may have open

	goAwayReceived  bool
	draining        bool // Shutdown was called
	finalGoAwaySent bool // the GOAWAY that names the last stream was sent: streams above it are ignored
	pendingPings    map[[pingLen]byte]func()
}

// newConn returns a connection with its preface queued. The caller flushes the preface when the socket is ready.
func newConn(netConn net.Conn, cfg Config, h Handler, isClient bool) *Conn {
	cfg = cfg.withDefaults()
	c := &Conn{
		cfg:      cfg,
		netConn:  netConn,
		handler:  h,
		isClient: isClient,
		openedAt: time.Now(),

		reader:          bufio.NewReader(netConn),
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
	return c
}

// Dial connects to a server and returns when the socket is connected. Streams may be opened before the settings
// have been exchanged, as RFC 9113, section 3.4 permits.
func Dial(network, addr string, timeout time.Duration, cfg Config, h Handler) (*Conn, error) {
	netConn, err := socket.Dial(network, addr, timeout)
	if err != nil {
		return nil, fmt.Errorf("http2: %w", err)
	}
	c := newConn(netConn, cfg, h, true)
	c.flushPreface()
	go c.readLoop()
	return c, nil
}

// RemoteAddr returns the peer's address.
func (c *Conn) RemoteAddr() string { return c.netConn.RemoteAddr().String() }

// OpenedAt returns when the connection was established.
func (c *Conn) OpenedAt() time.Time { return c.openedAt }

// isPeerStream reports whether the ID is one that the peer opens: client streams are odd, server streams even.
func (c *Conn) isPeerStream(id uint32) bool { return (id%2 == 1) != c.isClient }

// isIdle reports whether neither end has opened the stream yet. c.mu is held.
func (c *Conn) isIdle(id uint32) bool {
	if c.isPeerStream(id) {
		return id > c.lastPeerStreamID
	}
	return id >= c.nextStreamID
}
