package httputil

import (
	"time"

	"golang.org/x/sys/unix"
)

// peek polls a socket and asks for its number of unread bytes. A read with MSG_PEEK would take the error of a reset, which the kernel reports
// once, and the next read would find an orderly end.
func peek(fd int) (Pending, error) {
	state := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLIN | unix.POLLRDHUP}}
	ready, err := unix.Poll(state, 0)
	for err == unix.EINTR {
		ready, err = unix.Poll(state, 0)
	}
	if err != nil || ready == 0 {
		return Pending{}, err
	}
	unread, err := unix.IoctlGetInt(fd, unix.TIOCINQ)
	if err != nil {
		return Pending{}, err
	}
	ended := state[0].Revents&(unix.POLLRDHUP|unix.POLLHUP|unix.POLLERR) != 0
	return Pending{Bytes: unread > 0, End: ended || unread == 0}, nil
}

// sinceLastSegment asks for the time of the last acknowledgement, which every segment bears.
func sinceLastSegment(fd int) (time.Duration, error) {
	info, err := unix.GetsockoptTCPInfo(fd, unix.IPPROTO_TCP, unix.TCP_INFO)
	if err != nil {
		return 0, err
	}
	return time.Duration(info.Last_ack_recv) * time.Millisecond, nil
}
