package peer

import (
	"sync"
	"time"
)

// DefaultBudget is the default limit of control bytes that a process sends per second.
const DefaultBudget = 12288

const (
	// burstSeconds is the size of a bucket, as the time in which it fills at its rate. A full
	// heartbeat bucket allows one round of heartbeats, whose interval is chosen so that they need
	// a third of the budget.
	burstSeconds = 3
	// requestLimitFactor is the hard limit of admission and claim bytes as a multiple of
	// the budget. At 490 instances these classes need about 0.3 of the budget. The limit only
	// stops a runaway sender. A factor of 4 was too low: with it one entry refused 1,177 of
	// 2,000 requests/s, each of which takes about 100 bytes.
	requestLimitFactor = 64
)

// bucket is a token bucket of bytes. A message may be sent while the level is above zero
// and may take the level below zero, so that messages larger than the burst can pass.
type bucket struct {
	rate       float64 // bytes per second
	level      float64
	refilledAt time.Duration
}

// newBucket returns a full bucket.
func newBucket(rate float64) bucket {
	return bucket{rate: rate, level: rate * burstSeconds}
}

// refill adds the bytes of the time since the last refill, up to the bucket's size.
func (b *bucket) refill(now time.Duration) {
	if now > b.refilledAt {
		b.level = min(b.rate*burstSeconds, b.level+b.rate*(now-b.refilledAt).Seconds())
		b.refilledAt = now
	}
}

// take takes bytes and returns zero. If the bucket is empty, it takes nothing and returns the time
// to wait until it can.
func (b *bucket) take(now time.Duration, bytes int) time.Duration {
	b.refill(now)
	if b.level <= 0 {
		// The extra microsecond keeps rounding from ending the wait at a level of exactly zero.
		return time.Duration(-b.level/b.rate*float64(time.Second)) + time.Microsecond
	}
	b.level -= float64(bytes)
	return 0
}

// charge takes bytes even from an empty bucket, down to a negative level of the bucket's size.
func (b *bucket) charge(now time.Duration, bytes int) {
	b.refill(now)
	b.level = min(b.level, max(b.level-float64(bytes), -b.rate*burstSeconds))
}

// budget divides the control bytes per second of a process among the classes of messages.
//
// Callers wait for admission and claim messages. The budget therefore never delays these; only a
// hard limit of requestLimitFactor times the budget does, to stop a runaway sender. They are
// charged to the shared bucket, so that configuration and timeline messages are sent later
// instead, and the sum of all classes stays within the budget as long as requests need at most a
// third of it.
//
// The other classes together never exceed the budget:
//   - Heartbeats have a third of their own, so that no other class can hold them up. Their interval
//     is chosen so that they need no more.
//   - Quarantine has a sixth of its own and may use the shared third.
//   - Configuration uses the shared third and, when requests use that up, a reserve of a sixth.
//   - Timeline uses the shared third only.
type budget struct {
	mu                                                            sync.Mutex
	requests, heartbeat, quarantine, shared, configurationReserve bucket
}

// newBudget returns a budget with full buckets.
func newBudget(bytesPerSecond int) *budget {
	b := float64(bytesPerSecond)
	return &budget{
		requests:             newBucket(b * requestLimitFactor),
		heartbeat:            newBucket(b / 3),
		quarantine:           newBucket(b / 6),
		shared:               newBucket(b / 3),
		configurationReserve: newBucket(b / 6),
	}
}

// take takes the bytes of a message of class c and returns zero. If the class has no bytes left, it
// takes nothing and returns the time to wait before the next try.
func (b *budget) take(now time.Duration, c class, bytes int) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	switch c {
	case classAdmission, classClaims:
		wait := b.requests.take(now, bytes)
		if wait == 0 {
			b.shared.charge(now, bytes)
		}
		return wait
	case classQuarantine:
		return takeFromEither(now, &b.quarantine, &b.shared, bytes)
	case classConfiguration:
		return takeFromEither(now, &b.shared, &b.configurationReserve, bytes)
	case classHeartbeat:
		return b.heartbeat.take(now, bytes)
	}
	return b.shared.take(now, bytes)
}

// charge takes bytes that can't be delayed, such as a link's hello message, from the shared bucket.
func (b *budget) charge(now time.Duration, bytes int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.shared.charge(now, bytes)
}

// takeFromEither takes bytes from first or, if it is empty, from second. If both are empty, it takes
// nothing and returns the shorter time to wait.
func takeFromEither(now time.Duration, first, second *bucket, bytes int) time.Duration {
	wait := first.take(now, bytes)
	if wait == 0 {
		return 0
	}
	return min(wait, second.take(now, bytes))
}
