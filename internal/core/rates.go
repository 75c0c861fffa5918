package core

import (
	"slices"
	"time"

	"github.com/bilberrywell/bilberrywell/fleet"
	"github.com/bilberrywell/bilberrywell/internal/wire"
	"github.com/bilberrywell/bilberrywell/rateshare"
)

const (
	// maxRateWait is the longest wait for rate tokens. It exceeds the 1 s after which a bucket
	// whose owner doesn't answer falls back to its own share.
	maxRateWait = 1500 * time.Millisecond
	// rateTickInterval is the time between checks of active buckets.
	rateTickInterval = 20 * time.Millisecond
	// surplusInterval is the time between returns of unused tokens to the owners.
	surplusInterval = 200 * time.Millisecond
)

// rateState is the state of customer rates. As entry, an instance takes tokens from its
// customers' buckets; as owner, it hands out tokens to the entries of the region.
type rateState struct {
	buckets map[fleet.CustomerID]*rateBucket
	owner   *rateshare.Owner
	// owners caches the owners of customers until the membership view changes.
	owners map[fleet.CustomerID]fleet.InstanceID
	// active lists the customers whose buckets are checked periodically.
	active      []fleet.CustomerID
	nextTick    time.Duration
	nextSurplus time.Duration
	// regionInstances is the number of listed instances of the region, fleetInstances that of
	// the fleet.
	regionInstances, fleetInstances int
}

// rateBucket is a customer's bucket with the requests that wait for its tokens, in order of arrival.
type rateBucket struct {
	*rateshare.Bucket
	waiting []*request
	active  bool
}

func (s *rateState) init(incarnation uint64) {
	s.buckets = make(map[fleet.CustomerID]*rateBucket)
	s.owners = make(map[fleet.CustomerID]fleet.InstanceID)
	s.owner = rateshare.NewOwner(rateshare.Config{}, incarnation)
	s.regionInstances, s.fleetInstances = 1, 1
}

// configureRates applies published limits and the size of the fleet to buckets and owned customers.
func (c *Core) configureRates() {
	if c.snapshot == nil {
		return
	}
	for id, b := range c.rates.buckets {
		if c.snapshot.Customers[id] == nil {
			delete(c.rates.buckets, id)
			c.rates.owner.RemoveCustomer(id)
			continue
		}
		b.SetLimit(c.mono(), c.rateLimit(id), c.rates.regionInstances)
	}
}

// rateLimit returns the region's part of a customer's rate. Regions can lose contact with
// each other for an hour, so each has a fixed part in proportion to its number of instances.
func (c *Core) rateLimit(id fleet.CustomerID) rateshare.Limit {
	customer := c.snapshot.Customers[id]
	share := float64(c.rates.regionInstances) / float64(c.rates.fleetInstances)
	return rateshare.Limit{Rate: customer.RatePerSecond * share, Burst: customer.Burst * share}
}

// setFleetSize applies the numbers of instances in the platform's list.
func (c *Core) setFleetSize(regionSize, fleetSize int) {
	if regionSize < 1 || (regionSize == c.rates.regionInstances && fleetSize == c.rates.fleetInstances) {
		return
	}
	c.rates.regionInstances, c.rates.fleetInstances = regionSize, fleetSize
	c.configureRates()
}

// rateOwnersChanged determines the owners of active customers again after a change of the
// membership view.
func (c *Core) rateOwnersChanged() {
	before := c.rates.owners
	c.rates.owners = make(map[fleet.CustomerID]fleet.InstanceID, len(before))
	for id, b := range c.rates.buckets {
		if b.active && c.rateOwner(id) != before[id] {
			b.OwnerChanged()
		}
	}
	live := len(c.view.Live(c.cfg.Region))
	c.rates.owner.SetUnreachable(c.mono(), max(0, c.rates.regionInstances-live), c.rates.regionInstances)
}

// rateOwner returns the instance that hands out a customer's tokens in the region.
func (c *Core) rateOwner(id fleet.CustomerID) fleet.InstanceID {
	owner, ok := c.rates.owners[id]
	if !ok {
		live := c.view.HomeCandidates(c.cfg.Region)
		ids := make([]fleet.InstanceID, len(live))
		for i, instance := range live {
			ids[i] = instance.ID
		}
		owner = rateshare.OwnerOf(id, ids)
		c.rates.owners[id] = owner
	}
	return owner
}

func (c *Core) bucket(id fleet.CustomerID) *rateBucket {
	b := c.rates.buckets[id]
	if b == nil {
		b = &rateBucket{Bucket: rateshare.NewBucket(rateshare.Config{}, c.rateLimit(id), c.rates.regionInstances)}
		c.rates.buckets[id] = b
	}
	return b
}

// acquireRateToken takes a rate token for a request, or queues the request until there is one.
func (c *Core) acquireRateToken(r *request) {
	b := c.bucket(r.call.Customer)
	if len(b.waiting) == 0 && b.Take(c.mono()) {
		c.requestRateTokens(r.call.Customer, b)
		c.rateTokenAcquired(r)
		return
	}
	r.stage = stageRate
	c.setTimer(r, c.mono()+maxRateWait)
	b.waiting = append(b.waiting, r)
	c.requestRateTokens(r.call.Customer, b)
}

// rateTokenAcquired continues a request that has a rate token.
func (c *Core) rateTokenAcquired(r *request) {
	c.stopTimer(r)
	if r.call.NonIdempotent {
		c.startClaim(r)
		return
	}
	c.startAdmission(r)
}

// requestRateTokens sends the bucket's request for tokens, if one is due, to the customer's owner.
func (c *Core) requestRateTokens(id fleet.CustomerID, b *rateBucket) {
	if !b.active {
		b.active = true
		c.rates.active = append(c.rates.active, id)
	}
	ask, ok := b.DueAsk(c.mono())
	if !ok {
		return
	}
	if owner := c.rateOwner(id); owner != "" {
		c.send(owner, &wire.RateRequest{Customer: id, RequestID: ask.ID, Want: ask.Want})
	}
}

// rateRequested handles returned tokens and requests for tokens as the customer's owner.
func (c *Core) rateRequested(from fleet.InstanceID, m *wire.RateRequest) {
	if c.snapshot == nil || c.snapshot.Customers[m.Customer] == nil {
		return
	}
	if c.rateOwner(m.Customer) != c.cfg.Instance {
		c.rates.owner.RemoveCustomer(m.Customer)
		return
	}
	c.rates.owner.AddCustomer(c.mono(), m.Customer, c.rateLimit(m.Customer))
	if m.Returned > 0 {
		id := rateshare.BatchID{Incarnation: m.BatchIncarnation, Seq: m.Batch}
		c.rates.owner.Return(c.mono(), m.Customer, id, m.Returned)
	}
	if m.RequestID == 0 {
		return
	}
	batch, ok := c.rates.owner.Request(c.mono(), m.Customer, m.Want)
	if !ok {
		return
	}
	c.send(from, &wire.RateGrant{
		Customer:         m.Customer,
		RequestID:        m.RequestID,
		BatchIncarnation: batch.ID.Incarnation,
		Batch:            batch.ID.Seq,
		Tokens:           batch.Tokens,
		ValidForMs:       millis(batch.Life),
		RetryAfterMs:     millis(batch.RetryAfter + time.Millisecond - 1),
	})
}

// rateGranted fills a bucket and continues the requests that wait for its tokens.
func (c *Core) rateGranted(_ fleet.InstanceID, m *wire.RateGrant) {
	b := c.rates.buckets[m.Customer]
	if b == nil {
		return
	}
	b.AddBatch(c.mono(), m.RequestID, rateshare.Batch{
		ID:         rateshare.BatchID{Incarnation: m.BatchIncarnation, Seq: m.Batch},
		Tokens:     m.Tokens,
		Life:       time.Duration(m.ValidForMs) * time.Millisecond,
		RetryAfter: time.Duration(m.RetryAfterMs) * time.Millisecond,
	})
	c.takeTokensForWaiting(m.Customer, b)
}

// takeTokensForWaiting takes tokens for the waiting requests in order and continues those that got
// one. It then requests more tokens if the bucket needs them.
func (c *Core) takeTokensForWaiting(id fleet.CustomerID, b *rateBucket) {
	for len(b.waiting) > 0 {
		r := b.waiting[0]
		if r.stage == stageRate && c.entry.requests[r.id] == r {
			if !b.Take(c.mono()) {
				break
			}
			b.waiting = b.waiting[1:]
			c.rateTokenAcquired(r)
			continue
		}
		b.waiting = b.waiting[1:]
	}
	c.requestRateTokens(id, b)
}

// rateTimedOut refuses a request that got no rate token within maxRateWait.
func (c *Core) rateTimedOut(r *request) {
	b := c.bucket(r.call.Customer)
	b.waiting = slices.DeleteFunc(b.waiting, func(other *request) bool { return other == r })
	c.count(CounterRateLimited, 1)
	c.failRequest(r, FailureNotRun, CodeRateLimited, "the customer's request rate limit is exceeded", overloadRetryAfter)
}

// tickRates checks the active buckets and returns their unused tokens.
func (c *Core) tickRates() {
	if c.mono() < c.rates.nextTick {
		return
	}
	c.rates.nextTick = c.mono() + rateTickInterval
	surplus := c.mono() >= c.rates.nextSurplus
	if surplus {
		c.rates.nextSurplus = c.mono() + surplusInterval
	}
	keep := c.rates.active[:0]
	for _, id := range c.rates.active {
		b := c.rates.buckets[id]
		if b == nil {
			continue
		}
		c.tickBucket(id, b, surplus)
		if b.active {
			keep = append(keep, id)
		}
	}
	c.rates.active = keep
}

func (c *Core) tickBucket(id fleet.CustomerID, b *rateBucket, surplus bool) {
	at, asks := b.NextAsk()
	if len(b.waiting) > 0 || (asks && c.mono() >= at) {
		c.takeTokensForWaiting(id, b)
	}
	if surplus {
		c.returnSurplus(id, b)
	}
	if len(b.waiting) == 0 && !asks && b.Tokens(c.mono()) == 0 {
		b.active = false
	}
}

func (c *Core) returnSurplus(id fleet.CustomerID, b *rateBucket) {
	owner := c.rateOwner(id)
	for _, unused := range b.TakeSurplus(c.mono()) {
		if owner == "" {
			continue
		}
		c.send(owner, &wire.RateRequest{
			Customer:         id,
			BatchIncarnation: unused.ID.Incarnation,
			Batch:            unused.ID.Seq,
			Returned:         unused.Tokens,
		})
	}
}
