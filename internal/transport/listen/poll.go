package listen

import "golang.org/x/sys/unix"

// Poll returns which of events (unix.POLLIN, unix.POLLOUT and so on) hold for a descriptor now, without waiting.
// unix.POLLHUP and unix.POLLERR are reported also where events does not name them. A negative descriptor is ignored
// by the system: nothing holds for it. ready is 0 where there is an error.
func Poll(fd int, events int16) (ready int16, err error) {
	set := []unix.PollFd{{Fd: int32(fd), Events: events}}
	if _, err := unix.Poll(set, 0); err != nil {
		return 0, err
	}
	return set[0].Revents, nil
}
