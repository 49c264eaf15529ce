// Package listen opens listening sockets for netpoll's event loops.
package listen

import (
	"fmt"
	"net"
	"os"
	"sync"
	"syscall"
	"time"

	"github.com/cloudwego/netpoll"
)

// Listener is a listening socket for netpoll's event loop. netpoll's own closes its descriptor twice, within
// Close and again with each further Close; in between another goroutine may have been given the number, and
// loses its connection without a sign. This one closes each descriptor once.
type Listener struct {
	net.Listener
	file    *os.File // a copy of the descriptor, which the event loop watches
	fd      int
	once    sync.Once
	started chan struct{} // closed when the event loop has taken the descriptor
	begin   sync.Once

	mu    sync.Mutex
	spare *os.File // given up for a moment where the system has no descriptor left
	shed  uint64
}

// On opens a listener, on "tcp" or "unix".
func On(network, addr string) (*Listener, error) {
	ln, err := net.Listen(network, addr)
	if err != nil {
		return nil, err
	}
	f, ok := ln.(interface{ File() (*os.File, error) })
	if !ok {
		_ = ln.Close()
		return nil, fmt.Errorf("listen: no descriptor for a listener on %s", network)
	}
	file, err := f.File()
	if err != nil {
		_ = ln.Close()
		return nil, err
	}
	l := &Listener{Listener: ln, file: file, fd: int(file.Fd()), started: make(chan struct{})}
	if err := syscall.SetNonblock(l.fd, true); err != nil {
		_ = l.Close()
		return nil, err
	}
	if l.spare, err = os.Open(os.DevNull); err != nil {
		_ = l.Close()
		return nil, err
	}
	return l, nil
}

// Serve runs an event loop on the listener until the loop's Shutdown. It returns when the loop has taken the
// descriptor: from then on Shutdown ends the watch before Close lets the descriptor go.
func (l *Listener) Serve(loop netpoll.EventLoop) {
	go func() { _ = loop.Serve(l) }()
	<-l.started
}

// Fd is the descriptor that the event loop watches.
func (l *Listener) Fd() int {
	l.begin.Do(func() { close(l.started) })
	return l.fd
}

// Accept returns the next connection, or nil without an error when none waits.
func (l *Listener) Accept() (net.Conn, error) {
	fd, sa, err := syscall.Accept4(l.fd, syscall.SOCK_NONBLOCK|syscall.SOCK_CLOEXEC)
	switch err {
	case nil:
	case syscall.EAGAIN, syscall.EINTR, syscall.ECONNABORTED:
		return nil, nil
	case syscall.EMFILE, syscall.ENFILE:
		l.turnAway()
		return nil, nil
	default:
		return nil, err
	}
	a := &accepted{fd: fd, local: l.Addr(), remote: &net.UnixAddr{Net: "unix"}}
	switch sa := sa.(type) {
	case *syscall.SockaddrInet4:
		a.remote = &net.TCPAddr{IP: append(net.IP(nil), sa.Addr[:]...), Port: sa.Port}
	case *syscall.SockaddrInet6:
		a.remote = &net.TCPAddr{IP: append(net.IP(nil), sa.Addr[:]...), Port: sa.Port}
	}
	if _, tcp := a.remote.(*net.TCPAddr); tcp {
		_ = syscall.SetsockoptInt(fd, syscall.IPPROTO_TCP, syscall.TCP_NODELAY, 1)
	}
	return a, nil
}

// turnAway closes the connection that waits first, where the system has no descriptor left for it. It guards against
// an event loop that spins on a connection that it can't take, and against one that stops accepting for a while: a
// descriptor held in reserve is given up for the connection, which is closed at once.
func (l *Listener) turnAway() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.spare != nil {
		_ = l.spare.Close()
		l.spare = nil
	}
	if fd, _, err := syscall.Accept4(l.fd, syscall.SOCK_NONBLOCK|syscall.SOCK_CLOEXEC); err == nil {
		_ = syscall.Close(fd)
		l.shed++
	} else if err != syscall.EAGAIN {
		time.Sleep(time.Millisecond) // nothing can be given up: other work must free a descriptor
	}
	l.spare, _ = os.Open(os.DevNull)
}

// Shed tells how many connections were closed because no descriptor was left for them.
func (l *Listener) Shed() uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.shed
}

// Close ends the listener, once.
func (l *Listener) Close() (err error) {
	l.once.Do(func() {
		l.mu.Lock()
		if l.spare != nil {
			_ = l.spare.Close()
		}
		l.mu.Unlock()
		err = l.file.Close()
		if e := l.Listener.Close(); err == nil {
			err = e
		}
	})
	return err
}

// accepted hands a new connection's descriptor and addresses to netpoll, which reads and writes by itself.
type accepted struct {
	net.Conn
	fd            int
	local, remote net.Addr
}

// Fd is the connection's descriptor.
func (a *accepted) Fd() int { return a.fd }

// LocalAddr implements net.Conn.
func (a *accepted) LocalAddr() net.Addr { return a.local }

// RemoteAddr implements net.Conn.
func (a *accepted) RemoteAddr() net.Addr { return a.remote }
