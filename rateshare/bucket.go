package rateshare

import (
	"math"
	"slices"
	"time"
)

// Ask is a bucket's request for tokens, to be sent to the owner.
type Ask struct {
	// ID is passed to AddBatch with the answer, so that late answers are recognised.
	ID uint64
	// Want is the number of tokens that the bucket needs.
	Want int
}

// Unused is the unspent rest of a batch, to be returned to the owner.
type Unused struct {
	ID     BatchID
	Tokens int
}

// heldBatch is a batch whose tokens a bucket spends.
type heldBatch struct {
	id      BatchID
	tokens  int
	expires time.Duration
}

// Bucket spends one customer's tokens at one instance. It is not safe for concurrent use.
type Bucket struct {
	config    Config
	limit     Limit
	instances float64
	batches   []heldBatch // in order of expiry

	demand   float64 // takes per second, averaged over about a second
	demandAt time.Duration

	askID           uint64
	askPending      bool
	askedAt         time.Duration
	repeatInterval  time.Duration // until an unanswered ask is repeated
	askNotBefore    time.Duration // earliest next ask after an answer without tokens
	unanswered      bool          // whether an ask was made since the last answer
	unansweredSince time.Duration // time of the first ask since the last answer
	takeFailed      bool          // whether a take has failed since the last ask

	fallbackAccount tokenAccount
	inFallback      bool
}

// NewBucket returns an empty bucket. instances is the number of configured instances of the
// fleet, at least 1.
func NewBucket(config Config, limit Limit, instances int) *Bucket {
	return &Bucket{config: config.withDefaults(), limit: limit.sanitized(), instances: float64(max(instances, 1))}
}

// SetLimit changes the customer's limit and the number of configured instances.
func (b *Bucket) SetLimit(now time.Duration, limit Limit, instances int) {
	b.advance(now)
	b.limit, b.instances = limit.sanitized(), float64(max(instances, 1))
	b.fallbackAccount.balance = min(b.fallbackAccount.balance, b.fallbackBurst())
}

// Take spends one token for a request, or returns false if there is none. Call DueAsk after it.
func (b *Bucket) Take(now time.Duration) bool {
	b.advance(now)
	b.countTake(now)
	if len(b.batches) > 0 {
		b.batches[0].tokens--
		if b.batches[0].tokens == 0 {
			b.batches = slices.Delete(b.batches, 0, 1)
		}
		return true
	}
	if b.inFallback && b.fallbackAccount.balance >= 1 {
		b.fallbackAccount.balance--
		return true
	}
	b.takeFailed = true
	return false
}

// Tokens returns the number of tokens from the owner that can be spent now, without the fallback's.
func (b *Bucket) Tokens(now time.Duration) int {
	b.advance(now)
	sum := 0
	for _, batch := range b.batches {
		sum += batch.tokens
	}
	return sum
}

// InFallback reports whether the bucket spends this instance's share of the rate because the owner
// does not answer.
func (b *Bucket) InFallback(now time.Duration) bool {
	b.advance(now)
	return b.inFallback
}

// maxAskInterval bounds the interval of unanswered asks, which doubles with each. While its owner
// is down, a customer costs each instance one small message per interval.
const maxAskInterval = 10 * time.Second

// DueAsk returns an ask if one should be sent to the owner now: when a take has failed, when the
// tokens last for less than half of Lookahead at the current demand, or when the last ask was not
// answered in time. Call it after each Take and at the time that NextAsk returns.
func (b *Bucket) DueAsk(now time.Duration) (Ask, bool) {
	tokens := float64(b.Tokens(now))
	need := b.currentDemand(now) * b.config.Lookahead.Seconds()
	if now < b.earliestAsk() || !b.takeFailed && !b.askPending && tokens >= need/2 {
		return Ask{}, false
	}
	if b.askPending {
		b.repeatInterval = min(2*b.repeatInterval, maxAskInterval)
	} else {
		b.repeatInterval = b.config.AskTimeout
	}
	b.askID++
	b.askPending, b.askedAt, b.takeFailed = true, now, false
	if !b.unanswered {
		b.unanswered, b.unansweredSince = true, now
	}
	return Ask{b.askID, max(1, int(math.Ceil(need-tokens)))}, true
}

// earliestAsk returns the earliest time of the next ask.
func (b *Bucket) earliestAsk() time.Duration {
	if b.askPending {
		return b.askedAt + b.repeatInterval
	}
	return b.askNotBefore
}

// NextAsk returns when DueAsk must be called again even without a Take, and false if that is not
// needed. It is needed to repeat an unanswered ask, and after a failed take whose ask was answered
// without tokens.
func (b *Bucket) NextAsk() (time.Duration, bool) {
	return b.earliestAsk(), b.askPending || b.takeFailed
}

// OwnerChanged lets the next ask be sent at once, to the new owner. An unanswered ask is repeated.
func (b *Bucket) OwnerChanged() {
	b.askPending, b.askNotBefore = false, 0
	b.takeFailed = b.takeFailed || b.unanswered
}

// AddBatch adds the batch that answers an ask. It returns false for a late answer, whose tokens are
// not used and expire. A batch expires Life after the ask was sent, which is never later than its
// expiry at the owner.
func (b *Bucket) AddBatch(now time.Duration, askID uint64, batch Batch) bool {
	if !b.askPending || askID != b.askID {
		return false
	}
	b.advance(now)
	b.askPending, b.unanswered, b.inFallback = false, false, false
	if batch.Tokens <= 0 {
		b.askNotBefore = now + batch.RetryAfter
		return true
	}
	b.batches = append(b.batches, heldBatch{batch.ID, batch.Tokens, b.askedAt + batch.Life})
	b.advance(now)
	return true
}

// TakeSurplus removes the batches that are in the last quarter of their lifetime and returns them, to
// be given back to the owner: the demand for which they were requested did not occur.
func (b *Bucket) TakeSurplus(now time.Duration) []Unused {
	b.advance(now)
	var unused []Unused
	for len(b.batches) > 0 && b.batches[0].expires-now <= b.config.TokenLifetime/4 {
		unused = append(unused, Unused{b.batches[0].id, b.batches[0].tokens})
		b.batches = slices.Delete(b.batches, 0, 1)
	}
	return unused
}

// advance drops expired batches, and starts the fallback or accrues its tokens. The fallback starts
// with an empty account when an ask has had no answer for TokenLifetime; by then the last owner's
// tokens have expired.
func (b *Bucket) advance(now time.Duration) {
	b.batches = slices.DeleteFunc(b.batches, func(batch heldBatch) bool { return batch.expires <= now })
	if !b.unanswered || now-b.unansweredSince < b.config.TokenLifetime {
		return
	}
	if !b.inFallback {
		b.inFallback = true
		b.fallbackAccount = tokenAccount{accruedUntil: b.unansweredSince + b.config.TokenLifetime}
	}
	b.fallbackAccount.accrue(now, b.limit.Rate/b.instances, b.fallbackBurst())
}

// fallbackBurst returns this instance's share of the burst, at least one token, since a smaller
// account could never admit a request.
func (b *Bucket) fallbackBurst() float64 { return max(1, b.limit.Burst/b.instances) }

// demandTimeConstant is the time constant with which the demand estimate decays.
const demandTimeConstant = time.Second

// countTake adds one take to the demand estimate.
func (b *Bucket) countTake(now time.Duration) {
	b.demand = b.currentDemand(now) + 1/demandTimeConstant.Seconds()
	b.demandAt = now
}

// currentDemand returns the demand estimate at now, in takes per second.
func (b *Bucket) currentDemand(now time.Duration) float64 {
	return b.demand * math.Exp(-float64(max(now-b.demandAt, 0))/float64(demandTimeConstant))
}
