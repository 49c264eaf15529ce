package listen

import (
	"errors"
	"net"
	"os"
	"syscall"
	"time"
)

// acceptPause is how long an event loop rests before it accepts again while the system keeps failing.
const acceptPause = time.Millisecond

// faultLogInterval is the least time between two log lines on faults of accept4.
const faultLogInterval = time.Minute

// accept4Func is the system call accept4.
type accept4Func func(fd, flags int) (connFD int, address syscall.Sockaddr, err error)

// Accept returns the next connection, or nil without an error where there is none: none waits, the listener is closed, or
// the system fails. No error goes to the event loop, which would log each and accept again at once: accept(2) documents
// errors of the network, of single connections and of the system's memory as ones to retry. The loop calls again as long
// as a connection waits, and rests in between while the fault lasts.
func (l *Listener) Accept() (net.Conn, error) {
	l.mu.Lock()
	fd, address, err := l.acceptDescriptor()
	lasting, report := l.faults.observe(err, time.Now())
	logger := l.logger
	l.mu.Unlock()
	if report {
		logger.Warn("accepting connections fails and is retried", "error", err)
	}
	if lasting {
		l.sleep(acceptPause)
	}
	if err != nil {
		return nil, nil
	}
	conn := &acceptedConn{fd: fd, local: l.Addr(), remote: remoteAddr(address)}
	if _, tcp := conn.remote.(*net.TCPAddr); tcp {
		_ = syscall.SetsockoptInt(fd, syscall.IPPROTO_TCP, syscall.TCP_NODELAY, 1)
	}
	return conn, nil
}

// acceptDescriptor takes a connection off the backlog. The error is syscall.EAGAIN where no connection waits any more. The
// lock is held.
func (l *Listener) acceptDescriptor() (fd int, address syscall.Sockaddr, err error) {
	if l.closed {
		return 0, nil, syscall.EAGAIN
	}
	fd, address, err = l.accept4(l.fd, syscall.SOCK_NONBLOCK|syscall.SOCK_CLOEXEC)
	if errors.Is(err, syscall.EMFILE) || errors.Is(err, syscall.ENFILE) {
		err = l.shedConnection()
	}
	return fd, address, err
}

// shedConnection closes the connection that has waited longest, where the system has no descriptor left for it. It
// guards against an event loop that spins on a connection that it can't accept, and against one that stops accepting
// for a while: a descriptor held in reserve is given up for the connection, which is closed at once. The error is
// syscall.EAGAIN unless the reserve did not help: other work must free a descriptor then. The lock is held.
func (l *Listener) shedConnection() error {
	if l.reserve != nil {
		_ = l.reserve.Close()
		l.reserve = nil
	}
	fd, _, err := l.accept4(l.fd, syscall.SOCK_NONBLOCK|syscall.SOCK_CLOEXEC)
	if err == nil {
		_ = syscall.Close(fd)
		l.shed++
		err = syscall.EAGAIN
	}
	l.reserve, _ = os.Open(os.DevNull)
	return err
}

// acceptFaults follows the errors of accept4 in a row.
type acceptFaults struct {
	failing  bool      // the last call failed
	loggedAt time.Time // zero: no fault has been logged
}

// observe takes in the error of a call. A fault is lasting if the call before failed, too; report asks for a log line.
func (f *acceptFaults) observe(err error, now time.Time) (lasting, report bool) {
	if err == nil || errors.Is(err, syscall.EAGAIN) {
		f.failing = false
		return false, false
	}
	lasting = f.failing
	f.failing = true
	usual := errors.Is(err, syscall.EINTR) || errors.Is(err, syscall.ECONNABORTED)
	if usual && !lasting {
		return false, false
	}
	if !f.loggedAt.IsZero() && now.Sub(f.loggedAt) < faultLogInterval {
		return lasting, false
	}
	f.loggedAt = now
	return lasting, true
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
