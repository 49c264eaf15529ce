package socket

import (
	"errors"
	"fmt"
	"io"
	"net"
	"runtime"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"github.com/topazfront/topazfront/internal/transport/listen"
)

// readBufferBytes is the size of the buffer of one read, and so the input that a Conn holds at most.
const readBufferBytes = 16 << 10

// readBuffers holds buffers for reads. Only connections that are being read have one.
var readBuffers = sync.Pool{New: func() any { return new([readBufferBytes]byte) }}

// Handler handles the events of a Conn. Its calls never overlap.
type Handler interface {
	// Received handles the next bytes of the input, which are valid until it returns. It must not block on the peer.
	Received(input []byte)
	// Closed is called once, after the last Received, when either side has closed the connection. The descriptor is
	// still open and is closed when Closed returns.
	Closed()
}

// Conn is a connection that reads its input no faster than its handler handles it. Its methods may be called from any
// goroutine.
type Conn struct {
	netConn      net.Conn
	rawConn      syscall.RawConn
	fd           int
	writeTimeout time.Duration
	handler      Handler

	mu     sync.Mutex
	busy   bool // input is being read or handled, or the connection is being ended
	closed bool // by either side
}

// New returns a Conn that takes over netConn, which must implement syscall.Conn. It reads nothing before Start. A write
// fails if the peer doesn't accept its bytes within writeTimeout; 0 means no limit.
func New(netConn net.Conn, handler Handler, writeTimeout time.Duration) (*Conn, error) {
	withDescriptor, ok := netConn.(syscall.Conn)
	if !ok {
		return nil, fmt.Errorf("socket: a connection without a descriptor: %T", netConn)
	}
	rawConn, err := withDescriptor.SyscallConn()
	if err != nil {
		return nil, fmt.Errorf("socket: %w", err)
	}
	c := &Conn{netConn: netConn, rawConn: rawConn, writeTimeout: writeTimeout, handler: handler}
	if err := rawConn.Control(func(fd uintptr) { c.fd = int(fd) }); err != nil {
		return nil, fmt.Errorf("socket: %w", err)
	}
	return c, nil
}

// Start starts to read. It must be called at most once.
func (c *Conn) Start() { go c.readLoop() }

// Fd returns the descriptor. It is valid until Handler.Closed returns.
func (c *Conn) Fd() int { return c.fd }

// RemoteAddr returns the peer's address.
func (c *Conn) RemoteAddr() net.Addr { return c.netConn.RemoteAddr() }

// IsActive reports whether neither side is known to have closed the connection.
func (c *Conn) IsActive() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.closed
}

// HasUnhandledInput reports whether input waits in the socket or is being handled. The socket is polled first: input
// that is read in between is seen as being handled.
func (c *Conn) HasUnhandledInput() bool {
	if ready, _ := listen.Poll(c.fd, unix.POLLIN); ready&unix.POLLIN != 0 {
		return true
	}
	return c.IsBusy()
}

// IsBusy reports whether input is being read or handled, or the connection is being ended.
func (c *Conn) IsBusy() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.busy
}

// Write writes p and waits until the system has accepted it, up to the write timeout.
func (c *Conn) Write(p []byte) (int, error) {
	if c.writeTimeout > 0 {
		if err := c.netConn.SetWriteDeadline(time.Now().Add(c.writeTimeout)); err != nil {
			return 0, err
		}
	}
	return c.netConn.Write(p)
}

// Close closes the connection. If no input is being handled, Handler.Closed has returned when Close returns; otherwise
// it is called when the handler has returned. Further calls have no effect.
func (c *Conn) Close() {
	c.mu.Lock()
	if c.closed {
		c.mu.Unlock()
		return
	}
	c.closed = true
	ends := !c.busy
	c.busy = true
	c.mu.Unlock()
	if ends {
		c.end()
	}
}

// end calls Handler.Closed and closes the descriptor. It is called once, by the goroutine that has set busy.
func (c *Conn) end() {
	c.handler.Closed()
	_ = c.netConn.Close()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.busy = false
}

// readLoop reads and handles input until the connection ends.
func (c *Conn) readLoop() {
	for c.readNext() {
	}
}

// readNext waits for input, reads it once and has it handled. It reports whether the connection is still open.
func (c *Conn) readNext() bool {
	buffer, n, err := c.read()
	if errors.Is(err, net.ErrClosed) { // Close has ended the connection
		return false
	}
	if n > 0 {
		c.handler.Received(buffer[:n])
	}
	if buffer != nil {
		readBuffers.Put(buffer)
	}
	if err != nil {
		c.markClosed()
	}
	if !c.release() { // this goroutine has set busy, so it ends the connection
		c.end()
		return false
	}
	if n == readBufferBytes {
		runtime.Gosched() // a peer that sends without pause doesn't keep the processor from the others
	}
	return true
}

// read waits for input and reads it once. The buffer, if not nil, belongs to the caller. The error is io.EOF at the end
// of the stream, and net.ErrClosed if another goroutine has ended the connection; otherwise the connection is busy when
// read returns.
func (c *Conn) read() (buffer *[readBufferBytes]byte, n int, err error) {
	waitErr := c.rawConn.Read(func(fd uintptr) (done bool) {
		if !c.acquire() {
			err = net.ErrClosed
			return true
		}
		buffer, _ = readBuffers.Get().(*[readBufferBytes]byte)
		n, err = readOnce(int(fd), buffer[:])
		if !errors.Is(err, unix.EAGAIN) {
			return true
		}
		readBuffers.Put(buffer)
		buffer, n, err = nil, 0, nil
		return !c.release() // if Close was called meanwhile, the caller ends the connection
	})
	if waitErr != nil {
		c.Close() // has no effect if that is why the wait failed
		return nil, 0, net.ErrClosed
	}
	return buffer, n, err
}

// acquire sets busy. It reports false if the connection is closed.
func (c *Conn) acquire() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return false
	}
	c.busy = true
	return true
}

// release resets busy, which the caller has set. If the connection was closed meanwhile, release reports false and
// busy stays set; the caller must end the connection.
func (c *Conn) release() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return false
	}
	c.busy = false
	return true
}

// markClosed records that the peer has closed the connection or that it is broken.
func (c *Conn) markClosed() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
}

// readOnce reads from a non-blocking descriptor. It returns io.EOF at the end of the stream.
func readOnce(fd int, buffer []byte) (int, error) {
	for {
		n, err := unix.Read(fd, buffer)
		switch {
		case errors.Is(err, unix.EINTR):
		case err != nil:
			return 0, err
		case n == 0:
			return 0, io.EOF
		default:
			return n, nil
		}
	}
}
