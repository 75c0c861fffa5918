package gateway

import (
	"sync/atomic"
	"time"

	"k8s.io/klog/v2"
)

// minSuspension is the shortest suspension that is told from the time between two readings of the clocks.
const minSuspension = 10 * time.Millisecond

// clock tells the time since the process started. It counts the time for which the machine was suspended, in which the
// monotonic clock stands still, from the next call of noticeSuspension on.
type clock struct {
	start time.Time
	// sinceBoot returns the time since the machine was booted, with that of suspensions. startedAt is that of start.
	sinceBoot func() time.Duration
	startedAt time.Duration
	// suspended is the time for which the machine was suspended since start, as a time.Duration.
	suspended atomic.Int64
}

func newClock(sinceBoot func() time.Duration) *clock {
	return &clock{start: time.Now(), sinceBoot: sinceBoot, startedAt: sinceBoot()}
}

func (c *clock) now() time.Duration {
	return time.Since(c.start) + time.Duration(c.suspended.Load())
}

// at returns the time at which now returns d, unless the machine is suspended until then.
func (c *clock) at(d time.Duration) time.Time {
	return c.start.Add(d - time.Duration(c.suspended.Load()))
}

// noticeSuspension counts a suspension since the last call.
func (c *clock) noticeSuspension() {
	// Time that passes between the two readings makes the suspension shorter, never longer.
	booted := c.sinceBoot()
	suspended := booted - c.startedAt - time.Since(c.start)
	known := c.suspended.Load()
	if suspended-time.Duration(known) >= minSuspension && c.suspended.CompareAndSwap(known, int64(suspended)) {
		klog.InfoS("machine was suspended", "ms", (suspended - time.Duration(known)).Milliseconds())
	}
}
