package gateway

import (
	"time"

	"golang.org/x/sys/unix"
	"k8s.io/klog/v2"
)

// sinceBoot returns the time since the machine was booted, with that for which it was suspended.
func sinceBoot() time.Duration {
	var now unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &now); err != nil {
		klog.ErrorS(err, "time since boot not read, suspensions go unnoticed")
		return 0
	}
	return time.Duration(now.Nano())
}
