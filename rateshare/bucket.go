package rateshare

import (
	"math"
	"slices"
	"time"
)

// Ask is a request for tokens that a bucket wants sent to the owner.
type Ask struct {
	// ID is echoed in Fill, so that late answers are recognised.
	ID   uint64
	Want int
}

// Unused is the rest of a batch that a bucket gives back.
type Unused struct {
	ID     BatchID
	Tokens int
}

// held is a batch that a bucket spends.
type held struct {
	id      BatchID
	tokens  int
	expires time.Duration
}

// Bucket spends one customer's tokens at one entry. It is not safe for concurrent use.
type Bucket struct {
	config    Config
	limit     Limit
	instances float64
	batches   []held // in order of expiry

	demand   float64 // takes per second, averaged over about a second
	demandAt time.Duration

	askID       uint64
	pending     bool
	askedAt     time.Duration
	interval    time.Duration // until an unanswered ask is repeated
	askAfter    time.Duration
	silent      bool
	silentSince time.Duration // the first ask since the last answer
	starved     bool          // a take has failed since the last ask

	fallback   account
	inFallback bool
}

// NewBucket returns an empty bucket. instances is the number of configured instances of the
// fleet, at least 1.
func NewBucket(config Config, limit Limit, instances int) *Bucket {
	return &Bucket{config: config.withDefaults(), limit: limit.valid(), instances: float64(max(instances, 1))}
}

// SetLimit changes the customer's limit and the number of configured instances.
func (b *Bucket) SetLimit(now time.Duration, limit Limit, instances int) {
	b.settle(now)
	b.limit, b.instances = limit.valid(), float64(max(instances, 1))
	b.fallback.level = min(b.fallback.level, b.fallbackBurst())
}

// Take spends a token for one request, or reports false. Call Ask after it.
func (b *Bucket) Take(now time.Duration) bool {
	b.settle(now)
	b.observe(now)
	if len(b.batches) > 0 {
		b.batches[0].tokens--
		if b.batches[0].tokens == 0 {
			b.batches = slices.Delete(b.batches, 0, 1)
		}
		return true
	}
	if b.inFallback && b.fallback.level >= 1 {
		b.fallback.level--
		return true
	}
	b.starved = true
	return false
}

// Tokens returns the number of tokens from the owner that can be spent now.
func (b *Bucket) Tokens(now time.Duration) int {
	b.settle(now)
	sum := 0
	for _, batch := range b.batches {
		sum += batch.tokens
	}
	return sum
}

// InFallback reports whether the bucket spends its share of the rate without an owner.
func (b *Bucket) InFallback(now time.Duration) bool {
	b.settle(now)
	return b.inFallback
}

// maxAskInterval bounds the doubling interval of unanswered asks. During an outage of its owner
// a customer costs an entry one small message per interval.
const maxAskInterval = 10 * time.Second

// Ask returns a request for the owner when one should be sent now: when a take has failed, when
// the tokens last for less than half the horizon, or when the last ask is unanswered. Call it
// after each Take and at the time that NextAsk returns.
func (b *Bucket) Ask(now time.Duration) (Ask, bool) {
	tokens := float64(b.Tokens(now))
	need := b.demandNow(now) * b.config.Horizon.Seconds()
	if now < b.nextAsk() || !b.starved && !b.pending && tokens >= need/2 {
		return Ask{}, false
	}
	if b.pending {
		b.interval = min(2*b.interval, maxAskInterval)
	} else {
		b.interval = b.config.AskTimeout
	}
	b.askID++
	b.pending, b.askedAt, b.starved = true, now, false
	if !b.silent {
		b.silent, b.silentSince = true, now
	}
	return Ask{b.askID, max(1, int(math.Ceil(need-tokens)))}, true
}

// nextAsk returns the earliest time of the next ask.
func (b *Bucket) nextAsk() time.Duration {
	if b.pending {
		return b.askedAt + b.interval
	}
	return b.askAfter
}

// NextAsk returns when Ask must be called again without a Take, and false when that is not
// needed: an unanswered ask is repeated, and a failed take asks again after an empty answer.
func (b *Bucket) NextAsk() (time.Duration, bool) {
	return b.nextAsk(), b.pending || b.starved
}

// OwnerChanged lets the bucket ask the new owner at once.
func (b *Bucket) OwnerChanged() {
	b.pending, b.askAfter = false, 0
	b.starved = b.starved || b.silent
}

// Fill adds the batch that answers an ask, and reports false for a late answer, whose tokens
// are left to lapse. A batch expires Life after the ask was sent, never later than its
// owner counts.
func (b *Bucket) Fill(now time.Duration, ask uint64, batch Batch) bool {
	if !b.pending || ask != b.askID {
		return false
	}
	b.settle(now)
	b.pending, b.silent, b.inFallback = false, false, false
	if batch.Tokens <= 0 {
		b.askAfter = now + batch.RetryAfter
		return true
	}
	b.batches = append(b.batches, held{batch.ID, batch.Tokens, b.askedAt + batch.Life})
	b.settle(now)
	return true
}

// Surplus takes out the batches that are in the last quarter of their life, to be returned
// to the owner: the demand they were sized for did not come.
func (b *Bucket) Surplus(now time.Duration) []Unused {
	b.settle(now)
	var unused []Unused
	for len(b.batches) > 0 && b.batches[0].expires-now <= b.config.Lapse/4 {
		unused = append(unused, Unused{b.batches[0].id, b.batches[0].tokens})
		b.batches = slices.Delete(b.batches, 0, 1)
	}
	return unused
}

// settle drops expired batches, and starts or feeds the fallback. The fallback starts empty
// when an ask has had no answer for Lapse; by then the last owner's tokens have expired.
func (b *Bucket) settle(now time.Duration) {
	b.batches = slices.DeleteFunc(b.batches, func(h held) bool { return h.expires <= now })
	if !b.silent || now-b.silentSince < b.config.Lapse {
		return
	}
	if !b.inFallback {
		b.inFallback = true
		b.fallback = account{at: b.silentSince + b.config.Lapse}
	}
	b.fallback.settle(now, b.limit.Rate/b.instances, b.fallbackBurst())
}

// fallbackBurst is this instance's share of the burst, but one token, since a smaller
// account could never admit a request.
func (b *Bucket) fallbackBurst() float64 { return max(1, b.limit.Burst/b.instances) }

// demandWindow is the time constant of the demand estimate.
const demandWindow = time.Second

// observe counts one take in the demand estimate.
func (b *Bucket) observe(now time.Duration) {
	b.demand = b.demandNow(now) + 1/demandWindow.Seconds()
	b.demandAt = now
}

func (b *Bucket) demandNow(now time.Duration) float64 {
	return b.demand * math.Exp(-float64(max(now-b.demandAt, 0))/float64(demandWindow))
}
