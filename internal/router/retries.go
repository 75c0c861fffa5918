package router

import (
	"cmp"
	"slices"
	"time"

	"github.com/bilberrywell/bilberrywell/retry"
)

const (
	// tickPeriod is the time between two Tick events.
	tickPeriod = 50 * time.Millisecond
	// maxDelayedRetries bounds the requests that wait for their retry. Others are sent at once.
	maxDelayedRetries = 256
	// retryDelayShare is the longest wait before a retry as a share of the route's target latency.
	retryDelayShare = 0.25
)

// delayedRetries holds the requests that wait for their retry because most engines of their service fail alike.
type delayedRetries struct {
	pending map[CallID]delayedRetry
	// tickedAt is the time of the last Tick.
	tickedAt time.Duration
}

type delayedRetry struct {
	call *call
	// due is when the retry must be sent.
	due time.Duration
	// end ends the request if no retry is allowed then.
	end func()
}

func (s *delayedRetries) init() { s.pending = make(map[CallID]delayedRetry) }

// claimOf returns the claim of a request to the retry budget.
func (r *Router) claimOf(c *call) retry.Claim {
	return retry.Claim{Urgency: c.rank(), Customer: c.customer, Likely: r.likelyInTime(c)}
}

// likelyInTime reports whether an attempt that is sent now is likely to succeed in time: the time left exceeds the
// usual time of the route, and its first byte usually meets the target latency. The target does not count for a stream
// that has begun, nor if the route usually misses it.
func (r *Router) likelyInTime(c *call) bool {
	stats, target := r.statsOf(c.route.Name), c.route.TargetLatency
	switch {
	case c.deadline-r.now <= stats.took.usual():
		return false
	case target <= 0, c.partDelivered, stats.meanLatency > target:
		return true
	}
	return r.now+stats.meanLatency <= c.Arrived+target
}

// retryAllowed reports whether the retry budget allows a request another attempt, without counting it.
func (r *Router) retryAllowed(c *call, pool *servicePool) bool {
	if !r.cfg.LoadControl {
		return pool.budget.Remaining(r.now) >= 1
	}
	return pool.budget.Allows(r.now, r.claimOf(c))
}

// takeRetry counts another attempt of a request in the retry budget and returns true if the budget allows it. An attempt
// that was counted and could not be sent yet is not counted again.
func (r *Router) takeRetry(c *call, pool *servicePool) bool {
	if c.retryCounted {
		return true
	}
	if !r.cfg.LoadControl {
		c.retryCounted = pool.budget.Allow(r.now)
		return c.retryCounted
	}
	claim := r.claimOf(c)
	if c.retryCounted = pool.budget.AllowFor(r.now, claim); c.retryCounted {
		return true
	}
	r.logDecision(c, "retry_denied", "service", c.service, "customer", c.customer, "urgency", claim.Urgency, "likely", claim.Likely,
		"left", pool.budget.Remaining(r.now), "time_left_ms", (c.deadline - r.now).Milliseconds())
	return false
}

// delayRetry lets a request wait for its retry if most engines of its service fail alike and its target latency can be
// met after the wait. It returns false if the retry must go at once.
func (r *Router) delayRetry(c *call, pool *servicePool, end func()) bool {
	if !r.cfg.LoadControl || !pool.alike.active || !c.lastFailedAlike || !c.route.Repeatable() || c.partDelivered ||
		c.route.TargetLatency <= 0 || r.drain.active || len(r.delayed.pending) >= maxDelayedRetries {
		return false
	}
	stats := r.statsOf(c.route.Name)
	due := min(r.now+time.Duration(retryDelayShare*float64(c.route.TargetLatency)),
		c.Arrived+c.route.TargetLatency-stats.meanLatency, c.deadline-max(stats.took.usual(), minRetryTime)-1)
	if due < max(r.delayed.tickedAt+tickPeriod, r.now) {
		// The next Tick comes too late.
		return false
	}
	r.delayed.pending[c.ID] = delayedRetry{c, due, end}
	r.logDecision(c, "retry_delayed", "service", c.service, "max_wait_ms", (due - r.now).Milliseconds(), "waiting", len(r.delayed.pending))
	return true
}

// tickRetries sends the requests again whose retry is due before the next Tick, whose service no longer fails, or
// whose instance stops. Better claims go first.
func (r *Router) tickRetries() {
	r.delayed.tickedAt = r.now
	var ready []delayedRetry
	for id, p := range r.delayed.pending {
		pool := r.pools[p.call.service]
		if p.due < r.now+tickPeriod || r.drain.active || pool == nil || !pool.alike.active {
			ready = append(ready, p)
			delete(r.delayed.pending, id)
		}
	}
	slices.SortFunc(ready, func(a, b delayedRetry) int {
		return cmp.Or(r.claimOf(a.call).Compare(r.claimOf(b.call)), cmp.Compare(a.call.ID, b.call.ID))
	})
	for _, p := range ready {
		r.sendDelayed(p)
	}
}

// sendDelayed places a request again whose wait is over, or ends it if it may no longer be sent.
func (r *Router) sendDelayed(p delayedRetry) {
	if !r.canRetry(p.call) {
		p.end()
		return
	}
	r.place(p.call)
}
