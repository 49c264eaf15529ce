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

	"github.com/cloudwego/netpoll"
)

// Listener is a listening socket for netpoll's event loop that closes each descriptor once. netpoll's own listener closes its
// descriptor twice within Close, and again with each further Close. Another goroutine may have been given the same number in
// between, and would lose its connection.
type Listener struct {
	net.Listener
	file      *os.File // a copy of the descriptor, which the event loop watches
	fd        int
	closeOnce sync.Once

	accept4 accept4Func         // the system call
	sleep   func(time.Duration) // time.Sleep

	mu      sync.Mutex
	logger  *slog.Logger
	closed  bool     // the descriptor may belong to something else by now
	reserve *os.File // closed for a moment when the system has no descriptor left
	shed    uint64   // connections closed because no descriptor was left
	faults  acceptFaults
}

// Open opens a listener, on "tcp" or "unix". The caller closes it.
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
	file, err := filer.File()
	if err != nil {
		_ = ln.Close()
		return nil, err
	}
	l := &Listener{
		Listener: ln,
		file:     file,
		fd:       int(file.Fd()),
		accept4:  syscall.Accept4,
		sleep:    time.Sleep,
		logger:   slog.New(slog.DiscardHandler),
	}
	if err := syscall.SetNonblock(l.fd, true); err != nil {
		_ = l.Close()
		return nil, err
	}
	if l.reserve, err = os.Open(os.DevNull); err != nil {
		_ = l.Close()
		return nil, err
	}
	return l, nil
}

// SetLogger sets the logger for failures of the system to accept connections. Without it none is logged.
func (l *Listener) SetLogger(logger *slog.Logger) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.logger = logger
}

// Serve starts an event loop on the listener, which runs until the loop's Shutdown. It returns when the loop has asked for
// the descriptor. From then on, Shutdown ends the loop's use of the descriptor before Close gives it back to the system.
func (l *Listener) Serve(loop netpoll.EventLoop) {
	served := &servedListener{Listener: l, taken: make(chan struct{})}
	go func() { _ = loop.Serve(served) }()
	<-served.taken
}

// servedListener is a Listener that notices when its event loop asks for the descriptor.
type servedListener struct {
	*Listener
	taken     chan struct{} // closed when the event loop has taken the descriptor
	takenOnce sync.Once
}

// Fd returns the descriptor that the event loop watches, and ends the wait of Serve.
func (l *servedListener) Fd() int {
	l.takenOnce.Do(func() { close(l.taken) })
	return l.Listener.Fd()
}

// Fd returns the descriptor that the event loop watches.
func (l *Listener) Fd() int { return l.fd }

// Shed returns how many connections were closed because no descriptor was left for them.
func (l *Listener) Shed() uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.shed
}

// Close closes the listener's descriptors. Only the first call does anything.
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
		err = cmp.Or(fileErr, listenerErr)
	})
	return err
}
