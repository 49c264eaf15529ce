package upstream

import (
	"context"
	"errors"
	"io"
	"net"
	"os"
	"syscall"
	"testing"

	"github.com/topazfront/topazfront/dispatch"
)

// TestErrnoEvidence checks the result for each system call and errno. ConnectFailed means that nothing ran and that
// the error counts against the worker. NotSent means only that nothing ran, and ConnectionReset means only that the
// error counts against the worker.
func TestErrnoEvidence(t *testing.T) {
	timeout := errors.New("i/o timeout")
	for _, test := range []struct {
		name   string
		call   SystemCall
		result dispatch.Result
		errors []error
	}{
		{"connect, a fault of this host", Connect, dispatch.NotSent, []error{
			syscall.EADDRINUSE, syscall.EADDRNOTAVAIL, syscall.EAGAIN, syscall.EINTR,
			syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.ENOSPC, syscall.EAFNOSUPPORT,
			syscall.ENETDOWN}},
		{"connect, a fault of the worker or of the way to it", Connect, dispatch.ConnectFailed, []error{
			syscall.ECONNREFUSED, syscall.ECONNRESET, syscall.ECONNABORTED, syscall.ETIMEDOUT, syscall.EHOSTUNREACH,
			syscall.EACCES, syscall.EPERM, syscall.ENETUNREACH, syscall.EHOSTDOWN, syscall.EPROTO,
			os.ErrDeadlineExceeded, context.DeadlineExceeded, net.ErrClosed, timeout}},
		{"send of a message that did not come whole", Send, dispatch.NotSent, []error{
			syscall.EPIPE, syscall.ECONNRESET, syscall.ETIMEDOUT, syscall.EHOSTUNREACH, syscall.ENETUNREACH, syscall.ENETDOWN,
			syscall.EHOSTDOWN, syscall.ECONNABORTED, syscall.ENOBUFS, syscall.ENOMEM, syscall.EPERM, syscall.EBADF, timeout}},
		{"receive after a whole message", Receive, dispatch.ConnectionReset, []error{
			syscall.ECONNRESET, syscall.ETIMEDOUT, syscall.EHOSTUNREACH, syscall.ENETUNREACH, syscall.EHOSTDOWN,
			syscall.ENOBUFS, syscall.ENOMEM, io.EOF, timeout}},
	} {
		for _, err := range test.errors {
			for form, err := range map[string]error{
				"bare": err,
				"net":  &net.OpError{Op: "dial", Err: os.NewSyscallError("connect", err)},
				"file": &os.PathError{Op: "write", Path: "client connection", Err: err},
			} {
				t.Run(test.name+"/"+err.Error()+"/"+form, func(t *testing.T) {
					if got := EvidenceOf(test.call, err).Result(); got != test.result {
						t.Errorf("result %v, want %v", got, test.result)
					}
				})
			}
		}
	}
}
