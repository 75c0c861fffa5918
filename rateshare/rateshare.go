// Package rateshare keeps each customer's request rate over the whole fleet.
//
// One instance, the owner, is chosen by rendezvous hashing over the customer. Its Owner hands
// out batches of tokens that expire; a Bucket at each entry spends them and asks for more
// ahead of need. When no owner answers, a bucket falls back to the rate divided by the number
// of configured instances.
//
// Bounds, for a customer with rate R and burst B and tokens that lapse after L:
//
//   - Tokens handed out less tokens returned are at most R*W + B in any window W. Tokens may
//     be spent up to L later.
//   - When the owner changes, a new owner hands out only a quarter of R for L, from an empty
//     account. If the old owner stops within L, both together hand out at most R*L/4 more.
//     Each further second in which both are active adds at most R.
//   - A bucket falls back when an ask has had no answer for L, after the tokens of a dead owner
//     have lapsed. N instances in fallback together admit at most R*W + max(B, N) in any
//     window, since each may save up one whole token. A bucket notices an owner that is back
//     at its next ask, after at most 10 s, or at once with OwnerChanged.
//   - An owner that hands out tokens while k instances are cut off from it keeps their share
//     back once SetUnreachable tells it; until then they add at most R*k/N.
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
	// Burst is the most tokens that can be saved up. Values below 1 mean 1.
	Burst float64
}

func (l Limit) valid() Limit {
	if !(l.Rate > 0) || math.IsInf(l.Rate, 1) {
		l.Rate = 0
	}
	if !(l.Burst >= 1) || math.IsInf(l.Burst, 1) {
		l.Burst = 1
	}
	return l
}

// Config holds the times of Owner and Bucket. Zero fields take the defaults. Lapse must be the
// same on all instances.
type Config struct {
	// Lapse is the time after which a batch expires. Default 1 s.
	Lapse time.Duration
	// CarefulShare is the share of the rate that a new owner hands out for one Lapse. Default 0.25.
	CarefulShare float64
	// AskTimeout is the time after which a bucket repeats an unanswered ask. It doubles with each
	// repeat up to 10 s. Default 200 ms.
	AskTimeout time.Duration
	// Horizon is the time for which a bucket asks ahead. Default 500 ms.
	Horizon time.Duration
}

func (c Config) withDefaults() Config {
	c.Lapse = cmp.Or(c.Lapse, time.Second)
	c.CarefulShare = cmp.Or(c.CarefulShare, 0.25)
	c.AskTimeout = cmp.Or(c.AskTimeout, 200*time.Millisecond)
	c.Horizon = cmp.Or(c.Horizon, 500*time.Millisecond)
	return c
}

// OwnerOf returns the owner of a customer's tokens among the live instances, or "" without any.
func OwnerOf(customer fleet.CustomerID, live []fleet.InstanceID) fleet.InstanceID {
	key := fleet.Hash("rate", string(customer))
	var best fleet.InstanceID
	top := -1.0
	for _, id := range live {
		score := affinity.Score(key, affinity.Seed(string(id)), 1)
		if score > top || (score == top && id < best) {
			best, top = id, score
		}
	}
	return best
}

// account accrues tokens at a rate up to a cap. It starts empty.
type account struct {
	level float64
	at    time.Duration
}

// settle accrues tokens up to now. Time that runs backwards adds nothing.
func (a *account) settle(now time.Duration, rate, burst float64) {
	if now > a.at {
		a.level = min(burst, a.level+rate*(now-a.at).Seconds())
		a.at = now
	}
}
