package listen

import (
	"cmp"
	"fmt"
	"log/slog"
	"net"
	"os"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Listener is a listening socket that goes on accepting connections when system calls fail. It closes each of its
// descriptors once, after the last use of its number.
type Listener struct {
	net.Listener
	file      *os.File // duplicate of the descriptor, on which connections are accepted
	fd        int      // of file
	accepting sync.WaitGroup
	closeOnce sync.Once

	accept4 accept4Func         // syscall.Accept4; tests replace it
	sleep   func(time.Duration) // time.Sleep; tests replace it

	mu      sync.Mutex
	logger  *slog.Logger
	closed  bool     // fd may have been reused for something else
	reserve *os.File // reserve descriptor; see shedConnection
	shed    uint64   // connections closed by shedConnection
	faults  acceptFaults
}

// Open opens a listener on network "tcp" or "unix". The caller must close it.
func Open(network, addr string) (*Listener, error) {
	ln, err := net.Listen(network, addr)
	if err != nil {
		return nil, err
	}
	filer, ok := ln.(interface{ File() (*os.File, error) })
	if !ok {
		_ = ln.Close()
		return nil, fmt.Errorf("listen: no descriptor for a listener on %s", network)
	}
	file, err := filer.File() // non-blocking, like ln
	if err != nil {
		_ = ln.Close()
		return nil, err
	}
	l := &Listener{
		Listener: ln,
		file:     file,
		accept4:  syscall.Accept4,
		sleep:    time.Sleep,
		logger:   slog.New(slog.DiscardHandler),
	}
	if l.fd, err = descriptorOf(file); err != nil {
		_ = l.Close()
		return nil, err
	}
	if l.reserve, err = os.Open(os.DevNull); err != nil {
		_ = l.Close()
		return nil, err
	}
	return l, nil
}

// descriptorOf returns the descriptor of a file. Unlike os.File.Fd, it leaves it non-blocking.
func descriptorOf(file *os.File) (fd int, err error) {
	rawConn, err := file.SyscallConn()
	if err != nil {
		return 0, err
	}
	err = rawConn.Control(func(descriptor uintptr) { fd = int(descriptor) })
	return fd, err
}

// SetLogger sets the logger for failures to accept connections. Without a logger they are not logged.
func (l *Listener) SetLogger(logger *slog.Logger) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.logger = logger
}

// Serve accepts connections on a goroutine of its own until Close and passes each to handle, which owns it and must not
// block. Serve must be called at most once.
func (l *Listener) Serve(handle func(net.Conn)) error {
	rawConn, err := l.file.SyscallConn()
	if err != nil {
		return err
	}
	l.accepting.Go(func() {
		_ = rawConn.Read(func(uintptr) (done bool) { return l.acceptWaiting(handle) }) // fails when Close closes the file
	})
	return nil
}

// acceptWaiting accepts connections until none is left. It reports whether the listener is closed.
func (l *Listener) acceptWaiting(handle func(net.Conn)) (closed bool) {
	for {
		conn, _ := l.Accept()
		if conn != nil {
			handle(conn)
			continue
		}
		if l.isClosed() {
			return true
		}
		ready, err := Poll(l.fd, unix.POLLIN)
		if err == nil && ready == 0 {
			return false
		}
	}
}

func (l *Listener) isClosed() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.closed
}

// Fd returns the descriptor on which connections are accepted.
func (l *Listener) Fd() int { return l.fd }

// Shed returns the number of connections that were closed because no descriptor was left for them.
func (l *Listener) Shed() uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.shed
}

// Close ends Serve and closes the listener's descriptors. Further calls have no effect.
func (l *Listener) Close() (err error) {
	l.closeOnce.Do(func() {
		l.mu.Lock()
		l.closed = true
		if l.reserve != nil {
			_ = l.reserve.Close()
		}
		l.mu.Unlock()
		fileErr := l.file.Close()
		listenerErr := l.Listener.Close()
		l.accepting.Wait()
		err = cmp.Or(fileErr, listenerErr)
	})
	return err
}
