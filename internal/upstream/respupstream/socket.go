package respupstream

import (
	"net"
	"sync"

	"golang.org/x/sys/unix"

	"github.com/topazfront/topazfront/internal/transport/listen"
)

// sendFunc writes to a non-blocking socket once and returns how many bytes the system accepted: none if there is an error.
type sendFunc func(fd int, p []byte) (accepted int, err error)

// sendmsg is the sendFunc of the system.
func sendmsg(fd int, p []byte) (int, error) { return unix.SendmsgN(fd, p, nil, nil, 0) }

// socket is the writing side of a connection. netpoll reads from the descriptor and closes it. Its Write is not used, because
// it does not return how many bytes of a message the system accepted before an error.
type socket struct {
	send sendFunc

	mu     sync.Mutex // held during the system calls, which don't wait, so that the descriptor stays open meanwhile
	fd     int
	closed bool // the number may be another descriptor's
}

// write writes once, without waiting. The error is unix.EAGAIN if the system accepts nothing now, and net.ErrClosed once the
// connection has ended.
func (s *socket) write(p []byte) (accepted int, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return 0, net.ErrClosed
	}
	accepted, err = s.send(s.fd, p)
	switch {
	case err != nil:
		return 0, err
	case accepted == 0:
		return 0, unix.EAGAIN
	default:
		return accepted, nil
	}
}

// writable reports whether a write would not have to wait. It is true also if the write would fail.
func (s *socket) writable() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return true
	}
	ready, err := listen.Poll(s.fd, unix.POLLOUT)
	return err != nil || ready != 0
}

// markClosed ends the use of the descriptor. It has to be called before netpoll closes it.
func (s *socket) markClosed() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
}
