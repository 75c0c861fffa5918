// Package retry limits extra attempts to a share of first attempts and spaces them with
// jittered backoff.
//
// The limits hold per instance. Only the instance that received a request from its caller retries
// it, so attempts do not multiply along a path.
package retry

import (
	"math"
	"math/rand/v2"
	"time"
)

// DefaultCap is the default of Budget.Cap. It bounds a burst of retries after a time without any.
const DefaultCap = 10

// extraAttemptCost is the cost of an extra attempt in the unit of Budget.credit, of which a first
// attempt adds one. The unit is a tenth of an extra attempt, so that credit is a whole number and
// rounding errors can't allow an attempt.
const extraAttemptCost = 10

// Budget counts retry credit: each first attempt adds 0.1 and each extra attempt costs 1.
// The zero value is ready to use, starts empty and has the cap DefaultCap. It is not safe
// for concurrent use.
type Budget struct {
	// Cap is the maximum number of extra attempts that can be saved up. Zero means DefaultCap.
	Cap int

	// credit is the saved credit in tenths of an extra attempt.
	credit int
}

// Attempt records a first attempt.
func (b *Budget) Attempt() {
	b.credit = min(b.credit+1, b.maxCredit())
}

// Allow takes the credit for one extra attempt, or takes nothing and returns false if there is too
// little.
func (b *Budget) Allow() bool {
	if b.credit < extraAttemptCost {
		return false
	}
	b.credit -= extraAttemptCost
	return true
}

// Credit returns the number of extra attempts that the budget would allow now, with fractions.
func (b *Budget) Credit() float64 { return float64(b.credit) / extraAttemptCost }

// maxCredit returns the maximum credit in tenths of an extra attempt.
func (b *Budget) maxCredit() int {
	if b.Cap > 0 {
		return b.Cap * extraAttemptCost
	}
	return DefaultCap * extraAttemptCost
}

// Backoff computes delays with full jitter: uniform between zero and a ceiling that doubles
// with each failure. It is not safe for concurrent use.
type Backoff struct {
	// Base is the ceiling of the first delay. Zero means 50 ms.
	Base time.Duration
	// Max bounds the ceiling. Zero means 10 s.
	Max time.Duration

	// failures is the number of failures since the last Reset.
	failures int
}

// Defaults of Backoff.
const (
	DefaultBase = 50 * time.Millisecond
	DefaultMax  = 10 * time.Second
)

// Next counts a failure and returns the delay before the next attempt, at most Max.
func (b *Backoff) Next(random *rand.Rand) time.Duration {
	ceiling := b.ceiling()
	if b.failures < math.MaxInt {
		b.failures++
	}
	return time.Duration(random.Int64N(int64(ceiling) + 1))
}

// Reset sets the ceiling back to Base after a success.
func (b *Backoff) Reset() { b.failures = 0 }

// ceiling returns min(Base * 2^failures, Max) without overflow.
func (b *Backoff) ceiling() time.Duration {
	base, limit := b.Base, b.Max
	if base <= 0 {
		base = DefaultBase
	}
	if limit <= 0 {
		limit = DefaultMax
	}
	for range b.failures {
		if base >= limit/2 {
			return limit
		}
		base *= 2
	}
	return min(base, limit)
}
