package rateshare

import (
	"math"
	"slices"
	"time"

	"github.com/bilberrywell/bilberrywell/fleet"
)

// BatchID identifies a batch of tokens. Incarnation is the owner's, so that a batch of an earlier
// owner can't be returned to a later one.
type BatchID struct {
	Incarnation, Seq uint64
}

// Batch is an owner's answer to an ask.
type Batch struct {
	ID     BatchID
	Tokens int
	// Life is the time after the ask during which the tokens may be spent.
	Life time.Duration
	// RetryAfter is the time until a token is expected, if the batch has none.
	RetryAfter time.Duration
}

// issuedBatch is a batch that may still be returned.
type issuedBatch struct {
	seq     uint64
	tokens  int
	expires time.Duration
}

// customerState is the owner's state of one customer.
type customerState struct {
	limit   Limit
	account tokenAccount
	// reducedUntil is the time until which the account accrues only NewOwnerShare of the rate.
	reducedUntil time.Duration
	issued       []issuedBatch // in order of expiry
}

// Owner issues the tokens of the customers that this instance owns. It is not safe for concurrent
// use.
type Owner struct {
	config         Config
	incarnation    uint64
	seq            uint64  // number of the latest batch
	reachableShare float64 // share of the configured instances that reach this owner
	customers      map[fleet.CustomerID]*customerState
}

// NewOwner returns an owner without customers. The incarnation must differ between instances
// and between restarts.
func NewOwner(config Config, incarnation uint64) *Owner {
	return &Owner{
		config:         config.withDefaults(),
		incarnation:    incarnation,
		reachableShare: 1,
		customers:      make(map[fleet.CustomerID]*customerState),
	}
}

// AddCustomer starts the ownership of a customer with an empty account. For a customer that is already
// owned it changes the limit.
func (o *Owner) AddCustomer(now time.Duration, customer fleet.CustomerID, limit Limit) {
	c, ok := o.customers[customer]
	if !ok {
		c = &customerState{account: tokenAccount{accruedUntil: now}, reducedUntil: now + o.config.TokenLifetime}
		o.customers[customer] = c
	}
	o.advance(now, c)
	c.limit = limit.sanitized()
	c.account.balance = min(c.account.balance, c.limit.Burst)
}

// RemoveCustomer ends the ownership of a customer.
func (o *Owner) RemoveCustomer(customer fleet.CustomerID) {
	delete(o.customers, customer)
}

// SetUnreachable sets how many of the configured instances run but do not reach this owner.
// Their share of every customer's rate is not issued, since they may spend it in fallback.
func (o *Owner) SetUnreachable(now time.Duration, unreachable, configured int) {
	for _, c := range o.customers {
		o.advance(now, c)
	}
	o.reachableShare = 1
	if configured > 0 {
		o.reachableShare = 1 - float64(min(max(unreachable, 0), configured))/float64(configured)
	}
}

// Request issues at most want tokens of a customer. It returns false if this instance does not own
// the customer.
func (o *Owner) Request(now time.Duration, customer fleet.CustomerID, want int) (Batch, bool) {
	c, ok := o.customers[customer]
	if !ok {
		return Batch{}, false
	}
	o.advance(now, c)
	batch := Batch{Life: o.config.TokenLifetime, Tokens: min(max(want, 0), int(c.account.balance))}
	if batch.Tokens == 0 {
		batch.RetryAfter = o.tokenWait(now, c)
		return batch, true
	}
	o.seq++
	batch.ID = BatchID{o.incarnation, o.seq}
	c.account.balance -= float64(batch.Tokens)
	c.issued = append(c.issued, issuedBatch{o.seq, batch.Tokens, now + o.config.TokenLifetime})
	return batch, true
}

// Return adds the unused tokens of a batch to the customer's account again and reports whether it
// did. Each batch can be returned once and before it expires.
func (o *Owner) Return(now time.Duration, customer fleet.CustomerID, id BatchID, unused int) bool {
	c, ok := o.customers[customer]
	if !ok || id.Incarnation != o.incarnation {
		return false
	}
	o.advance(now, c)
	i := slices.IndexFunc(c.issued, func(batch issuedBatch) bool { return batch.seq == id.Seq })
	if i < 0 {
		return false
	}
	returned := float64(min(max(unused, 0), c.issued[i].tokens))
	c.issued = slices.Delete(c.issued, i, i+1)
	c.account.balance = min(c.limit.Burst, c.account.balance+returned)
	return true
}

// advance accrues tokens, at a reduced rate while the ownership is new, and drops expired batches.
func (o *Owner) advance(now time.Duration, c *customerState) {
	rate := c.limit.Rate * o.reachableShare
	c.account.accrue(min(now, c.reducedUntil), rate*o.config.NewOwnerShare, c.limit.Burst)
	c.account.accrue(now, rate, c.limit.Burst)
	expired := 0
	for expired < len(c.issued) && c.issued[expired].expires <= now {
		expired++
	}
	c.issued = slices.Delete(c.issued, 0, expired)
}

// tokenWait returns the time until the account holds a token, at most TokenLifetime.
func (o *Owner) tokenWait(now time.Duration, c *customerState) time.Duration {
	rate := c.limit.Rate * o.reachableShare
	if now < c.reducedUntil {
		rate *= o.config.NewOwnerShare
	}
	seconds := max(0, 1-c.account.balance) / rate
	if !(seconds < o.config.TokenLifetime.Seconds()) {
		return o.config.TokenLifetime
	}
	return time.Duration(math.Ceil(seconds * float64(time.Second)))
}
