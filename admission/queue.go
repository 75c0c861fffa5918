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
		e.customersInOrder = append(e.customersInOrder, c)
	}
	c.lastSeen = now
	if c.weight != weight {
		c.weight = weight
		e.updateTotalWeight()
	}
	return c
}

// updateTotalWeight sums the customers' weights. It adds in a fixed order, so that the same
// inputs always give the same floating-point sum.
func (e *engine) updateTotalWeight() {
	e.totalWeight = 0
	for _, c := range e.customersInOrder {
		e.totalWeight += c.weight
	}
}

// pruneCustomers deletes the customers that have no attempts and no request since before.
func (e *engine) pruneCustomers(before time.Duration) {
	count := len(e.customersInOrder)
	e.customersInOrder = slices.DeleteFunc(e.customersInOrder, func(c *customer) bool {
		idle := c.inFlight == 0 && c.waiting == 0 && c.lastSeen < before
		if idle {
			delete(e.customers, c.id)
		}
		return idle
	})
	if len(e.customersInOrder) < count {
		e.updateTotalWeight()
	}
}

// isSurging reports whether a customer asks for more of an engine than its weighted share of the
// slots plus a margin for random variation, which grows with the square root of the share. A
// customer whose next attempt would be its only one, or would keep it within half its share, is not
// surging, so that a surge cannot starve it.
func (h *Home) isSurging(e *engine, c *customer) bool {
	if len(e.customersInOrder) == 1 || h.config.SurgeDeviations < 0 {
		return false
	}
	share := float64(e.Slots) * c.weight / e.totalWeight
	if float64(c.inFlight+1) <= max(1, share/2) {
		return false
	}
	return float64(c.inFlight+c.waiting) > share+h.config.SurgeDeviations*math.Sqrt(share)+1
}

// mayTakeSlot reports whether a customer may take a free slot. A surging customer must leave some
// slots free for the other active ones: running attempts are not preempted, so without this
// reserve a surge fills all slots and the others wait for a completion.
func (h *Home) mayTakeSlot(e *engine, c *customer) bool {
	if !h.isSurging(e, c) {
		return true
	}
	reserve := math.Ceil(h.config.SurgeReserve * float64(e.Slots))
	return e.Slots-e.inFlight > min(int(reserve), e.Slots-1)
}

// enqueue puts a request into the queue, or returns the decision with the reason why it cannot.
func (h *Home) enqueue(now time.Duration, e *engine, c *customer, r Request) Decision {
	if !r.MayQueue {
		return refusal(r, Redirect, Saturated)
	}
	if now-r.Arrival >= h.config.QueueTime {
		return h.withRetryAfter(refusal(r, Refused, QueueTime))
	}
	if len(e.queue) >= h.config.QueueLength && !h.makeQueueRoom(e, c) {
		return h.withRetryAfter(refusal(r, Refused, QueueFull))
	}
	a := h.trackWaiting(now, e, c, r)
	e.queue = append(e.queue, a)
	e.pool.waiting++
	c.waiting++
	return a.decision(Queued, 0)
}

// withRetryAfter sets RetryAfter of a refusal.
func (h *Home) withRetryAfter(d Decision) Decision {
	d.RetryAfter = h.config.RetryAfter
	return d
}

// makeQueueRoom makes room in a full queue for a request of c and reports whether it did. It
// refuses the newest request of the customer with the most waiting requests per weight, if that is
// more than c would have. A surging customer therefore fills only its own share of the queue.
func (h *Home) makeQueueRoom(e *engine, c *customer) bool {
	heaviest := c
	load := float64(c.waiting+1) / c.weight
	for _, other := range e.customersInOrder {
		if l := float64(other.waiting) / other.weight; l > load {
			heaviest, load = other, l
		}
	}
	if heaviest == c {
		return false
	}
	for i := len(e.queue) - 1; i >= 0; i-- {
		if e.queue[i].customer == heaviest {
			h.removeWaiting(e.queue[i], h.withRetryAfter(e.queue[i].decision(Refused, QueueFull)))
			return true
		}
	}
	return false
}

// dequeue removes an attempt from its queue, if it is there.
func (h *Home) dequeue(a *attempt) {
	e := a.engine
	i := slices.Index(e.queue, a)
	if i < 0 {
		return
	}
	e.queue = slices.Delete(e.queue, i, i+1)
	e.pool.waiting--
	a.customer.waiting--
}

// removeWaiting removes a waiting attempt and adds a decision about it.
func (h *Home) removeWaiting(a *attempt, d Decision) {
	h.dequeue(a)
	h.deleteAttempt(a)
	h.decisions = append(h.decisions, d)
}

// removeAllWaiting removes all waiting attempts of an engine, with decisions of one kind and reason.
func (h *Home) removeAllWaiting(e *engine, kind Kind, reason Reason) {
	for len(e.queue) > 0 {
		h.removeWaiting(e.queue[0], e.queue[0].decision(kind, reason))
	}
}

// grantWaiting grants waiting requests of a pool while there is room. A grant raises the pool's
// load and with it the bounds of the other engines, so the loop repeats until nothing is granted.
func (h *Home) grantWaiting(now time.Duration, p *pool) {
	for granted := true; granted && p.waiting > 0; {
		granted = false
		for _, e := range p.engines {
			for len(e.queue) > 0 && h.grantNext(now, e) {
				granted = true
			}
		}
	}
}

// grantNext grants the next waiting request of an engine and reports whether it did. Requests that
// may not start are removed.
func (h *Home) grantNext(now time.Duration, e *engine) bool {
	for e.open() && h.hasRoom(e) {
		a := h.nextWaiting(now, e)
		if a == nil {
			return false
		}
		if d, over := h.overdueRefusal(now, a); over {
			h.removeWaiting(a, d)
			continue
		}
		if reason := h.guardReason(now, e, a.fingerprint); reason != 0 {
			h.removeWaiting(a, a.decision(Refused, reason))
			continue
		}
		h.grantAttempt(now, a)
		return true
	}
	return false
}

// grantAttempt grants a waiting attempt.
func (h *Home) grantAttempt(now time.Duration, a *attempt) {
	h.dequeue(a)
	a.inTakeover = a.engine.takeover.active
	h.countRunning(a)
	a.customer.lastSeen = now
	d := a.decision(Granted, 0)
	d.Waited = now - a.queuedAt
	h.decisions = append(h.decisions, d)
}

// nextWaiting returns the request to serve first among those of customers that may take a slot, or
// nil.
func (h *Home) nextWaiting(now time.Duration, e *engine) *attempt {
	var best *attempt
	for _, a := range e.queue {
		if h.mayTakeSlot(e, a.customer) && (best == nil || h.servedBefore(now, a, best)) {
			best = a
		}
	}
	return best
}

// servedBefore reports whether a is served before b. The order is: class, customers that do not
// surge first, the customer's running attempts per weight, arrival, attempt id.
func (h *Home) servedBefore(now time.Duration, a, b *attempt) bool {
	if ca, cb := h.effectiveClass(now, a), h.effectiveClass(now, b); ca != cb {
		return ca < cb
	}
	if sa, sb := h.isSurging(a.engine, a.customer), h.isSurging(b.engine, b.customer); sa != sb {
		return sb
	}
	if a.customer != b.customer {
		la, lb := a.customer.loadPerWeight(), b.customer.loadPerWeight()
		if la != lb {
			return la < lb
		}
	}
	if a.arrival != b.arrival {
		return a.arrival < b.arrival
	}
	return a.id < b.id
}

// loadPerWeight returns the customer's running attempts per weight.
func (c *customer) loadPerWeight() float64 { return float64(c.inFlight) / c.weight }

// effectiveClass returns the class in which a request is served: class 0 near its deadline, else
// its own.
func (h *Home) effectiveClass(now time.Duration, a *attempt) Class {
	if a.deadline != 0 && a.deadline-now <= h.config.DeadlineMargin {
		return 0
	}
	return a.class
}

// overdueRefusal returns the refusal of a request that is past its deadline or has waited for
// QueueTime, and false for other requests.
func (h *Home) overdueRefusal(now time.Duration, a *attempt) (Decision, bool) {
	switch {
	case a.deadline != 0 && a.deadline <= now:
		return a.decision(Refused, Expired), true
	case now-a.arrival >= h.config.QueueTime:
		return h.withRetryAfter(a.decision(Refused, QueueTime)), true
	}
	return Decision{}, false
}

// removeOverdue refuses the requests that have waited too long and redirects those that have
// waited for Config.RedirectAfter.
func (h *Home) removeOverdue(now time.Duration, e *engine) {
	for i := 0; i < len(e.queue); {
		a := e.queue[i]
		d, over := h.overdueRefusal(now, a)
		if !over && !a.noRedirect && now-a.queuedAt >= h.config.RedirectAfter {
			d, over = a.decision(Redirect, WaitExceeded), true
		}
		if !over {
			i++
			continue
		}
		h.removeWaiting(a, d)
	}
}
