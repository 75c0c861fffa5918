// Package rateshare limits each customer's request rate over the whole fleet.
//
// One instance, the owner, is chosen by rendezvous hashing over the customer. Its Owner issues
// batches of tokens that expire; a Bucket at each instance spends them and asks for more before
// they run out. When no owner answers, a bucket falls back to the rate divided by the number of
// configured instances.
//
// Bounds, for a customer with rate R and burst B and tokens that expire after L:
//
//   - The tokens issued less the tokens returned are at most R*W + B in any window W. Tokens may
//     be spent up to L later.
//   - When the owner changes, the new owner issues only a quarter of R for L, from an empty
//     account. If the old owner stops within L, both together issue at most R*L/4 more.
//     Each further second in which both are active adds at most R.
//   - A bucket falls back when an ask has had no answer for L, after the tokens of a dead owner
//     have expired. N instances in fallback together admit at most R*W + max(B, N) in any
//     window, since each may save up one whole token. A bucket leaves the fallback when an owner
//     answers its next ask, which is sent after at most 10 s, or at once after OwnerChanged.
//   - An owner that issues tokens while k instances can't reach it withholds their share once
//     SetUnreachable is called; until then they add at most R*k/N.
package rateshare

import (
	"cmp"
	"math"
	"time"

	"github.com/bilberrywell/bilberrywell/affinity"
	"github.com/bilberrywell/bilberrywell/fleet"
)

// Limit is a customer's rate limit over the whole fleet.
type Limit struct {
	// Rate is in tokens per second. One request takes one token.
	Rate float64
	// Burst is the maximum number of tokens that can be saved up. Values below 1 mean 1.
	Burst float64
}

// sanitized returns the limit with invalid values replaced: a rate of 0 and a burst of 1.
func (l Limit) sanitized() Limit {
	if !(l.Rate > 0) || math.IsInf(l.Rate, 1) {
		l.Rate = 0
	}
	if !(l.Burst >= 1) || math.IsInf(l.Burst, 1) {
		l.Burst = 1
	}
	return l
}

// Config holds the settings of Owner and Bucket. Zero fields take the defaults. TokenLifetime must
// be the same on all instances.
type Config struct {
	// TokenLifetime is the time after which a batch expires. Default 1 s.
	TokenLifetime time.Duration
	// NewOwnerShare is the share of the rate that a new owner issues for one TokenLifetime. Default
	// 0.25.
	NewOwnerShare float64
	// AskTimeout is the time after which a bucket repeats an unanswered ask. It doubles with each
	// repeat up to 10 s. Default 200 ms.
	AskTimeout time.Duration
	// Lookahead is the time for which a bucket requests tokens in advance. Default 500 ms.
	Lookahead time.Duration
}

func (c Config) withDefaults() Config {
	c.TokenLifetime = cmp.Or(c.TokenLifetime, time.Second)
	c.NewOwnerShare = cmp.Or(c.NewOwnerShare, 0.25)
	c.AskTimeout = cmp.Or(c.AskTimeout, 200*time.Millisecond)
	c.Lookahead = cmp.Or(c.Lookahead, 500*time.Millisecond)
	return c
}

// OwnerOf returns the owner of a customer's tokens among the live instances, or "" without any.
func OwnerOf(customer fleet.CustomerID, live []fleet.InstanceID) fleet.InstanceID {
	key := fleet.Hash("rate", string(customer))
	var best fleet.InstanceID
	bestScore := -1.0
	for _, id := range live {
		score := affinity.Score(key, affinity.Seed(string(id)), 1)
		if score > bestScore || (score == bestScore && id < best) {
			best, bestScore = id, score
		}
	}
	return best
}

// tokenAccount accrues tokens at a rate up to a cap. It starts empty. balance includes the tokens up
// to accruedUntil.
type tokenAccount struct {
	balance      float64
	accruedUntil time.Duration
}

// accrue adds the tokens up to now. A time before the last call's adds nothing.
func (a *tokenAccount) accrue(now time.Duration, rate, burst float64) {
	if now > a.accruedUntil {
		a.balance = min(burst, a.balance+rate*(now-a.accruedUntil).Seconds())
		a.accruedUntil = now
	}
}
