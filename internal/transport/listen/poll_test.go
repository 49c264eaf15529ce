package listen

import (
	"errors"
	"syscall"
	"testing"

	"golang.org/x/sys/unix"
)

func TestPoll(t *testing.T) {
	fds, err := syscall.Socketpair(syscall.AF_UNIX, syscall.SOCK_STREAM, 0)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = syscall.Close(fds[0]) }()
	const events = unix.POLLIN | unix.POLLOUT | unix.POLLRDHUP
	expect := func(state string, fd int, events, want int16) {
		t.Helper()
		if got, err := Poll(fd, events); got != want || err != nil {
			t.Errorf("%s: ready %#x, want %#x; error %v", state, got, want, err)
		}
	}
	expect("nothing sent", fds[0], events, unix.POLLOUT)
	expect("nothing asked for", fds[0], 0, 0)
	expect("no descriptor", -1, events, 0)
	if _, err := syscall.Write(fds[1], []byte("x")); err != nil {
		t.Fatal(err)
	}
	expect("a byte sent", fds[0], events, unix.POLLIN|unix.POLLOUT)
	_ = syscall.Close(fds[1])
	expect("a byte sent, then closed", fds[0], events, unix.POLLIN|unix.POLLOUT|unix.POLLRDHUP|unix.POLLHUP)
	expect("closed, nothing asked for", fds[0], 0, unix.POLLHUP)
}

// TestPollIsRepeatedAfterSignal guards against a Poll that reports a call interrupted by a signal as a descriptor that
// isn't ready. Other errors must be returned.
func TestPollIsRepeatedAfterSignal(t *testing.T) {
	defer func() { pollCall = unix.Poll }()
	for name, test := range map[string]struct {
		errors []error
		want   error
	}{
		"two signals, then ready": {[]error{unix.EINTR, unix.EINTR, nil}, nil},
		"a signal, then an error": {[]error{unix.EINTR, unix.ENOMEM}, unix.ENOMEM},
	} {
		t.Run(name, func(t *testing.T) {
			calls := 0
			pollCall = func(set []unix.PollFd, _ int) (int, error) {
				set[0].Revents = unix.POLLIN
				calls++
				return 1, test.errors[calls-1]
			}
			ready, err := Poll(0, unix.POLLIN)
			if !errors.Is(err, test.want) || calls != len(test.errors) || (ready == unix.POLLIN) != (test.want == nil) {
				t.Errorf("ready %#x, error %v after %d calls", ready, err, calls)
			}
		})
	}
}
