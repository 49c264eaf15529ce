package listen

import (
	"errors"
	"net"
	"os"
	"syscall"
	"time"
)

// acceptPause is the delay after each repeated failure of accept4. It keeps Serve from using a whole
// processor.
const acceptPause = time.Millisecond

// faultLogInterval is the minimum time between two log lines about failures of accept4.
const faultLogInterval = time.Minute

// accept4Func is the type of the system call accept4.
type accept4Func func(fd, flags int) (connFD int, address syscall.Sockaddr, err error)

// Accept returns the next connection. It returns nil without an error if no connection waits, the listener is closed,
// or the system call fails. It never returns an error: accept(2) documents that errors of the network, of single
// connections and of the system's memory should be retried. Serve calls Accept again as long as a connection waits;
// after a repeated failure, Accept pauses.
func (l *Listener) Accept() (net.Conn, error) {
	l.mu.Lock()
	fd, address, err := l.acceptDescriptor()
	now := time.Now()
	repeated := l.faults.isRepeated(err)
	logDue := l.faults.isLogDue(err, now)
	l.faults.record(err, logDue, now)
	logger := l.logger
	l.mu.Unlock()
	if logDue {
		logger.Warn("accepting connections fails and is retried", "error", err)
	}
	if repeated {
		l.sleep(acceptPause)
	}
	if err != nil {
		return nil, nil
	}
	conn := &acceptedConn{File: os.NewFile(uintptr(fd), "client connection"), local: l.Addr(), remote: remoteAddr(address)}
	if _, isTCP := conn.remote.(*net.TCPAddr); isTCP {
		_ = syscall.SetsockoptInt(fd, syscall.IPPROTO_TCP, syscall.TCP_NODELAY, 1)
	}
	return conn, nil
}

// acceptDescriptor accepts a connection from the backlog. The error is syscall.EAGAIN if no connection waits. The
// caller holds l.mu.
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

// shedConnection closes the connection that has waited longest when the system has no descriptor left for it. It closes
// the reserve descriptor, accepts the connection with the freed descriptor, closes the connection and opens the reserve
// again. Otherwise Serve would spin on a connection that it can't accept, or would have to stop accepting for a while.
//
// The error is syscall.EAGAIN if the connection was closed. Any other error means that the reserve did not help, and
// that another part of the process must free a descriptor first. The caller holds l.mu.
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

// acceptFaults tracks consecutive failures of accept4.
type acceptFaults struct {
	failing  bool      // the last call failed
	loggedAt time.Time // zero: no failure has been logged
}

// isFault reports whether err is a failure of a call. EAGAIN, when no connection waits, is not a failure.
func isFault(err error) bool { return err != nil && !errors.Is(err, syscall.EAGAIN) }

// isRepeated reports whether both the call that returned err and the previous call failed.
func (f *acceptFaults) isRepeated(err error) bool { return f.failing && isFault(err) }

// isLogDue reports whether err is a failure that should be logged now.
func (f *acceptFaults) isLogDue(err error, now time.Time) bool {
	recentlyLogged := !f.loggedAt.IsZero() && now.Sub(f.loggedAt) < faultLogInterval
	return isFault(err) && (f.failing || !isExpectedFault(err)) && !recentlyLogged
}

// record stores whether a call failed, and when its failure was logged.
func (f *acceptFaults) record(err error, logged bool, now time.Time) {
	f.failing = isFault(err)
	if logged {
		f.loggedAt = now
	}
}

// isExpectedFault reports whether an error of accept4 occurs in normal operation: a signal, or a client that
// disconnected early.
func isExpectedFault(err error) bool {
	return errors.Is(err, syscall.EINTR) || errors.Is(err, syscall.ECONNABORTED)
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

// acceptedConn is an accepted connection. As a file with a non-blocking descriptor, it waits in the Go runtime's poller.
type acceptedConn struct {
	*os.File
	local, remote net.Addr
}

// LocalAddr implements net.Conn.
func (c *acceptedConn) LocalAddr() net.Addr { return c.local }

// RemoteAddr implements net.Conn.
func (c *acceptedConn) RemoteAddr() net.Addr { return c.remote }
