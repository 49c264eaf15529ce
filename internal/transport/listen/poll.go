package listen

import (
	"errors"

	"golang.org/x/sys/unix"
)

// pollCall is the system call poll, which tests replace.
var pollCall = unix.Poll

// Poll returns which of events (unix.POLLIN, unix.POLLOUT and so on) hold for a descriptor now, without waiting.
// unix.POLLHUP and unix.POLLERR are reported also where events does not name them. A negative descriptor is ignored
// by the system: nothing holds for it. ready is 0 where there is an error. A call that a signal interrupts is made again:
// poll(2) is not restarted by the system, also not with SA_RESTART, and the Go runtime sends its threads signals.
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
