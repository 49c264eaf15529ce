package respupstream

import (
	"net"
	"sync"

	"golang.org/x/sys/unix"

	"github.com/topazfront/topazfront/internal/transport/listen"
)

// sendFunc writes to a non-blocking socket once. It returns how many bytes the system accepted, which is none after
// an error.
type sendFunc func(fd int, p []byte) (accepted int, err error)

// sendmsg is the sendFunc that makes the system call.
func sendmsg(fd int, p []byte) (int, error) { return unix.SendmsgN(fd, p, nil, nil, 0) }

// messageWriter is the writing side of a connection. Package socket reads from the descriptor and closes it. Its Write is
// not used, because the exchange has to be checked again between two system calls of one message.
type messageWriter struct {
	send sendFunc

	mu     sync.Mutex // held during system calls, which don't block, so that fd stays open during them
	fd     int
	closed bool // fd must not be used any more: the system may reuse its number
}

// write makes one non-blocking write. The error is unix.EAGAIN if the system accepts no byte now, and net.ErrClosed
// after markClosed.
func (w *messageWriter) write(p []byte) (accepted int, err error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.closed {
		return 0, net.ErrClosed
	}
	accepted, err = w.send(w.fd, p)
	switch {
	case err != nil:
		return 0, err
	case accepted == 0:
		return 0, unix.EAGAIN
	default:
		return accepted, nil
	}
}

// writable reports whether a write would not block. It also returns true if a write would fail.
func (w *messageWriter) writable() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.closed {
		return true
	}
	ready, err := listen.Poll(w.fd, unix.POLLOUT)
	return err != nil || ready != 0
}

// markClosed makes later writes fail. It must be called before the descriptor is closed.
func (w *messageWriter) markClosed() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.closed = true
}
