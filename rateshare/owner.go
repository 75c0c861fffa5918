package rateshare

import (
	"math"
	"slices"
	"time"

	"github.com/bilberrywell/bilberrywell/fleet"
)

// BatchID names a batch of tokens. The incarnation keeps a batch of an earlier owner from
// being returned to a later one.
type BatchID struct {
	Incarnation, Seq uint64
}

// Batch is an owner's answer to an ask.
type Batch struct {
	ID     BatchID
	Tokens int
	// Life is the time from the ask for which the tokens may be spent.
	Life time.Duration
	// RetryAfter is the time until a token is expected, when there are none.
	RetryAfter time.Duration
}

// handout is a batch that may still be returned.
type handout struct {
	seq     uint64
	tokens  int
	expires time.Duration
}

// owned is the state of one customer.
type owned struct {
	limit        Limit
	account      account
	carefulUntil time.Duration
	out          []handout // in order of expiry
}

// Owner hands out the tokens of the customers that this instance owns. It is not safe for
// concurrent use.
type Owner struct {
	config      Config
	incarnation uint64
	seq         uint64
	reachable   float64 // share of the configured instances
	customers   map[fleet.CustomerID]*owned
}

// NewOwner returns an owner without customers. The incarnation must differ between instances
// and between restarts.
func NewOwner(config Config, incarnation uint64) *Owner {
	return &Owner{
		config:      config.withDefaults(),
		incarnation: incarnation,
		reachable:   1,
		customers:   make(map[fleet.CustomerID]*owned),
	}
}

// Own starts the ownership of a customer with an empty account, or changes its limit.
func (o *Owner) Own(now time.Duration, customer fleet.CustomerID, limit Limit) {
	c, ok := o.customers[customer]
	if !ok {
		c = &owned{account: account{at: now}, carefulUntil: now + o.config.Lapse}
		o.customers[customer] = c
	}
	o.settle(now, c)
	c.limit = limit.valid()
	c.account.level = min(c.account.level, c.limit.Burst)
}

// Disown ends the ownership of a customer.
func (o *Owner) Disown(customer fleet.CustomerID) {
	delete(o.customers, customer)
}

// SetUnreachable sets how many of the configured instances run but do not reach this owner.
// Their fallback share is kept back from all customers.
func (o *Owner) SetUnreachable(now time.Duration, unreachable, configured int) {
	for _, c := range o.customers {
		o.settle(now, c)
	}
	o.reachable = 1
	if configured > 0 {
		o.reachable = 1 - float64(min(max(unreachable, 0), configured))/float64(configured)
	}
}

// Request hands out at most want tokens of a customer. It reports false when this instance
// does not own the customer.
func (o *Owner) Request(now time.Duration, customer fleet.CustomerID, want int) (Batch, bool) {
	c, ok := o.customers[customer]
	if !ok {
		return Batch{}, false
	}
	o.settle(now, c)
	batch := Batch{Life: o.config.Lapse, Tokens: min(max(want, 0), int(c.account.level))}
	if batch.Tokens == 0 {
		batch.RetryAfter = o.wait(now, c)
		return batch, true
	}
	o.seq++
	batch.ID = BatchID{o.incarnation, o.seq}
	c.account.level -= float64(batch.Tokens)
	c.out = append(c.out, handout{o.seq, batch.Tokens, now + o.config.Lapse})
	return batch, true
}

// Return takes back unused tokens of a batch, once and before it expires, and reports whether
// it did.
func (o *Owner) Return(now time.Duration, customer fleet.CustomerID, id BatchID, unused int) bool {
	c, ok := o.customers[customer]
	if !ok || id.Incarnation != o.incarnation {
		return false
	}
	o.settle(now, c)
	i := slices.IndexFunc(c.out, func(h handout) bool { return h.seq == id.Seq })
	if i < 0 {
		return false
	}
	back := float64(min(max(unused, 0), c.out[i].tokens))
	c.out = slices.Delete(c.out, i, i+1)
	c.account.level = min(c.limit.Burst, c.account.level+back)
	return true
}

// settle accrues tokens, slowly while the ownership is new, and forgets expired batches.
func (o *Owner) settle(now time.Duration, c *owned) {
	rate := c.limit.Rate * o.reachable
	c.account.settle(min(now, c.carefulUntil), rate*o.config.CarefulShare, c.limit.Burst)
	c.account.settle(now, rate, c.limit.Burst)
	expired := 0
	for expired < len(c.out) && c.out[expired].expires <= now {
		expired++
	}
	c.out = slices.Delete(c.out, 0, expired)
}

// wait returns the time until the account holds a token, at most Lapse.
func (o *Owner) wait(now time.Duration, c *owned) time.Duration {
	rate := c.limit.Rate * o.reachable
	if now < c.carefulUntil {
		rate *= o.config.CarefulShare
	}
	seconds := max(0, 1-c.account.level) / rate
	if !(seconds < o.config.Lapse.Seconds()) {
		return o.config.Lapse
	}
	return time.Duration(math.Ceil(seconds * float64(time.Second)))
}
