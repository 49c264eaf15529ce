package listen

import (
	"errors"

	"golang.org/x/sys/unix"
)

// pollCall is the system call poll, which tests replace.
var pollCall = unix.Poll

// Poll returns which of events (unix.POLLIN, unix.POLLOUT and so on) a descriptor is ready for now, without waiting.
// unix.POLLHUP and unix.POLLERR are reported also if events does not contain them. The system ignores a negative descriptor:
// ready is 0. ready is 0 also on an error.
//
// A call that a signal interrupts is repeated. The system does not restart poll, not even with SA_RESTART (signal(7)), and
// the Go runtime sends its threads signals.
func Poll(fd int, events int16) (ready int16, err error) {
	set := []unix.PollFd{{Fd: int32(fd), Events: events}}
	for {
		_, err := pollCall(set, 0)
		if err == nil {
			return set[0].Revents, nil
		}
		if !errors.Is(err, unix.EINTR) {
			return 0, err
		}
	}
}
