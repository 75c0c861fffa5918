package waitqueue

import (
	"slices"
	"time"

	"github.com/bilberrywell/bilberrywell/fleet"
)

// Next returns the request of a group that gets the next turn. Take removes it. If an engine is given, a slot is free there:
// of the requests with the same urgency and standing as the first, one that has its home there is preferred.
func (q *Queue) Next(now time.Duration, name fleet.ServiceID, engine fleet.EngineID) (Request, bool) {
	g := q.group(name)
	if len(g.items) == 0 {
		return Request{}, false
	}
	g.customers.advance(now)
	if g.turns%q.config.OldestTurn == q.config.OldestTurn-1 {
		return g.oldest().Request, true
	}
	first := g.items[0]
	for _, it := range g.items[1:] {
		if g.before(now, it, first) {
			first = it
		}
	}
	if engine != "" && first.Home != engine {
		first = g.homeAt(now, engine, first)
	}
	return first.Request, true
}

// homeAt returns the first of the requests that have their home at an engine and the same urgency and standing as first,
// or first itself if there is none.
func (g *group) homeAt(now time.Duration, engine fleet.EngineID, first *item) *item {
	best := first
	for _, it := range g.items {
		if it.Home == engine && g.compareStanding(now, it, first) == 0 && (best == first || g.before(now, it, best)) {
			best = it
		}
	}
	return best
}

// Take removes a request that uses a turn of its group. It returns false if the request does not wait.
func (q *Queue) Take(name fleet.ServiceID, id uint64) (Request, bool) {
	r, ok := q.Remove(name, id)
	if ok {
		q.group(name).turns++
	}
	return r, ok
}

// Ahead returns the number of waiting requests of a group that are served before a request, which need not wait.
func (q *Queue) Ahead(now time.Duration, r Request) int {
	g := q.group(r.Group)
	g.customers.advance(now)
	it := &item{Request: r, customer: g.customers.of(r.Customer)}
	n := 0
	for _, other := range g.items {
		if other.ID != r.ID && g.before(now, other, it) {
			n++
		}
	}
	return n
}

// AsUrgent returns the number of waiting requests of a group with an urgency or a higher one.
func (q *Queue) AsUrgent(name fleet.ServiceID, urgency int) int {
	n := 0
	for _, it := range q.group(name).items {
		if it.Urgency <= urgency {
			n++
		}
	}
	return n
}

// InOrder returns the waiting requests of a group in the order in which they are served.
func (q *Queue) InOrder(now time.Duration, name fleet.ServiceID) []Request {
	g := q.group(name)
	g.customers.advance(now)
	sorted := slices.Clone(g.items)
	slices.SortFunc(sorted, func(a, b *item) int {
		if g.before(now, a, b) {
			return -1
		}
		return 1
	})
	list := make([]Request, len(sorted))
	for i, it := range sorted {
		list[i] = it.Request
	}
	return list
}

// oldest returns the request that has waited longest.
func (g *group) oldest() *item {
	first := g.items[0]
	for _, it := range g.items[1:] {
		if it.Since < first.Since || it.Since == first.Since && it.ID < first.ID {
			first = it
		}
	}
	return first
}

// before reports whether a is served before b. The order is: urgency, customers within their share first, early retries
// last, requests that can still meet their target first, the customer's running requests, arrival, id.
func (g *group) before(now time.Duration, a, b *item) bool {
	if order := g.compareStanding(now, a, b); order != 0 {
		return order < 0
	}
	if a.customer.running != b.customer.running {
		return a.customer.running < b.customer.running
	}
	if a.Arrived != b.Arrived {
		return a.Arrived < b.Arrived
	}
	return a.ID < b.ID
}

// compareStanding compares urgency, whether the customers are within their share, whether the requests are early retries,
// and whether they can still meet their target. It is negative if a is served first.
func (g *group) compareStanding(now time.Duration, a, b *item) int {
	if a.Urgency != b.Urgency {
		return a.Urgency - b.Urgency
	}
	if overA, overB := g.customers.overShare(a.customer), g.customers.overShare(b.customer); overA != overB {
		return boolOrder(overA)
	}
	if a.EarlyRetry != b.EarlyRetry {
		return boolOrder(a.EarlyRetry)
	}
	if meetsA, meetsB := now <= a.MeetsTargetUntil, now <= b.MeetsTargetUntil; meetsA != meetsB {
		return boolOrder(!meetsA)
	}
	return 0
}

// boolOrder returns 1 if the first of two requests that differ is served last.
func boolOrder(firstIsLast bool) int {
	if firstIsLast {
		return 1
	}
	return -1
}
