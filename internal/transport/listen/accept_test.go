package listen

import (
	"bytes"
	"log/slog"
	"net"
	"strings"
	"syscall"
	"testing"
	"time"
)

// faultyListener is a listener on which a connection waits and accept4 fails a number of times first. It records pauses
// and log lines.
type faultyListener struct {
	*Listener
	pauses []time.Duration
	log    bytes.Buffer
}

func newFaultyListener(t *testing.T, errno syscall.Errno, failures int) *faultyListener {
	t.Helper()
	ln, err := Open("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = ln.Close() })
	client, err := net.Dial("tcp", ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = client.Close() })
	l := &faultyListener{Listener: ln}
	l.SetLogger(slog.New(slog.NewTextHandler(&l.log, nil)))
	l.sleep = func(d time.Duration) { l.pauses = append(l.pauses, d) }
	l.accept4 = func(fd, flags int) (int, syscall.Sockaddr, error) {
		if failures--; failures >= 0 {
			return -1, nil, errno
		}
		return syscall.Accept4(fd, flags)
	}
	return l
}

// acceptWithin calls Accept up to calls times, as Serve does, and returns the number of calls before the one
// that returned a connection.
func (l *faultyListener) acceptWithin(t *testing.T, calls int) int {
	t.Helper()
	for call := range calls {
		conn, err := l.Accept()
		if err != nil {
			t.Fatalf("call %d returned the error %v", call, err)
		}
		if conn != nil {
			_ = conn.Close()
			return call
		}
	}
	t.Fatalf("no connection after %d calls", calls)
	return calls
}

// TestAcceptRetriesFaults guards against a listener that stops accepting, spins or floods the log when accept4 fails.
// For each error that accept(2) documents, the waiting connection must be accepted after the last failure. Each failure
// after the first must cause a pause, and all of them together one log line.
func TestAcceptRetriesFaults(t *testing.T) {
	const failures = 50
	for _, errno := range []syscall.Errno{
		syscall.EINTR, syscall.ECONNABORTED, // of one call or one connection
		syscall.ENETDOWN, syscall.EPROTO, syscall.ENOPROTOOPT, syscall.EHOSTDOWN, syscall.ENONET, syscall.EHOSTUNREACH,
		syscall.EOPNOTSUPP, syscall.ENETUNREACH, // of the network
		syscall.ENOBUFS, syscall.ENOMEM, syscall.EPERM, // of the system
		syscall.ENOSR, syscall.ESOCKTNOSUPPORT, syscall.EPROTONOSUPPORT, syscall.ETIMEDOUT, // of various kernels
		syscall.EMFILE, syscall.ENFILE, // Accept calls accept4 twice for these
	} {
		t.Run(errno.Error(), func(t *testing.T) {
			l := newFaultyListener(t, errno, failures)
			calls := l.acceptWithin(t, failures+1)
			if len(l.pauses) != calls-1 {
				t.Errorf("%d pauses in %d failed calls, want one for each call after the first", len(l.pauses), calls)
			}
			if lines := strings.Count(l.log.String(), "\n"); lines != 1 {
				t.Errorf("%d log lines, want 1:\n%s", lines, l.log.String())
			}
		})
	}
}

// TestSingleFaultCausesNoPauseOrLog checks that one interrupted call or aborted connection causes no pause and no log
// line.
func TestSingleFaultCausesNoPauseOrLog(t *testing.T) {
	for _, errno := range []syscall.Errno{syscall.EINTR, syscall.ECONNABORTED} {
		l := newFaultyListener(t, errno, 1)
		l.acceptWithin(t, 2)
		if len(l.pauses) > 0 || l.log.Len() > 0 {
			t.Errorf("%v: pauses %v, log %q", errno, l.pauses, l.log.String())
		}
	}
}

// TestAcceptAfterClose guards against an Accept after Close that uses the descriptor's number, which may belong to
// another socket by then.
func TestAcceptAfterClose(t *testing.T) {
	l := newFaultyListener(t, 0, 0)
	l.accept4 = func(int, int) (int, syscall.Sockaddr, error) {
		t.Error("accept4 was called on a closed descriptor")
		return -1, nil, syscall.EBADF
	}
	_ = l.Close()
	if conn, err := l.Accept(); conn != nil || err != nil {
		t.Errorf("connection %v, error %v", conn, err)
	}
}
