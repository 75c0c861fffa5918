package httputil

import (
	"syscall"

	"golang.org/x/sys/unix"
)

// peek polls a socket and asks for its number of unread bytes. A read with MSG_PEEK would take the error of a reset, which the kernel reports
// once, and the next read would find an orderly end.
func peek(fd int) (arrived bool, err error) {
	state := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLIN | unix.POLLRDHUP}}
	ready, err := unix.Poll(state, 0)
	switch {
	case err != nil:
		return false, err
	case ready == 0:
		return false, syscall.EAGAIN
	}
	unread, err := unix.IoctlGetInt(fd, unix.TIOCINQ)
	return unread > 0, err
}
