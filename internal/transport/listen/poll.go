package listen

import (
	"errors"

	"golang.org/x/sys/unix"
)

// pollCall is the system call poll, which tests replace.
var pollCall = unix.Poll

// Poll returns which of events (unix.POLLIN, unix.POLLOUT and so on) a descriptor is ready for now, without waiting.
// unix.POLLHUP and unix.POLLERR are also reported if events does not contain them. ready is 0 for a negative
// descriptor, which the system ignores, and on an error.
//
// Poll repeats a call that a signal interrupts. The system does not restart poll, not even with SA_RESTART (signal(7)),
// and the Go runtime sends signals to its threads.
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
