package peer

import (
	"sync"
	"time"
)

// DefaultBudget is the budget of control bytes per second and process.
const DefaultBudget = 12288

const (
	// burstSeconds is the time for which an idle bucket saves its rate. It holds one round
	// of heartbeats, whose interval is sized to a third of the budget.
	burstSeconds = 3
	// requestLimitFactor is the hard limit of admission and claim bytes as a multiple of
	// the budget. At 490 instances these classes need about 0.3 of the budget. The limit only
	// stops a runaway sender: at 4 times the budget it refused 1,177 of 2,000 requests/s at
	// one entry, each of which takes about 100 bytes.
	requestLimitFactor = 64
)

// bucket is a token bucket of bytes. A message may be sent while the level is above zero
// and may take the level below zero, so that messages larger than the burst can pass.
type bucket struct {
	rate  float64 // bytes per second
	level float64
	at    time.Duration
}

func newBucket(rate float64) bucket {
	return bucket{rate: rate, level: rate * burstSeconds}
}

func (b *bucket) refill(now time.Duration) {
	if now > b.at {
		b.level = min(b.rate*burstSeconds, b.level+b.rate*(now-b.at).Seconds())
		b.at = now
	}
}

// take takes bytes and returns zero, or returns the time until bytes can be taken.
func (b *bucket) take(now time.Duration, bytes int) time.Duration {
	b.refill(now)
	if b.level <= 0 {
		// The extra microsecond keeps rounding from ending the wait at a level of exactly zero.
		return time.Duration(-b.level/b.rate*float64(time.Second)) + time.Microsecond
	}
	b.level -= float64(bytes)
	return 0
}

// charge takes bytes without waiting, down to a debt of one burst.
func (b *bucket) charge(now time.Duration, bytes int) {
	b.refill(now)
	b.level = min(b.level, max(b.level-float64(bytes), -b.rate*burstSeconds))
}

// budget divides the control bytes per second of a process.
//
// Callers wait for admission and claim messages, so these are never delayed by the budget,
// only by a hard limit of a multiple of its size that stops a runaway sender. They are
// charged to the spare part, so that configuration and timeline yield to them and the sum
// of all classes stays within the budget while requests need at most a third of it.
//
// The other classes never exceed the budget together: heartbeats own a third, for which
// their interval is sized, so nothing starves them; quarantine owns a sixth; configuration
// is served from the spare third and, when requests use that up, from the last sixth;
// timeline uses the spare third only.
type budget struct {
	mu                                            sync.Mutex
	requests, heartbeat, quarantine, spare, floor bucket
}

func newBudget(bytesPerSecond int) *budget {
	b := float64(bytesPerSecond)
	return &budget{
		requests:   newBucket(b * requestLimitFactor),
		heartbeat:  newBucket(b / 3),
		quarantine: newBucket(b / 6),
		spare:      newBucket(b / 3),
		floor:      newBucket(b / 6),
	}
}

// take takes the bytes of a message of class c and returns zero, or returns the time until
// the next try.
func (b *budget) take(now time.Duration, c class, bytes int) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	switch c {
	case classAdmission, classClaims:
		wait := b.requests.take(now, bytes)
		if wait == 0 {
			b.spare.charge(now, bytes)
		}
		return wait
	case classQuarantine:
		return takeEither(now, &b.quarantine, &b.spare, bytes)
	case classConfiguration:
		return takeEither(now, &b.spare, &b.floor, bytes)
	case classHeartbeat:
		return b.heartbeat.take(now, bytes)
	}
	return b.spare.take(now, bytes)
}

// charge counts bytes that can't be delayed, such as a link's hello message.
func (b *budget) charge(now time.Duration, bytes int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.spare.charge(now, bytes)
}

func takeEither(now time.Duration, first, second *bucket, bytes int) time.Duration {
	wait := first.take(now, bytes)
	if wait == 0 {
		return 0
	}
	return min(wait, second.take(now, bytes))
}
