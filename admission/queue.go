package admission

import (
	"math"
	"slices"
	"time"

	"github.com/bilberrywell/bilberrywell/fleet"
)

// customerOf returns a customer's state on an engine and marks the customer active.
func (e *engine) customerOf(now time.Duration, id fleet.CustomerID, weight float64) *customer {
	if !(weight > 0) || math.IsInf(weight, 1) {
		weight = 1
	}
	c, ok := e.customers[id]
	if !ok {
		c = &customer{id: id}
		e.customers[id] = c
		e.active = append(e.active, c)
	}
	c.lastSeen = now
	if c.weight != weight {
		c.weight = weight
		e.sumWeights()
	}
	return c
}

// sumWeights adds in a fixed order, so that equal histories have equal sums.
func (e *engine) sumWeights() {
	e.weight = 0
	for _, c := range e.active {
		e.weight += c.weight
	}
}

// prune forgets customers without requests since before.
func (e *engine) prune(before time.Duration) {
	count := len(e.active)
	e.active = slices.DeleteFunc(e.active, func(c *customer) bool {
		idle := c.inFlight == 0 && c.waiting == 0 && c.lastSeen < before
		if idle {
			delete(e.customers, c.id)
		}
		return idle
	})
	if len(e.active) < count {
		e.sumWeights()
	}
}

// surging reports whether a customer asks for more of an engine than its weighted share of the
// slots and chance explain; chance grows with the square root of the share. A customer below half its share is never surging, so a surge cannot starve it.
func (h *Home) surging(e *engine, c *customer) bool {
	if len(e.active) == 1 || h.config.SurgeDeviations < 0 {
		return false
	}
	share := float64(e.Slots) * c.weight / e.weight
	if float64(c.inFlight+1) <= max(1, share/2) {
		return false
	}
	return float64(c.inFlight+c.waiting) > share+h.config.SurgeDeviations*math.Sqrt(share)+1
}

// entitled reports whether a customer may take a free slot. A surging customer leaves a
// reserve for the other active ones: running work is not preempted, so without the reserve
// a surge fills all slots and the others wait for a completion.
func (h *Home) entitled(e *engine, c *customer) bool {
	if !h.surging(e, c) {
		return true
	}
	reserve := math.Ceil(h.config.SurgeReserve * float64(e.Slots))
	return e.Slots-e.inFlight > min(int(reserve), e.Slots-1)
}

// enqueue puts a request into the queue, or answers why not.
func (h *Home) enqueue(now time.Duration, e *engine, c *customer, r Request) Decision {
	if !r.MayQueue {
		return refusal(r, Redirect, Saturated)
	}
	if now-r.Arrival >= h.config.QueueTime {
		return h.later(refusal(r, Refused, QueueTime))
	}
	if len(e.queue) >= h.config.QueueLength && !h.displace(e, c) {
		return h.later(refusal(r, Refused, QueueFull))
	}
	a := h.track(now, e, c, r)
	e.queue = append(e.queue, a)
	e.pool.waiting++
	c.waiting++
	return a.decision(Queued, 0)
}

// later adds the retry hint to a refusal.
func (h *Home) later(d Decision) Decision {
	d.RetryAfter = h.config.RetryAfter
	return d
}

// displace makes room in a full queue by refusing the newest request of the customer with the
// most waiting per weight, if that is more than c would have. A surge thus fills only its own
// part of the queue.
func (h *Home) displace(e *engine, c *customer) bool {
	worst := c
	load := float64(c.waiting+1) / c.weight
	for _, other := range e.active {
		if l := float64(other.waiting) / other.weight; l > load {
			worst, load = other, l
		}
	}
	if worst == c {
		return false
	}
	for i := len(e.queue) - 1; i >= 0; i-- {
		if e.queue[i].customer == worst {
			h.finish(e.queue[i], h.later(e.queue[i].decision(Refused, QueueFull)))
			return true
		}
	}
	return false
}

// unqueue takes an attempt out of its queue.
func (h *Home) unqueue(a *attempt) {
	e := a.engine
	i := slices.Index(e.queue, a)
	if i < 0 {
		return
	}
	e.queue = slices.Delete(e.queue, i, i+1)
	e.pool.waiting--
	a.customer.waiting--
}

// finish takes a waiting attempt out with a decision.
func (h *Home) finish(a *attempt, d Decision) {
	h.unqueue(a)
	h.free(a)
	h.out = append(h.out, d)
}

// dismiss takes all waiting attempts of an engine out.
func (h *Home) dismiss(e *engine, kind Kind, reason Reason) {
	for len(e.queue) > 0 {
		h.finish(e.queue[0], e.queue[0].decision(kind, reason))
	}
}

// drain grants waiting requests of a pool while there is room. A grant raises the pool's load
// and with it the bounds of the other engines, so it goes round until nothing is granted.
func (h *Home) drain(now time.Duration, p *pool) {
	for granted := true; granted && p.waiting > 0; {
		granted = false
		for _, e := range p.engines {
			for len(e.queue) > 0 && h.grantNext(now, e) {
				granted = true
			}
		}
	}
}

// grantNext grants the best waiting request of an engine and reports whether it did.
func (h *Home) grantNext(now time.Duration, e *engine) bool {
	for e.open() && h.room(e) {
		a := h.next(now, e)
		if a == nil {
			return false
		}
		if d, over := h.overdue(now, a); over {
			h.finish(a, d)
			continue
		}
		if reason := h.guarded(now, e, a.fingerprint); reason != 0 {
			h.finish(a, a.decision(Refused, reason))
			continue
		}
		h.grant(now, a)
		return true
	}
	return false
}

// grant starts a waiting attempt.
func (h *Home) grant(now time.Duration, a *attempt) {
	h.unqueue(a)
	a.inTakeover = a.engine.takeover.on
	h.start(a)
	a.customer.lastSeen = now
	d := a.decision(Granted, 0)
	d.Waited = now - a.queuedAt
	h.out = append(h.out, d)
}

// next returns the request to serve first among those of entitled customers, or nil.
func (h *Home) next(now time.Duration, e *engine) *attempt {
	var best *attempt
	for _, a := range e.queue {
		if h.entitled(e, a.customer) && (best == nil || h.ahead(now, a, best)) {
			best = a
		}
	}
	return best
}

// ahead orders waiting requests by class, surging customers last, in-flight work per weight of
// the customer, arrival and attempt id.
func (h *Home) ahead(now time.Duration, a, b *attempt) bool {
	if ca, cb := h.classNow(now, a), h.classNow(now, b); ca != cb {
		return ca < cb
	}
	if sa, sb := h.surging(a.engine, a.customer), h.surging(b.engine, b.customer); sa != sb {
		return sb
	}
	if a.customer != b.customer {
		la, lb := a.customer.load(), b.customer.load()
		if la != lb {
			return la < lb
		}
	}
	if a.arrival != b.arrival {
		return a.arrival < b.arrival
	}
	return a.id < b.id
}

func (c *customer) load() float64 { return float64(c.inFlight) / c.weight }

// classNow returns the class of a request, which is the first one close to its deadline.
func (h *Home) classNow(now time.Duration, a *attempt) Class {
	if a.deadline != 0 && a.deadline-now <= h.config.DeadlineMargin {
		return 0
	}
	return a.class
}

// overdue returns the refusal of a request that has waited too long.
func (h *Home) overdue(now time.Duration, a *attempt) (Decision, bool) {
	switch {
	case a.deadline != 0 && a.deadline <= now:
		return a.decision(Refused, Expired), true
	case now-a.arrival >= h.config.QueueTime:
		return h.later(a.decision(Refused, QueueTime)), true
	}
	return Decision{}, false
}

// expire takes out the requests that have waited too long and redirects those whose rewalk
// time is over.
func (h *Home) expire(now time.Duration, e *engine) {
	for i := 0; i < len(e.queue); {
		a := e.queue[i]
		d, over := h.overdue(now, a)
		if !over && !a.lastChoice && now-a.queuedAt >= h.config.Rewalk {
			d, over = a.decision(Redirect, Rewalk), true
		}
		if !over {
			i++
			continue
		}
		h.finish(a, d)
	}
}
