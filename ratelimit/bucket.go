package ratelimit

import (
	"math"
	"time"
)

// Bucket is a token bucket: each request takes a token, and tokens accrue at a rate. It starts empty. It is
// not safe for concurrent use.
type Bucket struct {
	rate, burst float64
	tokens      float64
	// availableSince is when the first of the tokens accrued.
	availableSince time.Duration
	// accruedUntil is the time up to which tokens include what accrued.
	accruedUntil time.Duration
}

// NewBucket returns an empty bucket with a rate in tokens a second, which saves up at most burst tokens.
func NewBucket(now time.Duration, rate, burst float64) *Bucket {
	return &Bucket{rate: rate, burst: max(burst, 1), accruedUntil: now}
}

// SetRate changes the rate and the number of tokens that can be saved up.
func (b *Bucket) SetRate(now time.Duration, rate, burst float64) {
	b.accrue(now)
	b.rate, b.burst = rate, max(burst, 1)
	b.tokens = min(b.tokens, b.burst)
}

func (b *Bucket) accrue(now time.Duration) {
	if now > b.accruedUntil {
		before := b.tokens
		b.tokens = min(b.burst, b.tokens+b.rate*(now-b.accruedUntil).Seconds())
		if before < 1 && b.tokens >= 1 {
			b.availableSince = now
		}
		b.accruedUntil = now
	}
}

// Available reports whether there is a token.
func (b *Bucket) Available(now time.Duration) bool {
	b.accrue(now)
	return b.tokens >= 1
}

// unusedTime is the time after which a token that was not taken is surplus.
const unusedTime = time.Second

// Surplus reports whether tokens accrue faster than they are taken: half of those that can be saved up are
// there, two at least, or one has not been taken for unusedTime.
func (b *Bucket) Surplus(now time.Duration) bool {
	return b.Unused(now) || b.tokens >= max(b.burst/2, 2)
}

// Unused reports whether a token has not been taken for unusedTime.
func (b *Bucket) Unused(now time.Duration) bool {
	return b.Available(now) && now-b.availableSince >= unusedTime
}

// Take takes a token.
func (b *Bucket) Take(now time.Duration) {
	b.accrue(now)
	b.tokens--
	b.availableSince = now
}

// NextToken returns the time until there is a token, or false if none ever accrues.
func (b *Bucket) NextToken(now time.Duration) (time.Duration, bool) {
	b.accrue(now)
	if b.tokens >= 1 {
		return 0, true
	}
	if b.rate <= 0 {
		return 0, false
	}
	return time.Duration(math.Ceil((1 - b.tokens) / b.rate * float64(time.Second))), true
}
