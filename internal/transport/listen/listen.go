// Package listen opens listening sockets for netpoll's event loops, and looks at the state of descriptors.
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

// shedRetryDelay is how long an event loop rests where no connection could be closed for want of a descriptor.
const shedRetryDelay = time.Millisecond

// Listener is a listening socket for netpoll's event loop. netpoll's own closes its descriptor twice, within
// Close and again with each further Close; in between another goroutine may have been given the number, and
// loses its connection without a sign. This one closes each descriptor once.
type Listener struct {
	net.Listener
	file      *os.File // a copy of the descriptor, which the event loop watches
	fd        int
	closeOnce sync.Once

	mu      sync.Mutex
	reserve *os.File // given up for a moment where the system has no descriptor left
	shed    uint64   // connections closed for want of a descriptor
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
	l := &Listener{Listener: ln, file: file, fd: int(file.Fd())}
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

// Serve runs an event loop on the listener until the loop's Shutdown. It returns when the loop has taken the
// descriptor: from then on Shutdown ends the watch before Close gives the descriptor back to the system.
func (l *Listener) Serve(loop netpoll.EventLoop) {
	served := &servedListener{Listener: l, taken: make(chan struct{})}
	go func() { _ = loop.Serve(served) }()
	<-served.taken
}

// servedListener is a Listener as its event loop sees it.
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

// Accept returns the next connection, or nil without an error where none waits, or where the system had no descriptor
// left for it.
func (l *Listener) Accept() (net.Conn, error) {
	fd, address, err := syscall.Accept4(l.fd, syscall.SOCK_NONBLOCK|syscall.SOCK_CLOEXEC)
	switch err {
	case nil:
	case syscall.EAGAIN, syscall.EINTR, syscall.ECONNABORTED:
		return nil, nil
	case syscall.EMFILE, syscall.ENFILE:
		l.shedConnection()
		return nil, nil
	default:
		return nil, err
	}
	conn := &acceptedConn{fd: fd, local: l.Addr(), remote: remoteAddr(address)}
	if _, tcp := conn.remote.(*net.TCPAddr); tcp {
		_ = syscall.SetsockoptInt(fd, syscall.IPPROTO_TCP, syscall.TCP_NODELAY, 1)
	}
	return conn, nil
}

// remoteAddr returns the address of an accepted connection's peer.
func remoteAddr(address syscall.Sockaddr) net.Addr {
	switch address := address.(type) {
	case *syscall.SockaddrInet4:
		return &net.TCPAddr{IP: append(net.IP(nil), address.Addr[:]...), Port: address.Port}
	case *syscall.SockaddrInet6:
		return &net.TCPAddr{IP: append(net.IP(nil), address.Addr[:]...), Port: address.Port}
	default:
		return &net.UnixAddr{Net: "unix"}
	}
}

// shedConnection closes the connection that has waited longest, where the system has no descriptor left for it. It
// guards against an event loop that spins on a connection that it can't accept, and against one that stops accepting
// for a while: a descriptor held in reserve is given up for the connection, which is closed at once.
func (l *Listener) shedConnection() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.reserve != nil {
		_ = l.reserve.Close()
		l.reserve = nil
	}
	if fd, _, err := syscall.Accept4(l.fd, syscall.SOCK_NONBLOCK|syscall.SOCK_CLOEXEC); err == nil {
		_ = syscall.Close(fd)
		l.shed++
	} else if err != syscall.EAGAIN {
		time.Sleep(shedRetryDelay) // the reserve did not help: other work must free a descriptor
	}
	l.reserve, _ = os.Open(os.DevNull)
}

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
		if l.reserve != nil {
			_ = l.reserve.Close()
		}
		l.mu.Unlock()
		err = l.file.Close()
		if closeErr := l.Listener.Close(); err == nil {
			err = closeErr
		}
	})
	return err
}

// acceptedConn hands a new connection's descriptor and addresses to netpoll, which reads and writes by itself.
type acceptedConn struct {
	net.Conn
	fd            int
	local, remote net.Addr
}

// Fd returns the connection's descriptor.
func (c *acceptedConn) Fd() int { return c.fd }

// LocalAddr implements net.Conn.
func (c *acceptedConn) LocalAddr() net.Addr { return c.local }

// RemoteAddr implements net.Conn.
func (c *acceptedConn) RemoteAddr() net.Addr { return c.remote }
