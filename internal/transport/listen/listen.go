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

// Listener is a listening socket for netpoll's event loop that closes each descriptor once. netpoll's own listener
// closes its descriptor twice within Close, and again on each further Close. If another goroutine has been given the
// same descriptor number in between, it loses its connection.
type Listener struct {
	net.Listener
	file      *os.File // duplicate of the descriptor, which the event loop watches
	fd        int      // of file
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

// SetLogger sets the logger for failures to accept connections. Without a logger they are not logged.
func (l *Listener) SetLogger(logger *slog.Logger) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.logger = logger
}

// Serve starts an event loop on the listener, which runs until the loop's Shutdown. Serve returns when the loop has
// requested the descriptor. From then on, a Shutdown of the loop before Close guarantees that the loop no longer uses
// the descriptor when Close releases it.
func (l *Listener) Serve(loop netpoll.EventLoop) {
	served := &servedListener{Listener: l, fdRequested: make(chan struct{})}
	go func() { _ = loop.Serve(served) }()
	<-served.fdRequested
}

// servedListener is a Listener that signals when its event loop requests the descriptor.
type servedListener struct {
	*Listener
	fdRequested     chan struct{} // closed when the event loop has requested the descriptor
	fdRequestedOnce sync.Once
}

// Fd returns the descriptor that the event loop watches, and unblocks Serve.
func (l *servedListener) Fd() int {
	l.fdRequestedOnce.Do(func() { close(l.fdRequested) })
	return l.Listener.Fd()
}

// Fd returns the descriptor that the event loop watches.
func (l *Listener) Fd() int { return l.fd }

// Shed returns the number of connections that were closed because no descriptor was left for them.
func (l *Listener) Shed() uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.shed
}

// Close closes the listener's descriptors. Further calls have no effect.
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
